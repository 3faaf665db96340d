package experiment

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
)

// Names of the pools and classes of the simulated documents.
const (
	PoolEncoders   = "encoders"
	PoolRetrievers = "retrievers"
	PoolRerankers  = "rerankers"
	PoolEngines    = "engines"
	PoolServices   = "services"

	ClassLookup  = "lookup"
	ClassOrder   = "order"
	ClassDraft   = "draft"
	ClassSummary = "summary"
)

// Flow is one kind of request.
type Flow struct {
	Class  string
	Stages []string
	// Share is the flow's share of the arrivals.
	Share       float64
	InputTokens int
	Idempotent  bool
}

// PoolSize is the number of upstreams of a pool.
type PoolSize struct {
	Pool      string
	Upstreams int
}

// Deployment describes the simulated hosts, upstreams and traffic of one operator.
type Deployment struct {
	Name   string
	Hosts  int
	Places []host.Place
	// OneWay is the one-way network latency between data centres of a region, and
	// Far that between regions.
	OneWay     time.Duration
	Far        time.Duration
	Workspaces []string
	Pools      []PoolSize
	Flows      []Flow
	Document   *document.Document
	// Times holds the mean service time of each stage on an idle upstream.
	Times map[string]time.Duration
}

// Deployments returns the deployments of the default grid.
func Deployments() []Deployment { return []Deployment{gasCylinders(), yards()} }

func gasCylinders() Deployment {
	d := baseDeployment("cylinders", "latvia", 500*time.Microsecond, 20)
	d.Flows = []Flow{
		{Class: ClassLookup, Stages: lookupStages(), Share: 0.55, InputTokens: 600, Idempotent: true},
		{Class: ClassOrder, Stages: []string{"book"}, Share: 0.15, InputTokens: 20},
		{Class: ClassSummary, Stages: summaryStages(), Share: 0.30, InputTokens: 4000, Idempotent: true},
	}
	return d
}

func yards() Deployment {
	d := baseDeployment("yards", "trinidad", time.Millisecond, 10)
	d.Flows = []Flow{
		{Class: ClassLookup, Stages: lookupStages(), Share: 0.50, InputTokens: 600, Idempotent: true},
		{Class: ClassOrder, Stages: []string{"book"}, Share: 0.15, InputTokens: 20},
		{Class: ClassDraft, Stages: draftStages(), Share: 0.20, InputTokens: 1500, Idempotent: true},
		{Class: ClassSummary, Stages: summaryStages(), Share: 0.15, InputTokens: 4000, Idempotent: true},
	}
	for i := range d.Document.Classes {
		d.Document.Classes[i].Objective = document.ObjectiveAttainment
	}
	return d
}

// Regions returns the yards deployment spread over two distant regions. It is not
// part of the default grid.
func Regions() Deployment {
	d := yards()
	d.Name = "regions"
	d.Far = 40 * time.Millisecond
	d.Places[2].Region = "guyana"
	d.Places[3].Region = "guyana"
	return d
}

// hostPlace returns the place of a host. Hosts are spread evenly over all places.
func (d *Deployment) hostPlace(hostIndex int) host.Place { return d.Places[hostIndex%len(d.Places)] }

// oneWayLatency returns the one-way network latency between two places.
func (d *Deployment) oneWayLatency(from, to host.Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return d.Far
	case from.DataCentre != to.DataCentre:
		return d.OneWay
	}
	return d.OneWay / 10
}

func lookupStages() []string  { return []string{"encode", "retrieve", "rerank", "answer"} }
func draftStages() []string   { return []string{"encode", "retrieve", "rerank", "draft"} }
func summaryStages() []string { return []string{"encode", "retrieve", "summarise"} }

func baseDeployment(name string, region host.Region, oneWay time.Duration, engines int) Deployment {
	d := Deployment{
		Name:       name,
		Hosts:      12,
		OneWay:     oneWay,
		Workspaces: []string{"w1", "w2", "w3", "w4", "w5"},
		Pools: []PoolSize{
			{Pool: PoolEncoders, Upstreams: engines / 3},
			{Pool: PoolRetrievers, Upstreams: engines / 2},
			{Pool: PoolRerankers, Upstreams: engines / 2},
			{Pool: PoolEngines, Upstreams: engines},
			{Pool: PoolServices, Upstreams: 5},
		},
		Times: make(map[string]time.Duration),
	}
	for _, dc := range []host.DataCentre{"dc1", "dc2", "dc3", "dc4"} {
		d.Places = append(d.Places, host.Place{DataCentre: dc, Region: region})
	}
	d.Document = baseDocument()
	for _, s := range d.Document.Stages {
		d.Times[s.Name] = s.TypicalDuration.Std()
	}
	return d
}

