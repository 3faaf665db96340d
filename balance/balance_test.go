package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/instance"
)

func status(id string, change func(*instance.Status)) instance.Status {
	s := instance.Status{Entry: instance.Entry{ID: instance.ID(id), Slots: 6, DataCentre: "a"}, Latency: 15 * time.Millisecond}
	if change != nil {
		change(&s)
	}
	return s
}

func countChoices(all []instance.Status, need balance.Need) map[instance.ID]int {
	random, counts := rand.New(rand.NewPCG(1, 2)), map[instance.ID]int{}
	for range 1000 {
		if s, found := balance.ChooseUpstream(all, need, random); found {
			counts[s.ID]++
		}
	}
	return counts
}

func TestEqualUpstreamsShareTheWork(t *testing.T) {
	for id, n := range countChoices([]instance.Status{status("x", nil), status("y", nil), status("z", nil)}, balance.Need{PreferredDataCentre: "a"}) {
		require.InDelta(t, 333, n, 70, id)
	}
}

func TestSlowFailingAndBusyUpstreamsGetLess(t *testing.T) {
	for condition, change := range map[string]func(*instance.Status){
		"slow":    func(s *instance.Status) { s.Latency *= 5 },
		"failing": func(s *instance.Status) { s.ErrorRate = 0.4 },
		"busy":    func(s *instance.Status) { s.InFlight = 6 },
		"ejected": func(s *instance.Status) { s.Ejected = true },
		"far":     func(s *instance.Status) { s.DataCentre = "b" },
	} {
		counts := countChoices([]instance.Status{status("worse", change), status("better", nil)}, balance.Need{PreferredDataCentre: "a"})
		require.Less(t, counts["worse"], 50, condition)
	}
}

// An upstream that had not answered yet got no requests beside one that answers faster
// than the default latency.
func TestUpstreamWithoutAnAnswerGetsRequests(t *testing.T) {
	for _, known := range []time.Duration{time.Millisecond, 15 * time.Millisecond, time.Second} {
		counts := countChoices([]instance.Status{
			status("new", func(s *instance.Status) { s.Latency = 0 }), status("known", func(s *instance.Status) { s.Latency = known }),
		}, balance.Need{PreferredDataCentre: "a"})
		require.InDelta(t, 500, counts["new"], 100, known)
	}
}

func TestTriedUpstreamsAreNeverChosenAndEjectedOnesLast(t *testing.T) {
	all := []instance.Status{status("x", nil), status("y", func(s *instance.Status) { s.Ejected = true })}
	require.Equal(t, map[instance.ID]int{"y": 1000}, countChoices(all, balance.Need{Tried: []instance.ID{"x"}}))
	require.Empty(t, countChoices(all, balance.Need{Tried: []instance.ID{"x", "y"}}))
}

// Guards against a stream that goes on at another software version.
func TestOnlyUpstreamsOfTheRequiredVersionAreChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	all := []instance.Status{
		status("x", func(s *instance.Status) { s.Version, s.InFlight, s.Ejected = "v1", 6, true }),
		status("y", func(s *instance.Status) { s.Version = "v2" }),
	}
	require.Equal(t, map[instance.ID]int{"x": 1000}, countChoices(all, balance.Need{Version: "v1"}))
	require.Empty(t, countChoices(all, balance.Need{Version: "v3"}))
	require.Empty(t, countChoices(all, balance.Need{Version: "v1", Tried: []instance.ID{"x"}}))
	engine, found := balance.ChooseEngine(all, balance.Need{Version: "v1", Prefix: 42}, random)
	require.True(t, found)
	require.Equal(t, instance.ID("x"), engine.ID)
	_, found = balance.ChooseEngine(all, balance.Need{Version: "v3"}, random)
	require.False(t, found)
}

// Prompts with the same prefix go to the same engine, until it is overloaded.
func TestEngineFollowsThePrefixUnlessOverloaded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	all := []instance.Status{status("x", nil), status("y", nil), status("z", nil)}
	first, found := balance.ChooseEngine(all, balance.Need{Prefix: 42}, random)
	require.True(t, found)
	for range 20 {
		again, _ := balance.ChooseEngine(all, balance.Need{Prefix: 42}, random)
		require.Equal(t, first.ID, again.ID)
	}
	for i := range all {
		if all[i].ID == first.ID {
			all[i].Tokens = 1_000_000
		}
	}
	other, _ := balance.ChooseEngine(all, balance.Need{Prefix: 42}, random)
	require.NotEqual(t, first.ID, other.ID)
}
