// Package document defines the operators' document: a YAML file whose sections
// are owned by different teams. The package parses it strictly, sets defaults
// and validates it as a whole. It does no I/O.
package document

import "github.com/galenaseam/galenaseam/internal/strictyaml"

// Duration is a time.Duration written as text, for example "250ms".
type Duration = strictyaml.Duration

// Section is the key of a top-level section of the document.
type Section string

// The sections, in document order.
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

// Document is the configuration of the whole fleet. A Document returned by Parse
// or ParseBodies is valid and must not be modified.
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

	index           index
	bodies          Bodies
	workspaceLayout *workspaceLayout // nil if unknown
}

// Site is a data centre and its region.
type Site struct {
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Model is a model that engines can load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters,omitempty"`
	// Group is the name of the group of models that the model is planned with.
	// Each group has one active planner, which decides which engines load them.
	Group string `yaml:"group,omitempty"`
	// MinCopies is the minimum number of engines that serve the model.
	MinCopies int `yaml:"min_copies,omitempty"`
	// MaxCopies is the maximum number of engines that hold the model; 0 means no
	// maximum.
	MaxCopies int `yaml:"max_copies,omitempty"`
}

// Kind is the function of a pool's upstreams or of a stage. It determines the
// protocol of the upstreams.
type Kind string

// The kinds of upstreams. The comments name the path that is called.
const (
	KindEncode   Kind = "encode"   // POST /v1/embeddings
	KindRetrieve Kind = "retrieve" // POST /v1/retrieve
	KindRerank   Kind = "rerank"   // POST /v1/rerank
	KindGenerate Kind = "generate" // POST /v1/chat/completions
	KindService  Kind = "service"  // any path
)

// Pool is a set of interchangeable upstreams. Its members are the targets in the
// host list with the pool's name in the label "pool".
type Pool struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Concurrency is the number of calls that one upstream runs concurrently
	// without delaying them.
	Concurrency int `yaml:"concurrency"`
	// MaxSetAside is the largest fraction of the pool's upstreams that outlier
	// detection may eject at the same time, from 0 to 1.
	MaxSetAside float64 `yaml:"max_set_aside,omitempty"`
	// ChecksFencing reports whether the upstreams reject a planner's orders that
	// carry an outdated fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
	// ReportsLoad reports whether the upstreams send their load with answers.
	ReportsLoad bool `yaml:"reports_load,omitempty"`
	// NoEcho reports that the upstreams don't return a call's identity headers,
	// so that answers are matched to calls by their connection alone.
	NoEcho bool `yaml:"no_echo,omitempty"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name  string `yaml:"name"`
	Kind  Kind   `yaml:"kind"`
	Pool  string `yaml:"pool"`
	Model string `yaml:"model,omitempty"`
	// TypicalDuration is the expected duration of the stage, used until durations have
	// been measured.
	TypicalDuration Duration `yaml:"typical"`
	// MaxTokens is the maximum number of tokens that a generate stage produces.
	MaxTokens int `yaml:"max_tokens,omitempty"`
	// TopK is the number of documents that a retrieve or rerank stage returns.
	TopK int `yaml:"top_k,omitempty"`
	// Fallback is the replacement that may be used when too little time is left
	// for the stage; nil if there is none.
	Fallback *Fallback `yaml:"fallback,omitempty"`
}

// Fallback is a cheaper replacement that the operators allow for a stage. Exactly
// one of the fields is set.
type Fallback struct {
	// Skip omits the stage; its input is passed to the next stage unchanged.
	Skip bool `yaml:"skip,omitempty"`
	// Stage is the name of another stage of the same kind to run instead.
	Stage string `yaml:"stage,omitempty"`
}

// Objective is the objective that requests of a class are optimised for.
type Objective string

// The objectives of a class.
const (
	ObjectiveAttainment Objective = "attainment" // meet the deadline
	ObjectiveCost       Objective = "cost"       // use fewer upstream resources
)

// Class is a service class: the deadline, the priority and the retry policy of
// its requests.
type Class struct {
	Name string `yaml:"name"`
	// Priority orders classes in queues; higher values go first.
	Priority  int       `yaml:"priority"`
	Objective Objective `yaml:"weigh"`
	// Deadline is both the default and the maximum deadline of the class's
	// requests.
	Deadline Duration `yaml:"deadline"`
	// RetryBudget limits the retries and hedges of the class, as a fraction of
	// its calls, from 0 to 1.
	RetryBudget float64 `yaml:"retry_budget,omitempty"`
	// Hedge allows a slow idempotent call to be sent to a second upstream.
	Hedge bool `yaml:"hedge,omitempty"`
}

// Pipeline is a sequence of stages with a common deadline.
type Pipeline struct {
	Name   string   `yaml:"name"`
	Class  string   `yaml:"class"`
	Stages []string `yaml:"stages"`
	// Deadline is the pipeline's deadline, at most that of the class. If it is
	// absent from the document, Parse sets it to the class's deadline.
	Deadline Duration `yaml:"deadline,omitempty"`
	// Workspaces lists the workspaces that may use the pipeline; empty means all.
	Workspaces []string `yaml:"workspaces,omitempty"`
	// ChatModel is the model name that selects the pipeline on the chat
	// completions path; empty if it is not available there.
	ChatModel string `yaml:"chat_model,omitempty"`
}

// Service is an HTTP service that is not a stage of a pipeline, such as billing.
type Service struct {
	Name       string      `yaml:"name"`
	Pool       string      `yaml:"pool"`
	Class      string      `yaml:"class"`
	Operations []Operation `yaml:"operations"`
}

// Operation is a method and path of a service. Calls that match no operation are
// rejected.
type Operation struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Idempotent allows the call to be repeated. Calls of other operations need
	// the header Idempotency-Key and run at most once.
	Idempotent bool `yaml:"idempotent,omitempty"`
}

// Workspace is a customer.
type Workspace struct {
	Name string `yaml:"name"`
	// KeyHashes are the SHA-256 hashes, in hex, of the keys that callers send.
	KeyHashes []string `yaml:"key_hashes"`
	// Share is the weight of the workspace in fair queueing; the default is 1.
	Share float64 `yaml:"share,omitempty"`
	// Large gives the workspace its own label value in metrics; others are
	// reported together.
	Large bool `yaml:"large,omitempty"`
}

// Limit is a rate limit of a workspace, which applies to all hosts together.
type Limit struct {
	Workspace string `yaml:"workspace"`
	// Class restricts the limit to requests of one class. If it is empty, the
	// limit applies to the requests of all classes together.
	Class             string  `yaml:"class,omitempty"`
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty"`
}

// Price is the price of a pool's work, in a currency of the operators' choice.
type Price struct {
	Pool           string  `yaml:"pool"`
	PerSecond      float64 `yaml:"per_second,omitempty"`
	PerInputToken  float64 `yaml:"per_input_token,omitempty"`
	PerOutputToken float64 `yaml:"per_output_token,omitempty"`
}

// Owner is a team and the sections that it may change.
type Owner struct {
	Team     string    `yaml:"team"`
	Sections []Section `yaml:"sections"`
	// KeyHashes are the SHA-256 hashes, in hex, of the team's operator keys.
	KeyHashes []string `yaml:"key_hashes"`
}
