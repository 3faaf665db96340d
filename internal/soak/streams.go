package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	streamCallerCount = 6
	maxStreamTries    = 6
	// maxRetryAfterShare is the part of the time left, as a divisor, that a caller
	// waits at most when it is told to come back later.
	maxRetryAfterShare = 3
)

// stream is a resumable stream as its caller saw it, over all tries.
type stream struct {
	tries    []streamTry
	text     strings.Builder // the events that arrived whole
	events   int
	complete bool
	faults   []string // events that are missing or came twice
}

// streamTry is one request for a stream, or for the rest of it.
type streamTry struct {
	outcome
	host       *hostProcess
	eventsThen int // events that the caller had before
	events     int // events that this try brought
	retryAfter time.Duration
}

// runStreams sends requests for resumable streams until ctx ends.
func (c *callers) runStreams(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range streamCallerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)+2000))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s := c.receiveStream(r, fmt.Sprintf("%d-s%d-%d", seed, i, n))
				c.mu.Lock()
				c.streams = append(c.streams, s)
				c.mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	group.Wait()
}

// receiveStream receives a stream. After a broken connection the caller comes back at
// another host for the rest, within its deadline.
func (c *callers) receiveStream(r *rand.Rand, name string) *stream {
	s := &stream{}
	deadline := time.Now().Add(requestDeadline)
	h := pick(r, c.env.hosts)
	for len(s.tries) < maxStreamTries && !s.complete && s.events < turnEvents {
		left := time.Until(deadline)
		if left < timeoutSlack {
			break
		}
		breakAfter := turnEvents
		if len(s.tries) == 0 && r.IntN(2) == 0 {
			breakAfter = 1 + r.IntN(turnEvents-1)
		}
		t := c.tryStream(s, h, fmt.Sprintf("%s-%d", name, len(s.tries)), left, breakAfter)
		s.tries = append(s.tries, t)
		c.record(t.outcome)
		time.Sleep(max(callerPause, min(t.retryAfter, time.Until(deadline)/maxRetryAfterShare)))
		for previous := h; h == previous; {
			h = pick(r, c.env.hosts)
		}
	}
	return s
}

// firstAttempt returns the ID of the try that brought the stream's first event.
func (s *stream) firstAttempt() string {
	for _, t := range s.tries {
		if t.events > 0 {
			return t.id
		}
	}
	return ""
}

// tryStream sends one request for the stream or for the rest of it, and breaks the
// connection once the caller has the given number of events.
func (c *callers) tryStream(s *stream, h *hostProcess, id string, left time.Duration, breakAfter int) (t streamTry) {
	t = streamTry{host: h, eventsThen: s.events, outcome: outcome{
		id: id, path: "/turn/", host: h.settings.Name, key: keptKey, deadline: left, resumes: s.events > 0, sentAt: time.Now(),
	}}
	defer func() { t.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr().String()+t.path+id, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // this package built the URL
	}
	r.Host = platformtest.Host
	r.Header = platformtest.CallerHeader(id, t.key, left)
	if t.resumes {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.events-1))
		r.Header.Set("Resumes", s.firstAttempt())
	}
	response, err := c.client.Do(r)
	if err != nil {
		return t
	}
	defer response.Body.Close()
	t.status = response.StatusCode
	if t.status != http.StatusOK {
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			t.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		_, err = io.Copy(io.Discard, response.Body)
		t.complete = err == nil
		return t
	}
	s.receive(&t, bufio.NewReader(response.Body), breakAfter)
	return t
}

// receive reads events until the answer ends or the caller has enough of them.
func (s *stream) receive(t *streamTry, answer *bufio.Reader, breakAfter int) {
	var event strings.Builder
	for {
		line, err := answer.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			t.complete = errors.Is(err, io.EOF)
			s.complete = t.complete
			if t.complete && s.events < turnEvents {
				s.faults = append(s.faults, fmt.Sprintf("%s ended as complete after %d of %d events", t.id, s.events, turnEvents))
			}
			return
		}
		if line != "\n" {
			continue
		}
		if !strings.HasPrefix(event.String(), fmt.Sprintf("id: %d\n", s.events)) {
			s.faults = append(s.faults, fmt.Sprintf("%s brought %q in place of event %d", t.id, event.String(), s.events))
		}
		s.text.WriteString(event.String())
		t.body += event.String()
		event.Reset()
		t.events++
		s.events++
		if s.events == breakAfter && breakAfter < turnEvents {
			t.abandoned = true
			return
		}
	}
}
