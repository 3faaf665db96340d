package config

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/document"
)

// benchmarkChanges is the number of changes in one iteration.
const benchmarkChanges = 10

// BenchmarkInForce measures the wall-clock time from acceptance of a change
// until it is in force on the last host, and its costs, for several fleet
// sizes. Calls between hosts are function calls; announcements take 100 ms.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ hosts, dataCentres int }{{12, 4}, {48, 4}, {192, 14}, {384, 14}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			f := newFleet(b, 41)
			hosts := f.start(size.hosts, size.dataCentres)
			defer f.stop()
			f.waitAll(hosts, 1)
			for b.Loop() {
				measureChanges(b, f, hosts)
			}
		})
	}
}

// measureChanges makes changes one second apart and reports times and costs.
func measureChanges(b *testing.B, f *fleet, hosts []*testHost) {
	before, bytesBefore, cpuBefore, started := f.store.Counts(), f.bytes.Load(), cpuTime(), time.Now()
	var longest, total time.Duration
	for i := range benchmarkChanges {
		id := fmt.Sprint("op-", time.Now().UnixNano())
		took := f.waitAll(hosts, applyChange(f, hosts[i%len(hosts)], id))
		longest, total = max(longest, took), total+took
		time.Sleep(time.Second)
	}
	seconds := time.Since(started).Seconds()
	after := f.store.Counts()
	count := float64(len(hosts))
	b.ReportMetric(longest.Seconds(), "s-longest")
	b.ReportMetric(total.Seconds()/benchmarkChanges, "s-mean")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/benchmarkChanges, "store-writes/change")
	b.ReportMetric(float64(f.bytes.Load()-bytesBefore)/seconds/count, "call-B/s/host")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/seconds/count, "%core/host")
}

// cpuTime returns the CPU time used by this process so far.
func cpuTime() time.Duration {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkFollowing50000Workspaces measures what one change to 50,000
// workspaces costs a host in time, bytes fetched and memory held.
func BenchmarkFollowing50000Workspaces(b *testing.B) {
	store, writer := newStoreWithDocument(b, 42)
	base, err := newest(writer)
	require.NoError(b, err)
	text := append(longSection(50_000), bytes.TrimPrefix(base.Bodies.Get(document.SectionWorkspaces), []byte("workspaces:\n"))...)
	apply := func(id string, text []byte) *head {
		base, err := newest(writer)
		require.NoError(b, err)
		_, err = writer.Apply(context.Background(), Edit{OperationID: id, OperatorKey: "demo-operator-customers",
			Base: base.Generation, Sections: document.Bodies{{Section: document.SectionWorkspaces, Text: text}}})
		require.NoError(b, err)
		h, err := writer.currentHead()
		require.NoError(b, err)
		return h
	}
	first := apply("many", text)
	second := apply("one more", bytes.Replace(text, []byte("workspace-25000"), []byte("workspace-other"), 1))
	before, err := load(context.Background(), first, nil, storeSource{store})
	require.NoError(b, err)
	writer.lastLoaded.Store(nil)
	counted := &countingSource{objectSource: storeSource{store}}
	for b.Loop() {
		counted.bytes = 0
		_, err := load(context.Background(), second, before, counted)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(counted.bytes), "B-fetched")
	b.ReportMetric(float64(heapHeldBy(func() any {
		var several [heldSnapshots]*Snapshot
		for i := range several {
			several[i], err = load(context.Background(), first, nil, storeSource{store})
			require.NoError(b, err)
		}
		return several
	}))/heldSnapshots/1e6, "MB-held")
}

// heldSnapshots is how many snapshots the memory measurement holds.
const heldSnapshots = 4

// heapHeldBy returns the heap size of the value that make returns.
func heapHeldBy(make func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection only queues objects with finalizers
	runtime.ReadMemStats(&before)
	value := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return after.HeapAlloc - before.HeapAlloc
}

// countingSource counts the bytes of the objects it returns.
type countingSource struct {
	objectSource
	bytes int
}

func (c *countingSource) get(ctx context.Context, wanted []Hash) ([]object, error) {
	got, err := c.objectSource.get(ctx, wanted)
	for _, o := range got {
		c.bytes += len(o.content)
	}
	return got, err
}
