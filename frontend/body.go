package frontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/problem"
)

// readBody reads the whole body, up to the size limit.
func readBody(r *http.Request) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit", problem.No)
	}
	return nil, problem.New(http.StatusBadRequest, "body_incomplete", "the body did not arrive whole", problem.No)
}

// readJSON decodes a JSON body into out. If strict is set, unknown members are an
// error.
func readJSON(r *http.Request, out any, strict bool) *problem.Problem {
	if p := requireJSON(r); p != nil {
		return p
	}
	body, p := readBody(r)
	if p != nil {
		return p
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(out); err != nil {
		return malformed("the body is not the JSON expected: " + err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed("the body has more than one JSON value")
	}
	return nil
}

// requireJSON rejects a body whose Content-Type is not JSON.
func requireJSON(r *http.Request) *problem.Problem {
	declared := r.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(declared)
	if err != nil || mediaType != "application/json" {
		return problem.New(http.StatusUnsupportedMediaType, "not_json", "Content-Type must be application/json", problem.No)
	}
	return nil
}

// malformed returns the problem for invalid input.
func malformed(detail string) *problem.Problem {
	return problem.New(http.StatusBadRequest, "malformed", detail, problem.No)
}

// requestDeadline returns the deadline of a request that arrived at a given time: the
// configured timeout, or the caller's own if that is shorter.
func requestDeadline(r *http.Request, arrived time.Time, timeout time.Duration) (time.Time, *problem.Problem) {
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return arrived.Add(timeout), nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return time.Time{}, malformed("the header " + HeaderRequestTimeout + " must be a positive duration with a unit, such as 2500ms")
	}
	return arrived.Add(min(requested, timeout)), nil
}
