package placement

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
)

// Each host remembers on which engines its own requests were placed lately. A host that begins to
// choose the engines of a service asks others for it, since it would otherwise have segments read
// again that engines hold.

// recentMethod returns the recent choices of a host.
const recentMethod link.Method = "placement.Recent"

const (
	// maxRecentChoices bounds the choices that a host remembers, of all services.
	maxRecentChoices = 1024
	// maxOfferedChoices bounds the choices in one answer, and maxRecallHosts the hosts that are
	// asked: 128 answers of 32 choices are about 250 kB.
	maxOfferedChoices = 32
	maxRecallHosts    = 128
	// maxRecalledParts bounds the shared parts of a prompt whose engine is remembered.
	maxRecalledParts = 8
	// choiceTTL is how long a choice is remembered. Engines have probably evicted older ones.
	choiceTTL = 60 * time.Second
	// recallTimeout bounds a call to another host, and recallConcurrency is how many are made at
	// once.
	recallTimeout     = 300 * time.Millisecond
	recallConcurrency = 16
	// recallPause is the least time between two recalls of a service.
	recallPause = 2 * time.Second
)

// recentRequest asks a host for its recent choices of a service's engines.
type recentRequest struct {
	Service string `cbor:"1,keyasint"`
}

// recentAnswer has the choices in the order in which they were made, the newest last.
type recentAnswer struct {
	Choices []recentChoice `cbor:"1,keyasint"`
}

// recentChoice is the engine that a prompt was sent to last, and the parts that other prompts
// may share.
type recentChoice struct {
	Engine  instance.ID `cbor:"1,keyasint"`
	StartMs int64       `cbor:"2,keyasint"` // start of the engine's process
	Hashes  []uint64    `cbor:"3,keyasint"` // see prefixChain
	Tokens  []int       `cbor:"4,keyasint"`
}

// recentKey identifies the shared parts of a prompt.
type recentKey struct {
	service string
	shared  uint64
}

// timedChoice is a choice and when it was made.
type timedChoice struct {
	recentChoice
	at time.Time
}

// recentChoices are the choices for requests of this host.
type recentChoices struct {
	mu      sync.Mutex // guards choices
	choices *lru.LRU[recentKey, timedChoice]
}

func newRecentChoices() *recentChoices {
	// NewLRU fails only if the size is not positive, and this one is a constant.
	choices, _ := lru.NewLRU[recentKey, timedChoice](maxRecentChoices, nil)
	return &recentChoices{choices: choices}
}

// add records that a prompt was sent to an engine.
func (r *recentChoices) add(now time.Time, need Need, engine instance.Process) {
	chain := prefixChain(need.Parts)
	n := len(chain) - 1
	if n < 1 || n > maxRecalledParts {
		return
	}
	c := recentChoice{Engine: engine.ID, StartMs: engine.StartTime.UnixMilli(), Hashes: chain[:n]}
	for _, p := range need.Parts[:n] {
		c.Tokens = append(c.Tokens, p.Tokens)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choices.Add(recentKey{need.Service, chain[n-1]}, timedChoice{c, now})
}

// newest returns the newest choices of a service's engines, the newest last.
func (r *recentChoices) newest(now time.Time, service string) (choices []recentChoice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := r.choices.Keys() // the newest last
	for i := len(keys) - 1; i >= 0 && len(choices) < maxOfferedChoices; i-- {
		if keys[i].service != service {
			continue
		}
		c, _ := r.choices.Peek(keys[i])
		if now.Sub(c.at) > choiceTTL {
			break
		}
		choices = append(choices, c.recentChoice)
	}
	slices.Reverse(choices)
	return choices
}

// valid reports whether a choice of another host has plausible figures. The parts must fit into
// the cache of an engine, or else they would evict all that is known of it.
func (c recentChoice) valid(limits Limits) bool {
	if len(c.Hashes) == 0 || len(c.Hashes) > maxRecalledParts || len(c.Hashes) != len(c.Tokens) {
		return false
	}
	left := cacheCapacity(limits)
	for _, tokens := range c.Tokens {
		if tokens < 0 || tokens > left {
			return false
		}
		left -= tokens
	}
	return true
}

// learn takes over choices that were made before this host chose the engines. Engines that are not listed,
// and those whose process has changed since, have nothing cached.
func (t *tracker) learn(all []instance.Status, limits Limits, choices []recentChoice) (learned int) {
	for _, c := range choices[:min(len(choices), maxOfferedChoices)] {
		i := slices.IndexFunc(all, func(s instance.Status) bool {
			return s.ID == c.Engine && s.StartTime.UnixMilli() == c.StartMs
		})
		if i < 0 || !c.valid(limits) {
			continue
		}
		e := t.engine(c.Engine, limits)
		e.setProcess(all[i].Process(), limits)
		parts := make([]call.PromptPart, len(c.Tokens))
		for j, tokens := range c.Tokens {
			parts[j].Tokens = tokens
		}
		e.cache.touch(c.Hashes, parts)
		shared := c.Hashes[len(c.Hashes)-1]
		seg, there := t.segments.Get(shared)
		if !there {
			seg = &segment{}
			t.segments.Add(shared, seg)
		}
		seg.hold(c.Engine)
		learned++
	}
	return learned
}

// recallHosts returns the hosts to ask for recent choices: those alive, at most maxRecallHosts.
func recallHosts(members []host.Member, self host.ID, service string) []host.Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m host.Member) bool { return m.ID == self || m.State != host.Alive })
	if len(members) > maxRecallHosts {
		// The hash takes them from all data centres, and others for another service.
		slices.SortFunc(members, func(a, b host.Member) int {
			return cmp.Compare(xxh3.HashString(service+"\x00"+string(a.ID)), xxh3.HashString(service+"\x00"+string(b.ID)))
		})
		members = members[:maxRecallHosts]
	}
	return members
}

