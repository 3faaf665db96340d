package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/galenaseam/galenaseam/problem"
)

// defaultHistoryEntries is the number of generations that /v1/config/history
// returns without the query parameter n.
const defaultHistoryEntries = 20

// registerConfig registers the endpoints that read and change the operators'
// document.
func (s *Server) registerConfig() {
	s.handleGet("/v1/config", func(*http.Request) (any, error) { return s.cfg.Editor.Text() })
	s.handleGet("/v1/config/history", s.history)
	s.mux.Handle("POST /v1/config", s.authorised(s.apply))
	s.mux.Handle("POST /v1/config/rollback", s.authorised(s.rollback))
	s.mux.Handle("POST /v1/config/create", s.authorised(s.create))
	s.mux.Handle("POST /v1/config/restore", s.authorised(s.restore))
}

// history returns the newest accepted generations.
func (s *Server) history(r *http.Request) (any, error) {
	n := defaultHistoryEntries
	if text := r.URL.Query().Get("n"); text != "" {
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 {
			return nil, problem.New(http.StatusBadRequest, "malformed", "n must be a whole number over 0", problem.No)
		}
		n = asked
	}
	return s.cfg.Editor.History(r.Context(), n)
}

// apply handles a change of one or more sections.
func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	handleEdit(w, r, func(edit ApplyRequest) (ApplyResponse, error) {
		return s.cfg.Editor.Apply(r.Context(), r.Header.Get(HeaderOperatorKey), edit)
	})
}

// rollback handles a request to accept an earlier generation's sections as a
// new generation.
func (s *Server) rollback(w http.ResponseWriter, r *http.Request) {
	handleEdit(w, r, func(request RollbackRequest) (ApplyResponse, error) {
		return s.cfg.Editor.Rollback(r.Context(), r.Header.Get(HeaderOperatorKey), request)
	})
}

// create handles the first document of an empty store.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	handleEdit(w, r, func(request CreateRequest) (ApplyResponse, error) {
		return s.cfg.Editor.Create(r.Context(), request)
	})
}

// restore handles a request to write the generation in force on this host back
// into a store that has fallen behind.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	handleEdit(w, r, func(struct{}) (ApplyResponse, error) {
		return s.cfg.Editor.Restore(r.Context())
	})
}

// handleEdit decodes the request body, passes it to decide and writes the answer.
func handleEdit[Req any](w http.ResponseWriter, r *http.Request, decide func(Req) (ApplyResponse, error)) {
	var request Req
	if err := decodeEdit(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	answer, err := decide(request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, answer)
}

// decodeEdit decodes a JSON body of at most maxEditBytes. Unknown fields and
// trailing data are errors.
func decodeEdit(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return problem.New(http.StatusBadRequest, "malformed", "the body is not the JSON expected: "+err.Error(), problem.No)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return problem.New(http.StatusBadRequest, "malformed", "the body has more than one JSON value", problem.No)
	}
	return nil
}
