package directory

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/member"
)

// revisionTopic is the gossip topic on which hosts announce their position in
// the store.
const revisionTopic member.Topic = "directory"

const (
	revisionKey = "revision"

	// ownWatchHeadStart is how long a host waits for its own watch after
	// another host announced a newer position, before it fetches from that
	// host.
	ownWatchHeadStart = 250 * time.Millisecond
	// fetchTimeout bounds one fetch from another host.
	fetchTimeout = 700 * time.Millisecond
	// outageFetchInterval is the time between fetches from other hosts during
	// an outage of the store.
	outageFetchInterval = 500 * time.Millisecond
	// outageWindow is how long after a failed call the store counts as
	// unreachable.
	outageWindow = 1500 * time.Millisecond
)

// encodePosition encodes a position for an announcement: the revision, and the
// era unless it is 0. Hosts of the build before know only the short form, and
// ignore the other.
func encodePosition(p infra.Position) []byte {
	payload := binary.BigEndian.AppendUint64(nil, uint64(p.Revision))
	if p.Era == 0 {
		return payload
	}
	return binary.BigEndian.AppendUint64(payload, uint64(p.Era))
}

// decodePosition decodes an announced position.
func decodePosition(payload []byte) (p infra.Position, ok bool) {
	switch len(payload) {
	case 16:
		p.Era = int64(binary.BigEndian.Uint64(payload[8:]))
	case 8:
	default:
		return p, false
	}
	p.Revision = int64(binary.BigEndian.Uint64(payload))
	return p, true
}

// publishPosition announces the newest position unless another host has
// announced it.
func (d *Directory) publishPosition() {
	d.mu.Lock()
	asOf := d.asOf
	isNew := asOf.After(d.published) && asOf.After(d.heard)
	if isNew {
		d.published = asOf
	}
	d.mu.Unlock()
	if !isNew {
		return
	}
	if err := d.config.Gossip.Publish(revisionTopic, revisionKey, encodePosition(asOf)); err != nil {
		d.config.Logger.Warn("revision not announced", "era", asOf.Era, "as_of", asOf.Revision, "error", err.Error())
	}
}

// handleRevision records another host's position and wakes followPeers if this
// host is behind it.
func (d *Directory) handleRevision(f member.Fact) {
	announced, ok := decodePosition(f.Payload)
	if !ok {
		return
	}
	d.mu.Lock()
	behind := announced.After(d.asOf)
	if announced.After(d.heard) {
		d.heard, d.heardFrom = announced, f.From
	}
	d.mu.Unlock()
	if behind {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// followPeers fetches from other hosts while this one is behind them or the
// store is unreachable.
func (d *Directory) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(outageFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(ownWatchHeadStart):
			}
			if peer, behind := d.peerAhead(); behind {
				d.fetchFrom(ctx, peer)
			}
		case now := <-ticker.C:
			if d.storeUnreliable(now) {
				d.fetchFromRandomPeer(ctx)
			}
		}
	}
}

// peerAhead returns the address of the host that announced the newest
// position. It returns false if this host is not behind or doesn't know that
// host.
func (d *Directory) peerAhead() (netip.AddrPort, bool) {
	d.mu.Lock()
	behind, from := d.heard.After(d.asOf), d.heardFrom
	d.mu.Unlock()
	peer, known := d.config.Fleet.Lookup(from)
	return peer.LinkAddr, behind && known
}

// oldCopyFraction of Config.MaxPropagationDelay is the age from which on the copy of a host in a
// large fleet is old: its watcher has not answered twice in a row.
const oldCopyFraction = 0.8

// storeUnreliable reports whether a store call failed recently, no configuration is known yet, or
// this host's copy is old.
func (d *Directory) storeUnreliable(now time.Time) bool {
	isLarge := d.isLarge()
	d.mu.Lock()
	defer d.mu.Unlock()
	isOld := isLarge && now.Sub(d.confirmedAt) > d.fractionOfMaxDelay(oldCopyFraction)
	return d.routes.Load() == nil || now.Sub(d.outages.failedAt) < outageWindow || isOld
}

// fetchFromRandomPeer fetches from a live host selected at random.
func (d *Directory) fetchFromRandomPeer(ctx context.Context) {
	var peers []netip.AddrPort
	for _, m := range d.config.Fleet.Members() {
		if m.ID != d.config.Fleet.Self().ID && m.State == host.Alive {
			peers = append(peers, m.LinkAddr)
		}
	}
	if len(peers) > 0 {
		d.fetchFrom(ctx, peers[rand.IntN(len(peers))])
	}
}

// fetchFrom fetches from another host what this one lacks and applies it.
func (d *Directory) fetchFrom(ctx context.Context, peer netip.AddrPort) {
	before := d.position()
	answer, err := d.askPeer(ctx, peer, 0, fetchTimeout)
	if err != nil {
		d.config.Logger.Warn("directory not fetched from another host", "peer", peer.String(), "error", err.Error())
		return
	}
	d.awaitLastStatesForAnswer(ctx, answer)
	if d.applyAnswer(answer, peer) && answer.position().After(before) {
		d.config.Logger.Info("directory fetched from another host", "peer", peer.String(),
			"era", answer.Era, "as_of", answer.AsOf, "was_era", before.Era, "was", before.Revision)
	}
}
