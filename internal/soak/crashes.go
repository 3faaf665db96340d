package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The service whose engines crash on parts of prompts.
const (
	promptService = "prompts"
	promptEngines = 4
	askPath       = "/ask/"
	// crashingPrefix begins the IDs of the parts that crash engines.
	crashingPrefix = "bad"
	crashDelay     = 20 * time.Millisecond
	// engineRestart is the time from an engine's crash to the start of another one.
	engineRestart = 400 * time.Millisecond
	promptPause   = 40 * time.Millisecond
	// partSendTime is how long callers send a part that crashes engines. It covers the
	// time after which sound requests must be served.
	partSendTime = 9 * time.Second
)

// What is promised of parts that crash engines. The times are those of the hosts'
// settings.
const (
	crashesThatDecide   = 5
	crashBound          = inTouchTime // from the deciding crash until no host in touch sends the part
	maxPartRequests     = 3           // after that time
	minSoundServedShare = 0.5         // from twice that time, of minSoundRequests or more
	minSoundRequests    = 20
)

// crashFaults are parts of prompts that crash engines.
var crashFaults = []fault{sendCrashingPart}

// partCrash is an engine that crashed on a part.
type partCrash struct {
	part string
	at   time.Time
}

// prompt is a request with a prompt, as its caller saw it.
type prompt struct {
	outcome
	part string // the part that crashes engines; "" if the prompt has none
}

// startEngine starts an engine that is replaced after it has crashed. It has no proxy,
// since a host finds a crash by connecting.
func (e *environment) startEngine() {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := &platformtest.Upstream{
		ID: fmt.Sprintf("%s-%d", promptService, len(e.engines)), Service: promptService, Zone: "riga-a",
		Events: eventCount, EventPause: 10 * time.Millisecond, Work: 5 * time.Millisecond,
	}
	u.Crash = &platformtest.Crash{PartPrefix: crashingPrefix, Delay: crashDelay, Crashed: func(part string) {
		e.mu.Lock()
		e.crashes = append(e.crashes, partCrash{part, time.Now()})
		e.crashed[u.ID] = true
		e.mu.Unlock()
		e.leaving.Go(func() {
			time.Sleep(engineRestart)
			e.store.Delete("servers/" + u.ID)
			e.startEngine()
		})
	}}
	u.Start().Register(e.store, "ready")
	e.engines = append(e.engines, u)
}

func (e *environment) allEngines() []*platformtest.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*platformtest.Upstream(nil), e.engines...)
}

// rewriteEngines writes the entries of the engines again, or removes those of engines
// that have crashed.
func (e *environment) rewriteEngines() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.engines {
		if e.crashed[u.ID] {
			e.store.Delete("servers/" + u.ID)
		} else {
			u.Register(e.store, "ready")
		}
	}
}

// sendCrashingPart has callers send requests with another part that crashes engines.
func sendCrashingPart(e *environment, r *rand.Rand) (string, error) {
	part := fmt.Sprintf("%s%08x", crashingPrefix, r.Uint32())
	e.setCrashingPart(part)
	time.Sleep(partSendTime)
	e.setCrashingPart("")
	return "callers sent the part " + part, nil
}

func (e *environment) setCrashingPart(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashingPart = part
}

// runPrompts sends requests with prompts until ctx ends. All share a first part; those
// with a part that crashes engines also share another one with sound requests.
func (c *callers) runPrompts(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	r := rand.New(rand.NewPCG(seed, 4000))
	for n := 0; ctx.Err() == nil; n++ {
		c.env.mu.Lock()
		part := c.env.crashingPart
		c.env.mu.Unlock()
		parts := []string{"aaaa0001", fmt.Sprintf("cccc%04d", r.IntN(4)), fmt.Sprintf("%08x", n)}
		if r.IntN(3) > 0 {
			part = ""
		} else if part != "" {
			parts = slices.Insert(parts, 1, part)
		}
		h, id := pick(r, c.env.hosts), fmt.Sprintf("%d-p%d", seed, n)
		group.Go(func() {
			p := prompt{part: part, outcome: c.send(askPath, h, id, keptKey, defaultClientTimeout, platformtest.PromptHeader(parts...))}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.prompts = append(c.prompts, p)
		})
		time.Sleep(promptPause)
	}
	group.Wait()
}

// checkCrashes checks that hosts find the parts that crash engines, and keep serving
// requests that only share other parts with them.
func (e *environment) checkCrashes(prompts []prompt) (violations []string) {
	ran := make(map[string]bool)
	for _, u := range e.allEngines() {
		for _, run := range u.Runs() {
			ran[run.RequestID] = true
		}
	}
	crashes := make(map[string][]time.Time)
	for _, c := range e.crashes {
		crashes[c.part] = append(crashes[c.part], c.at)
	}
	inTouch := slices.DeleteFunc(slices.Clone(prompts), func(p prompt) bool {
		return e.host(p.host).wasDisrupted(p.sentAt.Add(-inTouchTime), p.endedAt, killed, stopped, paused)
	})
	for part, at := range crashes {
		decided := at[min(len(at), crashesThatDecide)-1]
		sent := countPrompts(inTouch, func(p prompt) bool {
			return p.part == part && ran[p.id] && p.sentAt.After(decided.Add(crashBound))
		})
		if sent > maxPartRequests && len(at) >= crashesThatDecide {
			violations = append(violations, fmt.Sprintf("%d requests with part %s were sent to engines later than %s after the fifth crash; %d engines crashed",
				sent, part, crashBound, len(at)))
		}
		violations = append(violations, checkSoundPrompts(inTouch, part, decided.Add(2*crashBound))...)
	}
	return violations
}

// checkSoundPrompts checks that sound requests are served after a time, while requests
// with a part still come.
func checkSoundPrompts(prompts []prompt, part string, after time.Time) []string {
	last := after
	for _, p := range prompts {
		if p.part == part && p.sentAt.After(last) {
			last = p.sentAt
		}
	}
	isSound := func(p prompt) bool { return p.part == "" && p.sentAt.After(after) && p.sentAt.Before(last) }
	sound := countPrompts(prompts, isSound)
	served := countPrompts(prompts, func(p prompt) bool { return isSound(p) && p.status == http.StatusOK && p.complete })
	if sound < minSoundRequests || float64(served) >= minSoundServedShare*float64(sound) {
		return nil
	}
	return []string{fmt.Sprintf("only %d of %d sound requests were served while part %s was sent", served, sound, part)}
}

func countPrompts(prompts []prompt, matches func(prompt) bool) (n int) {
	for _, p := range prompts {
		if matches(p) {
			n++
		}
	}
	return n
}
