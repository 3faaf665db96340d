// Package hostlist is a stand-in for the platform's host list, which contains
// the live and leaving machines in the JSON format of Prometheus HTTP service
// discovery. A change becomes visible after a configurable lag.
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

// group is one entry of the list. The stand-in puts each target into a group of
// its own.
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

// listVersion is the content of the list from a point in time until the next
// version.
type listVersion struct {
	since time.Time
	list  []infra.Listing
}

// HostList is a running stand-in for the host list.
type HostList struct {
	*server.Listener
	faults   *fault.Set
	ctx      context.Context
	cancel   context.CancelFunc
	restarts sync.WaitGroup

	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion // oldest first, at least one
}

// Start starts an empty host list, which listens on addr, or on a free loopback
// port if addr is empty.
func Start(addr string, lag time.Duration) (*HostList, error) {
	h := &HostList{faults: fault.NewSet(1), lag: lag, versions: []listVersion{{}}}
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

// Stop stops the stand-in.
func (h *HostList) Stop() {
	h.cancel()
	h.Listener.Stop()
	h.restarts.Wait()
}

// Fault injects a fault.
func (h *HostList) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Lag:
		h.mu.Lock()
		h.lag = f.Delay()
		h.mu.Unlock()
	case fault.Down:
		h.takeDown(f)
	case fault.Clear:
		h.faults.Add(f)
		_ = h.Up()
	default:
		h.faults.Add(f)
	}
}

func (h *HostList) takeDown(f fault.Fault) {
	h.Down()
	if f.ForMS == 0 {
		return
	}
	h.restarts.Add(1)
	go func() {
		defer h.restarts.Done()
		select {
		case <-time.After(f.Duration()):
			_ = h.Up()
		case <-h.ctx.Done():
		}
	}()
}

// Put adds a machine, or replaces the one with the same address.
func (h *HostList) Put(l infra.Listing) {
	h.addVersion(func(list []infra.Listing) []infra.Listing {
		for i := range list {
			if list[i].Addr == l.Addr {
				list[i] = l
				return list
			}
		}
		return append(list, l)
	})
}

// Remove removes the machine with the address of l from the list.
func (h *HostList) Remove(l infra.Listing) {
	h.addVersion(func(list []infra.Listing) []infra.Listing {
		var remaining []infra.Listing
		for _, entry := range list {
			if entry.Addr != l.Addr {
				remaining = append(remaining, entry)
			}
		}
		return remaining
	})
}

// addVersion adds the version of the list that edit returns for a copy of the
// newest one, and drops versions that can't become visible any more.
func (h *HostList) addVersion(edit func([]infra.Listing) []infra.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.versions[len(h.versions)-1].list
	next := edit(append([]infra.Listing(nil), newest...))
	h.versions = append(h.versions, listVersion{since: time.Now(), list: next})
	h.visibleList(time.Now())
}

// visibleList returns the newest version that is at least as old as the lag, or
// else the oldest one, and drops those before it. The caller holds mu.
func (h *HostList) visibleList(now time.Time) []infra.Listing {
	visible := 0
	for i, v := range h.versions {
		if !now.Before(v.since.Add(h.lag)) {
			visible = i
		}
	}
	h.versions = h.versions[visible:]
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
	list := h.visibleList(time.Now())
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
