package weights_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenaseam/galenaseam/infra/weights"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	standin "github.com/galenaseam/galenaseam/internal/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestBusyStoreReturnsRetryAfter keeps the only allowed download open and starts
// another one, which must fail with the store's Retry-After. Any other failure
// must not be a BusyError.
func TestBusyStoreReturnsRetryAfter(t *testing.T) {
	const size = 256 << 10
	store, err := standin.Start(standin.Config{ModelBytes: size, BytesPerSecond: 64 << 10, MaxDownloads: 1})
	require.NoError(t, err)
	t.Cleanup(store.Stop)
	client, err := weights.New(weights.Config{URL: store.URL()})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	ctx := t.Context()

	got, err := client.Size(ctx, "assistant", "3")
	require.NoError(t, err)
	require.EqualValues(t, size, got)

	held, err := client.Fetch(ctx, "assistant", "3")
	require.NoError(t, err)
	_, err = io.ReadFull(held, make([]byte, 1))
	require.NoError(t, err)
	_, err = client.Fetch(ctx, "assistant", "3")
	var busy *weights.BusyError
	require.True(t, errors.As(err, &busy), "%v", err)
	require.Equal(t, time.Second, busy.RetryAfter)
	require.NoError(t, held.Close())

	store.Fault(fault.Fault{Kind: fault.Refuse, Count: 1})
	_, err = client.Fetch(ctx, "assistant", "3")
	require.Error(t, err)
	require.False(t, errors.As(err, &busy))
}
