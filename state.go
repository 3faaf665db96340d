package galenaseam

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/version"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/upstream"
)

// state is what a host tells operators about itself.
type state struct {
	host *Host
}

// Status returns the host's own state.
func (s *state) Status() operator.Status {
	ready, reason := s.host.ready()
	return operator.Status{
		ID:         string(s.host.info.ID),
		Version:    version.String(),
		Ready:      ready,
		Reason:     reason,
		Draining:   s.host.isDraining(),
		Generation: s.host.generation(),
	}
}

// Hosts returns the fleet as this host sees it.
func (s *state) Hosts() []operator.HostRow {
	members := s.host.members.Members()
	rows := make([]operator.HostRow, 0, len(members))
	for _, m := range members {
		row := operator.HostRow{
			ID:          string(m.ID),
			DataCentre:  string(m.Place.DataCentre),
			Region:      string(m.Place.Region),
			HTTP:        m.HTTPAddr.String(),
			Link:        m.LinkAddr.String(),
			State:       m.State.String(),
			Incarnation: m.Incarnation,
			Generation:  m.Generation,
			Self:        m.ID == s.host.info.ID,
		}
		if row.Self {
			row.Generation = s.host.generation()
		}
		rows = append(rows, row)
	}
	return rows
}

// Upstreams returns the upstreams of every declared pool.
func (s *state) Upstreams() []operator.UpstreamRow {
	doc := s.host.document()
	rows := []operator.UpstreamRow{}
	if doc == nil {
		return rows
	}
	for _, pool := range doc.Pools {
		for _, up := range s.host.upstreams.Pool(pool.Name) {
			rows = append(rows, s.upstreamRow(up))
		}
	}
	return rows
}

// upstreamRow shows one upstream with its newest load report.
func (s *state) upstreamRow(up upstream.Upstream) operator.UpstreamRow {
	row := operator.UpstreamRow{
		ID:         string(up.ID),
		Pool:       up.Pool,
		DataCentre: string(up.Place.DataCentre),
		State:      up.State.String(),
		Models:     up.Models,
	}
	if load, ok := s.host.upstreams.LoadOf(up.ID); ok {
		row.InFlight = load.InFlight
		row.Queued = load.Queued
		row.LoadAge = time.Since(time.Unix(0, load.AtUnixNano)).Round(time.Millisecond)
	}
	return row
}

// Pipelines returns the declared pipelines.
func (s *state) Pipelines() []operator.PipelineRow {
	rows := []operator.PipelineRow{}
	doc := s.host.document()
	if doc == nil {
		return rows
	}
	for _, p := range doc.Pipelines {
		rows = append(rows, operator.PipelineRow{
			Name:       p.Name,
			Class:      p.Class,
			Deadline:   p.Deadline.Std().String(),
			Stages:     p.Stages,
			Workspaces: p.Workspaces,
			ChatModel:  p.ChatModel,
		})
	}
	return rows
}

// Workspaces returns the declared workspaces.
func (s *state) Workspaces() []operator.WorkspaceRow {
	rows := []operator.WorkspaceRow{}
	doc := s.host.document()
	if doc == nil {
		return rows
	}
	limits := limitsByWorkspace(doc)
	for _, w := range doc.Workspaces {
		rows = append(rows, operator.WorkspaceRow{Name: w.Name, Share: w.Share, Large: w.Large, Limits: limits[w.Name]})
	}
	return rows
}

// limitsByWorkspace counts the limits of each workspace.
func limitsByWorkspace(doc *document.Document) map[string]int {
	counts := make(map[string]int, len(doc.Limits))
	for _, l := range doc.Limits {
		counts[l.Workspace]++
	}
	return counts
}

// Explain returns the inputs of the decisions on a request.
func (s *state) Explain(requestID string) (any, bool) { return s.host.dispatcher.Explain(requestID) }

// Costs returns the cost by stage since the start.
func (s *state) Costs() any { return s.host.dispatcher.Costs() }

// Drain starts the host's graceful shutdown.
func (s *state) Drain() { s.host.Drain() }
