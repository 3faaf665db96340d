package staging

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// What an arriving group costs under the gatherer's lock with 1,000 groups of three classes
// queued at 20 servers that are all busy.
func BenchmarkArrivalAtLongQueue(b *testing.B) {
	now := time.Now()
	table := instance.NewTable(nil)
	for i := range 20 {
		table.Put(instance.Entry{ID: instance.ID(fmt.Sprint("s", i)), Service: "pieces", Revision: 1})
	}
	g := NewGatherer(GathererConfig{Servers: table, Logger: slog.New(slog.DiscardHandler), Service: func(string) (*routing.Service, bool) {
		return &routing.Service{Stages: testSpec}, true
	}})
	s := g.service("pieces")
	s.pieceRate.rate, s.byteRate.rate = 1000, 1e9
	for i := range 20 {
		s.running[instance.ID(fmt.Sprint("s", i))] = 1
	}
	group := func(i int) Group {
		return Group{Service: "pieces", Pieces: 3, Priority: i % 3, ResultBytes: 60e3, Remaining: time.Hour, RemainingToTarget: time.Duration(i*7919%2000) * time.Millisecond}
	}
	for i := range 1000 {
		s.queue.push(newWorkItem(group(i), now, nil))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := newWorkItem(group(i), now, nil)
		s.canMeetDeadline(w, testSpec, now)
		s.queue.waiting[i%1000] = w
		g.dispatch(s, now)
		g.Waits("pieces", now)
	}
}
