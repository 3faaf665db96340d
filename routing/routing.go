// Package routing indexes the operators' configuration of routes, services and
// workspaces for the look-ups that each request needs. A Table is one accepted
// configuration and is immutable.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("routing")

// Version orders configurations. A higher version replaces a lower one.
type Version uint64

// Kind says how often a request of a route may run and how it is answered.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Stream
)

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream"}[k]
}

// Route says where requests with a host name and a path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may continue on another upstream after the last event
	// that was delivered.
	Resumable bool
	// Timeout caps the time from a request's arrival to its deadline; 0 means no
	// cap.
	Timeout time.Duration
	// Objective is the latency objective: a later answer is worth less.
	Objective time.Duration
	// EventGap is the longest acceptable pause between events of a stream.
	EventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Targets are the services that the requests are split between.
	Targets []Target
	// MaxUpstreams bounds how many upstreams one request is sent to.
	MaxUpstreams int
	// Public routes need no API key.
	Public bool
	// Stages run before a request is sent to an upstream.
	Stages []Stage
}

// Repeatable reports whether a request of the route may run on a second
// upstream after the first may already have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service with its weight in the split of a route.
type Target struct {
	Service string
	Weight  int
}

// Stage is a step of work that runs before the request itself. Its work is
// divided into pieces.
type Stage struct {
	Service string
	// DependsOn are the indexes of the stages whose results this one reads, as the configuration
	// lists them. StageGraph.Inputs are those to read.
	DependsOn []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections bounds the connections that all hosts together may open to
	// one upstream.
	MaxConnections int
	// WarmupTime is how long an upstream is cold after its start. WarmupPerSecond is how many
	// requests a second a cold upstream takes from all hosts together; 0 means that upstreams
	// are never cold.
	WarmupTime      time.Duration
	WarmupPerSecond float64
	// InvalidWarmup means that the configuration states a warm-up out of bounds, which was ignored
	// or capped.
	InvalidWarmup bool
	// Engine is set for model servers.
	Engine *Engine
	// Stages is set for services that run stages.
	Stages *StageServer
}

// Engine describes one model server of a service.
type Engine struct {
	// Concurrency is how many requests run at once.
	Concurrency int
	// CacheTokens is the memory, in tokens, for running requests and cached
	// prompt parts.
	CacheTokens int
}

// StageServer describes one stage server of a service.
type StageServer struct {
	// Concurrency is how many calls run at once.
	Concurrency int
	// BatchSize is how many pieces fit into one call.
	BatchSize int
	// CallTime is the fixed duration of a call. PieceTime is what each piece
	// adds to it.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemory is the memory for results, in bytes.
	ResultMemory int64
	// ResultTTL is how long after its call a result expires.
	ResultTTL time.Duration
}

// usableMemoryFraction is the fraction of a stage server's memory that is filled with results.
// The rest is a reserve because results vary in size.
const usableMemoryFraction = 0.92

// UsableResultMemory returns how many bytes of results a stage server is filled with at the most.
func (s *StageServer) UsableResultMemory() int64 {
	return int64(usableMemoryFraction * float64(s.ResultMemory))
}

// FullBatchTime returns the duration of a call with a full batch.
func (s *StageServer) FullBatchTime() time.Duration {
	return s.CallTime + time.Duration(s.BatchSize)*s.PieceTime
}

// Limits bound the size of requests and the time that callers may take to send
// them.
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
	// Priority is the rank of the workspace's requests, before that of their routes, if
	// HasPriority is set; 0 is the most urgent.
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

// Table is a Config with its indexes. It is safe for concurrent use.
type Table struct {
	config   Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Workspace
	// stageGraphs are those of the routes with stages.
	stageGraphs map[*Route]tableStageGraph
	// urgencies are those of all requests, in order, see Rank.
	urgencies []int
}

// NewTable indexes a configuration. It fails if two routes have the same host
// and prefix, or if two workspaces hold the same key.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		byKey:    make(map[string]*Workspace),

		urgencies: urgencies(c),
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
	t.indexStageGraphs()
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.config.Version }

// Limits returns the limits on requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns every service. The caller must not change it.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route with the longest matching path prefix among those of
// the host. The host may include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case without the port.
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

// NeedsKeys reports whether requests need a key on routes that are not public.
func (t *Table) NeedsKeys() bool { return len(t.config.Workspaces) > 0 }

// Target returns the service for a request, chosen by weight. point is a number
// that is spread evenly over the requests, such as a hash; the same point always
// gives the same service. Target returns "" if the route has no targets.
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
