package frontend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// Names of the events in a pipeline's stream. A stream is complete only if its
// last event is eventDone.
const (
	eventToken = "token"
	eventDone  = "done"
	eventError = "error"
)

// eventStream writes server-sent events. The response header is sent with the
// first event, so that an earlier failure can still be answered with a problem.
type eventStream struct {
	w       http.ResponseWriter
	started bool
}

// send writes one event. If name is empty, the event has only data.
func (s *eventStream) send(name string, data []byte) error {
	s.start()
	out := make([]byte, 0, len(data)+32)
	if name != "" {
		out = append(out, "event: "+name+"\n"...)
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	out = append(out, "\n\n"...)
	setWriteDeadline(s.w)
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// writeTimeout bounds one write to a caller, so that a caller that stops reading
// does not hold resources.
const writeTimeout = 10 * time.Second

// setWriteDeadline sets the deadline of the next write.
func setWriteDeadline(w http.ResponseWriter) {
	// An error means that w does not support deadlines, as in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// start sends the response header unless it has been sent.
func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// sendJSON writes one event whose data is JSON.
func (s *eventStream) sendJSON(name string, data any) error {
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	return s.send(name, body)
}

// tokenEvent is the data of one token event.
type tokenEvent struct {
	Text string `json:"text"`
}

// pipelineSink streams generated text as token events.
type pipelineSink struct {
	stream *eventStream
}

// Token writes one token event.
func (s *pipelineSink) Token(text string) error {
	return s.stream.sendJSON(eventToken, tokenEvent{Text: text})
}

// streamPipeline runs a job and streams its answer as events.
func (f *Frontend) streamPipeline(w http.ResponseWriter, r *http.Request, job request.Job) *problem.Problem {
	stream := &eventStream{w: w}
	job.Sink = &pipelineSink{stream: stream}
	result, err := f.cfg.Runner.RunPipeline(r.Context(), job)
	if err != nil {
		return f.failStream(stream, problemOf(err), job.ID, eventError)
	}
	answer := answerOf(job, result)
	// A write error means that the caller has disconnected.
	_ = stream.sendJSON(eventDone, answer)
	return nil
}

// failStream ends a failed stream. It returns the problem if nothing has been sent
// yet, and sends it as an error event otherwise.
func (f *Frontend) failStream(stream *eventStream, p *problem.Problem, id, event string) *problem.Problem {
	if !stream.started {
		return p
	}
	f.cfg.OnRefusal(p.Cause)
	out := *p
	out.RequestID = id
	_ = stream.sendJSON(event, out)
	return nil
}
