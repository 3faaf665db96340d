package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/workload"
)

// explainMethod asks the owner of a service what it would choose by. It changes nothing.
const explainMethod link.Method = "edge.Explain"

// explainTimeout bounds the call to the owner. Nothing but the operator waits for it.
const explainTimeout = 2 * time.Second

// explainQuestion is about an engine for Need, or about a call of some pieces to a stage service.
type explainQuestion struct {
	Need   placement.Need `cbor:"1,keyasint"`
	Pieces int            `cbor:"2,keyasint,omitempty"`
}

// explainAnswer is the view of the host that was asked. Owns is true if it takes itself for the
// owner.
type explainAnswer struct {
	Choice explain.Choice `cbor:"1,keyasint"`
	Owns   bool           `cbor:"2,keyasint"`
}

// metricsHandler serves what operators read from the host's metrics port.
func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/explain", h.serveExplain)
	return mux
}

// serveExplain answers where a request or a stage piece would go now.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		problem.New(http.StatusMethodNotAllowed, "method_not_allowed", "explain is read with GET", problem.No).Write(w, "")
		return
	}
	query, err := explain.Parse(r.URL.Query())
	if err != nil {
		problem.New(http.StatusBadRequest, "invalid_query", err.Error(), problem.No).Write(w, "")
		return
	}
	report, refused := h.explain(r.Context(), query)
	if refused != nil {
		refused.Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(report) // fails only if the operator has disconnected
}

// explain answers a query by the configuration in force.
func (h *Host) explain(ctx context.Context, q explain.Query) (explain.Report, *problem.Problem) {
	table := h.directory.Routes()
	if table == nil {
		return explain.Report{}, problem.New(http.StatusServiceUnavailable, "no_configuration", "the host has read no configuration", problem.No)
	}
	report := explain.Report{Host: string(h.info.ID)}
	if q.Service != "" {
		service, known := table.Service(q.Service)
		if !known || service.Stages == nil {
			return report, problem.New(http.StatusNotFound, "no_stage_service", `parameter "service": the configuration has no stage service `+q.Service, problem.No)
		}
		report.Services = []explain.Service{h.explainOwned(ctx, explainQuestion{Need: placement.Need{Service: q.Service}, Pieces: q.Pieces})}
		return report, nil
	}
	route, found := table.Match(q.Host, q.Path)
	if !found {
		return report, problem.New(http.StatusNotFound, "no_route", `parameters "host" and "path": no route matches`, problem.No)
	}
	report.Route, report.Rank = route.Name, table.Rank(route, nil)
	report.Stages, report.Refused = explainStages(table, route, q.StagePieces)
	for _, target := range route.Targets {
		service, known := table.Service(target.Service)
		if !known || target.Weight <= 0 {
			continue
		}
		s := explain.Service{}
		if service.Engine != nil {
			s = h.explainOwned(ctx, explainQuestion{Need: placement.Need{
				Service: service.Name, Parts: q.Parts, Tokens: q.PromptTokens, ExpectedOutputTokens: q.OutputTokens,
				Version: q.Version, UntilDue: route.Objective,
			}})
		} else {
			s = h.explainPlain(route, service.Name, q.Version)
		}
		s.Weight = target.Weight
		report.Services = append(report.Services, s)
	}
	return report, nil
}

// explainStages describes the stages of a route, and says why a request with numbers of pieces, nil
// if they are not stated, is refused for good. It assumes that the request states a key.
func explainStages(table *routing.Table, route *routing.Route, pieces []int) (stages []explain.Stage, refused string) {
	graph, err := table.StageGraph(route)
	if err != nil {
		return nil, err.Error()
	}
	if graph == nil {
		return nil, ""
	}
	for i, s := range graph.Stages() {
		stage := explain.Stage{Service: s.Service, Reads: graph.Inputs(i), ReadBy: graph.Readers(i)}
		if i < len(pieces) {
			stage.Pieces = &pieces[i]
		}
		stages = append(stages, stage)
	}
	if pieces == nil {
		return stages, ""
	}
	if _, err := staging.NewPlan(graph, &call.Request{Pieces: pieces, PiecesKey: "key"}); err != nil {
		refused = err.Error()
	}
	return stages, refused
}

