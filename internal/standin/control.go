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

// The names of the platform's stand-ins on the control address. Upstreams go
// by their address.
const (
	NameStore    = "store"
	NameHostList = "hostlist"
	NameWeights  = "weights"
)

// Status is one upstream as the control address shows it.
type Status struct {
	Name  string        `json:"name"`
	Pool  string        `json:"pool"`
	Kind  document.Kind `json:"kind"`
	Place host.Place    `json:"place"`
	Stats server.Stats  `json:"stats"`
}

// Overview is a whole deployment as the control address shows it.
type Overview struct {
	Store     string   `json:"store"`
	HostList  string   `json:"host_list"`
	Weights   string   `json:"weights"`
	Upstreams []Status `json:"upstreams"`
	// StoreCounts is the calls that the key-value service has taken.
	StoreCounts store.Counts `json:"store_counts"`
}

// routes serves GET /, GET /executions, GET /marks, GET /crashes, POST /fault/{name}, and for
// upstreams POST /leave/{name} and POST /return/{name}. PUT /hosts/{address}
// lists an entry host, with the query's data_centre and region; DELETE takes it
// out.
func (d *Deployment) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, d.overview())
	})
	mux.Handle("GET /executions", d.Ledger)
	mux.Handle("GET /marks", d.Marks)
	mux.Handle("GET /crashes", d.Crashes)
	mux.HandleFunc("POST /fault/{name}", d.handleFault)
	mux.HandleFunc("POST /leave/{name}", d.onUpstream(d.Leave))
	mux.HandleFunc("POST /return/{name}", d.onUpstream(d.Return))
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
	target := d.find(r.PathValue("name"))
	if target == nil {
		http.Error(w, "no such stand-in", http.StatusNotFound)
		return
	}
	fault.Handler(target.Fault).ServeHTTP(w, r)
}

// find returns a stand-in by its name, or nil.
func (d *Deployment) find(name string) Faulty {
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

func (d *Deployment) onUpstream(do func(*Upstream)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u := d.upstream(r.PathValue("name"))
		if u == nil {
			http.Error(w, "no such upstream", http.StatusNotFound)
			return
		}
		do(u)
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
