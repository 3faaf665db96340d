package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/galenaseam/galenaseam/problem"
)

// defaultHistory is how many generations the history shows when not told.
const defaultHistory = 20

// config serves the operators' document.
func (s *Server) config() {
	s.get("/v1/config", func(*http.Request) (any, error) { return s.cfg.Editor.Text() })
	s.get("/v1/config/history", s.history)
	s.mux.Handle("POST /v1/config", s.authorised(s.apply))
	s.mux.Handle("POST /v1/config/rollback", s.authorised(s.rollback))
	s.mux.Handle("POST /v1/config/create", s.authorised(s.create))
	s.mux.Handle("POST /v1/config/restore", s.authorised(s.restore))
}

// history answers the newest accepted generations.
func (s *Server) history(r *http.Request) (any, error) {
	n := defaultHistory
	if text := r.URL.Query().Get("n"); text != "" {
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 {
			return nil, problem.New(http.StatusBadRequest, "malformed", "n must be a whole number over 0", problem.No)
		}
		n = asked
	}
	return s.cfg.Editor.History(r.Context(), n)
}

// apply accepts or refuses a change.
func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(edit ApplyRequest) (ApplyAnswer, error) {
		return s.cfg.Editor.Apply(r.Context(), r.Header.Get(HeaderOperatorKey), edit)
	})
}

// rollback accepts an earlier generation's sections as a new generation.
func (s *Server) rollback(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(back RollbackRequest) (ApplyAnswer, error) {
		return s.cfg.Editor.Rollback(r.Context(), r.Header.Get(HeaderOperatorKey), back)
	})
}

// create accepts the first document.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(first CreateRequest) (ApplyAnswer, error) {
		return s.cfg.Editor.Create(r.Context(), first)
	})
}

// restore puts what hosts serve back into the store.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(struct{}) (ApplyAnswer, error) {
		return s.cfg.Editor.Restore(r.Context())
	})
}

// accept reads a request, has it decided, and writes the answer.
func accept[Req any](w http.ResponseWriter, r *http.Request, decide func(Req) (ApplyAnswer, error)) {
	var request Req
	if err := readEdit(w, r, &request); err != nil {
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

// readEdit reads a JSON body strictly.
func readEdit(w http.ResponseWriter, r *http.Request, into any) error {
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
