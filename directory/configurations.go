package directory

import (
	"context"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

// A configuration may take a host's link for seconds. So hosts tell each other which version is
// in force, with the changes of upstreams and hosts, and fetch it by a call of its own: first
// from the host that told, which passes on few copies at a time and names hosts that have asked
// before; then from the store.

const configurationMethod link.Method = "directory.Configuration"

const (
	// copiesWaitFraction of Config.MaxPropagationDelay is how long hosts are asked for a copy until
	// the store is asked. Each is asked for fetchTimeout at the most.
	copiesWaitFraction = 0.4
	// minFetchDelay is the delay after a version could be had neither from hosts nor from the
	// store. It doubles up to maxFetchDelay.
	minFetchDelay = 500 * time.Millisecond
	maxFetchDelay = 8 * time.Second
)

// configurationRequest asks for a version of the configuration or a later one.
type configurationRequest struct {
	Version routing.Version `cbor:"1,keyasint"`
	// Asker is the address at which the asking host can pass the version on.
	Asker netip.AddrPort `cbor:"2,keyasint"`
	// Wait is how long the asking host waits for an answer.
	Wait time.Duration `cbor:"3,keyasint"`
	// Here means that the asking host is not to be sent to another one.
	Here bool `cbor:"4,keyasint,omitempty"`
}

// configurationAnswer holds a configuration, or names a host to ask for it.
type configurationAnswer struct {
	Body     []byte         `cbor:"1,keyasint,omitempty"`
	Packed   bool           `cbor:"2,keyasint,omitempty"` // Body is compressed with gzip
	Revision int64          `cbor:"3,keyasint,omitempty"`
	Other    netip.AddrPort `cbor:"4,keyasint"`
	// Version is that of Body.
	Version routing.Version `cbor:"5,keyasint,omitempty"`
}

// announcement is the newest version that another host has announced.
type announcement struct {
	version routing.Version
	from    netip.AddrPort
	// unusable is true once this host has received the version and can't read it.
	unusable bool
}

// announce records that a host has a version of the configuration in force, and wakes
// followConfigurations if this host has an earlier one.
func (d *Directory) announce(version routing.Version, from netip.AddrPort) {
	if current := d.routes.Load(); current != nil && current.Version() >= version || version == 0 {
		return
	}
	d.mu.Lock()
	isNew := version > d.announced.version
	switch {
	case isNew:
		d.announced = announcement{version: version, from: from}
	case version == d.announced.version:
		d.announced.from = from // the last host that told is the likeliest to respond
	}
	d.mu.Unlock()
	if isNew {
		select {
		case d.announcements <- struct{}{}:
		default:
		}
	}
}

// lacking returns the newest announcement if this host has an earlier version in force.
func (d *Directory) lacking() (a announcement, lacks bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.routes.Load()
	isNewer := d.announced.version > 0 && (current == nil || current.Version() < d.announced.version)
	return d.announced, isNewer && !d.announced.unusable
}

// giveUp ends the search for a version that this host has received and can't read.
func (d *Directory) giveUp(version routing.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.announced.version == version {
		d.announced.unusable = true
	}
}

// followConfigurations fetches versions of the configuration that other hosts announce.
func (d *Directory) followConfigurations(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.announcements:
		}
		delay := minFetchDelay
		for wanted, lacks := d.lacking(); lacks && ctx.Err() == nil; wanted, lacks = d.lacking() {
			if d.fetchFromHosts(ctx, wanted) || d.fetchFromStore(ctx, wanted.version) {
				delay = minFetchDelay
				continue
			}
			_ = sleep.For(ctx, delay)
			delay = min(2*delay, maxFetchDelay)
		}
	}
}

// fetchFromHosts fetches a version from the host that has announced it, or from those that it
// names. It returns false if none has sent it in time.
func (d *Directory) fetchFromHosts(ctx context.Context, wanted announcement) bool {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(d.fractionOfMaxDelay(copiesWaitFraction), fetchTimeout))
	defer cancel()
	peer, here, asked := wanted.from, false, 0
	var err error
	for ctx.Err() == nil {
		var answer configurationAnswer
		answer, err = d.askConfiguration(ctx, peer, configurationRequest{Version: wanted.version, Here: here || peer != wanted.from})
		asked++
		switch {
		case err == nil && len(answer.Body) > 0:
			return d.applyCopy(answer, wanted.version, peer)
		case err == nil && answer.Other.IsValid() && !here:
			peer = answer.Other
			continue
		case peer != wanted.from:
			d.config.Logger.Info("configuration not sent by a host that asked before", "version", uint64(wanted.version), "peer", peer.String(), "error", errorText(err))
			peer, here = wanted.from, true
			continue
		}
		break
	}
	d.config.Logger.Info("configuration not fetched from another host", "version", uint64(wanted.version), "announced_by", wanted.from.String(),
		"peer", peer.String(), "asked", asked, "took_ms", time.Since(started).Milliseconds(), "error", errorText(err))
	return false
}

func errorText(err error) string {
	if err == nil {
		return "it sent none"
	}
	return err.Error()
}

// askConfiguration asks one host for a version.
func (d *Directory) askConfiguration(ctx context.Context, peer netip.AddrPort, request configurationRequest) (configurationAnswer, error) {
	request.Wait, request.Asker = fetchTimeout, d.config.Fleet.Self().LinkAddr
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	return link.CallIdempotent[configurationRequest, configurationAnswer](ctx, d.config.Caller, peer, configurationMethod, request)
}

// applyCopy applies another host's copy of the configuration. It returns false if that does not
// bring the wanted version into force. The copy is passed on before it is decoded, which takes
// slow hosts longer than all else.
func (d *Directory) applyCopy(answer configurationAnswer, wanted routing.Version, peer netip.AddrPort) bool {
	raw, err := answer.unpack()
	if err != nil {
		d.config.Logger.Warn("configuration of another host can't be read", "version", uint64(wanted), "peer", peer.String(), "error", err.Error())
		return false
	}
	d.keepCopy(&packedConfig{version: answer.Version, revision: answer.Revision, body: answer.Body, packed: answer.Packed})
	version, valid := d.applyConfig(raw, answer.Revision)
	if !valid || version != answer.Version {
		d.dropCopy(answer.Version)
	}
	if !valid {
		d.giveUp(wanted)
	}
	return valid && version >= wanted
}

// fetchFromStore reads the configuration from the store. It returns false if that does not bring
// the wanted version into force.
func (d *Directory) fetchFromStore(ctx context.Context, wanted routing.Version) bool {
	if _, lacks := d.lacking(); !lacks || ctx.Err() != nil {
		return !lacks
	}
	item, found, err := d.config.Source.ReadConfig(ctx)
	if err != nil || !found {
		d.config.Logger.Warn("configuration not fetched from the store", "version", uint64(wanted), "error", errorText(err))
		return false
	}
	version, _ := d.applyConfig(item.Value, item.Revision)
	return version >= wanted
}
