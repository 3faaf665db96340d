// Package document defines the operators' document: one long YAML whose
// sections are owned by different teams. It parses strictly, fills defaults
// and checks the whole; it does no I/O.
package document

import "github.com/galenaseam/galenaseam/internal/strictyaml"

// Duration is a time.Duration written as text, for example "250ms".
type Duration = strictyaml.Duration

// Section names a top-level part of the document.
type Section string

// The sections, in the order in which they are written.
const (
	SectionSites      Section = "sites"
	SectionModels     Section = "models"
	SectionPools      Section = "pools"
	SectionStages     Section = "stages"
	SectionClasses    Section = "classes"
	SectionPipelines  Section = "pipelines"
	SectionServices   Section = "services"
	SectionWorkspaces Section = "workspaces"
	SectionLimits     Section = "limits"
	SectionPrices     Section = "prices"
	SectionOwners     Section = "owners"
)

// Sections lists every section in document order.
func Sections() []Section {
	return []Section{
		SectionSites, SectionModels, SectionPools, SectionStages, SectionClasses, SectionPipelines,
		SectionServices, SectionWorkspaces, SectionLimits, SectionPrices, SectionOwners,
	}
}

// Document is the whole of the operators' intent. A Document that Parse
// returned is valid and must not be changed.
type Document struct {
	Sites      []Site      `yaml:"sites"`
	Models     []Model     `yaml:"models"`
	Pools      []Pool      `yaml:"pools"`
	Stages     []Stage     `yaml:"stages"`
	Classes    []Class     `yaml:"classes"`
	Pipelines  []Pipeline  `yaml:"pipelines"`
	Services   []Service   `yaml:"services"`
	Workspaces []Workspace `yaml:"workspaces"`
	Limits     []Limit     `yaml:"limits"`
	Prices     []Price     `yaml:"prices"`
	Owners     []Owner     `yaml:"owners"`

	index  index
	bodies Bodies
	layout *layout
}

// Site is one data centre and the region it stands in.
type Site struct {
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Model is a model that engines can load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters,omitempty"`
	// Group names the planner that decides where the model is loaded.
	Group string `yaml:"group,omitempty"`
	// MinCopies is how many engines must serve the model at any time.
	MinCopies int `yaml:"min_copies,omitempty"`
	// MaxCopies bounds how many engines may hold the model.
	MaxCopies int `yaml:"max_copies,omitempty"`
}

// Kind is what the upstreams of a pool do, and so the protocol they speak.
type Kind string

// The kinds of upstream.
const (
	KindEncode   Kind = "encode"   // POST /v1/embeddings
	KindRetrieve Kind = "retrieve" // POST /v1/retrieve
	KindRerank   Kind = "rerank"   // POST /v1/rerank
	KindGenerate Kind = "generate" // POST /v1/chat/completions
	KindService  Kind = "service"  // any path
)

// Pool is a set of like upstreams. Its members come from the host list, by
// the label "pool".
type Pool struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Concurrency is how many calls one upstream runs at once without delay.
	Concurrency int `yaml:"concurrency"`
	// MaxSetAside is the largest share of the pool that outlier detection may
	// set aside, from 0 to 1.
	MaxSetAside float64 `yaml:"max_set_aside,omitempty"`
	// ChecksFencing says whether the upstreams refuse orders that carry an
	// old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
	// ReportsLoad says whether the upstreams report their load.
	ReportsLoad bool `yaml:"reports_load,omitempty"`
	// NoEcho says that the upstreams do not repeat a call's identity headers,
	// so that answers are matched to calls by their connection alone.
	NoEcho bool `yaml:"no_echo,omitempty"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name  string `yaml:"name"`
	Kind  Kind   `yaml:"kind"`
	Pool  string `yaml:"pool"`
	Model string `yaml:"model,omitempty"`
	// Typical is the stage's expected time before any was measured.
	Typical Duration `yaml:"typical"`
	// MaxTokens bounds what a generate stage produces.
	MaxTokens int `yaml:"max_tokens,omitempty"`
	// TopK is how many documents a retrieve or rerank stage keeps.
	TopK int `yaml:"top_k,omitempty"`
	// Fallback is what may replace the stage when time runs short.
	Fallback *Fallback `yaml:"fallback,omitempty"`
}

// Fallback is a cheaper replacement that the operators allow for a stage.
type Fallback struct {
	// Skip leaves the stage out; its input passes on unchanged.
	Skip bool `yaml:"skip,omitempty"`
	// Stage names another stage of the same kind to run in its place.
	Stage string `yaml:"stage,omitempty"`
}

// Weigh is what a class's contract puts first.
type Weigh string

// The two things a contract can put first.
const (
	WeighAttainment Weigh = "attainment"
	WeighCost       Weigh = "cost"
)

// Class is the contract for one kind of request.
type Class struct {
	Name string `yaml:"name"`
	// Priority orders classes in queues; larger goes first.
	Priority int   `yaml:"priority"`
	Weigh    Weigh `yaml:"weigh"`
	// Deadline is the default and the largest deadline of the class.
	Deadline Duration `yaml:"deadline"`
	// RetryBudget is the share of a class's calls that may be retries or
	// hedges, from 0 to 1.
	RetryBudget float64 `yaml:"retry_budget,omitempty"`
	// Hedge allows a second copy of a slow idempotent call.
	Hedge bool `yaml:"hedge,omitempty"`
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name   string   `yaml:"name"`
	Class  string   `yaml:"class"`
	Stages []string `yaml:"stages"`
	// Deadline narrows the class's deadline.
	Deadline Duration `yaml:"deadline,omitempty"`
	// Workspaces lists who may use the pipeline; empty means everyone.
	Workspaces []string `yaml:"workspaces,omitempty"`
	// ChatModel is the model name under which the pipeline is offered on the
	// chat completions path.
	ChatModel string `yaml:"chat_model,omitempty"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name       string      `yaml:"name"`
	Pool       string      `yaml:"pool"`
	Class      string      `yaml:"class"`
	Operations []Operation `yaml:"operations"`
}

// Operation is one call of a plain service. A call that matches none of the
// operations is refused.
type Operation struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Idempotent says that the call may be repeated. Others need an
	// Idempotency-Key and run at most once.
	Idempotent bool `yaml:"idempotent,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name string `yaml:"name"`
	// KeyHashes are SHA-256 hashes, in hex, of the keys that callers present.
	KeyHashes []string `yaml:"key_hashes"`
	// Share weighs the workspace in fair queues; the default is 1.
	Share float64 `yaml:"share,omitempty"`
	// Large gives the workspace histograms of its own.
	Large bool `yaml:"large,omitempty"`
}

// Limit bounds what one workspace may use over all hosts.
type Limit struct {
	Workspace string `yaml:"workspace"`
	// Class narrows the limit to one class; empty means all together.
	Class             string  `yaml:"class,omitempty"`
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty"`
}

// Price is what one pool's work costs, in the operators' unit of money.
type Price struct {
	Pool           string  `yaml:"pool"`
	PerSecond      float64 `yaml:"per_second,omitempty"`
	PerInputToken  float64 `yaml:"per_input_token,omitempty"`
	PerOutputToken float64 `yaml:"per_output_token,omitempty"`
}

// Owner is a team and the sections it may change.
type Owner struct {
	Team     string    `yaml:"team"`
	Sections []Section `yaml:"sections"`
	// KeyHashes are SHA-256 hashes, in hex, of the team's operator keys.
	KeyHashes []string `yaml:"key_hashes"`
}