// recallDue reports whether this host begins to choose the engines of a service: it has not yet, or another
// owner has meanwhile, or it knew no other host when it began. The caller holds mu.
func (p *Placer) recallDue(t *tracker, now time.Time) bool {
	again := (t.ceded || t.alone) && now.Sub(t.recalledAt) >= recallPause
	if p.config.Fleet == nil || !t.byDemand || !t.recalledAt.IsZero() && !again {
		return false
	}
	t.recalledAt, t.ceded = now, false
	return true
}

// cede records that another host chooses the engines of a service.
func (p *Placer) cede(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.trackers[service]; t != nil {
		t.ceded, t.alone = true, false
	}
}

// setAlone records whether there was no host to ask, and returns what was recorded before.
func (p *Placer) setAlone(service string, alone bool) (before bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tracker(service)
	before, t.alone = t.alone, alone
	return before
}

// recall asks other hosts for their recent choices and takes them over as they arrive. No
// request waits for it.
func (p *Placer) recall(service string) {
	start := time.Now()
	hosts := recallHosts(p.config.Fleet.Members(), p.config.Fleet.Self().ID, service)
	if !p.setAlone(service, len(hosts) == 0) {
		p.learn(service, p.recent.newest(start, service))
	}
	var pending sync.WaitGroup
	var mu sync.Mutex // guards answered and learned
	answered, learned := 0, 0
	slots := make(chan struct{}, recallConcurrency)
	for _, m := range hosts {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
			defer cancel()
			answer, err := link.CallTyped[recentRequest, recentAnswer](ctx, p.config.Caller, m.LinkAddr, recentMethod, recentRequest{service})
			if err != nil {
				return // also a host of a build that lacks the method
			}
			n := p.learn(service, answer.Choices)
			mu.Lock()
			defer mu.Unlock()
			answered, learned = answered+1, learned+n
		})
	}
	pending.Wait()
	if len(hosts) > 0 {
		p.config.Logger.Info("recent placements of other hosts read", "service", service, slog.Int("asked", len(hosts)),
			slog.Int("answered", answered), slog.Int("placements", learned), "ms", time.Since(start).Milliseconds())
	}
}

// learn takes over choices of a host.
func (p *Placer) learn(serviceName string, choices []recentChoice) int {
	service, known := p.config.Service(serviceName)
	if !known || service.Engine == nil || len(choices) == 0 {
		return 0
	}
	all := p.config.Engines.ServiceOfFleet(serviceName, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker(serviceName).learn(all, limitsOf(service), choices)
}
