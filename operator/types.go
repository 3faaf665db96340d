// Package operator implements the operators' HTTP interface of a host: health
// checks, metrics, profiles, views of the fleet, and changes of the operators'
// document. It is served at an address separate from the callers'.
package operator

import "time"

// HostRow is one host as this host sees it.
type HostRow struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	HTTP        string `json:"http"`
	Link        string `json:"link"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Self        bool   `json:"self,omitempty"`
}

// UpstreamRow is one upstream as this host sees it.
type UpstreamRow struct {
	ID         string   `json:"id"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
	Models     []string `json:"models,omitempty"`
	InFlight   int      `json:"in_flight"`
	Queued     int      `json:"queued"`
	// LoadAge is the age of the newest load report; zero if there is none.
	LoadAge time.Duration `json:"load_age_ns"`
}

// PipelineRow is one pipeline of the document in force.
type PipelineRow struct {
	Name       string   `json:"name"`
	Class      string   `json:"class"`
	Deadline   string   `json:"deadline"`
	Stages     []string `json:"stages"`
	Workspaces []string `json:"workspaces,omitempty"`
	ChatModel  string   `json:"chat_model,omitempty"`
}

// WorkspaceRow is one workspace of the document in force.
type WorkspaceRow struct {
	Name   string  `json:"name"`
	Share  float64 `json:"share"`
	Large  bool    `json:"large"`
	Limits int     `json:"limits"`
}

// Status is the state of the host that answers.
type Status struct {
	ID         string `json:"id"`
	Version    string `json:"version"`
	Ready      bool   `json:"ready"`
	Reason     string `json:"reason,omitempty"`
	Draining   bool   `json:"draining"`
	Generation uint64 `json:"generation"`
}

// ConfigText is the whole document in force.
type ConfigText struct {
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
}

// SectionBody is the YAML text of one section. In a change an empty Body removes
// the section.
type SectionBody struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

// ApplyRequest is a request to accept changed sections.
type ApplyRequest struct {
	// OperationID makes the request idempotent: a change that is sent again with
	// the same ID is accepted only once.
	OperationID string `json:"operation_id"`
	// Base is the generation that the change was made from.
	Base     uint64        `json:"base"`
	Sections []SectionBody `json:"sections"`
	Reason   string        `json:"reason"`
}

// ApplyResponse reports an accepted change and the generation it became.
type ApplyResponse struct {
	Generation uint64 `json:"generation"`
	// Repeated is true if the operation had already been accepted.
	Repeated bool `json:"repeated,omitempty"`
}

// RollbackRequest is a request to accept an earlier generation's sections as a
// new generation.
type RollbackRequest struct {
	OperationID string `json:"operation_id"`
	Generation  uint64 `json:"generation"`
	Reason      string `json:"reason"`
}

// CreateRequest is a request to accept the first document of an empty store.
type CreateRequest struct {
	OperationID string `json:"operation_id"`
	Text        string `json:"text"`
	Reason      string `json:"reason"`
}

// HistoryRow describes one accepted generation.
type HistoryRow struct {
	Generation uint64    `json:"generation"`
	Time       time.Time `json:"time"`
	Team       string    `json:"team"`
	Sections   []string  `json:"sections"`
	Reason     string    `json:"reason"`
}
