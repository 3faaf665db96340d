package directory

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
)

// teller is what another host does when it is asked for last states.
type teller func(ctx context.Context) (lastStatesAnswer, error)

// tellingFleet are tellers as the hosts at ports 0, 1, … of one address.
type tellingFleet []teller

func (f tellingFleet) Call(ctx context.Context, peer netip.AddrPort, _ link.Method, _, out any) error {
	answer, err := f[peer.Port()](ctx)
	*out.(*lastStatesAnswer) = answer
	return err
}

// Guards against a host that started after an upstream had left and uses it because the copy,
// from which the store came back, lists it; and against one that is held up by other hosts that
// can't tell it. The copy is this host's first listing, a later one, or one that it reads after
// another host's answer, which lacks the upstream, has brought it into the new era.
func TestNewHostLearnsFromOthersWhatTheCopyDoesNotTell(t *testing.T) {
	tell := func(a lastStatesAnswer) teller {
		return func(context.Context) (lastStatesAnswer, error) { return a, nil }
	}
	last := instance.LastState{Entry: instance.Entry{ID: "u1", Service: "s", Revision: 5}, Removed: true, Revision: 7}
	former := tell(lastStatesAnswer{States: []instance.LastState{last}, Informed: true})
	last.Era, last.Revision = 1, 5
	knows := tell(lastStatesAnswer{States: []instance.LastState{last}, Era: 1, Informed: true})
	forgot, startedLater := tell(lastStatesAnswer{Era: 1, Informed: true}), tell(lastStatesAnswer{Era: 1})
	old := func(context.Context) (lastStatesAnswer, error) { return lastStatesAnswer{}, link.ErrUnknownMethod }
	late := func(ctx context.Context) (lastStatesAnswer, error) {
		time.Sleep(3 * listingWait / 2)
		return knows(ctx)
	}
	for name, c := range map[string]struct {
		others      tellingFleet
		wait        time.Duration // the longest until the listing is applied
		used, later bool          // the upstream is used, only until late answers arrive
	}{
		"no other host":                        {nil, 0, true, false},
		"another knows":                        {tellingFleet{knows}, 0, false, false},
		"others have forgotten":                {tellingFleet{forgot, forgot, forgot}, 0, true, false},
		"others started later":                 {tellingFleet{startedLater, startedLater, knows}, 0, false, false},
		"the build before":                     {tellingFleet{old, old}, 0, true, false},
		"the build before, and one that knows": {tellingFleet{old, old, knows}, 0, false, false},
		"former era":                           {tellingFleet{former}, 0, false, false},
		"one is late":                          {tellingFleet{late, knows}, listingWait, false, false},
		"all are late":                         {tellingFleet{late, late, late, late}, listingWait, true, true},
	} {
		for _, listing := range []string{"first", "later", "after an answer"} {
			synctest.Test(t, func(t *testing.T) {
				what, now := fmt.Sprintf("%s, listing: %s", name, listing), time.Now()
				d := newLoneDirectory(&testStore{}, nil)
				fleet := d.config.Fleet.(loneHost)
				for i := range c.others {
					fleet.Fleet = append(fleet.Fleet, host.Member{Info: host.Info{LinkAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))}})
				}
				d.config.Fleet, d.config.Caller = fleet, c.others
				ctx, stop := context.WithCancel(t.Context())
				defer d.background.Wait()
				defer stop()
				apply := func(items []Item, asOf infra.Position) {
					d.awaitLastStatesForStore(ctx, items, asOf)
					d.applySnapshot(items, asOf, now)
				}
				if listing != "first" {
					apply(nil, infra.Position{Revision: 9})
				}
				if listing == "after an answer" {
					require.True(t, d.applyAnswer(followAnswer{Era: 1, AsOf: 6, Complete: true}, netip.AddrPort{}))
				}
				raw, err := cbor.Marshal(instance.Entry{Service: "s"})
				require.NoError(t, err)
				isUsed := func() bool { return len(d.config.Instances.Entries()) == 2 }
				apply([]Item{{Key: "up/u1", Value: raw, Era: 1, Revision: 5}, {Key: "up/u2", Value: raw, Era: 1, Revision: 6}}, infra.Position{Era: 1, Revision: 6})
				require.LessOrEqual(t, time.Since(now), c.wait, what)
				require.Equal(t, c.used, isUsed(), what)
				time.Sleep(2 * listingWait)
				require.Equal(t, c.used && !c.later, isUsed(), "%s: once all have answered", what)
				require.True(t, d.applyChanges([]Item{{Key: "up/u1", Value: raw, Era: 1, Revision: 7}}, infra.Position{Era: 1, Revision: 7}, now))
				require.True(t, isUsed(), "%s: it has registered again", what)
			})
		}
	}
}
