package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/workload"
)

var workNow = time.Unix(1000, 0)

// workNeed returns a need with the reports of some upstreams, which are as old as age.
func workNeed(age time.Duration, reports map[instance.ID]call.Load) balance.Need {
	table := workload.NewTable(nil)
	for id, load := range reports {
		table.Report(instance.Entry{ID: id, Service: "s"}, load, workNow.Add(-age))
	}
	return balance.Need{PreferredDataCentre: "a", Work: balance.Work{Table: table, Now: workNow}}
}

// Guards against an upstream that is loaded or slow and gets as much as the others, and
// against one that reports nothing and gets more than those that are known.
func TestReportedWorkDecides(t *testing.T) {
	idle := call.Load{Running: 1, Slots: 6, Pace: 1}
	for condition, load := range map[string]call.Load{
		"loaded":  {Running: 6, Waiting: 6, Slots: 6, Pace: 1},
		"slow":    {Running: 1, Slots: 6, Pace: 2.5},
		"both":    {Running: 6, Waiting: 3, Slots: 6, Pace: 2.5},
		"unknown": {},
	} {
		reports := map[instance.ID]call.Load{"better": idle, "worse": load}
		if condition == "unknown" {
			delete(reports, "worse")
		}
		counts := countChoices([]instance.Status{status("worse", nil), status("better", nil)}, workNeed(0, reports))
		require.Less(t, counts["worse"], 250, condition)
		require.Positive(t, counts["worse"], condition+": it is tried, or nothing new is learned of it")
	}
}

// Guards against an old report that still keeps requests away, and against upstreams without
// reports that are not chosen as before.
func TestOldReportsDoNotDecide(t *testing.T) {
	old := workNeed(10*time.Second, map[instance.ID]call.Load{"x": {Running: 6, Waiting: 60, Slots: 6, Pace: 2.5}, "y": {Slots: 6, Pace: 1}})
	require.InDelta(t, 500, countChoices([]instance.Status{status("x", nil), status("y", nil)}, old)["x"], 100)
	none := workNeed(0, nil)
	without := balance.Need{PreferredDataCentre: "a"}
	all := []instance.Status{status("x", func(s *instance.Status) { s.Latency *= 3 }), status("y", nil)}
	require.Equal(t, countChoices(all, without), countChoices(all, none))
}

// Guards against failing upstreams and those of other data centres that are chosen because
// they report little work.
func TestErrorsAndDataCentresStillCount(t *testing.T) {
	reports := map[instance.ID]call.Load{"worse": {Slots: 6, Pace: 1}, "better": {Slots: 6, Pace: 1}}
	failing := countChoices([]instance.Status{status("worse", func(s *instance.Status) { s.ErrorRate = 0.4 }), status("better", nil)}, workNeed(0, reports))
	require.Less(t, failing["worse"], 50)
	far := countChoices([]instance.Status{status("worse", func(s *instance.Status) { s.DataCentre = "b" }), status("better", nil)}, workNeed(0, reports))
	require.InDelta(t, 200, far["worse"], 50)
	nearIsLoaded := workNeed(0, map[instance.ID]call.Load{"worse": {Slots: 6, Pace: 1}, "better": {Running: 6, Waiting: 6, Slots: 6, Pace: 2}})
	far = countChoices([]instance.Status{status("worse", func(s *instance.Status) { s.DataCentre = "b" }), status("better", nil)}, nearIsLoaded)
	require.Greater(t, far["worse"], 900, "the near one is loaded and slow")
}

// The load is 144 hosts that send a request every 100 ms each to 6 upstreams of pace 0.6 to 2.4,
// 0.7 of their capacity, and know only what their own answers reported. Guards against hosts that all take
// the upstream that was best at the last report: the queue of the most loaded one stays short.
func TestManyHostsDoNotHerd(t *testing.T) {
	const hosts, slots, ticks = 144, 40, 3000 // of 1 ms
	random := rand.New(rand.NewPCG(3, 4))
	paces := []float64{0.6, 0.8, 1, 1, 1.6, 2.4}
	var upstreams []instance.Status
	queues := make([][]int, len(paces)) // hosts of the requests
	for i := range paces {
		upstreams = append(upstreams, status(fmt.Sprint("u", i), func(s *instance.Status) { s.Slots = slots }))
	}
	tables := make([]*workload.Table, hosts)
	for i := range tables {
		tables[i] = workload.NewTable(nil)
	}
	most, served := 0, make([]int, len(paces))
	for tick := range ticks {
		now := workNow.Add(time.Duration(tick) * time.Millisecond)
		for host := range hosts {
			if random.IntN(100) > 0 {
				continue
			}
			chosen, _ := balance.ChooseUpstream(upstreams, balance.Need{PreferredDataCentre: "a", Work: balance.Work{Table: tables[host], Now: now}}, random)
			u := int(chosen.ID[1] - '0')
			queues[u] = append(queues[u], host)
		}
		for u, pace := range paces {
			// A request takes 120 ms at pace 1.
			done := min(len(queues[u]), slots)
			for range done {
				if random.Float64() >= 1/(120*pace) {
					continue
				}
				host := queues[u][0]
				queues[u] = queues[u][1:]
				served[u]++
				n := len(queues[u])
				tables[host].Report(upstreams[u].Entry, call.Load{Running: min(n, slots), Waiting: max(n-slots, 0), Slots: slots, Pace: pace}, now)
			}
			if tick > 500 {
				most = max(most, len(queues[u]))
			}
		}
	}
	t.Log(served, most)
	require.Less(t, most, 2*slots, "requests at one upstream")
	require.Greater(t, served[0], served[5]*5/4, "the fastest gets more than the slowest")
}
