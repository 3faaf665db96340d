package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/workload"
)

// chooseUpstream chooses the next upstream. The ticket is empty unless the
// upstream is an engine.
func (x *exchange) chooseUpstream(ctx context.Context, plan attemptPlan, inputs *staging.Results) (instance.Status, placement.Ticket, bool) {
	if !x.needsEngine() {
		all := x.config.Instances.Service(x.service, time.Now())
		chosen, found := balance.ChooseUpstream(all, balance.Need{
			PreferredDataCentre: x.config.DataCentre, Tried: plan.tried, Version: plan.version,
			Work: balance.Work{Table: x.config.Workload, Class: x.costClass(), Now: time.Now()},
		}, plan.random)
		return chosen, placement.Ticket{}, found
	}
	need := placement.Need{
		RequestID: x.placementID(), Service: x.service, Parts: x.request.Prompt.Parts,
		Tokens: x.request.Prompt.Tokens, ExpectedOutputTokens: x.expectedOutputTokens(), Tried: plan.tried, Version: plan.version,
		UntilDue: max(time.Until(x.targetTime), 0),
	}
	if inputs != nil {
		need.Inputs = inputs.Bytes
	}
	ticket, found := x.config.Placer.Place(ctx, need, plan.random)
	return ticket.Engine, ticket, found
}

// costClass returns the class of requests that cost about the same as this one at a plain
// service.
func (x *exchange) costClass() workload.Class {
	return workload.ClassOf(x.route.Name, x.service, workload.Shape{BodyBytes: len(x.request.Body)})
}

// placementID returns an ID for one placement of the request: two attempts may run at the
// same time.
func (x *exchange) placementID() string {
	if n := x.placements.Add(1); n > 1 {
		return x.request.ID + "/" + strconv.FormatUint(uint64(n), 10)
	}
	return x.request.ID
}

func (x *exchange) needsEngine() bool {
	s, known := x.table.Service(x.service)
	return known && s.Engine != nil
}

// engineDataCentre returns the data centre of the engine that is likely to run
// the request, if it must have a software version; "" if the service has no engines.
func (x *exchange) engineDataCentre(version string) host.DataCentre {
	if !x.needsEngine() {
		return ""
	}
	engines := instance.OfVersion(x.config.Instances.Service(x.service, time.Now()), version)
	return placement.HomeDataCentre(engines, x.request.Prompt.Parts)
}

// expectedOutputTokens estimates the number of generated tokens.
func (x *exchange) expectedOutputTokens() int {
	if x.request.Prompt.OutputHint > 0 {
		return x.request.Prompt.OutputHint
	}
	return x.request.Prompt.MaxOutputTokens
}

// tokenCost is the engine memory that the request needs, in tokens.
func (x *exchange) tokenCost() int { return x.request.Prompt.Tokens + x.expectedOutputTokens() }

// enginePriority converts the request's rank to an engine's scale of 0 to
// lowestEnginePriority.
func (x *exchange) enginePriority() int {
	return min(max(x.priority+firstEnginePriority, 0), lowestEnginePriority)
}

const (
	// firstEnginePriority is that of the most urgent requests. Engines give 5 to requests
	// without one.
	firstEnginePriority  = 3
	lowestEnginePriority = 9
)

// isMine reports whether an answer belongs to this request. An unsigned answer,
// such as a refusal, may name no request.
func (x *exchange) isMine(r *http.Response) bool {
	a := x.config.Codec.DecodeAnswer(r)
	if a.RequestID == "" {
		return !a.Signed
	}
	return a.RequestID == x.request.ID
}
