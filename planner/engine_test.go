package planner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/standin/model"
)

// Sends orders over HTTP to an engine that checks fencing numbers, which must
// refuse a stale one, and to an engine that ignores them.
func TestOrdersOverHTTP(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		cfg := model.EngineConfig{Models: []model.EngineModel{{Name: "m", Version: "1"}}, ChecksFencing: checksFencing}
		standin, err := model.StartEngine(cfg)
		require.NoError(t, err)
		client := &http.Client{}
		engine := NewHTTPEngine("e", standin.URL(), client)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		state, err := engine.State(ctx)
		require.NoError(t, err)
		require.Equal(t, []EngineModel{{Name: "m", Version: "1", State: stateReady}}, state.Models)
		want := []EngineModel{{Name: "m", Version: "2", Adapters: []string{"a"}}}
		_, err = engine.Order(ctx, Order{Fencing: 7, Models: want})
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			state, err = engine.State(ctx)
			held, ok := state.model("m")
			return err == nil && ok && held.sameWeights(want[0]) && held.State == stateReady
		}, 5*time.Second, 10*time.Millisecond)
		require.EqualValues(t, 7, state.Fencing)
		_, err = engine.Order(ctx, Order{Fencing: 6, Models: []EngineModel{{Name: "m", Version: "1"}}})
		if checksFencing {
			require.ErrorIs(t, err, ErrStaleOrder)
		} else {
			require.NoError(t, err)
		}
		standin.Stop()
		_, err = engine.State(ctx)
		require.Error(t, err)
		require.True(t, Error.Has(err))
		client.CloseIdleConnections()
		cancel()
	}
}
