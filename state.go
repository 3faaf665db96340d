package galenaseam

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/version"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/upstream"
)

// hostState implements operator.State for a Host.
type hostState struct {
	host *Host
}

// Status returns the host's version, readiness and generation.
func (s *hostState) Status() operator.Status {
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

// Hosts returns the members of the fleet that this host knows.
func (s *hostState) Hosts() []operator.HostRow {
	members := s.host.membership.Members()
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

// Upstreams returns the upstreams of all pools in the document.
func (s *hostState) Upstreams() []operator.UpstreamRow {
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

// upstreamRow converts an upstream and its latest load report for operators.
func (s *hostState) upstreamRow(up upstream.Upstream) operator.UpstreamRow {
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

// Pipelines returns the pipelines in the document.
func (s *hostState) Pipelines() []operator.PipelineRow {
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

// Workspaces returns the workspaces in the document.
func (s *hostState) Workspaces() []operator.WorkspaceRow {
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

// Explain returns the recorded decisions on a request with their inputs.
func (s *hostState) Explain(requestID string) (any, bool) {
	return s.host.dispatcher.Explain(requestID)
}

// Costs returns the costs by stage since the host started.
func (s *hostState) Costs() any { return s.host.dispatcher.Costs() }

// Drain starts a graceful shutdown of the host.
func (s *hostState) Drain() { s.host.Drain() }
