package throttle

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/member"
)

// BrittleTopic is the topic of facts that name services whose upstreams are brittle.
const BrittleTopic member.Topic = "brittle"

const (
	// brittleTTL is how long a service counts as brittle after the last answer, or the last
	// word of another host, that says so.
	brittleTTL = 6 * time.Second
	// brittlePublishInterval is the least time between facts about one service. A host whose
	// answers say so publishes one unless it has received one lately, so that few do.
	brittlePublishInterval = 2 * time.Second
)

// brittleFact says how many requests a second an upstream of a service may turn away.
type brittleFact struct {
	MaxRejections int `cbor:"1,keyasint"`
}

// brittleService is what is known of a service whose upstreams are brittle.
type brittleService struct {
	maxRejections int
	saidAt        time.Time // by an answer or another host
	publishedAt   time.Time // by any host
	published     bool      // a fact of this host says so
}

// Brittle knows the services whose upstreams fall over when they must turn many requests
// away. Hosts tell each other, since each sees few answers. It is safe for concurrent use.
type Brittle struct {
	gossip member.Gossip
	logger *slog.Logger

	mu       sync.Mutex // guards services; not held during Publish
	services map[string]*brittleService
}

// NewBrittle creates a Brittle that learns of other hosts' answers.
func NewBrittle(gossip member.Gossip, logger *slog.Logger) *Brittle {
	b := &Brittle{gossip: gossip, logger: logger, services: make(map[string]*brittleService)}
	gossip.Subscribe(BrittleTopic, func(f member.Fact) { b.receive(f, time.Now()) })
	return b
}

// Named records that an answer of an upstream says that the upstreams of its service are
// brittle.
func (b *Brittle) Named(service string, maxRejections int, now time.Time) {
	b.mu.Lock()
	s := b.service(service)
	s.maxRejections, s.saidAt = maxRejections, now
	publish := now.Sub(s.publishedAt) >= brittlePublishInterval
	if publish {
		s.publishedAt, s.published = now, true
	}
	b.mu.Unlock()
	if publish {
		payload, err := cbor.Marshal(brittleFact{MaxRejections: maxRejections})
		if err == nil {
			err = b.gossip.Publish(BrittleTopic, service, payload)
		}
		b.logFailure(service, err)
	}
}

// MaxRejections returns how many requests a second an upstream of a service may turn away;
// false if the service is not brittle.
func (b *Brittle) MaxRejections(service string, now time.Time) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil || now.Sub(s.saidAt) > brittleTTL {
		return 0, false
	}
	return s.maxRejections, true
}

// Expire forgets services that are no longer brittle, and withdraws the facts about them.
func (b *Brittle) Expire(now time.Time) {
	var withdrawn []string
	b.mu.Lock()
	for name, s := range b.services {
		if now.Sub(s.saidAt) <= brittleTTL {
			continue
		}
		delete(b.services, name)
		b.logger.Info("service no longer brittle", "service", name)
		if s.published {
			withdrawn = append(withdrawn, name)
		}
	}
	b.mu.Unlock()
	for _, name := range withdrawn {
		b.logFailure(name, b.gossip.Publish(BrittleTopic, name, nil))
	}
}

// receive processes a fact of another host. One without a payload is a withdrawal: what
// others say or answers show holds on.
func (b *Brittle) receive(f member.Fact, now time.Time) {
	var fact brittleFact
	if len(f.Payload) == 0 || cbor.Unmarshal(f.Payload, &fact) != nil || fact.MaxRejections < 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(f.Key)
	s.maxRejections, s.saidAt, s.publishedAt = fact.MaxRejections, now, now
}

// service returns what is known of a service. The caller holds mu.
func (b *Brittle) service(name string) *brittleService {
	s := b.services[name]
	if s == nil {
		s = &brittleService{}
		b.services[name] = s
		b.logger.Info("service brittle", "service", name)
	}
	return s
}

func (b *Brittle) logFailure(service string, err error) {
	if err != nil {
		b.logger.Warn("failed to tell other hosts of a brittle service", "service", service, "error", err.Error())
	}
}
