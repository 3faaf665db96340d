// Package sd reads the platform's host list, which is in the JSON of Prometheus
// HTTP service discovery with labels for pool, data centre, region and state.
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

// DefaultTimeout bounds a call when the settings do not.
const DefaultTimeout = 2 * time.Second

// maxAnswerBytes bounds the list.
const maxAnswerBytes = 16 << 20

// stateLive is the label of a machine that is not leaving. Any other state
// means that the machine must get no new work.
const stateLive = "live"

// Config is the settings of a client.
type Config struct {
	// URL is the whole address of the list.
	URL string
	// HTTPClient makes the calls; nil means one of the client's own.
	HTTPClient *http.Client
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
	// Logger hears of targets that are left out; nil means the default one.
	Logger *slog.Logger
}

// Client is a infra.HostList.
type Client struct{ cfg Config }

var _ infra.HostList = (*Client)(nil)

// New returns a client. It makes no call.
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

// Close drops the idle connections.
func (c *Client) Close() { c.cfg.HTTPClient.CloseIdleConnections() }

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

// List returns the newest list. A target that is no IP address and port is
// left out; a list that is not whole is an error.
func (c *Client) List(ctx context.Context) ([]infra.Listing, error) {
	groups, err := c.fetch(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var list []infra.Listing
	for _, g := range groups {
		list = append(list, c.listings(g)...)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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

func (c *Client) listings(g group) []infra.Listing {
	var list []infra.Listing
	for _, target := range g.Targets {
		addr, err := netip.ParseAddrPort(target)
		if err != nil {
			c.cfg.Logger.Warn("host list target left out", "target", target, "error", err)
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
