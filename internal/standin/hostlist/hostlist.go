// Package hostlist is a stand-in for the platform's list of live and leaving
// machines, in the JSON of Prometheus HTTP service discovery. Changes can be
// seen only after a settable lag.
package hostlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// group is one entry of the list, here always with one target.
type group struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

type labels struct {
	Pool       string `json:"pool,omitempty"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	State      string `json:"state"`
}

// version is the list as it stood from a moment on.
type version struct {
	from time.Time
	list []infra.Listing
}

// HostList is a running stand-in.
type HostList struct {
	*server.Listener
	faults *fault.Set
	ctx    context.Context
	cancel context.CancelFunc
	timers sync.WaitGroup

	mu       sync.Mutex
	lag      time.Duration
	versions []version // oldest first, at least one
}

// Start serves an empty list on addr, or on a free loopback port if addr is
// empty.
func Start(addr string, lag time.Duration) (*HostList, error) {
	h := &HostList{faults: fault.NewSet(1), lag: lag, versions: []version{{}}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.Handle("/fault", fault.Handler(h.Fault))
	mux.HandleFunc("GET /hosts", h.serve)
	listener, err := server.Listen(addr, mux)
	if err != nil {
		h.cancel()
		return nil, err
	}
	h.Listener = listener
	return h, nil
}

// Stop ends the stand-in.
func (h *HostList) Stop() {
	h.cancel()
	h.Listener.Stop()
	h.timers.Wait()
}

// Fault puts a failure in force.
func (h *HostList) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Lag:
		h.mu.Lock()
		h.lag = f.Delay()
		h.mu.Unlock()
	case fault.Down:
		h.goDown(f)
	case fault.Clear:
		h.faults.Add(f)
		_ = h.Up()
	default:
		h.faults.Add(f)
	}
}

func (h *HostList) goDown(f fault.Fault) {
	h.Down()
	if f.ForMS == 0 {
		return
	}
	h.timers.Add(1)
	go func() {
		defer h.timers.Done()
		select {
		case <-time.After(f.Duration()):
			_ = h.Up()
		case <-h.ctx.Done():
		}
	}()
}

// Put adds a machine, or changes one with the same address.
func (h *HostList) Put(l infra.Listing) {
	h.change(func(list []infra.Listing) []infra.Listing {
		for i := range list {
			if list[i].Addr == l.Addr {
				list[i] = l
				return list
			}
		}
		return append(list, l)
	})
}

// Remove takes a machine out of the list.
func (h *HostList) Remove(l infra.Listing) {
	h.change(func(list []infra.Listing) []infra.Listing {
		var rest []infra.Listing
		for _, have := range list {
			if have.Addr != l.Addr {
				rest = append(rest, have)
			}
		}
		return rest
	})
}

// change adds a version of the list and drops those that are past.
func (h *HostList) change(edit func([]infra.Listing) []infra.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.versions[len(h.versions)-1].list
	next := edit(append([]infra.Listing(nil), newest...))
	h.versions = append(h.versions, version{from: time.Now(), list: next})
	h.visible(time.Now())
}

// visible returns the list as the lag lets it be seen. The caller holds mu.
func (h *HostList) visible(now time.Time) []infra.Listing {
	seen := 0
	for i, v := range h.versions {
		if !now.Before(v.from.Add(h.lag)) {
			seen = i
		}
	}
	h.versions = h.versions[seen:]
	return h.versions[0].list
}

func (h *HostList) serve(w http.ResponseWriter, r *http.Request) {
	if _, ok := h.faults.Trigger(fault.Refuse); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f, ok := h.faults.Trigger(fault.Slow); ok {
		select {
		case <-time.After(f.Delay()):
		case <-r.Context().Done():
			return
		}
	}
	h.mu.Lock()
	list := h.visible(time.Now())
	h.mu.Unlock()
	groups := make([]group, 0, len(list))
	for _, l := range list {
		groups = append(groups, toGroup(l))
	}
	server.WriteJSON(w, http.StatusOK, groups)
}

func toGroup(l infra.Listing) group {
	state := "live"
	if l.Leaving {
		state = "leaving"
	}
	return group{Targets: []string{l.Addr.String()}, Labels: labels{
		Pool: l.Pool, DataCentre: string(l.Place.DataCentre), Region: string(l.Place.Region), State: state,
	}}
}
