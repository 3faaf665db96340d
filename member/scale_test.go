package member

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/stretchr/testify/require"
)

// Churn and layout of the large fleet that the benchmarks model: 2,300 hosts with
// 3,388 restarts and 10,000 generations a day.
const (
	restartsPerHostSecond    = 3388.0 / 2300 / 86400
	generationsPerSecond     = 10000.0 / 86400
	smallFactsPerSecond      = 0.5
	centresOfLargeFleet      = 14
	regionsOfLargeFleet      = 6
	hostsToUseSeveralCentres = 64
)

// introduceAll makes every host know every other, as in a converged fleet.
func (n *network) introduceAll() {
	for _, h := range n.nodes {
		for _, other := range n.nodes {
			if other != h {
				h.addPeer(other.self)
			}
		}
	}
}

// BenchmarkFleet measures the traffic, CPU time and memory of a host in fleets of
// several sizes. Restarts scale with the size; generations and facts come at the
// rates of the large fleet.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{12, 100, 300, 600, 1200, 2300} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size, 30*time.Second)
			}
		})
	}
}

// largeNetwork returns a fleet in which every host knows every other.
func largeNetwork(t testing.TB, size int) *network {
	n := newNetwork(t, 1)
	n.skipDeathChecks = true
	for i := range size {
		centre := "a"
		if size > hostsToUseSeveralCentres {
			number := i % centresOfLargeFleet
			centre = fmt.Sprintf("%c%d", 'a'+number%regionsOfLargeFleet, number)
		}
		n.add(centre)
	}
	n.introduceAll()
	return n
}

func measureFleet(b *testing.B, size int, span time.Duration) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n := largeNetwork(b, size)
	n.run(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for _, h := range n.nodes {
		h.sent, h.received = 0, 0
	}
	began := time.Now()
	n.runWithChurn(span)
	took := time.Since(began)
	n.report(b, size, span, took)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size)/1e3, "kB/host")
}

// runWithChurn runs the network with restarts, new generations and facts.
func (n *network) runWithChurn(span time.Duration) {
	var deaths, generations, facts float64
	generation := uint64(1)
	for end := n.now.Add(span); n.now.Before(end); n.run(testStep) {
		deaths += restartsPerHostSecond * float64(len(n.nodes)) * testStep.Seconds()
		generations += generationsPerSecond * testStep.Seconds()
		facts += smallFactsPerSecond * testStep.Seconds()
		if deaths >= 1 {
			deaths--
			n.nodes[n.rand.IntN(len(n.nodes))].dead = true
			n.add("a0")
		}
		if generations >= 1 {
			generations--
			generation++
			n.nodes[n.rand.IntN(len(n.nodes))].setGeneration(n.now, generation)
		}
		if facts >= 1 {
			facts--
			h := n.nodes[n.rand.IntN(len(n.nodes))]
			require.NoError(n.t, h.publish(n.now, "upstream", "10.0.0.1:8000", []byte{1}))
		}
		for _, h := range n.nodes {
			h.setGeneration(n.now, h.newestGeneration)
		}
	}
}

func (n *network) report(b *testing.B, size int, span, took time.Duration) {
	var rates []float64
	for _, h := range n.nodes[:size] {
		if !h.dead {
			rates = append(rates, float64(h.sent+h.received)/span.Seconds())
		}
	}
	slices.Sort(rates)
	total := 0.0
	for _, r := range rates {
		total += r
	}
	b.ReportMetric(total/float64(len(rates)), "B/s-mean")
	b.ReportMetric(rates[len(rates)-1], "B/s-max")
	b.ReportMetric(100*took.Seconds()/span.Seconds()/float64(size), "core%/host")
}

// BenchmarkDetection measures how long it takes until all hosts know of a death.
func BenchmarkDetection(b *testing.B) {
	for _, loss := range []float64{0, 0.2} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			for b.Loop() {
				measureDetection(b, loss)
			}
		})
	}
}

func measureDetection(b *testing.B, loss float64) {
	var times []float64
	wrong := 0
	for seed := range uint64(40) {
		n := newTwelveHostNetwork(b, seed)
		n.loss = loss
		n.run(10 * time.Second)
		victim := n.nodes[seed%12]
		victim.dead = true
		took := n.await(time.Minute, func() bool { return n.countViews(victim, host.Dead) == 11 }, "found")
		times = append(times, took.Seconds())
		wrong += len(n.falseDeaths)
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "s-median")
	b.ReportMetric(times[len(times)-1], "s-max")
	b.ReportMetric(float64(wrong), "wrong-deaths")
}

// BenchmarkJoin measures the bytes and the time that a host needs to join a fleet
// of 2,300.
func BenchmarkJoin(b *testing.B) {
	const size = 2300
	for b.Loop() {
		n := newNetwork(b, 1)
		n.skipDeathChecks = true
		old := n.add("a0")
		for i := range size - 1 {
			info := old.self.Info
			info.ID = host.ID(fmt.Sprintf("other-%05d", i))
			info.Place.DataCentre = host.DataCentre(fmt.Sprintf("dc-%02d", i%centresOfLargeFleet))
			old.addPeer(record{Info: info, Incarnation: 1})
		}
		joiner := n.add("a0")
		took := n.await(time.Minute, func() bool { return len(joiner.peers) == size }, "the new host knows all")
		b.ReportMetric(float64(joiner.received)/1e3, "kB")
		b.ReportMetric(took.Seconds(), "s")
	}
}

// BenchmarkSpread measures how long a short fact takes to reach the hosts of
// fleets of several sizes, with some of the datagrams lost.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{12, 100, 600, 1200} {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", size, loss), func(b *testing.B) {
				for b.Loop() {
					measureSpread(b, size, loss)
				}
			})
		}
	}
}

func measureSpread(b *testing.B, size int, loss float64) {
	n := largeNetwork(b, size)
	n.loss = loss
	n.run(3 * time.Second)
	const facts = 10
	for i := range facts {
		require.NoError(b, n.nodes[i].publish(n.now, "upstream", fmt.Sprint(i), []byte{1}))
	}
	reached := func() float64 {
		count := 0
		for _, h := range n.nodes {
			count += len(h.core.facts.byKey)
		}
		return float64(count) / float64(size*facts)
	}
	began := n.now
	for _, share := range []float64{0.5, 0.99, 1} {
		for reached() < share && n.now.Sub(began) < time.Minute {
			n.run(testStep)
		}
		b.ReportMetric(n.now.Sub(began).Seconds(), fmt.Sprintf("s-to-%v", share))
	}
}
