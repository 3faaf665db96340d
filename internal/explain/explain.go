// Package explain defines the question where a request or a stage piece would go now, and the
// answer: the upstreams in order of preference with the figures of the decision, and those that
// are excluded. The packages that decide fill in the answer.
package explain

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
)

// Error is the class of every error this package returns.
var Error = errs.Class("explain")

// Query describes a request, or a stage piece if Pieces is not 0.
type Query struct {
	// Host and Path find the route of a request.
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Service and Pieces describe work for a stage service.
	Service string `json:"service,omitempty"`
	Pieces  int    `json:"pieces,omitempty"`
	// StagePieces is the number of pieces of each stage of the route; nil if the query states none.
	StagePieces  []int             `json:"stage_pieces,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	OutputTokens int               `json:"output_tokens,omitempty"`
	Parts        []call.PromptPart `json:"parts,omitempty"`
	Version      string            `json:"version,omitempty"`
}

// The parameters of a query.
const (
	ParamHost         = "host"
	ParamPath         = "path"
	ParamService      = "service"
	ParamPieces       = "pieces"
	ParamPromptTokens = "prompt_tokens"
	ParamOutputTokens = "output_tokens"
	ParamParts        = "parts"
	ParamVersion      = "version"
)

var (
	requestParams = []string{ParamHost, ParamPath, ParamPieces, ParamPromptTokens, ParamOutputTokens, ParamParts, ParamVersion}
	stageParams   = []string{ParamService, ParamPieces}
)

// Bounds of a query. They are far above what requests have, and keep one query cheap.
const (
	maxTokens = 1 << 30
	maxPieces = 1 << 20
	maxParts  = 4096
	maxStages = 4096
)

// Parse reads a query from its parameters. The error names the parameter that is wrong.
func Parse(values url.Values) (q Query, err error) {
	for name, given := range values {
		switch {
		case !slices.Contains(requestParams, name) && !slices.Contains(stageParams, name):
			return Query{}, Error.New("unknown parameter %q", name)
		case len(given) > 1:
			return Query{}, Error.New("parameter %q is given %d times", name, len(given))
		case values.Has(ParamService) && !slices.Contains(stageParams, name):
			return Query{}, Error.New("parameter %q is not allowed beside %q", name, ParamService)
		}
	}
	if values.Has(ParamService) {
		q.Service, q.Pieces = values.Get(ParamService), 1
		if q.Service == "" {
			return Query{}, Error.New("parameter %q is empty", ParamService)
		}
		if values.Has(ParamPieces) {
			q.Pieces, err = number(ParamPieces, values.Get(ParamPieces), 1, maxPieces)
		}
		return q, err
	}
	q.Host, q.Path, q.Version = values.Get(ParamHost), values.Get(ParamPath), values.Get(ParamVersion)
	if q.Host == "" {
		return Query{}, Error.New("parameter %q is missing; a stage piece needs %q instead", ParamHost, ParamService)
	}
	if !strings.HasPrefix(q.Path, "/") {
		return Query{}, Error.New("parameter %q must begin with a slash", ParamPath)
	}
	if values.Has(ParamPieces) {
		if q.StagePieces, err = parseStagePieces(values.Get(ParamPieces)); err != nil {
			return q, err
		}
	}
	return q, q.parsePrompt(values)
}

// parseStagePieces reads a list of the number of pieces of each stage.
func parseStagePieces(text string) (pieces []int, err error) {
	list := strings.Split(text, ",")
	if len(list) > maxStages {
		return nil, Error.New("parameter %q has more than %d stages", ParamPieces, maxStages)
	}
	for _, item := range list {
		n, err := number(ParamPieces, item, 0, maxPieces)
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, n)
	}
	return pieces, nil
}

// parsePrompt reads the size and the parts of the prompt.
func (q *Query) parsePrompt(values url.Values) (err error) {
	if text := values.Get(ParamParts); text != "" {
		if q.Parts, err = parseParts(text); err != nil {
			return err
		}
	}
	inParts := 0
	for _, part := range q.Parts {
		inParts += part.Tokens
	}
	q.PromptTokens = inParts
	if values.Has(ParamPromptTokens) {
		if q.PromptTokens, err = number(ParamPromptTokens, values.Get(ParamPromptTokens), 0, maxTokens); err != nil {
			return err
		}
	}
	if q.PromptTokens < inParts {
		return Error.New("parameter %q is %d, but %q have %d tokens", ParamPromptTokens, q.PromptTokens, ParamParts, inParts)
	}
	if values.Has(ParamOutputTokens) {
		q.OutputTokens, err = number(ParamOutputTokens, values.Get(ParamOutputTokens), 0, maxTokens)
	}
	return err
}

// parseParts reads a list of ID:TOKENS.
func parseParts(text string) (parts []call.PromptPart, err error) {
	list := strings.Split(text, ",")
	if len(list) > maxParts {
		return nil, Error.New("parameter %q has more than %d parts", ParamParts, maxParts)
	}
	for _, item := range list {
		colon := strings.LastIndexByte(item, ':')
		if colon <= 0 {
			return nil, Error.New("parameter %q: %q is not ID:TOKENS", ParamParts, item)
		}
		tokens, err := number(ParamParts, item[colon+1:], 0, maxTokens)
		if err != nil {
			return nil, err
		}
		parts = append(parts, call.PromptPart{ID: item[:colon], Tokens: tokens})
	}
	return parts, nil
}

func number(param, text string, least, most int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		return 0, Error.New("parameter %q: %q is not a number from %d to %d", param, text, least, most)
	}
	return n, nil
}

// Report is the answer to a query.
type Report struct {
	// Host is the host that was asked.
	Host string `json:"host"`
	// Route and Rank are those of a request; rank 0 is the most urgent.
	Route string `json:"route,omitempty"`
	Rank  int    `json:"rank"`
	// Refused is why no host serves such a request, whenever it comes; "" if hosts do.
	Refused string `json:"refused,omitempty"`
	// Stages are those of the route.
	Stages []Stage `json:"stages,omitempty"`
	// Services are the targets of the route, or the stage service.
	Services []Service `json:"services"`
}

// Stage is a stage of a route.
type Stage struct {
	Service string `json:"service"`
	// Pieces is how many the request has; 0 if it omits the stage, nil if the query states none.
	Pieces *int `json:"pieces,omitempty"`
	// Reads are the stages whose results each piece is given; without any it is given the key.
	Reads []int `json:"reads,omitempty"`
	// ReadBy are the stages that are given the results; without any the request itself is.
	ReadBy []int `json:"read_by,omitempty"`
}

// Service is the part of the answer about one service.
type Service struct {
	Service string `json:"service"`
	// Kind is "plain", "engine" or "stage".
	Kind string `json:"kind"`
	// Weight is the weight of the service in the split of the route.
	Weight int `json:"weight,omitempty"`
	// Owner is the host that decides; "" if each host decides by itself. AnsweredBy is the host
	// whose view this is, and Note says why it is not the owner's.
	Owner      string `json:"owner,omitempty"`
	AnsweredBy string `json:"answered_by"`
	Note       string `json:"note,omitempty"`
	Choice
}

// Choice is what a decision is made of.
type Choice struct {
	// Figures are those of the whole service.
	Figures []Figure `json:"figures,omitempty"`
	// Candidates are in order of preference.
	Candidates []Candidate `json:"candidates"`
	Excluded   []Exclusion `json:"excluded"`
}

// Exclude adds upstreams that the asking host must not send work to. They are no candidates, and
// its reasons replace those of another host.
func (c *Choice) Exclude(all []Exclusion) {
	for _, e := range all {
		c.Candidates = slices.DeleteFunc(c.Candidates, func(other Candidate) bool { return other.Upstream == e.Upstream })
		c.Excluded = slices.DeleteFunc(c.Excluded, func(other Exclusion) bool { return other.Upstream == e.Upstream })
	}
	c.Excluded = append(c.Excluded, all...)
}

// NewChoice returns a choice without upstreams. Its lists are empty in JSON, too.
func NewChoice(figures ...Figure) Choice {
	return Choice{Figures: figures, Candidates: []Candidate{}, Excluded: []Exclusion{}}
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Upstream   string   `json:"upstream"`
	DataCentre string   `json:"data_centre"`
	Version    string   `json:"version,omitempty"`
	Figures    []Figure `json:"figures"`
}

// Figure is a number of the decision.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Exclusion is an upstream that can't be chosen now.
type Exclusion struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre"`
	Reason     string `json:"reason"`
	// ForMs is for how long, as far as it is known; 0 otherwise.
	ForMs int64 `json:"for_ms,omitempty"`
}

// NewCandidate describes an upstream with the figures of its choice.
func NewCandidate(s instance.Status, figures ...Figure) Candidate {
	return Candidate{Upstream: string(s.ID), DataCentre: string(s.DataCentre), Version: s.Version, Figures: figures}
}

// Exclude describes an upstream that is excluded for a reason.
func Exclude(s instance.Status, reason string) Exclusion {
	return Exclusion{Upstream: string(s.ID), DataCentre: string(s.DataCentre), Reason: reason}
}

// ExcludeEjected describes an upstream that is excluded because its last calls failed.
func ExcludeEjected(s instance.Status) Exclusion {
	if s.Unreachable {
		return Exclude(s, "out of reach")
	}
	return Exclude(s, "ejected")
}

// Flag returns the figure of a condition: 1 if it holds, otherwise 0.
func Flag(name string, holds bool) Figure {
	if holds {
		return Figure{Name: name, Value: 1}
	}
	return Figure{Name: name}
}

// Ms returns the figure of a duration, in milliseconds.
func Ms(name string, d time.Duration) Figure {
	return Figure{Name: name, Value: d.Seconds() * 1000}
}
