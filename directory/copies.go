package directory

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

// maxConfigurationBytes bounds a configuration that is unpacked. It is several times the largest
// value that the store holds.
const maxConfigurationBytes = 8 << 20

// packedConfig is a version of the configuration in the form in which it is sent to other hosts.
type packedConfig struct {
	version  routing.Version
	revision int64
	body     []byte
	packed   bool // body is compressed with gzip
}

// pack returns a configuration in the form in which it is sent.
func pack(version routing.Version, revision int64, raw []byte) *packedConfig {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil || packed.Len() >= len(raw) {
		return &packedConfig{version: version, revision: revision, body: raw}
	}
	return &packedConfig{version: version, revision: revision, body: packed.Bytes(), packed: true}
}

// unpack returns the configuration of an answer.
func (a configurationAnswer) unpack() ([]byte, error) {
	if !a.Packed {
		return a.Body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.Body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes+1))
	if err == nil && len(raw) > maxConfigurationBytes {
		return nil, Error.New("configuration of over %d bytes", maxConfigurationBytes)
	}
	return raw, Error.Wrap(err)
}

// serveConfiguration answers a host that asks for a version of the configuration. It waits until
// this host has it and its link has room, or names another host.
func (d *Directory) serveConfiguration(ctx context.Context, request configurationRequest) (configurationAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(request.Wait, 0))
	defer cancel()
	for {
		config, changed := d.newestCopy()
		if config == nil || config.version < request.Version {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return configurationAnswer{}, Error.New("version %d has not arrived here", request.Version)
			}
		}
		d.mu.Lock()
		d.spread.asked(config.version, request.Asker)
		wait := d.uplink.reserve(len(config.body), time.Now())
		var other netip.AddrPort
		if wait > 0 && !request.Here {
			other, _ = d.spread.next(request.Asker)
		}
		d.mu.Unlock()
		switch {
		case wait == 0:
			d.relayMetrics.sentConfigBytes.Add(float64(len(config.body)))
			return configurationAnswer{Body: config.body, Packed: config.packed, Revision: config.revision, Version: config.version}, nil
		case other.IsValid():
			return configurationAnswer{Other: other}, nil
		}
		if err := sleep.For(ctx, wait); err != nil {
			return configurationAnswer{}, Error.New("too many copies of version %d are asked for", config.version)
		}
	}
}

// newestCopy returns the newest configuration that can be sent to other hosts, which is in force
// or has arrived, nil if there is none, and a channel that is closed when there is a newer one.
func (d *Directory) newestCopy() (newest *packedConfig, changed <-chan struct{}) {
	d.packingMu.Lock()
	defer d.packingMu.Unlock()
	d.mu.Lock()
	current, revision, raw := d.routes.Load(), d.configRevision, d.rawConfig
	d.mu.Unlock()
	if current != nil && (d.packed == nil || d.packed.version < current.Version()) {
		d.packed = pack(current.Version(), revision, raw)
	}
	return d.packed, d.copyArrived
}

// keepCopy makes a configuration available to other hosts, unless there is a newer one.
func (d *Directory) keepCopy(c *packedConfig) {
	d.packingMu.Lock()
	defer d.packingMu.Unlock()
	if d.packed == nil || d.packed.version < c.version {
		d.packed = c
		d.signalCopy()
	}
}

// dropCopy removes a configuration that has proved to be unusable.
func (d *Directory) dropCopy(version routing.Version) {
	d.packingMu.Lock()
	defer d.packingMu.Unlock()
	if d.packed != nil && d.packed.version == version {
		d.packed = nil
	}
}

// signalCopy wakes the hosts that wait for a copy. The caller holds packingMu.
func (d *Directory) signalCopy() {
	close(d.copyArrived)
	d.copyArrived = make(chan struct{})
}
