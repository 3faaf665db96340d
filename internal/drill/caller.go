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

// caller sends requests one after another, and some of them again.
type caller struct {
	fleet  *fleet
	number int
	random *rand.Rand
	sent   int
}

// thinkTime is the mean pause between two requests of a caller.
const thinkTime = 30 * time.Millisecond

// The patience of callers.
const (
	lookupPatience  = 8 * time.Second
	servicePatience = 13 * time.Second
)

// startCallers starts the load of a deployment.
func (f *fleet) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for number := range f.cfg.Callers {
		stream := uint64(f.index*1000 + number + 10)
		c := &caller{fleet: f, number: number, random: rand.New(rand.NewPCG(f.cfg.Seed, stream))}
		running.Go(func() { c.run(ctx) })
	}
}

func (c *caller) run(ctx context.Context) {
	for sleep.For(ctx, drawTime(c.random, thinkTime)) == nil {
		q := c.draw()
		c.fleet.ledger.open(q)
		// A request that was begun is brought to its end.
		c.ask(context.WithoutCancel(ctx), q)
	}
}

// The shares of the requests, in percent; plain lookups of services have the
// rest.
const (
	percentOnce     = 40
	percentPipeline = 45
	percentPoison   = 1
	percentDouble   = 15
	percentSharedID = 10
)

// draw makes the next request.
func (c *caller) draw() *request {
	c.sent++
	doc := c.fleet.doc
	mark := fmt.Sprintf("ref-%s-%d-%d-%d", c.fleet.deployment.Name, c.fleet.cfg.Seed, c.number, c.sent)
	q := &request{mark: mark, workspace: doc.Workspaces[c.random.IntN(len(doc.Workspaces))].Name, patience: lookupPatience}
	draw := c.random.IntN(100)
	switch {
	case draw < percentOnce:
		c.drawService(q, false)
	case draw < percentOnce+percentPipeline:
		c.drawPipeline(q)
	case draw < percentOnce+percentPipeline+percentPoison:
		c.drawPipeline(q)
		if c.fleet.cfg.Poison {
			c.poison(q)
		}
	default:
		c.drawService(q, true)
	}
	return q
}

// drawPipeline makes a question in one of the four forms.
func (c *caller) drawPipeline(q *request) {
	doc := c.fleet.doc
	line := doc.Pipelines[c.random.IntN(len(doc.Pipelines))]
	q.method = http.MethodPost
	q.form = form(c.random.IntN(int(asService)))
	switch q.form {
	case asChat, asChatStream:
		q.path = "/v1/chat/completions"
		q.body = fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"Question %s"}]}`,
			line.ChatModel, q.form == asChatStream, q.mark)
	default:
		q.path = "/v1/pipelines/" + line.Name
		q.body = fmt.Sprintf(`{"input":"Question %s"}`, q.mark)
	}
	// Some callers choose request IDs that others choose too.
	if c.random.IntN(100) < percentSharedID {
		q.id = "shared-id"
	}
}

// poison makes a question crash the engines that run it.
func (c *caller) poison(q *request) {
	q.poison = true
	q.form = asJSON
	q.path = "/v1/pipelines/" + c.fleet.doc.Pipelines[0].Name
	q.body = fmt.Sprintf(`{"input":"%s %s%d-%d"}`, q.mark, poisonMarker, c.number, c.sent)
}

// drawService makes a call of a plain service.
func (c *caller) drawService(q *request, idempotent bool) {
	services := c.operations(idempotent)
	chosen := services[c.random.IntN(len(services))]
	q.form = asService
	q.patience = servicePatience
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

// operationOf is an operation and its service's name.
type operationOf struct {
	service   string
	operation document.Operation
}

// operations lists the document's operations of one sort.
func (c *caller) operations(idempotent bool) []operationOf {
	var found []operationOf
	for _, s := range c.fleet.doc.Services {
		for _, op := range s.Operations {
			if op.Idempotent == idempotent {
				found = append(found, operationOf{s.Name, op})
			}
		}
	}
	return found
}

// maxSends is how often a caller sends a request that found no answer.
const maxSends = 5

// resendPause is the mean wait before a request is sent again.
const resendPause = 250 * time.Millisecond

// ask sends a request until it has an answer or the caller gives up. A crash-
// causing request goes to every host; some others go to two hosts at once.
func (c *caller) ask(ctx context.Context, q *request) {
	if q.key != "" && c.random.IntN(100) < percentDouble {
		c.askTwice(ctx, q)
		return
	}
	sends := maxSends
	if q.key == "" && !q.poison {
		sends = 2
	}
	for range sends {
		got := c.once(ctx, q)
		if got.outcome == whole || (got.outcome == ranFailed && !q.poison) {
			return
		}
		if sleep.For(ctx, drawTime(c.random, resendPause)) != nil {
			return
		}
	}
}

// askTwice sends the same request to two hosts at once, and then once more.
func (c *caller) askTwice(ctx context.Context, q *request) {
	first, second := c.host(), c.host()
	var both sync.WaitGroup
	for _, h := range []*entryHost{first, second} {
		both.Go(func() { c.fleet.ledger.note(q, c.fleet.send(ctx, h, q)) })
	}
	both.Wait()
	c.once(ctx, q)
}

// once sends a request to one host.
func (c *caller) once(ctx context.Context, q *request) reply {
	got := c.fleet.send(ctx, c.host(), q)
	c.fleet.ledger.note(q, got)
	return got
}

// host picks a host as the balancer would: one that it saw ready, if any.
func (c *caller) host() *entryHost {
	hosts := c.fleet.living()
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
