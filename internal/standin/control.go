package standin

import (
	"net/http"
	"net/netip"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/server"
	"github.com/galenaseam/galenaseam/internal/standin/store"
)

// Names of the platform services in the paths of the control API. An upstream
// is named by its address.
const (
	NameStore    = "store"
	NameHostList = "hostlist"
	NameWeights  = "weights"
)

// Status describes one upstream in an Overview.
type Status struct {
	Name  string        `json:"name"`
	Pool  string        `json:"pool"`
	Kind  document.Kind `json:"kind"`
	Place host.Place    `json:"place"`
	Stats server.Stats  `json:"stats"`
}

// Overview describes a running deployment. GET / of the control API returns it.
type Overview struct {
	Store     string   `json:"store"`
	HostList  string   `json:"host_list"`
	Weights   string   `json:"weights"`
	Upstreams []Status `json:"upstreams"`
	// StoreCounts counts the calls that the key-value store has received.
	StoreCounts store.Counts `json:"store_counts"`
}

// routes returns the control API: GET /, GET /executions and POST
// /fault/{name}, GET /marks for RunsByReference and GET /crashes for
// CrashesByReference, and for upstreams POST /leave/{name} and POST
// /return/{name}. PUT /hosts/{address} adds an entry host to the host list, with
// its data_centre and region from the query; DELETE removes it.
func (d *Deployment) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, d.overview())
	})
	mux.Handle("GET /executions", d.Ledger)
	mux.Handle("GET /marks", d.RunsByReference)
	mux.Handle("GET /crashes", d.CrashesByReference)
	mux.HandleFunc("POST /fault/{name}", d.handleFault)
	mux.HandleFunc("POST /leave/{name}", d.upstreamHandler(d.Leave))
	mux.HandleFunc("POST /return/{name}", d.upstreamHandler(d.Return))
	mux.HandleFunc("PUT /hosts/{address}", d.handleHost)
	mux.HandleFunc("DELETE /hosts/{address}", d.handleHost)
	return mux
}

func (d *Deployment) overview() Overview {
	o := Overview{
		Store: d.StoreURL(), HostList: d.HostListURL(), Weights: d.WeightsURL(), StoreCounts: d.Store.Counts(),
	}
	for _, u := range d.Upstreams {
		o.Upstreams = append(o.Upstreams, Status{
			Name: u.Addr().String(), Pool: u.Listing.Pool, Kind: u.Kind, Place: u.Listing.Place, Stats: u.Stats(),
		})
	}
	return o
}

func (d *Deployment) handleFault(w http.ResponseWriter, r *http.Request) {
	target := d.faultTarget(r.PathValue("name"))
	if target == nil {
		http.Error(w, "no such stand-in", http.StatusNotFound)
		return
	}
	fault.Handler(target.Fault).ServeHTTP(w, r)
}

// faultTarget returns the stand-in with this name, or nil.
func (d *Deployment) faultTarget(name string) FaultTarget {
	switch name {
	case NameStore:
		return d.Store
	case NameHostList:
		return d.HostList
	case NameWeights:
		return d.Weights
	}
	if u := d.upstream(name); u != nil {
		return u
	}
	return nil
}

func (d *Deployment) upstream(name string) *Upstream {
	for _, u := range d.Upstreams {
		if u.Addr().String() == name {
			return u
		}
	}
	return nil
}

func (d *Deployment) upstreamHandler(action func(*Upstream)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u := d.upstream(r.PathValue("name"))
		if u == nil {
			http.Error(w, "no such upstream", http.StatusNotFound)
			return
		}
		action(u)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (d *Deployment) handleHost(w http.ResponseWriter, r *http.Request) {
	addr, err := netip.ParseAddrPort(r.PathValue("address"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		d.RemoveHost(addr)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	query := r.URL.Query()
	d.AddHost(addr, host.Place{
		DataCentre: host.DataCentre(query.Get("data_centre")), Region: host.Region(query.Get("region")),
	})
	w.WriteHeader(http.StatusNoContent)
}
