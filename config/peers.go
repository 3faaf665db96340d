package config

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// peerTimeout bounds one call to a peer.
const peerTimeout = time.Second

// farPollShare is how often a host polls anyone rather than a watcher of its
// own data centre: one time in farPollShare.
const farPollShare = 2

// peerSource fetches objects from one peer.
type peerSource struct {
	caller link.Caller
	addr   netip.AddrPort
	calls  func()
}

// get asks for the objects in as many calls as the peer needs.
func (s peerSource) get(ctx context.Context, wanted []Hash) ([]object, error) {
	var found []object
	for len(wanted) > 0 {
		got, err := s.ask(ctx, wanted[:min(len(wanted), maxAskedObjects)])
		if err != nil {
			return found, err
		}
		if len(got) == 0 {
			return found, nil
		}
		found = append(found, got...)
		wanted = without(wanted, got)
	}
	return found, nil
}

// ask makes one call and checks every object against its hash.
func (s peerSource) ask(ctx context.Context, wanted []Hash) ([]object, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.calls()
	response, err := link.CallTyped[objectsRequest, objectsResponse](
		ctx, s.caller, s.addr, methodObjects, objectsRequest{Wanted: wanted})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var found []object
	for _, content := range response.Contents {
		o := newObject(content)
		if slices.Contains(wanted, o.hash) {
			found = append(found, o)
		}
	}
	return found, nil
}

// choosePoll chooses the peer to ask for its head next.
func choosePoll(view host.View, random *rand.Rand) (host.Member, bool) {
	self := view.Self()
	members := others(view.Members(), self.ID)
	near := others(watchers(view.Members(), self.Place.DataCentre), self.ID)
	if len(near) > 0 && random.IntN(farPollShare) != 0 {
		return near[random.IntN(len(near))], true
	}
	if len(members) == 0 {
		return host.Member{}, false
	}
	return members[random.IntN(len(members))], true
}

// others leaves one host out.
func others(members []host.Member, self host.ID) []host.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m host.Member) bool { return m.ID == self })
}

// holders chooses up to limit peers that announce at least a generation, those
// of the own data centre first.
func holders(view host.View, generation Generation, limit int, random *rand.Rand) []host.Member {
	self := view.Self()
	var near, far []host.Member
	for _, m := range others(view.Members(), self.ID) {
		switch {
		case Generation(m.Generation) < generation || m.State == host.Suspect:
		case m.Place.DataCentre == self.Place.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near, far...)
	return all[:min(len(all), limit)]
}
