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

// farPollOneIn sets the share of polls that go to any peer rather than to a
// watcher in the same data centre: one in farPollOneIn.
const farPollOneIn = 2

// peerSource fetches objects from one peer.
type peerSource struct {
	caller    link.Caller
	addr      netip.AddrPort
	countCall func()
}

// get requests the objects, in several calls if they don't fit into one.
func (s peerSource) get(ctx context.Context, wanted []Hash) ([]object, error) {
	var found []object
	for len(wanted) > 0 {
		got, err := s.requestObjects(ctx, wanted[:min(len(wanted), maxRequestedObjects)])
		if err != nil {
			return found, err
		}
		if len(got) == 0 {
			return found, nil
		}
		found = append(found, got...)
		wanted = missingHashes(wanted, got)
	}
	return found, nil
}

// requestObjects makes one call and drops objects that were not requested or
// don't match their hash.
func (s peerSource) requestObjects(ctx context.Context, wanted []Hash) ([]object, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.countCall()
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

// choosePoll selects the next peer to poll for its head.
func choosePoll(view host.View, random *rand.Rand) (host.Member, bool) {
	self := view.Self()
	members := withoutHost(view.Members(), self.ID)
	near := withoutHost(watchers(view.Members(), self.Place.DataCentre), self.ID)
	if len(near) > 0 && random.IntN(farPollOneIn) != 0 {
		return near[random.IntN(len(near))], true
	}
	if len(members) == 0 {
		return host.Member{}, false
	}
	return members[random.IntN(len(members))], true
}

// withoutHost returns the members other than self.
func withoutHost(members []host.Member, self host.ID) []host.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m host.Member) bool { return m.ID == self })
}

// peersServing returns up to limit peers that announce the generation or a
// later one, in random order but those in the same data centre first.
func peersServing(view host.View, generation Generation, limit int, random *rand.Rand) []host.Member {
	self := view.Self()
	var near, far []host.Member
	for _, m := range withoutHost(view.Members(), self.ID) {
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
