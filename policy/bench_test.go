package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// BenchmarkDecision measures a request with one stage from admission to its
// end, by the number of upstreams and of queued calls.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			benchmarkDecision(b, n, 0)
		})
	}
	for _, queued := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			benchmarkDecision(b, 20, queued)
		})
	}
}

func benchmarkDecision(b *testing.B, upstreams, queued int) {
	doc := testDoc(document.KindGenerate, 8)
	s := Defaults()
	s.Admission = queued == 0
	c := newTestCore(s, doc, upstreams, 1)
	class := document.Class{Name: "c", Priority: 1}
	enqueue := func(i int) *Request {
		a := testArrival(doc, fmt.Sprint(i), fmt.Sprint(i%50), class)
		a.Prefix = []uint64{uint64(i % 100)}
		r, refusal := c.Admit(epoch, a)
		if refusal != nil {
			b.Fatal(refusal)
		}
		if _, refusal := c.Enqueue(epoch, r, 0, nil); refusal != nil {
			b.Fatal(refusal)
		}
		return r
	}
	var running []*Attempt
	for i := 0; queued > 0 && c.Status()[0].Queued < queued; i++ {
		enqueue(i)
		running = append(running, c.Grant(epoch, testPool).Started...)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		enqueue(i)
		running = append(running, c.Grant(now, testPool).Started...)
		a := running[0]
		running = running[1:]
		c.Complete(now, a, Outcome{})
		c.Finish(now, a.Call.Request, Result{Complete: true, InTime: true})
		running = append(running, c.Grant(now, testPool).Started...)
	}
}

// BenchmarkObserve measures the update of a pool's state, which runs ten times
// a second.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := newTestCore(Defaults(), testDoc(document.KindGenerate, 8), n, 1)
			p := c.pools[testPool]
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
				c.Observe(now, testPool, Observation{Upstreams: p.observed, Hosts: 12})
			}
		})
	}
}
