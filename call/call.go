// Package call defines requests of callers and answers of upstreams as typed
// values that do not depend on their format on the wire.
package call

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// NoEvent is the event ID that stands for no event received.
const NoEvent = -1

// Request is one attempt of a caller, with its whole body.
type Request struct {
	// ID is the caller's identifier of this attempt. A retry by the caller has
	// a new ID.
	ID     string
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	// Header is forwarded to the upstream unchanged.
	Header http.Header
	Body   []byte
	// Chunked means that the request states no length of its body.
	Chunked bool
	// APIKey is the caller's API key; "" if there is none.
	APIKey string
	// Arrived is when the request header was read.
	Arrived time.Time
	// CallerTimeout is how long the caller waits for an answer after sending the
	// request; 0 if it did not say.
	CallerTimeout time.Duration
	// LastEvent is the ID of the last event that the caller received, or
	// NoEvent.
	LastEvent int64
	// Resumes is the ID of the caller's attempt that received the first event of
	// the stream that this request continues; "" if the caller named none.
	Resumes string
	Prompt  Prompt
	// Pieces is the number of pieces of each stage of the route, 0 for a stage that the request
	// omits; nil if the request states none. PiecesError says why its statements about its
	// stages can't be read; nil if they can.
	Pieces      []int
	PiecesError error
	// PiecesKey identifies the content that stages without inputs work on.
	PiecesKey string
}

// Prompt describes the work that a request needs from an engine.
type Prompt struct {
	Tokens          int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the output tokens; 0 if there is
	// none.
	OutputHint int
	// Parts are the parts of the prompt in order. Engines cache them.
	Parts []PromptPart
}

// SharedParts returns the IDs of the parts that other requests may have too: all
// but the last, which belongs to the request or its session.
func (p Prompt) SharedParts() []string {
	var ids []string
	for i := range max(len(p.Parts)-1, 0) {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
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
	// Remaining is the time left to the caller's deadline.
	Remaining time.Duration
	Workspace string
	// Inputs are the handles of the results of the last stages.
	Inputs []string
	// LastEvent replaces Request.LastEvent when a stream is resumed on another
	// upstream. NoEvent keeps the value of the request.
	LastEvent int64
	// Priority is the rank at an engine, from 0, the most urgent, to 9.
	Priority int
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	// Header is forwarded to the caller unchanged.
	Header http.Header
	// RequestID is the ID of the request that the answer belongs to, as the
	// upstream states it; "" if it states none.
	RequestID string
	// Signed means that the answer carries the upstream's signature.
	Signed bool
	// NotRun means that the upstream certainly has not run the request and will
	// not run it.
	NotRun bool
	// WrongUpstream means that another process now listens at the upstream's
	// address.
	WrongUpstream bool
	// InputGone means that the result of a stage no longer exists.
	InputGone bool
	// Encoded means that the body has a content encoding.
	Encoded bool
	Body    io.Reader
}

// Piece is one unit of a stage's work for a request.
type Piece struct {
	RequestID string
	Stage     int
	Index     int
	// Remaining is the time left to the deadline.
	Remaining time.Duration
	// Key identifies the content to work on. It is set for stages without
	// inputs.
	Key string
	// Inputs are the handles of the results that the piece needs.
	Inputs []string
}

// PieceFailure is the reason why a piece has no result.
type PieceFailure uint8

// The reasons for a missing result. PieceDone means that there is a result.
const (
	PieceDone PieceFailure = iota
	// PieceDeadlineExceeded: the deadline passed before the piece ran.
	PieceDeadlineExceeded
	// PieceInputGone: a result that the piece needs no longer exists.
	PieceInputGone
	// PieceNoMemory: the stage server has no memory for the result.
	PieceNoMemory
	// PieceError: the stage server failed, or its answer was lost.
	PieceError
	// PieceRefused: no stage server accepts the piece.
	PieceRefused
	// PieceOverload: too much work is queued to finish the piece in time.
	PieceOverload
	// PieceMoved: another host now gathers for the service.
	PieceMoved
	// PiecePaused: all stage servers have asked for a pause that ends too late.
	PiecePaused
)

var pieceFailureNames = [...]string{"done", "late", "input_gone", "no_room", "error", "refused", "overload", "moved", "paused"}

// String returns the lower-case name of the failure. A host of another version may send one
// that has no name here.
func (f PieceFailure) String() string {
	if int(f) >= len(pieceFailureNames) {
		return "unknown"
	}
	return pieceFailureNames[f]
}

// MaxHandleBytes is the most that a handle may have.
const MaxHandleBytes = 128

// PieceResult says where the result of a piece is held, or why there is none.
type PieceResult struct {
	// Handle identifies the result and the stage server that holds it.
	Handle  string
	Failure PieceFailure
	// DataCentre is where the result is held.
	DataCentre host.DataCentre
}
