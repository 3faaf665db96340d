package directory

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
)

// revisionTopic is where hosts tell each other how new their directory is.
const revisionTopic member.Topic = "directory"

const (
	revisionKey = "revision"

	// ownChance is how long a host waits for its own watch after another told
	// of a newer revision.
	ownChance = 250 * time.Millisecond
	// fetchTimeout bounds asking one host.
	fetchTimeout = 700 * time.Millisecond
	// troubleInterval is how often a host that has lost the store asks another.
	troubleInterval = 500 * time.Millisecond
	// troubleFor is how long after a failed call the store counts as lost.
	troubleFor = 1500 * time.Millisecond
)

// tell spreads the newest revision, unless others were heard to have it.
func (d *Directory) tell() {
	d.mu.Lock()
	asOf := d.asOf
	news := asOf > d.published && asOf > d.heard
	if news {
		d.published = asOf
	}
	d.mu.Unlock()
	if !news {
		return
	}
	if err := d.config.Gossip.Publish(revisionTopic, revisionKey, binary.BigEndian.AppendUint64(nil, uint64(asOf))); err != nil {
		d.config.Logger.Warn("revision not told", "as_of", asOf, "error", err.Error())
	}
}

// hear takes in the revision that another host has.
func (d *Directory) hear(f member.Fact) {
	if len(f.Payload) != 8 {
		return
	}
	revision := int64(binary.BigEndian.Uint64(f.Payload))
	d.mu.Lock()
	behind := revision > d.asOf
	if revision > d.heard {
		d.heard, d.heardFrom = revision, f.From
	}
	d.mu.Unlock()
	if behind {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// followPeers asks other hosts while this one is behind them or has lost the
// store.
func (d *Directory) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(troubleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(ownChance):
			}
			if peer, behind := d.ahead(); behind {
				d.fetch(ctx, peer)
			}
		case now := <-ticker.C:
			if d.inTrouble(now) {
				d.fetchAny(ctx)
			}
		}
	}
}

// ahead returns the host that told of a revision that this one lacks.
func (d *Directory) ahead() (netip.AddrPort, bool) {
	d.mu.Lock()
	behind, from := d.heard > d.asOf, d.heardFrom
	d.mu.Unlock()
	peer, known := d.config.Fleet.Lookup(from)
	return peer.LinkAddr, behind && known
}

// inTrouble says whether the store can't be relied on now.
func (d *Directory) inTrouble(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routes.Load() == nil || now.Sub(d.troubleAt) < troubleFor
}

// fetchAny asks a host picked at random.
func (d *Directory) fetchAny(ctx context.Context) {
	var peers []netip.AddrPort
	for _, m := range d.config.Fleet.Members() {
		if m.ID != d.config.Fleet.Self().ID && m.State == host.Alive {
			peers = append(peers, m.LinkAddr)
		}
	}
	if len(peers) > 0 {
		d.fetch(ctx, peers[rand.IntN(len(peers))])
	}
}

// fetch takes in what another host knows.
func (d *Directory) fetch(ctx context.Context, peer netip.AddrPort) {
	was := d.AsOf()
	a, err := d.ask(ctx, peer, 0, fetchTimeout)
	if err != nil {
		d.config.Logger.Warn("host not asked for its directory", "peer", peer.String(), "error", err.Error())
		return
	}
	d.takeIn(a)
	if a.AsOf > was {
		d.config.Logger.Info("directory taken from another host", "peer", peer.String(), "as_of", a.AsOf, "was", was)
	}
}
