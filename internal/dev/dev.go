// Package dev runs an example deployment in one process on loopback: entry
// hosts, and stand-ins for the platform and the upstreams.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/settings"
)

// Options configures a Fleet.
type Options struct {
	Deployment Deployment
	// Document is the operators' document of the deployment.
	Document []byte
	Hosts    int
	// HTTPPort and OperatorPort are the ports of the first host. Each further
	// host takes the next port. With zero, every host takes a free port.
	HTTPPort     int
	OperatorPort int
	Seed         uint64
	// Pace multiplies the processing time of upstreams; zero means 1.
	Pace float64
	// Policy configures the scheduling policy; the zero value means
	// policy.Defaults.
	Policy policy.Settings
	Logger *slog.Logger
	// Out receives the example calls once the hosts are ready.
	Out io.Writer
}

// Fleet is an example deployment: its entry hosts and its stand-ins.
type Fleet struct {
	options  Options
	document *document.Document
	standins *standin.Deployment
	hosts    []*galenaseam.Host
}

// drainDelay is short because these hosts have no load balancer in front of
// them that must first notice that they are not ready.
const drainDelay = 100 * time.Millisecond

// Start starts the stand-ins and builds the hosts, which serve once Run is
// called. On an error it stops the stand-ins.
func Start(o Options) (*Fleet, error) {
	doc, err := document.Parse(o.Document)
	if err != nil {
		return nil, err
	}
	spec := standin.FromDocument(doc, o.Deployment.upstreamCounts())
	spec.Seed = o.Seed
	spec.Pace = o.Pace
	standins, err := standin.Start(spec)
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, document: doc, standins: standins}
	if err := f.buildHosts(); err != nil {
		standins.Stop()
		return nil, err
	}
	return f, nil
}

// Hosts returns the entry hosts.
func (f *Fleet) Hosts() []*galenaseam.Host { return f.hosts }

// Standins returns the stand-ins for the platform and the upstreams.
func (f *Fleet) Standins() *standin.Deployment { return f.standins }

// buildHosts builds the hosts, spread over the document's data centres, and adds
// them to the host list.
func (f *Fleet) buildHosts() error {
	key, err := newFleetKey()
	if err != nil {
		return err
	}
	for i := range f.options.Hosts {
		host, err := galenaseam.New(galenaseam.Options{
			Settings:      f.hostSettings(i),
			FleetKey:      key,
			FirstDocument: f.options.Document,
			Policy:        f.options.Policy,
			Logger:        f.options.Logger,
		})
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, host)
		f.standins.AddHost(host.Info().LinkAddr, host.Info().Place)
	}
	return nil
}

// newFleetKey generates a random key with which the hosts of this run authenticate
// to each other.
func newFleetKey() ([]byte, error) {
	const keyBytes = 32
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return nil, err
	}
	return []byte(hex.EncodeToString(raw)), nil
}

// hostSettings returns the settings of the host with the given index.
func (f *Fleet) hostSettings(index int) settings.Settings {
	sites := f.document.Sites
	site := sites[index%len(sites)]
	s := settings.Default()
	s.Host = settings.Host{ID: fmt.Sprintf("host-%d", index+1), DataCentre: site.DataCentre, Region: site.Region}
	s.Listen = settings.Listen{
		HTTP:     loopbackAddr(f.options.HTTPPort, index),
		Link:     loopbackAddr(0, index),
		Operator: loopbackAddr(f.options.OperatorPort, index),
	}
	s.Platform.Store = []string{f.standins.StoreURL()}
	s.Platform.HostList = f.standins.HostListURL()
	s.Platform.Weights = f.standins.WeightsURL()
	s.Drain.Delay = settings.Duration(drainDelay)
	return s
}

// loopbackAddr returns the listen address of the host with the given index. port is
// that of the first host, or zero for any free port.
func loopbackAddr(port, index int) string {
	if port == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", port+index)
}

// readyTimeout bounds how long Run waits until every host is ready.
const readyTimeout = 30 * time.Second

// Run serves until ctx ends, then drains the hosts. Once all hosts are ready, it
// writes the line "ready", the example calls and the URL of the execution counts.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.standins.Stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, host := range f.hosts {
		group.Go(func() error { return host.Run(ctx) })
	}
	group.Go(func() error {
		if err := f.waitUntilReady(ctx); err != nil {
			return err
		}
		return f.printExampleCalls()
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitUntilReady waits until every host reports that it is ready.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range f.hosts {
		if err := waitForOK(ctx, "http://"+host.OperatorAddr().String()+"/readyz"); err != nil {
			return fmt.Errorf("host %s is not ready: %w", host.Info().ID, err)
		}
	}
	return nil
}

// readyPollInterval is the interval between two readiness checks of a host.
const readyPollInterval = 20 * time.Millisecond

// waitForOK polls a URL until its status is 200 or ctx ends.
func waitForOK(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}
