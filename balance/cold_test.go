package balance_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/instance"
)

// A host that can't ask the owner chooses by itself. Guards against a cold engine as long as
// there is a warm one, also as the home of a prompt, and against none at all if all are cold.
func TestColdEngineIsChosenOnlyIfAllAreCold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	all := []instance.Status{{Entry: instance.Entry{ID: "a"}, Cold: true}, {Entry: instance.Entry{ID: "b"}, Tokens: 90_000}, {Entry: instance.Entry{ID: "c"}, Cold: true}}
	for prefix := range uint64(50) {
		got, found := balance.ChooseEngine(all, balance.Need{Prefix: prefix}, random)
		require.True(t, found)
		require.Equal(t, instance.ID("b"), got.ID)
	}
	got, found := balance.ChooseEngine(all, balance.Need{Tried: []instance.ID{"a", "b"}}, random)
	require.True(t, found)
	require.Equal(t, instance.ID("c"), got.ID)
}
