package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/sleep"
)

// caller sends requests one after another and repeats some of them.
type caller struct {
	fleet  *fleet
	number int
	random *rand.Rand
	sent   int
}

// thinkTime is the mean pause between two requests of a caller.
const thinkTime = 30 * time.Millisecond

// How long callers wait for a reply: from services and from everything else.
const (
	defaultCallerTimeout = 8 * time.Second
	serviceCallerTimeout = 13 * time.Second
)

// startCallers starts the callers of the deployment.
func (f *fleet) startCallers(ctx context.Context, group *sync.WaitGroup) {
	for number := range f.cfg.Callers {
		stream := uint64(f.index*1000 + number + 10)
		c := &caller{fleet: f, number: number, random: rand.New(rand.NewPCG(f.cfg.Seed, stream))}
		group.Go(func() { c.run(ctx) })
	}
}

func (c *caller) run(ctx context.Context) {
	for sleep.For(ctx, randomDuration(c.random, thinkTime)) == nil {
		q := c.nextRequest()
		c.fleet.ledger.addRequest(q)
		// The end of the load does not cancel a request that has been started.
		c.sendWithRetries(context.WithoutCancel(ctx), q)
	}
}

// The shares of the requests, in percent; idempotent service calls have the
// remainder.
const (
	percentNonIdempotent = 40
	percentPipeline      = 45
	percentCrashing      = 1
	percentDuplicated    = 15
	percentSharedID      = 10
)

// nextRequest draws the next request.
func (c *caller) nextRequest() *request {
	c.sent++
	doc := c.fleet.doc
	mark := fmt.Sprintf("ref-%s-%d-%d-%d", c.fleet.deployment.Name, c.fleet.cfg.Seed, c.number, c.sent)
	q := &request{mark: mark, workspace: doc.Workspaces[c.random.IntN(len(doc.Workspaces))].Name, timeout: defaultCallerTimeout}
	draw := c.random.IntN(100)
	switch {
	case draw < percentNonIdempotent:
		c.fillServiceRequest(q, false)
	case draw < percentNonIdempotent+percentPipeline:
		c.fillPipelineRequest(q)
	case draw < percentNonIdempotent+percentPipeline+percentCrashing:
		c.fillPipelineRequest(q)
		if c.fleet.cfg.CrashEngines {
			c.makeCrashing(q)
		}
	default:
		c.fillServiceRequest(q, true)
	}
	return q
}

// fillPipelineRequest makes q a question to a pipeline in one of four formats.
func (c *caller) fillPipelineRequest(q *request) {
	doc := c.fleet.doc
	pipeline := doc.Pipelines[c.random.IntN(len(doc.Pipelines))]
	q.method = http.MethodPost
	q.format = answerFormat(c.random.IntN(int(formatService)))
	switch q.format {
	case formatChat, formatChatStream:
		q.path = "/v1/chat/completions"
		q.body = fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"Question %s"}]}`,
			pipeline.ChatModel, q.format == formatChatStream, q.mark)
	default:
		q.path = "/v1/pipelines/" + pipeline.Name
		q.body = fmt.Sprintf(`{"input":"Question %s"}`, q.mark)
	}
	// Some requests share a request ID with requests of other callers.
	if c.random.IntN(100) < percentSharedID {
		q.id = "shared-id"
	}
}

// makeCrashing makes q crash the engines that run it.
func (c *caller) makeCrashing(q *request) {
	q.crashesEngines = true
	q.format = formatJSON
	q.path = "/v1/pipelines/" + c.fleet.doc.Pipelines[0].Name
	q.body = fmt.Sprintf(`{"input":"%s %s%d-%d"}`, q.mark, crashMarker, c.number, c.sent)
}

// fillServiceRequest makes q a call to a plain service.
func (c *caller) fillServiceRequest(q *request, idempotent bool) {
	operations := c.operations(idempotent)
	chosen := operations[c.random.IntN(len(operations))]
	q.format = formatService
	q.timeout = serviceCallerTimeout
	q.method = chosen.operation.Method
	q.path = "/v1/services/" + chosen.service + chosen.operation.Path
	if q.method == http.MethodGet {
		q.path += "?question=" + q.mark
	} else {
		q.body = fmt.Sprintf(`{"order":%q}`, q.mark)
	}
	if !idempotent {
		q.key = "key-" + q.mark
	}
}

// serviceOperation is an operation and the name of its service.
type serviceOperation struct {
	service   string
	operation document.Operation
}

// operations lists the document's idempotent or non-idempotent operations.
func (c *caller) operations(idempotent bool) []serviceOperation {
	var found []serviceOperation
	for _, s := range c.fleet.doc.Services {
		for _, op := range s.Operations {
			if op.Idempotent == idempotent {
				found = append(found, serviceOperation{s.Name, op})
			}
		}
	}
	return found
}

// maxSends is how often a caller sends a request with a key, or one that crashes
// engines, while it gets no answer.
const maxSends = 5

// resendPause is the mean pause before a request is sent again.
const resendPause = 250 * time.Millisecond

// sendWithRetries sends a request until it has an answer or the caller gives up.
// It repeats a request that crashes engines also after a failed run, and sends
// some requests with a key to two hosts at once.
func (c *caller) sendWithRetries(ctx context.Context, q *request) {
	if q.key != "" && c.random.IntN(100) < percentDuplicated {
		c.sendToTwoHosts(ctx, q)
		return
	}
	sends := maxSends
	if q.key == "" && !q.crashesEngines {
		sends = 2
	}
	for range sends {
		got := c.sendOnce(ctx, q)
		if got.outcome == complete || (got.outcome == ranFailed && !q.crashesEngines) {
			return
		}
		if sleep.For(ctx, randomDuration(c.random, resendPause)) != nil {
			return
		}
	}
}

// sendToTwoHosts sends a request concurrently to two randomly picked hosts, which
// may be the same one, and then once more.
func (c *caller) sendToTwoHosts(ctx context.Context, q *request) {
	first, second := c.pickHost(), c.pickHost()
	var group sync.WaitGroup
	for _, h := range []*entryHost{first, second} {
		group.Go(func() { c.fleet.ledger.addReply(q, c.fleet.send(ctx, h, q)) })
	}
	group.Wait()
	c.sendOnce(ctx, q)
}

// sendOnce sends a request to one host.
func (c *caller) sendOnce(ctx context.Context, q *request) reply {
	got := c.fleet.send(ctx, c.pickHost(), q)
	c.fleet.ledger.addReply(q, got)
	return got
}

// pickHost picks a ready host at random, as the balancer does, or any host if none
// is ready.
func (c *caller) pickHost() *entryHost {
	hosts := c.fleet.currentHosts()
	var ready []*entryHost
	for _, h := range hosts {
		if h.ready.Load() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = hosts
	}
	return ready[c.random.IntN(len(ready))]
}