func baseDocument() *document.Document {
	stage := func(name string, kind document.Kind, pool string, typical time.Duration) document.Stage {
		return document.Stage{Name: name, Kind: kind, Pool: pool, TypicalDuration: document.Duration(typical)}
	}
	pool := func(name string, kind document.Kind, concurrency int) document.Pool {
		return document.Pool{Name: name, Kind: kind, Concurrency: concurrency, MaxSetAside: 0.34, ReportsLoad: true}
	}
	class := func(name string, priority int, weigh document.Objective, deadline time.Duration, hedge bool) document.Class {
		return document.Class{
			Name: name, Priority: priority, Objective: weigh, Deadline: document.Duration(deadline),
			RetryBudget: 0.1, Hedge: hedge,
		}
	}
	rerank := stage("rerank", document.KindRerank, PoolRerankers, 40*time.Millisecond)
	rerank.Fallback = &document.Fallback{Skip: true}
	doc := &document.Document{
		Pools: []document.Pool{
			pool(PoolEncoders, document.KindEncode, 4),
			pool(PoolRetrievers, document.KindRetrieve, 4),
			pool(PoolRerankers, document.KindRerank, 4),
			pool(PoolEngines, document.KindGenerate, 8),
			pool(PoolServices, document.KindService, 8),
		},
		Stages: []document.Stage{
			stage("encode", document.KindEncode, PoolEncoders, 10*time.Millisecond),
			stage("retrieve", document.KindRetrieve, PoolRetrievers, 30*time.Millisecond),
			rerank,
			stage("answer", document.KindGenerate, PoolEngines, 300*time.Millisecond),
			stage("draft", document.KindGenerate, PoolEngines, 1200*time.Millisecond),
			stage("summarise", document.KindGenerate, PoolEngines, 3*time.Second),
			stage("book", document.KindService, PoolServices, 40*time.Millisecond),
		},
		Classes: []document.Class{
			class(ClassLookup, 3, document.ObjectiveAttainment, 1500*time.Millisecond, true),
			class(ClassOrder, 3, document.ObjectiveAttainment, 2*time.Second, false),
			class(ClassDraft, 2, document.ObjectiveAttainment, 5*time.Second, true),
			class(ClassSummary, 1, document.ObjectiveCost, 10*time.Second, true),
		},
		Prices: []document.Price{
			{Pool: PoolEncoders, PerSecond: 0.2}, {Pool: PoolRetrievers, PerSecond: 0.1},
			{Pool: PoolRerankers, PerSecond: 0.2}, {Pool: PoolEngines, PerSecond: 1},
			{Pool: PoolServices, PerSecond: 0.05},
		},
	}
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5"} {
		doc.Workspaces = append(doc.Workspaces, document.Workspace{Name: name, Large: name == "w1" || name == "w2"})
	}
	return doc
}

func (d *Deployment) class(name string) document.Class {
	for _, c := range d.Document.Classes {
		if c.Name == name {
			return c
		}
	}
	return document.Class{Name: name}
}

func (d *Deployment) stage(name string) document.Stage {
	for _, s := range d.Document.Stages {
		if s.Name == name {
			return s
		}
	}
	return document.Stage{Name: name}
}

func (d *Deployment) concurrency(pool string) int {
	for _, p := range d.Document.Pools {
		if p.Name == pool {
			return p.Concurrency
		}
	}
	return 1
}

// engineSlots returns how many calls all engines together run at once.
func (d *Deployment) engineSlots() float64 {
	for _, p := range d.Pools {
		if p.Pool == PoolEngines {
			return float64(p.Upstreams * d.concurrency(PoolEngines))
		}
	}
	return 0
}

// engineTime returns the mean time that a request of a flow spends on engines.
func (d *Deployment) engineTime(f *Flow) time.Duration {
	var sum time.Duration
	for _, name := range f.Stages {
		if d.stage(name).Pool == PoolEngines {
			sum += d.Times[name]
		}
	}
	return sum
}

// Capacity returns the arrival rate per second that fully loads the engines, the
// first pool to fill up.
func (d *Deployment) Capacity() float64 {
	var mean float64
	for i := range d.Flows {
		mean += d.Flows[i].Share * d.engineTime(&d.Flows[i]).Seconds()
	}
	return d.engineSlots() / mean
}
