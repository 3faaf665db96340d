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

// maxEventBytes bounds one line of an engine's event stream.
const maxEventBytes = 1 << 20

// endOfStream is the data of the event that ends a whole stream.
const endOfStream = "[DONE]"

// StreamEnd is what a whole stream said at its end.
type StreamEnd struct {
	FinishReason string
	InputTokens  int
	OutputTokens int
	CachedTokens int
	// FirstToken is the time from sending to the first text.
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

// Stream makes the call and passes each piece of text to emit as it comes. It
// returns without error only when the stream was whole: one completion ID
// throughout, a finish reason, and the closing event. Text already emitted
// stays valid when the stream breaks. An error of emit ends the stream and is
// returned as the cause of a Cancelled failure. The error is a *Failed.
func (c *Client) Stream(ctx context.Context, call Call, emit func(text string) error) (StreamEnd, error) {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := c.send(ctx, call)
	if err != nil {
		return StreamEnd{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StreamEnd{}, statusFailure(resp.StatusCode, resp.Body)
	}
	reader := &streamReader{emit: emit, started: started}
	end, err := c.follow(ctx, cancel, reader, resp.Body)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = &Failed{Failure: dispatch.TimedOut, Evidence: upstream.Answered, Cause: Error.Wrap(errStalled)}
	}
	return end, err
}

// errStalled is why a stream that fell silent was given up.
var errStalled = errs.New("the stream fell silent")

// follow reads a stream to its end. Once text has come, silence ends it.
func (c *Client) follow(ctx context.Context, cancel context.CancelCauseFunc, reader *streamReader, body io.Reader) (StreamEnd, error) {
	stall := time.AfterFunc(c.stallTimeout, func() { cancel(errStalled) })
	stall.Stop()
	defer stall.Stop()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		done, err := reader.line(scanner.Text())
		if err != nil {
			return reader.end, err
		}
		if done {
			return reader.end, nil
		}
		if reader.end.FirstToken > 0 {
			stall.Reset(c.stallTimeout)
		}
	}
	if err := scanner.Err(); err != nil {
		return reader.end, broken(ctx, err)
	}
	return reader.end, broken(ctx, io.ErrUnexpectedEOF)
}

// streamReader follows one event stream.
type streamReader struct {
	emit    func(text string) error
	started time.Time
	id      string
	end     StreamEnd
}

// line takes one line of the stream and says whether the stream is whole.
func (r *streamReader) line(line string) (done bool, err error) {
	data, isData := strings.CutPrefix(line, "data:")
	if !isData {
		return false, nil
	}
	data = strings.TrimSpace(data)
	if data == endOfStream {
		return true, r.checkWhole()
	}
	var ev chunk
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return false, wrong("malformed event: %v", err)
	}
	return false, r.event(ev)
}

// checkWhole says whether the stream may end here.
func (r *streamReader) checkWhole() error {
	if r.end.FinishReason == "" {
		return wrong("stream ended without a finish reason")
	}
	return nil
}

// event takes one decoded event.
func (r *streamReader) event(ev chunk) error {
	if ev.Error != nil {
		return &Failed{Failure: dispatch.UpstreamError, Cause: Error.New("engine: %s", ev.Error.Message)}
	}
	if r.id == "" {
		r.id = ev.ID
	}
	if ev.ID != r.id {
		return wrong("event of another completion")
	}
	r.usage(ev.Usage)
	for _, ch := range ev.Choices {
		if err := r.choice(ch); err != nil {
			return err
		}
	}
	return nil
}

// usage keeps the newest token counts.
func (r *streamReader) usage(u *usage) {
	if u == nil {
		return
	}
	r.end.InputTokens = u.PromptTokens
	r.end.OutputTokens = u.CompletionTokens
	r.end.CachedTokens = u.PromptTokensDetails.CachedTokens
}

// choice passes on the text of one choice.
func (r *streamReader) choice(ch choice) error {
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

// wrong makes the failure for an answer that can't be trusted.
func wrong(format string, args ...any) *Failed {
	return &Failed{Failure: dispatch.WrongAnswer, Cause: Error.New(format, args...)}
}

// statusFailure makes the failure for an HTTP status that is not success.
func statusFailure(status int, body io.Reader) *Failed {
	const shown = 256 // bytes of the upstream's message that are logged
	text, _ := io.ReadAll(io.LimitReader(body, shown))
	failure := dispatch.UpstreamError
	if status >= 400 && status < 500 && status != 408 && status != 429 {
		failure = dispatch.CallerFault
	}
	return &Failed{Failure: failure, Status: status, Cause: Error.New("status %d: %s", status, text)}
}

// StatusFailure makes the failure for a whole answer whose status is not
// success, and nil for one that is.
func StatusFailure(a Answer) *Failed {
	if a.Status >= 200 && a.Status < 300 {
		return nil
	}
	return statusFailure(a.Status, strings.NewReader(string(a.Body)))
}

// AsFailed returns the *Failed in err, or one that says the cause is unknown.
func AsFailed(err error) *Failed {
	var failed *Failed
	if errors.As(err, &failed) {
		return failed
	}
	return &Failed{Failure: dispatch.BrokenOff, Cause: err}
}
