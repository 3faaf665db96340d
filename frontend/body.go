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

// readBody reads the whole body within the limit.
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

// readJSON reads a JSON body into out. Unknown members are refused when strict.
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

// requireJSON refuses a body of another declared type.
func requireJSON(r *http.Request) *problem.Problem {
	declared := r.Header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(declared)
	if err != nil || media != "application/json" {
		return problem.New(http.StatusUnsupportedMediaType, "not_json", "Content-Type must be application/json", problem.No)
	}
	return nil
}

// malformed is the answer to input that can't be read.
func malformed(detail string) *problem.Problem {
	return problem.New(http.StatusBadRequest, "malformed", detail, problem.No)
}

// deadlineOf takes the caller's timeout when it is shorter than the contract's.
func deadlineOf(r *http.Request, arrived time.Time, contract time.Duration) (time.Time, *problem.Problem) {
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return arrived.Add(contract), nil
	}
	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 {
		return time.Time{}, malformed("the header " + HeaderRequestTimeout + " must be a positive duration with a unit, such as 2500ms")
	}
	return arrived.Add(min(asked, contract)), nil
}
