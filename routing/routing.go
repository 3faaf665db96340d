// Package routing holds the operators' routes, services and workspaces in the
// form in which requests look them up. A Table is one accepted configuration
// and never changes.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("routing")

// Version orders configurations. A higher one replaces a lower one.
type Version uint64

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Stream requests answer with events. They run at most once unless the
	// route is resumable.
	Stream
)

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream"}[k]
}

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Timeout is the longest a request may be kept waiting; 0 for none.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// EventGap is the longest pause between events of a stream that is on time.
	EventGap time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests.
	Targets []Target
	// MaxUpstreams is how many upstreams one request may be sent to.
	MaxUpstreams int
	// Public routes need no key.
	Public bool
	// Stages must be done before a request can run.
	Stages []Stage
}

// Repeatable says whether a request of the route may run on a second upstream
// after the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Stage is work on pieces of a request that is done before it runs.
type Stage struct {
	Service string
	// After are the indexes of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one upstream takes from all
	// hosts together.
	MaxConnections int
	// Engine is set for model servers.
	Engine *Engine
	// Stages is set for services that run stages.
	Stages *StageServer
}

// Engine describes one model server of a service.
type Engine struct {
	// Concurrency is how many requests run at once.
	Concurrency int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int
}

// StageServer describes one stage server of a service.
type StageServer struct {
	// Concurrency is how many calls run at once.
	Concurrency int
	// Batch is how many pieces one call takes.
	Batch int
	// CallTime is the fixed time of a call, PieceTime what each piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultRoom is the memory for results, in bytes.
	ResultRoom int64
	// KeepResults is how long a result lives after its call.
	KeepResults time.Duration
}

// FullCall is how long a call takes that is full.
func (s *StageServer) FullCall() time.Duration {
	return s.CallTime + time.Duration(s.Batch)*s.PieceTime
}

// Limits bound what callers send and how long they take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is one customer.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Config is a configuration as the operators wrote it.
type Config struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table is a Config with its look-ups. It is safe for concurrent use.
type Table struct {
	config   Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Workspace
}

// NewTable indexes a configuration. Two routes with the same host and prefix,
// or a key of two workspaces, are an error.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		byKey:    make(map[string]*Workspace),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			if other, taken := t.byKey[key]; taken && other != w {
				return nil, Error.New("workspaces %q and %q hold the same key", other.Name, w.Name)
			}
			t.byKey[key] = w
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for name, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
		for i := 1; i < len(routes); i++ {
			if routes[i].Prefix == routes[i-1].Prefix {
				return nil, Error.New("routes %q and %q both match host %q, prefix %q",
					routes[i-1].Name, routes[i].Name, name, routes[i].Prefix)
			}
		}
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.config.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns every service. The caller must not change it.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest prefix that begins the
// path. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName is the name in lower case without the port.
func hostName(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// NeedsKeys says whether requests of routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.config.Workspaces) > 0 }

// Target returns the service for a request, by its share of the route. The
// same point always gives the same service. A route without targets gives "".
func (r *Route) Target(point uint64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(point % uint64(total))
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Service
		}
	}
	return ""
}

// PriorityOf returns the rank of a workspace's request on a route. A
// workspace's own priority goes before the route's.
func PriorityOf(r *Route, w *Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
