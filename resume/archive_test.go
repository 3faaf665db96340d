package resume

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// archiveFleet is hosts of which the first is the archivist, and their store.
type archiveFleet struct {
	hosts []*Keeper
	muxes []handlers

	mu     sync.Mutex // guards the fields below
	values map[string][]byte
	writes int
	mixed  bool
	down   bool
}

func newArchiveFleet(t *testing.T, size int) *archiveFleet {
	f := &archiveFleet{values: make(map[string][]byte), mixed: true}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range size {
		mux := make(handlers)
		f.muxes = append(f.muxes, mux)
		k := New(Config{
			Fleet: members(1), Caller: f, Logger: slog.New(slog.DiscardHandler), Archive: &ArchiveConfig{
				Self:      host.ID(fmt.Sprint("h", i)),
				Archivist: func(time.Time) (host.Info, bool) { return host.Info{}, i == 0 },
				IsMixed:   func(string) bool { return f.isMixed() }, Write: f.write,
			},
		}, mux)
		f.hosts = append(f.hosts, k)
		running.Go(func() { _ = k.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	return f
}

func (f *archiveFleet) isMixed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mixed
}

func (f *archiveFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Call passes the call on to the archivist.
func (f *archiveFleet) Call(ctx context.Context, _ netip.AddrPort, method link.Method, in, _ any) error {
	_, err := f.muxes[0][method](ctx, func(into any) error {
		*into.(*[]Record) = in.([]Record)
		return nil
	})
	return err
}

func (f *archiveFleet) write(_ context.Context, key string, value []byte, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down {
		return errors.New("the store is down")
	}
	f.values[key] = value
	return nil
}

// restarted returns a host that has read the store and knows nothing else.
func (f *archiveFleet) restarted() *Keeper {
	k := New(Config{Fleet: members(1), Logger: slog.New(slog.DiscardHandler)}, make(handlers))
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, value := range f.values {
		k.OnArchived(key, value, time.Now())
	}
	return k
}

// Guards against the refusal of every stream that is taken up after all hosts have lost
// power while two versions serve.
func TestVersionsOfStreamsOutliveAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newArchiveFleet(t, 3)
		f.set(func() { f.mixed = false })
		f.hosts[1].Store(record("before"))
		time.Sleep(5 * time.Second)
		require.Zero(t, f.writes, "one version serves")
		f.set(func() { f.mixed = true })
		for i := range 600 {
			f.hosts[i%3].Store(record(fmt.Sprint("a", i)))
		}
		time.Sleep(collectInterval + 2*writeInterval)
		synctest.Wait()
		require.LessOrEqual(t, f.writes, 3, "one host writes for all")
		k := f.restarted()
		for i := range 600 {
			got := k.Lookup(t.Context(), fmt.Sprint("a", i))
			require.True(t, got.Known, i)
			require.Equal(t, "v1", got.Version)
		}
		require.True(t, k.Lookup(t.Context(), "before").Known, "it began before the second version came")
	})
}

// Guards against records that are lost in an outage of the store, and against those that wait
// without end.
func TestRecordsWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newArchiveFleet(t, 1)
		f.set(func() { f.down = true })
		f.hosts[0].Store(record("a"))
		f.hosts[0].Store(record(strings.Repeat("a", maxArchivedID+1)))
		time.Sleep(4 * writeInterval)
		f.set(func() { f.down = false })
		time.Sleep(2 * writeInterval)
		synctest.Wait()
		require.True(t, f.restarted().Lookup(t.Context(), "a").Known)
		f.set(func() { f.down = true })
		f.hosts[0].Store(record("b"))
		time.Sleep(2 * maxWriteFailures * writeInterval)
		synctest.Wait()
		f.set(func() { f.writes = 0 })
		time.Sleep(5 * writeInterval)
		require.Zero(t, f.writes)
	})
}

func TestUnreadableValuesOfTheStoreAreIgnored(t *testing.T) {
	k := New(Config{Fleet: members(1), Logger: slog.New(slog.DiscardHandler)}, make(handlers))
	k.OnArchived("streams/x/1", []byte("no records"), time.Now())
	k.OnArchived("quarantine/x", nil, time.Now())
	require.Zero(t, k.records.records.Len())
}