// explainPlain answers for a service whose upstreams each host chooses by itself.
func (h *Host) explainPlain(route *routing.Route, service, version string) explain.Service {
	now := time.Now()
	s := explain.Service{Service: service, Kind: "plain", AnsweredBy: string(h.info.ID)}
	s.Choice = balance.ExplainUpstream(h.instances.Service(service, now), balance.Need{
		PreferredDataCentre: h.settings.Place.DataCentre, Version: version,
		Work: balance.Work{Table: h.workload, Class: workload.ClassOf(route.Name, service, workload.Shape{}), Now: now},
	})
	s.Excluded = append(s.Excluded, h.exclusions(service, version, now)...)
	return s
}

// explainOwned answers for a service of which one host decides: by that host's view, or by this
// one's if it can't be asked. What this host must not send work to is excluded in any case.
func (h *Host) explainOwned(ctx context.Context, q explainQuestion) explain.Service {
	now := time.Now()
	service := q.Need.Service
	s := explain.Service{Service: service, Kind: "engine"}
	if q.Pieces > 0 {
		s.Kind = "stage"
	}
	q.Need.Tried = h.instances.Withheld(service, now)
	owner, own := h.owners.Owner(service, now)
	s.Owner, s.AnsweredBy = string(owner.ID), string(owner.ID)
	if own {
		s.Choice = h.explainByOwner(q).Choice
	} else {
		ctx, cancel := context.WithTimeout(ctx, explainTimeout)
		defer cancel()
		answer, err := link.CallIdempotent[explainQuestion, explainAnswer](ctx, h.peerClient, owner.LinkAddr, explainMethod, q)
		switch {
		case err != nil:
			s.AnsweredBy, s.Note = string(h.info.ID), "the owner can't be asked, this is the host's own view: "+err.Error()
			s.Choice = h.explainAlone(q)
		case !answer.Owns:
			s.Note = "the host that was asked does not take itself for the owner"
			fallthrough
		default:
			s.Choice = answer.Choice
		}
	}
	if q.Pieces == 0 {
		s.Exclude(h.exclusions(service, q.Need.Version, now))
	}
	return s
}

// explainByOwner answers for a service that this host decides for.
func (h *Host) explainByOwner(q explainQuestion) explainAnswer {
	now := time.Now()
	_, own := h.owners.Owner(q.Need.Service, now)
	answer := explainAnswer{Owns: own}
	excluded := h.exclusions(q.Need.Service, q.Need.Version, now)
	if q.Pieces > 0 {
		answer.Choice = h.gatherer.Explain(q.Need.Service, q.Pieces, now)
	} else {
		answer.Choice = h.placer.Explain(q.Need, now)
		// An engine that has asked only this host for a pause may be chosen for others.
		excluded = slices.DeleteFunc(excluded, func(e explain.Exclusion) bool {
			return e.Reason == instance.ExcludedPaused || e.Reason == instance.ExcludedReported || e.Reason == instance.ExcludedLimited
		})
	}
	answer.Choice.Excluded = append(answer.Choice.Excluded, excluded...)
	return answer
}

// explainAlone answers for a service whose owner can't be asked.
func (h *Host) explainAlone(q explainQuestion) explain.Choice {
	if q.Pieces > 0 {
		return h.explainByOwner(q).Choice
	}
	return h.placer.ExplainAlone(q.Need, time.Now())
}

// exclusions returns the upstreams of a service that this host must not send work to.
func (h *Host) exclusions(service, version string, now time.Time) (all []explain.Exclusion) {
	for _, e := range h.instances.Exclusions(service, version, now) {
		excluded := explain.Exclude(e.Status, e.Reason)
		if !e.Until.IsZero() {
			excluded.ForMs = max(e.Until.Sub(now), 0).Milliseconds()
		}
		all = append(all, excluded)
	}
	return all
}
