// Package dev runs the whole path on one machine: the stand-ins of the
// platform and the upstreams, and a few entry hosts, in one process on
// loopback.
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

// Options says what to run.
type Options struct {
	Deployment Deployment
	// Document is the operators' document of the deployment.
	Document []byte
	Hosts    int
	// HTTPPort and OperatorPort are the first host's; the others follow. Zero
	// takes any free ports.
	HTTPPort     int
	OperatorPort int
	Seed         uint64
	// Pace stretches the time that upstreams work; zero means 1.
	Pace float64
	// Policy switches the parts of the policy; the whole policy when zero.
	Policy policy.Settings
	Logger *slog.Logger
	Out    io.Writer
}

// Fleet is a running deployment with its hosts.
type Fleet struct {
	options  Options
	document *document.Document
	standins *standin.Deployment
	hosts    []*galenaseam.Host
}

// drainDelay is short, since no balancer stands before these hosts.
const drainDelay = 100 * time.Millisecond

// Start starts the stand-ins and builds the hosts. On an error nothing is left
// running.
func Start(o Options) (*Fleet, error) {
	doc, err := document.Parse(o.Document)
	if err != nil {
		return nil, err
	}
	spec := standin.FromDocument(doc, o.Deployment.counts())
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

// Hosts lists the hosts.
func (f *Fleet) Hosts() []*galenaseam.Host { return f.hosts }

// Standins is the surroundings.
func (f *Fleet) Standins() *standin.Deployment { return f.standins }

// buildHosts builds each host in its data centre and lists it.
func (f *Fleet) buildHosts() error {
	key, err := fleetKey()
	if err != nil {
		return err
	}
	for i := range f.options.Hosts {
		host, err := galenaseam.New(galenaseam.Options{
			Settings:      f.settingsOf(i),
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

// fleetKey makes a key for this run.
func fleetKey() ([]byte, error) {
	const keyBytes = 32
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return nil, err
	}
	return []byte(hex.EncodeToString(raw)), nil
}

// settingsOf makes the settings of one host.
func (f *Fleet) settingsOf(index int) settings.Settings {
	sites := f.document.Sites
	site := sites[index%len(sites)]
	s := settings.Default()
	s.Host = settings.Host{ID: fmt.Sprintf("host-%d", index+1), DataCentre: site.DataCentre, Region: site.Region}
	s.Listen = settings.Listen{
		HTTP:     loopback(f.options.HTTPPort, index),
		Link:     loopback(0, index),
		Operator: loopback(f.options.OperatorPort, index),
	}
	s.Platform.Store = []string{f.standins.StoreURL()}
	s.Platform.HostList = f.standins.HostListURL()
	s.Platform.Weights = f.standins.WeightsURL()
	s.Drain.Delay = settings.Duration(drainDelay)
	return s
}

// loopback is the address of one host when the first has the port.
func loopback(port, index int) string {
	if port == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", port+index)
}

// readyTimeout bounds the wait for the hosts to take work.
const readyTimeout = 30 * time.Second

// Run serves until ctx ends, then drains the hosts. Once all hosts take work it
// writes the line ready, the example calls, and where executions are counted.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.standins.Stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, host := range f.hosts {
		group.Go(func() error { return host.Run(ctx) })
	}
	group.Go(func() error {
		if err := f.waitReady(ctx); err != nil {
			return err
		}
		return f.announce()
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitReady waits until every host says that it takes work.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range f.hosts {
		if err := waitFor(ctx, "http://"+host.OperatorAddr().String()+"/readyz"); err != nil {
			return fmt.Errorf("host %s is not ready: %w", host.Info().ID, err)
		}
	}
	return nil
}

// askEvery is how often a host is asked whether it is ready.
const askEvery = 20 * time.Millisecond

// waitFor asks until the URL answers 200.
func waitFor(ctx context.Context, url string) error {
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
		case <-time.After(askEvery):
		}
	}
}
