package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

// promptStep is a step that sends a prompt to an engine.
type promptStep interface {
	messages() []Message
}

// promptParts returns IDs of the messages of the stage's prompt that other requests may
// have too: all but the last, which is the request's own. It returns nil for a stage
// without a prompt.
func (t *stageRun) promptParts() []string {
	prompt, ok := t.step.(promptStep)
	if !ok {
		return nil
	}
	messages := prompt.messages()
	return messageIDs(messages[:len(messages)-1])
}

func messageIDs(messages []Message) (ids []string) {
	for _, m := range messages {
		ids = append(ids, messageID(m))
	}
	return ids
}

// messageIDBytes is how much of a message's hash identifies it.
const messageIDBytes = 16

func messageID(m Message) string {
	h := sha256.New()
	writeField(h, m.Role)
	writeField(h, m.Content)
	return hex.EncodeToString(h.Sum(nil)[:messageIDBytes])
}

// screenHistory asks the guard whether the job's history may be sent to an engine, before
// any stage runs. The error is a *problem.Problem.
func (p *pipelineRun) screenHistory(ctx context.Context) error {
	return p.screenParts(ctx, messageIDs(p.job.History))
}

// screenParts asks the guard whether a prompt with these parts may be sent to an engine.
// The error is a *problem.Problem.
func (p *pipelineRun) screenParts(ctx context.Context, parts []string) error {
	if p.runner.cfg.Guard.ScreenParts(ctx, parts) {
		return nil
	}
	return crashesUpstreams("a message of this request has crashed the engines that ran it and is not run again", p.ran)
}
