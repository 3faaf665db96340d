package main

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	took     time.Duration
}

const (
	routeHost = "pule25.example"
	apiKey    = "9dnn2ctnfzs989anu6ws"
)

// send posts one attempt on a connection of its own and reads the whole answer.
func send(h *hostProcess, path, id, body string, deadline time.Duration, more http.Header) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers()+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	r.Host = routeHost
	r.Header = http.Header{
		wire().RequestID: {id}, "Deadline-Ms": {strconv.FormatInt(deadline.Milliseconds(), 10)}, "Authorization": {"Bearer " + apiKey},
	}
	maps.Copy(r.Header, more)
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.complete = response.StatusCode, response.Header, string(text), err == nil
	return a
}
