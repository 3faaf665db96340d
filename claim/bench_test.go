package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// BenchmarkClaims claims and finishes requests through 12 hosts on a store that
// answers in 2 ms, for several batch windows.
func BenchmarkClaims(b *testing.B) {
	for _, window := range []time.Duration{20, 60, 120} {
		for _, clients := range []int{32, 1024} {
			name := fmt.Sprintf("window=%dms/clients=%d", window, clients)
			b.Run(name, func(b *testing.B) { benchClaims(b, window*time.Millisecond, clients) })
		}
	}
}

func benchClaims(b *testing.B, window time.Duration, clients int) {
	settings := Settings{BatchWindow: window, HandoffDelay: time.Hour}
	f := newFleet(b, 12, 1, settings)
	f.store.setFaults(storeFaults{delay: 2 * time.Millisecond})
	for i := range 200 {
		f.claimOnce(b, fmt.Sprint("warm-", i))
	}
	var latencies []time.Duration
	var latenciesMu sync.Mutex
	var next atomic.Int64
	f.store.mu.Lock()
	writesBefore, bytesBefore := f.store.writes, f.store.bytes
	f.store.mu.Unlock()
	b.ResetTimer()
	started := time.Now()
	var done sync.WaitGroup
	for range clients {
		done.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				took := f.claimOnce(b, fmt.Sprint("key-", i))
				latenciesMu.Lock()
				latencies = append(latencies, took)
				latenciesMu.Unlock()
			}
		})
	}
	done.Wait()
	took := time.Since(started).Seconds()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	b.ReportMetric(float64(b.N)/took, "claims/s")
	b.ReportMetric(float64(f.store.writes-writesBefore)/took, "writes/s")
	b.ReportMetric(float64(f.store.bytes-bytesBefore)/float64(b.N), "storeB/claim")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
}

func (f *fleet) claimOnce(b *testing.B, name string) time.Duration {
	n := f.nodes[int(name[len(name)-1])%len(f.nodes)]
	started := time.Now()
	d := n.mustBegin(b, key(name), Digest{1})
	took := time.Since(started)
	if d.Verdict != Run {
		b.Errorf("verdict %v", d.Verdict)
		return took
	}
	_ = d.Grant.Finish(context.Background(), outcomeWithBody("{}"))
	return took
}

// BenchmarkRecovery takes over a shard whose log holds the given number of keys,
// on a store that answers in 2 ms.
func BenchmarkRecovery(b *testing.B) {
	for _, keys := range []int{0, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) { benchRecovery(b, keys) })
	}
}

func benchRecovery(b *testing.B, keys int) {
	m := &logMachine{store: newFakeStore(1)}
	defaults := DefaultSettings()
	l := m.newLog()
	l.segmentBytes = defaults.SegmentBytes
	l.maxOpaque = keys + 1
	t := takeOverForBench(b, &l)
	for written := 0; written < keys; {
		if l.freeSlots() < defaults.RingSlots/4 || t.openBytes > 2*l.segmentBytes {
			must(l.checkpoint(context.Background(), t, 0))
		}
		rec := &record{Seq: l.lastSeq + 1, Epoch: l.head.Epoch, BatchID: m.newID()}
		for range min(20, keys-written) {
			e := claimedEntry(claimOp{key: numberedKey(written), keyTime: 1, holder: claimHolder{Attempt: m.newID()}})
			e.State, e.Outcome = stateDone, &Outcome{Status: 200}
			rec.Entries = append(rec.Entries, *e)
			written++
		}
		must(l.append(context.Background(), rec))
		for i := range rec.Entries {
			t.apply(&rec.Entries[i])
		}
	}
	m.store.setFaults(storeFaults{delay: 2 * time.Millisecond})
	m.store.reads = 0
	b.ResetTimer()
	for range b.N {
		fresh := m.newLog()
		fresh.maxOpaque = keys + 1
		fresh.segmentBytes = defaults.SegmentBytes
		takeOverForBench(b, &fresh)
	}
	b.ReportMetric(float64(m.store.reads)/float64(b.N), "reads")
}

func takeOverForBench(b *testing.B, l *shardLog) *table {
	found, err := l.readHead(context.Background())
	must(err)
	t, err := l.takeOver(context.Background(), found, process{ID: "bench"}, DefaultSettings().RingSlots)
	if err != nil {
		b.Fatal(err)
	}
	return t
}

func numberedKey(number int) keyID {
	var id keyID
	binary.BigEndian.PutUint64(id[:], uint64(number)*0x9e3779b97f4a7c15)
	return id
}

// BenchmarkRetainedMemory measures an owner's memory per sealed key.
func BenchmarkRetainedMemory(b *testing.B) {
	const keys = 400_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable(keys)
		for i := range keys {
			t.applySealed(&entry{Key: numberedKey(i), State: stateDone, KeyTime: 1, Outcome: &Outcome{Status: 200}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(t)
	}
}

// BenchmarkDisagreeingViews gives the hosts member lists that disagree on which
// third of the other hosts is dead. It reports the highest epoch, that is the
// number of takeovers, of any shard.
func BenchmarkDisagreeingViews(b *testing.B) {
	for range b.N {
		settings := testSettings()
		settings.Shards = 16
		settings.HandoffDelay = 50 * time.Millisecond
		f := newFleet(b, 12, 1, settings)
		for i, n := range f.nodes {
			n.view.mu.Lock()
			for j := range n.view.members {
				if j != i && (i+j)%3 == 0 {
					n.view.members[j].State = host.Dead
				}
			}
			n.view.mu.Unlock()
		}
		for i := range 3000 {
			f.claimOnce(b, fmt.Sprint("key-", i))
		}
		taken := uint64(0)
		for _, n := range f.nodes {
			for _, sh := range n.shards {
				sh.mu.Lock()
				if sh.table != nil {
					taken = max(taken, sh.log.head.Epoch)
				}
				sh.mu.Unlock()
			}
		}
		b.ReportMetric(float64(taken), "most-takeovers/shard")
	}
}

// BenchmarkOwnerDeath measures how long no key of a shard can be claimed after its
// owner has died, both when calls to the dead host are refused and when they hang.
func BenchmarkOwnerDeath(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprint("silent=", silent), func(b *testing.B) { benchOwnerDeath(b, silent) })
	}
}

func benchOwnerDeath(b *testing.B, silent bool) {
	for range b.N {
		f := newFleet(b, 12, 1, Settings{HandoffDelay: time.Hour})
		f.store.setFaults(storeFaults{delay: 2 * time.Millisecond})
		k := key("first")
		owner := f.preferredOwner(k)
		shard := shardOf(hashKey(k), DefaultSettings().Shards)
		var asker *node
		for _, n := range f.nodes {
			if n != owner {
				asker = n
			}
		}
		asker.mustBegin(b, k, Digest{1})
		for _, n := range f.nodes {
			if n.shards[shard].owned() {
				owner = n
			}
		}
		f.network.mu.Lock()
		f.network.silent = silent
		f.network.mu.Unlock()
		f.kill(owner)
		again := key("second")
		for shardOf(hashKey(again), DefaultSettings().Shards) != shard {
			again.IdempotencyKey += "."
		}
		if asker == owner {
			asker = f.nodes[0]
		}
		started := time.Now()
		if d := asker.mustBegin(b, again, Digest{1}); d.Verdict != Run {
			b.Fatalf("verdict %v", d.Verdict)
		}
		b.ReportMetric(float64(time.Since(started).Milliseconds()), "outage-ms")
	}
}
