package staging

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// fakePeers answers calls between hosts. The first calls return the errors in
// fail.
type fakePeers struct {
	fail        []error
	partitioned bool // calls that check whether the peer is alive hang
	overloaded  bool // groups wait until their time is up
	asked       []netip.AddrPort
	probes      atomic.Int32 // calls that check whether the peer is alive
}

func (p *fakePeers) Call(ctx context.Context, peer netip.AddrPort, _ link.Method, in, out any) error {
	if _, isGroup := in.(Group); !isGroup {
		p.probes.Add(1)
		if p.partitioned {
			<-ctx.Done()
			return ctx.Err()
		}
		return link.ErrUnknownMethod
	}
	p.asked = append(p.asked, peer)
	if p.overloaded {
		<-ctx.Done()
		return ctx.Err()
	}
	if len(p.asked) <= len(p.fail) {
		return p.fail[len(p.asked)-1]
	}
	pieces := in.(Group).Pieces
	*out.(*gatherReply) = gatherReply{Results: make([]call.PieceResult, pieces)}
	return nil
}

// gatherWithFailures runs a group through a Runner whose first calls to the
// gatherers fail with the given errors.
func gatherWithFailures(t *testing.T, partitioned bool, fail ...error) (p *fakePeers, owners *ownership.Table, err error) {
	p = &fakePeers{fail: fail, partitioned: partitioned}
	r, service := newTestRunner(p)
	_, err = r.gather(t.Context(), Group{Service: service, RequestID: "r", Pieces: 2, Remaining: time.Second, RemainingToTarget: time.Second})
	return p, r.config.Owners, err
}

// newTestRunner returns a Runner among 12 hosts, and a service that another host gathers for.
func newTestRunner(p *fakePeers) (r *Runner, service string) {
	var fleet hosttest.Fleet
	for i := range 12 {
		info := host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))}
		fleet = append(fleet, host.Member{Info: info})
	}
	owners := ownership.New(fleet, time.Now())
	service = "pieces"
	for i := 0; ; i++ {
		if _, own := owners.Owner(service, time.Now()); !own {
			break
		}
		service = fmt.Sprint("pieces", i)
	}
	return &Runner{
		config:     RunnerConfig{Owners: owners, Caller: p, Logger: slog.New(slog.DiscardHandler)},
		queueWaits: make(map[string]queueWait),
	}, service
}

// A connection breaks while the gatherer is alive. The runner must ask the same
// gatherer again: a second one would run calls at the same time on the same
// servers.
func TestBrokenConnectionRetriesSameGatherer(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	p, _, err := gatherWithFailures(t, false, broken)
	require.NoError(t, err)
	require.Len(t, p.asked, 2)
	require.Equal(t, p.asked[0], p.asked[1])
}

// The connection breaks and the gatherer refuses new ones, as after its process
// was killed. The runner must ask the next owner.
func TestUnreachableGathererIsReplaced(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	refused := errs.Combine(link.ErrNotSent, errors.New("connection refused"))
	p, _, err := gatherWithFailures(t, false, broken, refused)
	require.NoError(t, err)
	require.Len(t, p.asked, 3)
	require.NotEqual(t, p.asked[1], p.asked[2])
}

// The connection breaks because of a network partition, so that a new
// connection would hang. The runner must ask the next owner before the group's
// time has passed.
func TestPartitionedGathererIsReplacedBeforeTimeout(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	begun := time.Now()
	p, _, err := gatherWithFailures(t, true, broken)
	require.NoError(t, err)
	require.Len(t, p.asked, 2)
	require.NotEqual(t, p.asked[0], p.asked[1])
	require.Less(t, time.Since(begun), time.Second)
}

// Groups wait at an overloaded gatherer until their time is up. Guards against hosts that then
// consider it, and the next owners, as failed: the service got several gatherers, which sent
// its servers small calls at the same time. A gatherer that does not respond at all is
// avoided.
func TestGathererIsNotReplacedForGroupsWhoseTimeIsUp(t *testing.T) {
	for name, responsive := range map[string]bool{"overloaded": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &fakePeers{overloaded: true, partitioned: !responsive}
			r, service := newTestRunner(p)
			before, _ := r.config.Owners.Owner(service, time.Now())
			results, err := r.gather(t.Context(), Group{Service: service, RequestID: "r", Pieces: 2, Remaining: 20 * time.Millisecond})
			require.NoError(t, err)
			require.Equal(t, call.PieceDeadlineExceeded, failure(results))
			require.Len(t, p.asked, 1, "gatherers that were asked")
			replaced := func() bool {
				owner, _ := r.config.Owners.Owner(service, time.Now())
				return owner.ID != before.ID
			}
			if responsive {
				require.Never(t, replaced, 300*time.Millisecond, 20*time.Millisecond)
			} else {
				require.Eventually(t, replaced, 5*time.Second, 10*time.Millisecond)
			}
		})
	}
}

// Many groups' time is up at the same moment. Guards against a probe for each of them: they load
// a gatherer that is overloaded already, and a single late response makes a host avoid it.
func TestGroupsWhoseTimeIsUpShareAProbe(t *testing.T) {
	t.Parallel()
	p := &fakePeers{partitioned: true}
	r, service := newTestRunner(p)
	owner, _ := r.config.Owners.Owner(service, time.Now())
	var groups sync.WaitGroup
	for range 50 {
		groups.Go(func() { r.avoidIfUnresponsive(t.Context(), owner) })
	}
	groups.Wait()
	require.LessOrEqual(t, p.probes.Load(), int32(2), "one, and one more for groups that were late")
	next, _ := r.config.Owners.Owner(service, time.Now())
	require.NotEqual(t, owner.ID, next.ID)
}
