package drill

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/service"
	"github.com/galenaseam/galenaseam/problem"
)

// checkers check an answer with status 200 in each format.
var checkers = map[answerFormat]func(*entryHost, *request, []byte) reply{
	formatJSON:       checkJSON,
	formatEvents:     checkEvents,
	formatChat:       checkChat,
	formatChatStream: checkChatStream,
	formatService:    checkService,
}

// pipelineAnswer holds the checked fields of a pipeline's answer.
type pipelineAnswer struct {
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Output    string `json:"output"`
	Passages  []struct {
		Text string `json:"text"`
	} `json:"passages"`
}

// defectiveReply is the reply for an answer with status 200 that is wrong or
// incomplete.
func defectiveReply(h *entryHost, q *request, what string, body []byte) reply {
	foreign := !bytes.Contains(body, []byte(q.mark))
	return reply{outcome: complete, host: h, defect: what, foreign: foreign}
}

func checkJSON(h *entryHost, q *request, body []byte) reply {
	var a pipelineAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return defectiveReply(h, q, "answer is not whole JSON", body)
	}
	return checkAnswer(h, q, a, body)
}

// checkAnswer checks that a pipeline's answer is complete and belongs to the
// request.
func checkAnswer(h *entryHost, q *request, a pipelineAnswer, body []byte) reply {
	if a.Workspace != q.workspace || (q.id != "" && a.RequestID != q.id) {
		return defectiveReply(h, q, "answer to another caller", body)
	}
	for _, p := range a.Passages {
		if !strings.Contains(p.Text, "of workspace "+q.workspace+".") {
			return reply{outcome: complete, host: h, defect: "passage of another workspace", foreign: true}
		}
	}
	if !model.IsCompleteAnswer(a.Output, q.mark) {
		return defectiveReply(h, q, "text is not the whole own answer", body)
	}
	return reply{outcome: complete, host: h}
}

// event is one server-sent event.
type event struct {
	name string
	data string
}

// parseEvents splits the body of a stream into its server-sent events.
func parseEvents(body []byte) []event {
	var events []event
	for _, block := range strings.Split(string(body), "\n\n") {
		var e event
		for _, line := range strings.Split(block, "\n") {
			if name, ok := strings.CutPrefix(line, "event:"); ok {
				e.name = strings.TrimSpace(name)
			}
			if data, ok := strings.CutPrefix(line, "data:"); ok {
				e.data += strings.TrimSpace(data)
			}
		}
		if e.data != "" {
			events = append(events, e)
		}
	}
	return events
}

// checkEvents checks a pipeline's stream: the joined tokens must equal the output
// in the closing event.
func checkEvents(h *entryHost, q *request, body []byte) reply {
	var text strings.Builder
	for _, e := range parseEvents(body) {
		switch e.name {
		case "token":
			var token struct {
				Text string `json:"text"`
			}
			if json.Unmarshal([]byte(e.data), &token) != nil {
				return defectiveReply(h, q, "token is not JSON", body)
			}
			text.WriteString(token.Text)
		case "error":
			return classifyProblem(h, []byte(e.data))
		case "done":
			var a pipelineAnswer
			if json.Unmarshal([]byte(e.data), &a) != nil || a.Output != text.String() {
				return defectiveReply(h, q, "tokens are not the text of the closing event", body)
			}
			return checkAnswer(h, q, a, body)
		}
	}
	return reply{outcome: unknown, host: h, cause: "stream without an end"}
}

func checkChat(h *entryHost, q *request, body []byte) reply {
	var a model.ChatResponse
	if json.Unmarshal(body, &a) != nil || len(a.Choices) != 1 {
		return defectiveReply(h, q, "answer is not a chat completion", body)
	}
	if !model.IsCompleteAnswer(a.Choices[0].Message.Content, q.mark) {
		return defectiveReply(h, q, "text is not the whole own answer", body)
	}
	return reply{outcome: complete, host: h}
}

// chatChunk is an event of a chat stream. It may hold a problem instead.
type chatChunk struct {
	model.Chunk
	Error *problem.Problem `json:"error"`
}

func checkChatStream(h *entryHost, q *request, body []byte) reply {
	var text strings.Builder
	for _, e := range parseEvents(body) {
		if e.data == "[DONE]" {
			if !model.IsCompleteAnswer(text.String(), q.mark) {
				return defectiveReply(h, q, "streamed text is not the whole own answer", body)
			}
			return reply{outcome: complete, host: h}
		}
		var chunk chatChunk
		if json.Unmarshal([]byte(e.data), &chunk) != nil {
			return defectiveReply(h, q, "chunk is not JSON", body)
		}
		if chunk.Error != nil {
			return classifyStreamProblem(h, chunk.Error)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return reply{outcome: unknown, host: h, cause: "stream without an end"}
}

// classifyStreamProblem classifies a problem that arrived inside a stream.
func classifyStreamProblem(h *entryHost, p *problem.Problem) reply {
	body, err := json.Marshal(p)
	if err != nil {
		return reply{outcome: unknown, host: h, cause: err.Error()}
	}
	return classifyProblem(h, body)
}

// checkService checks that a service's answer echoes the request's content and
// idempotency key.
func checkService(h *entryHost, q *request, body []byte) reply {
	var a service.Answer
	if json.Unmarshal(body, &a) != nil {
		return defectiveReply(h, q, "service's answer is not whole JSON", body)
	}
	own := a.IdempotencyKey == q.key && strings.HasSuffix(q.path, a.Path+querySuffix(a.Query))
	if q.body != "" {
		own = own && strings.Contains(string(a.Request), q.mark)
	} else {
		own = own && strings.Contains(a.Query, q.mark)
	}
	if !own {
		return defectiveReply(h, q, "service's answer to another call", body)
	}
	return reply{outcome: complete, host: h}
}

func querySuffix(query string) string {
	if query == "" {
		return ""
	}
	return "?" + query
}
