package staging

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// freeingCaller frees results at once and makes no other calls.
type freeingCaller struct{ Caller }

func (freeingCaller) FreeResults(context.Context, []string) error { return nil }

func benchGroup(i int) Group {
	return Group{
		Service: "pieces", Pieces: 3, Priority: i % 3, ResultBytes: 60e3,
		Remaining: time.Hour, RemainingToTarget: time.Duration(i*7919%2000) * time.Millisecond,
	}
}

// newLongQueue returns a gatherer with 1,000 groups of three classes queued at 20 servers that
// are all busy and hold 1,700 results.
func newLongQueue(now time.Time) (*Gatherer, *serviceState) {
	table := instance.NewTable(nil)
	g := NewGatherer(GathererConfig{
		Servers: table, Caller: freeingCaller{}, Logger: slog.New(slog.DiscardHandler),
		Service: func(string) (*routing.Service, bool) { return &routing.Service{Stages: testSpec}, true },
	})
	s := g.service("pieces")
	s.pieceRate.rate, s.byteRate.rate = 1000, 1e9
	for i := range 20 {
		id := instance.ID(fmt.Sprint("s", i))
		table.Put(instance.Entry{ID: id, Service: "pieces", Revision: 1})
		s.running[id] = 1
	}
	for i := range 1000 {
		s.queue.push(newWorkItem(benchGroup(i), now, nil))
	}
	for i := range 1700 {
		s.memory.commit(fmt.Sprint(i), "s0", 60e3, now, time.Hour)
	}
	return g, s
}

// What an arriving group costs under the gatherer's lock.
func BenchmarkArrivalAtLongQueue(b *testing.B) {
	now := time.Now()
	g, s := newLongQueue(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := newWorkItem(benchGroup(i), now, nil)
		s.canMeetDeadline(w, testSpec, now)
		s.queue.waiting[i%1000] = w
		g.dispatch(s, now)
		g.Waits("pieces", now)
	}
}

// What freed results cost, which happens up to 200 times a second.
func BenchmarkFreeAtLongQueue(b *testing.B) {
	g, _ := newLongQueue(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		g.pendingFrees = []string{"x"}
		g.sendFrees()
	}
}
