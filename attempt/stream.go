package attempt

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/upstream"
)

// maxEventBytes is the maximum length of a line in an engine's event stream.
const maxEventBytes = 1 << 20

// endOfStream is the data of the last event of a complete stream.
const endOfStream = "[DONE]"

// StreamEnd holds a stream's finish reason, token counts and time to first text.
type StreamEnd struct {
	FinishReason string
	InputTokens  int
	OutputTokens int
	CachedTokens int
	// FirstToken is the time from sending the call to the first text.
	FirstToken time.Duration
}

// chunk is one event of a chat completion stream.
type chunk struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type choice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Stream makes the call and passes each piece of text to emit as it arrives. It
// returns no error only if the stream was complete: the same completion ID in
// every event, a finish reason, and the closing event. Text already emitted stays
// valid when the stream breaks. An error of emit ends the stream and becomes the
// cause of a Cancelled failure. The error is a *Failed.
func (c *Client) Stream(ctx context.Context, call Call, emit func(text string) error) (StreamEnd, error) {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, _, err := c.send(ctx, call)
	if err != nil {
		return StreamEnd{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StreamEnd{}, statusFailure(resp.StatusCode, resp.Body)
	}
	reader := &streamReader{emit: emit, started: started}
	end, err := c.readStream(c.monitorStalls(ctx, cancel, call), reader, resp.Body)
	if err != nil {
		err = failureAfterSend(ctx, err)
	}
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = &Failed{Failure: dispatch.TimedOut, Evidence: upstream.Answered, Cause: Error.Wrap(errStalled)}
	}
	return end, err
}

// errStalled is the cause of the cancellation of a stream that stalled.
var errStalled = errs.New("stream stalled")

// readStream reads a stream to its end. The monitor runs from the first text on.
func (c *Client) readStream(stalls *stallMonitor, reader *streamReader, body io.Reader) (StreamEnd, error) {
	defer stalls.stop()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		done, err := reader.handleLine(scanner.Text())
		if err != nil {
			return reader.end, err
		}
		if done {
			return reader.end, nil
		}
		if reader.end.FirstToken > 0 {
			stalls.recordLine()
		}
	}
	if err := scanner.Err(); err != nil {
		return reader.end, err
	}
	return reader.end, io.ErrUnexpectedEOF
}

// streamReader parses one event stream.
type streamReader struct {
	emit    func(text string) error
	started time.Time
	id      string
	end     StreamEnd
}

// handleLine processes one line of the stream. done is true at the closing event.
func (r *streamReader) handleLine(line string) (done bool, err error) {
	data, isData := strings.CutPrefix(line, "data:")
	if !isData {
		return false, nil
	}
	data = strings.TrimSpace(data)
	if data == endOfStream {
		return true, r.checkFinished()
	}
	var ev chunk
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return false, wrongAnswer("malformed event: %v", err)
	}
	return false, r.handleEvent(ev)
}

// checkFinished returns an error if the stream has given no finish reason yet.
func (r *streamReader) checkFinished() error {
	if r.end.FinishReason == "" {
		return wrongAnswer("stream ended without a finish reason")
	}
	return nil
}

// handleEvent processes one decoded event.
func (r *streamReader) handleEvent(ev chunk) error {
	if ev.Error != nil {
		return &Failed{Failure: dispatch.UpstreamError, Cause: Error.New("engine: %s", ev.Error.Message)}
	}
	if r.id == "" {
		r.id = ev.ID
	}
	if ev.ID != r.id {
		return wrongAnswer("event belongs to another completion")
	}
	r.recordUsage(ev.Usage)
	for _, ch := range ev.Choices {
		if err := r.handleChoice(ch); err != nil {
			return err
		}
	}
	return nil
}

// recordUsage keeps the latest token counts.
func (r *streamReader) recordUsage(u *usage) {
	if u == nil {
		return
	}
	r.end.InputTokens = u.PromptTokens
	r.end.OutputTokens = u.CompletionTokens
	r.end.CachedTokens = u.PromptTokensDetails.CachedTokens
}

// handleChoice emits the text of one choice and keeps its finish reason.
func (r *streamReader) handleChoice(ch choice) error {
	if ch.Delta.Content != "" {
		if r.end.FirstToken == 0 {
			r.end.FirstToken = time.Since(r.started)
		}
		if err := r.emit(ch.Delta.Content); err != nil {
			return &Failed{Failure: dispatch.Cancelled, Cause: err}
		}
	}
	if ch.FinishReason != nil {
		r.end.FinishReason = *ch.FinishReason
	}
	return nil
}

// wrongAnswer returns the failure for an answer that is invalid or belongs to
// another call.
func wrongAnswer(format string, args ...any) *Failed {
	return &Failed{Failure: dispatch.WrongAnswer, Cause: Error.New(format, args...)}
}

// statusFailure returns the failure for an HTTP status other than success.
func statusFailure(status int, body io.Reader) *Failed {
	const shown = 256 // bytes of the upstream's body that the error text includes
	text, _ := io.ReadAll(io.LimitReader(body, shown))
	failure := dispatch.UpstreamError
	if status >= 400 && status < 500 && status != 408 && status != 429 {
		failure = dispatch.InvalidRequest
	}
	return &Failed{Failure: failure, Status: status, Cause: Error.New("status %d: %s", status, text)}
}

// StatusFailure returns the failure for an answer whose status is not 2xx, and
// nil for any other.
func StatusFailure(a Answer) *Failed {
	if a.Status >= 200 && a.Status < 300 {
		return nil
	}
	return statusFailure(a.Status, strings.NewReader(string(a.Body)))
}

// AsFailed returns the *Failed in err's chain, or wraps err in one that treats it
// as a broken connection.
func AsFailed(err error) *Failed {
	var failed *Failed
	if errors.As(err, &failed) {
		return failed
	}
	return &Failed{Failure: dispatch.ConnectionLost, Cause: err}
}
