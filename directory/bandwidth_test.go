package directory

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

// segmentBytes is how much of one transfer may wait in a link at a time.
const segmentBytes = 32 << 10

// testLink is one direction of a host's link, which its transfers share.
type testLink struct {
	bytesPerSecond float64
	mu             sync.Mutex // guards busyUntil
	busyUntil      time.Time
}

func newTestLink(megabits float64) *testLink {
	if megabits == 0 {
		return nil
	}
	return &testLink{bytesPerSecond: megabits * 1e6 / 8}
}

// pass returns once n bytes have passed.
func (l *testLink) pass(ctx context.Context, n int) error { return passBoth(ctx, l, nil, n) }

// passBoth returns once n bytes have passed two links, one after the other.
func passBoth(ctx context.Context, first, second *testLink, n int) error {
	for ; n > 0; n -= segmentBytes {
		for _, l := range []*testLink{first, second} {
			if l == nil {
				continue
			}
			if err := sleep.For(ctx, l.queue(min(n, segmentBytes))); err != nil {
				return err
			}
		}
	}
	return nil
}

// queue puts bytes into the link's queue and returns how long they take.
func (l *testLink) queue(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.busyUntil.Sub(now)
}

// versionedFormat decodes configurations that begin with their version.
type versionedFormat struct {
	testFormat
	decodeTime time.Duration
}

func (f versionedFormat) DecodeConfig(raw []byte) (c routing.Config, err error) {
	time.Sleep(f.decodeTime)
	_, err = fmt.Fscan(strings.NewReader(string(raw[:min(len(raw), 32)])), &c.Version)
	return c, err
}

// putConfig records a version of the configuration.
func (s *testStore) putConfig(version int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, Item{Key: "config", Value: fmt.Appendf(nil, "%d %s", version, body), Era: s.era, Revision: int64(len(s.items) + 1)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// manyRoutes returns the text of routes like those of a configuration.
func manyRoutes(n int) string {
	var all strings.Builder
	random := rand.New(rand.NewSource(1))
	for range n {
		_, _ = fmt.Fprintf(&all, `"r-%07x":{"host":"h%d.example","prefix":"/p%d/q%d/","service":"s","type":"unsafe","max_attempts":3,"timeout_ms":1500,"goal_ms":200,"priority":1},`,
			random.Int31(), random.Intn(99), random.Intn(999), random.Intn(99))
	}
	return all.String()
}

// noise returns text that can't be compressed.
func noise(bytes int) string {
	random := make([]byte, bytes)
	_, _ = rand.New(rand.NewSource(1)).Read(random)
	return string(random)
}

// countBehind counts the hosts whose configuration is older than a version.
func (f *testFleet) countBehind(version int) (count int) {
	for _, h := range f.hosts {
		if current := h.Routes(); current == nil || current.Version() < routing.Version(version) {
			count++
		}
	}
	return count
}

// links returns the bandwidths of a fleet in Mbit/s.
func links(wide, narrow int) (all []float64) {
	for range wide {
		all = append(all, 200)
	}
	for range narrow {
		all = append(all, 10)
	}
	return all
}

// Guards against requests to upstreams that have left, and to routes and keys that were taken
// away, while configurations are sent that are large for the hosts' links.
func TestChangesArriveInTimeBesideLargeConfigurations(t *testing.T) {
	const versions, interval = 8, 500 * time.Millisecond
	for name, c := range map[string]struct {
		links    []float64
		body     string
		formerOf int
		decode   time.Duration
	}{
		"most links narrow":              {links: links(10, 110), body: manyRoutes(2850)},
		"all links narrow":               {links: links(0, 60), body: manyRoutes(2850)},
		"small fleet":                    {links: links(0, 12), body: manyRoutes(1450)},
		"body that can't be compressed":  {links: links(10, 110), body: noise(200 << 10)},
		"small body, most links narrow":  {links: links(10, 110), body: manyRoutes(50)},
		"large body, all links are wide": {links: links(60, 0), body: manyRoutes(2850)},
		"slow processors":                {links: links(0, 60), body: manyRoutes(1450), decode: 450 * time.Millisecond},
		"every second host is former":    {links: links(10, 50), body: manyRoutes(100), formerOf: 2},
		"every fifth host is former":     {links: links(10, 50), body: manyRoutes(100), formerOf: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(t, c.links, versionedFormat{decodeTime: c.decode}, c.formerOf)
				var checks sync.WaitGroup
				wrong, behind := make([]int, versions), make([]int, versions)
				for v := range versions {
					id := fmt.Sprint("u", v)
					f.store.putConfig(v+1, c.body)
					f.store.put("up/"+id, instance.Entry{Service: "s", Leaving: true}, v%2 == 1)
					checks.Go(func() {
						time.Sleep(testMaxDelay)
						wrong[v], behind[v] = f.countWrong(instance.ID(id), false), f.countBehind(v+1)
					})
					time.Sleep(interval)
				}
				checks.Wait()
				require.Equal(t, make([]int, versions), wrong, "hosts that would ask each of the upstreams that have left")
				require.Equal(t, make([]int, versions), behind, "hosts with an older configuration than each version")
			})
		})
	}
}

// Guards against an answer of the store that is asked for again, and takes the link twice, because
// it takes long to arrive.
func TestLargeAnswerIsAskedForOnce(t *testing.T) {
	for phase := time.Duration(0); phase < smallFleetWatchWait; phase += 300 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newLinkedFleet(t, links(0, 1), versionedFormat{}, 0).hosts[0]
				time.Sleep(phase)
				h.store.putConfig(1, manyRoutes(2850))
				synctest.Wait()
				calls := func() int {
					h.store.mu.Lock()
					defer h.store.mu.Unlock()
					return h.store.calls
				}
				before := calls()
				time.Sleep(400 * time.Millisecond)
				require.Nil(t, h.Routes(), "the answer arrives")
				require.Equal(t, before, calls())
				time.Sleep(200 * time.Millisecond)
				require.NotNil(t, h.Routes())
			})
		})
	}
}
