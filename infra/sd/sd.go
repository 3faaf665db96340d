// Package sd reads the platform's host list. The list has the JSON format of
// Prometheus HTTP service discovery, with labels for pool, data centre, region
// and state.
package sd

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// Error is the class of every error this package returns.
var Error = errs.Class("sd")

// DefaultTimeout limits a call if Config.Timeout is zero.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes limits the size of the list.
const maxResponseBytes = 16 << 20

// stateLive is the state label of a machine that is not leaving; an empty label
// means the same. A machine in any other state must get no new work.
const stateLive = "live"

// Config contains the settings of a Client.
type Config struct {
	// URL is the full URL of the list.
	URL string
	// HTTPClient makes the calls; if nil, the Client creates its own.
	HTTPClient *http.Client
	// Timeout limits each call; zero means DefaultTimeout.
	Timeout time.Duration
	// Logger receives a warning for each target that List ignores; nil means
	// slog.Default.
	Logger *slog.Logger
}

// Client is an infra.HostList that reads the list over HTTP.
type Client struct{ cfg Config }

var _ infra.HostList = (*Client)(nil)

// New returns a client. It makes no calls.
func New(cfg Config) (*Client, error) {
	if cfg.URL == "" {
		return nil, Error.New("no URL")
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{Transport: &http.Transport{}}
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	return &Client{cfg: cfg}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.cfg.HTTPClient.CloseIdleConnections() }

// group is a group of targets that have the same labels.
type group struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

type labels struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	State      string `json:"state"`
}

// List fetches the current list. It ignores targets that are not an IP address
// and port. A response that is cut short is an error, not a shorter list.
func (c *Client) List(ctx context.Context) ([]infra.Listing, error) {
	groups, err := c.fetch(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var list []infra.Listing
	for _, g := range groups {
		list = append(list, c.groupListings(g)...)
	}
	return list, nil
}

func (c *Client) fetch(ctx context.Context) ([]group, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.URL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("host list answered %s", resp.Status)
	}
	var groups []group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	return groups, nil
}

func (c *Client) groupListings(g group) []infra.Listing {
	var list []infra.Listing
	for _, target := range g.Targets {
		addr, err := netip.ParseAddrPort(target)
		if err != nil {
			c.cfg.Logger.Warn("host list target ignored: not an IP address and port", "target", target, "error", err)
			continue
		}
		list = append(list, infra.Listing{
			Addr:    addr,
			Place:   host.Place{DataCentre: host.DataCentre(g.Labels.DataCentre), Region: host.Region(g.Labels.Region)},
			Pool:    g.Labels.Pool,
			Leaving: g.Labels.State != "" && g.Labels.State != stateLive,
		})
	}
	return list
}
