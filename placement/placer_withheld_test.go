package placement

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
)

// ownerCaller has placement calls answered by the placer of the owner.
type ownerCaller struct {
	owner   *Placer
	replied func(instance.ID) // called with each choice of the owner
}

func (c *ownerCaller) Call(_ context.Context, _ netip.AddrPort, _ link.Method, in, out any) error {
	if need, isNeed := in.(Need); isNeed {
		reply := c.owner.placeLocally(need)
		c.replied(reply.Engine)
		*out.(*placeReply) = reply
	}
	return nil
}

// twoPlacers returns the placer of a host and that of the owner of the service,
// each with its own table of three engines, and a need of the service.
func twoPlacers(t *testing.T) (asking, owner *Placer, caller *ownerCaller, need Need) {
	var fleet hosttest.Fleet
	for i := range 12 {
		fleet = append(fleet, host.Member{Info: host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: netip.MustParseAddrPort("10.0.0.1:1")}})
	}
	owners := ownership.New(fleet, time.Now())
	need = summaryNeed("r", "contract")
	for i := 0; ; i++ {
		if _, own := owners.Owner(need.Service, time.Now()); !own {
			break
		}
		need.Service = fmt.Sprint("s", i)
	}
	placer := func(caller link.Caller) *Placer {
		table := instance.NewTable(nil)
		for i := range 3 {
			table.Put(instance.Entry{ID: instance.ID(fmt.Sprint("e", i)), Service: need.Service, Revision: 1})
		}
		return New(Config{
			Engines: table, Owners: owners, Caller: caller, Logger: slog.New(slog.DiscardHandler),
			Service: func(name string) (*routing.Service, bool) {
				return &routing.Service{Name: name, Engine: &routing.Engine{Concurrency: 64, CacheTokens: 500_000}}, true
			},
		}, link.NewMux())
	}
	owner = placer(nil)
	caller = &ownerCaller{owner: owner, replied: func(instance.ID) {}}
	return placer(caller), owner, caller, need
}

func place(t *testing.T, p *Placer, need Need) Ticket {
	ticket, found := p.Place(t.Context(), need, rand.New(rand.NewPCG(1, 1)))
	require.True(t, found)
	return ticket
}

// The owner does not know what an engine has told another host. It must be told,
// so that it chooses an engine which that host may use and counts its load there.
func TestOwnerDoesNotChooseEngineWithheldFromTheAskingHost(t *testing.T) {
	now := time.Now()
	for name, withhold := range map[string]func(*instance.Table, instance.Process){
		"leaving": func(t *instance.Table, p instance.Process) { t.MarkLeaving(p, time.Now()) },
		"paused":  func(t *instance.Table, p instance.Process) { t.Pause(p, now.Add(time.Hour), now) },
	} {
		asking, owner, _, need := twoPlacers(t)
		first := place(t, asking, need)
		withhold(asking.config.Engines, first.Engine.Process())
		for range 5 {
			ticket := place(t, asking, need)
			require.NotEqual(t, first.Engine.ID, ticket.Engine.ID, name)
			require.NotEmpty(t, ticket.Owner, "the owner has chosen: "+name)
		}
		require.Equal(t, first.Engine.ID, owner.placeLocally(need).Engine, "other hosts may use it: "+name)
	}
}

// An engine that has asked the owner for a pause may serve the other hosts.
func TestPauseOfTheOwnerDoesNotBindOtherHosts(t *testing.T) {
	asking, owner, _, need := twoPlacers(t)
	first := place(t, asking, need)
	owner.config.Engines.Pause(first.Engine.Process(), time.Now().Add(time.Hour), time.Now())
	require.Equal(t, first.Engine.ID, place(t, asking, need).Engine.ID)
}

// The engine says that it leaves while the owner is being asked. The host must
// choose another by itself.
func TestChoiceThatIsWithheldByNowIsReplaced(t *testing.T) {
	asking, _, caller, need := twoPlacers(t)
	var leaving instance.ID
	caller.replied = func(id instance.ID) {
		leaving = id
		asking.config.Engines.MarkLeaving(instance.Process{ID: id}, time.Now())
	}
	ticket := place(t, asking, need)
	require.NotEqual(t, leaving, ticket.Engine.ID)
	require.Empty(t, ticket.Owner)
}
