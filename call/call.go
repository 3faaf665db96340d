// Package call holds requests of callers and answers of upstreams as typed
// values, apart from the names they have on the wire.
package call

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// NoEvent is the event ID before the first event of a stream.
const NoEvent = -1

// Request is one attempt of a caller, read whole.
type Request struct {
	// ID is the caller's name for this attempt; a retry has another.
	ID     string
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	// Header is what goes on to an upstream unchanged.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Key is the API key, "" for none.
	Key string
	// Arrived is when the header was read.
	Arrived time.Time
	// Patience is how long the caller waits after sending; 0 when not told.
	Patience time.Duration
	// LastEvent is the last event that the caller has, or NoEvent.
	LastEvent int64
	Prompt    Prompt
	// Pieces is the number of pieces of each stage of the route.
	Pieces []int
	// PiecesKey names the content that the first stages work on.
	PiecesKey string
}

// Prompt describes what a request asks of an engine.
type Prompt struct {
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's guess of the output tokens; 0 for none.
	OutputHint int
	// Parts are the prompt's parts in order; engines cache them.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Upstream is the process that a request is sent to.
type Upstream struct {
	ID   string
	Addr netip.AddrPort
}

// Attempt is what a host adds to a request when it sends it to an upstream.
type Attempt struct {
	Upstream Upstream
	// Remaining is the time left to the caller.
	Remaining time.Duration
	Workspace string
	// Inputs are the results of the last stages.
	Inputs []string
	// LastEvent replaces the caller's when a stream is resumed; NoEvent leaves
	// the caller's.
	LastEvent int64
	// Priority is the rank at an engine: 0 is the first, 9 the last.
	Priority int
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	// Header is what goes back to the caller unchanged.
	Header http.Header
	// RequestID is the request that the answer names; "" when it names none.
	RequestID string
	// Signed says that the upstream's own signature is there.
	Signed bool
	// NotRun says that the upstream surely has not run the request and will not.
	NotRun bool
	// WrongUpstream says that another process has the address now.
	WrongUpstream bool
	// InputGone says that a stage's result no longer exists.
	InputGone bool
	// Encoded says that the body is not the upstream's plain body.
	Encoded bool
	Body    io.Reader
}

// Piece is one piece of a stage's work for a request.
type Piece struct {
	RequestID string
	Stage     int
	Index     int
	Remaining time.Duration
	// Key is set for stages without inputs.
	Key    string
	Inputs []string
}

// PieceFailure says why a piece has no result.
type PieceFailure uint8

// The failures of a piece.
const (
	PieceDone PieceFailure = iota
	// PieceLate: the piece's time was up at its turn.
	PieceLate
	// PieceInputGone: a result that the piece needs no longer exists.
	PieceInputGone
	// PieceNoRoom: the stage server has no memory for the result.
	PieceNoRoom
	// PieceError: the stage server failed, or its answer was lost.
	PieceError
	// PieceRefused: no stage server takes the piece.
	PieceRefused
	// PieceOverload: too much waits for the piece to be done in time.
	PieceOverload
	// PieceMoved: another host gathers for the service now.
	PieceMoved
)

// String returns the lower-case name of the failure.
func (f PieceFailure) String() string {
	return [...]string{"done", "late", "input_gone", "no_room", "error", "refused", "overload", "moved"}[f]
}

// PieceResult is where a piece's result lies, or why there is none.
type PieceResult struct {
	// Handle names the result and the stage server that keeps it.
	Handle  string
	Failure PieceFailure
	// DataCentre is where the result lies.
	DataCentre host.DataCentre
}
