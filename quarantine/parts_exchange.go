package quarantine

import (
	"context"
	"encoding/hex"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/blake3"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/upstream"
)

// Topics of the facts about parts of prompts that hosts exchange.
const (
	// PartTopic carries losses and condemnations.
	PartTopic member.Topic = "quarantine-parts"
	// answerTopic carries answers that object to them. Its facts are many more.
	answerTopic member.Topic = "quarantine-answers"
)

// Prefixes of the keys of facts of PartTopic.
const (
	lossKey      = "l/"
	condemnedKey = "c/"
)

const (
	// answerInterval is the least time between two publications of an answer to a
	// part, by this host or another.
	answerInterval = time.Second
	// answerDelay is how long a host waits at the most, for each other host, before it
	// publishes an answer, so that few of a large fleet do.
	answerDelay = 2 * time.Millisecond
	// maxPartBytes bounds the part IDs that are used as they are. Longer ones are
	// hashed.
	maxPartBytes = 32
)

// partsMethod asks a host for what it knows of parts.
const partsMethod link.Method = "quarantine.Parts"

// partFact is the payload of a fact. The part, and for a loss the upstream, are in
// its key.
type partFact struct {
	_ struct{} `cbor:",toarray"`
	// Milli is the time of the loss or the answer, or the end of the condemnation,
	// in Unix milliseconds by the publisher's clock.
	Milli    int64
	Strength Strength
}

// partsReport is what a host knows of suspect parts. Times are ages and remaining
// times, since clocks may differ.
type partsReport struct {
	Condemned []condemnedReport `cbor:"1,keyasint,omitempty"`
	Losses    []lossReport      `cbor:"2,keyasint,omitempty"`
	Answers   []answerReport    `cbor:"3,keyasint,omitempty"`
}

type condemnedReport struct {
	Part      string        `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"`
}

type lossReport struct {
	Part     string        `cbor:"1,keyasint"`
	Upstream upstream.ID   `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
	Strength Strength      `cbor:"4,keyasint"`
}

type answerReport struct {
	Part string        `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// PartsConfig configures Parts. Now and Registerer are optional.
type PartsConfig struct {
	Gossip     member.Gossip
	Fleet      host.View
	Caller     link.Caller
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
	Settings   PartSettings
	// Keep is called with a part that this host has condemned and until when, Forget
	// with one that it has released; nil does nothing. They must return at once.
	Keep   func(part string, until time.Time)
	Forget func(part string)
}

// Parts is this host's part in detecting prompt parts that crash upstreams. It is
// safe for concurrent use.
type Parts struct {
	config   PartsConfig
	verdicts *prometheus.CounterVec

	mu     sync.Mutex // guards the fields below; not held during Publish
	ledger *PartLedger
	// publishedAnswers is when an answer to a part was last published, by this host or
	// another.
	publishedAnswers map[string]time.Time
}

// NewParts creates the detection and registers the method that other hosts call.
func NewParts(config PartsConfig, registrar link.Registrar) *Parts {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Keep == nil {
		config.Keep = func(string, time.Time) {}
	}
	if config.Forget == nil {
		config.Forget = func(string) {}
	}
	q := &Parts{
		config: config,
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_quarantine_part_verdicts_total", Help: "Requests held or refused because of a part of their prompts, by verdict.",
		}, []string{"verdict"}),
		ledger:           NewPartLedger(config.Settings),
		publishedAnswers: make(map[string]time.Time),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(q.verdicts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "seam_quarantined_parts", Help: "Parts of prompts whose requests are refused.",
		}, q.condemnedCount))
	}
	config.Gossip.Subscribe(PartTopic, q.receive)
	config.Gossip.Subscribe(answerTopic, q.receiveAnswer)
	link.HandleTyped(registrar, partsMethod, func(context.Context, struct{}) (partsReport, error) { return q.report(), nil })
	return q
}

// Run asks other hosts for what they know, until ctx ends.
func (q *Parts) Run(ctx context.Context) error {
	return puller[partsReport]{fleet: q.config.Fleet, caller: q.config.Caller, logger: q.config.Logger, method: partsMethod, merge: q.merge}.run(ctx)
}

// Check returns what may be done with a request that has these parts. A request that
// is held has to be checked again.
func (q *Parts) Check(ids []string) PartVerdict {
	now := q.config.Now()
	q.mu.Lock()
	v := q.ledger.Check(now, normalize(ids))
	q.mu.Unlock()
	switch v.Decision {
	case PartsAllowed:
		return v
	case PartsHeld:
		q.verdicts.WithLabelValues("held").Inc()
	case PartsRefused:
		q.verdicts.WithLabelValues("refused").Inc()
	}
	if len(v.Losses) > 0 {
		q.config.Logger.Warn("prompt part quarantined", "part", v.Part, "until", v.Until, "upstreams", upstreamsOf(v.Losses))
		q.publish(PartTopic, condemnedKey+v.Part, partFact{Milli: v.Until.UnixMilli()})
		q.config.Keep(v.Part, v.Until)
	}
	return v
}

// Await returns what may be done with a request that has these parts, after waiting while
// the evidence settles. If ctx ends before, it returns PartsHeld.
func (q *Parts) Await(ctx context.Context, ids []string) PartVerdict {
	for len(ids) > 0 {
		v := q.Check(ids)
		if v.Decision != PartsHeld || sleep.For(ctx, v.Until.Sub(q.config.Now())) != nil {
			return v
		}
	}
	return PartVerdict{}
}

func upstreamsOf(losses []PartLoss) (ids []string) {
	for _, loss := range losses {
		ids = append(ids, string(loss.Upstream))
	}
	return ids
}

// Explains reports whether an upstream was lost with a condemned part.
func (q *Parts) Explains(id upstream.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Explains(q.config.Now(), id)
}

// Lost records that an upstream was lost at a time while it had a request with these
// parts.
func (q *Parts) Lost(ids []string, id upstream.ID, at time.Time, strength Strength) {
	now := q.config.Now()
	var published []string
	q.mu.Lock()
	for _, part := range normalize(ids) {
		loss := PartLoss{Part: part, Upstream: id, At: at, Strength: strength}
		if q.ledger.RecordLoss(now, loss) && !q.ledger.answeredLately(now, part) {
			published = append(published, part)
		}
	}
	q.mu.Unlock()
	for _, part := range published {
		q.publish(PartTopic, lossKey+part+"/"+string(id), partFact{Milli: at.UnixMilli(), Strength: strength})
	}
}

// Answered records that a request with these parts was answered.
func (q *Parts) Answered(ids []string) {
	now := q.config.Now()
	for _, part := range normalize(ids) {
		if q.recordAnswer(now, part, now, "") {
			q.publishAnswer(part)
		}
	}
}

// publishAnswer tells the other hosts when a request with a part was last answered,
// unless one of them does before.
func (q *Parts) publishAnswer(part string) {
	publish := func() {
		if at, due := q.answerDue(part); due {
			q.publish(answerTopic, part, partFact{Milli: at.UnixMilli()})
		}
	}
	others := int64(len(q.config.Fleet.Members())) - 1
	if others <= 0 {
		publish()
		return
	}
	time.AfterFunc(time.Duration(rand.Int64N(int64(answerDelay)*others)), publish)
}

// answerDue returns when a request with a part was last answered, and whether that has to
// be published.
func (q *Parts) answerDue(part string) (at time.Time, due bool) {
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.publishedAnswers[part]) < answerInterval {
		return time.Time{}, false
	}
	q.notePublished(part, now)
	return q.ledger.Answered(part), true
}

// notePublished records that an answer to a part was published. The caller holds mu.
func (q *Parts) notePublished(part string, now time.Time) {
	maps.DeleteFunc(q.publishedAnswers, func(_ string, at time.Time) bool { return now.Sub(at) >= answerInterval })
	q.publishedAnswers[part] = now
}

// publish sends a fact to the other hosts.
func (q *Parts) publish(topic member.Topic, key string, fact partFact) {
	payload, err := cbor.Marshal(fact)
	if err == nil {
		err = q.config.Gossip.Publish(topic, key, payload)
	}
	if err != nil {
		q.config.Logger.Warn("quarantine fact not published", "topic", string(topic), "key", key, "error", err.Error())
	}
}

// receive processes a loss or a condemnation that another host published.
func (q *Parts) receive(f member.Fact) {
	var fact partFact
	if err := cbor.Unmarshal(f.Payload, &fact); err != nil {
		q.config.Logger.Warn("quarantine fact not decoded", "from", string(f.From), "key", f.Key, "error", err.Error())
		return
	}
	now := q.config.Now()
	at := time.UnixMilli(fact.Milli)
	if part, found := strings.CutPrefix(f.Key, condemnedKey); found {
		q.condemn(now, part, at, string(f.From))
		return
	}
	key, found := strings.CutPrefix(f.Key, lossKey)
	slash := strings.LastIndexByte(key, '/')
	if !found || slash < 0 {
		return
	}
	loss := PartLoss{Part: key[:slash], Upstream: upstream.ID(key[slash+1:]), At: earlier(at, now), Strength: fact.Strength}
	q.mu.Lock()
	q.ledger.RecordLoss(now, loss)
	sound := q.ledger.answeredLately(now, loss.Part) || q.ledger.Answered(loss.Part).After(loss.At)
	q.mu.Unlock()
	if sound {
		q.publishAnswer(loss.Part)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Condemn refuses requests with a part until a time, because another host does. from says
// where that was learned.
func (q *Parts) Condemn(part string, until time.Time, from string) {
	q.condemn(q.config.Now(), part, until, from)
}

// condemn refuses requests with a part because another host does, or objects.
func (q *Parts) condemn(now time.Time, part string, until time.Time, from string) {
	q.mu.Lock()
	condemned, objection := q.ledger.Condemn(now, part, until)
	q.mu.Unlock()
	if condemned {
		q.config.Logger.Warn("prompt part quarantined", "part", part, "until", until, "from", from)
	}
	if objection {
		q.publishAnswer(part)
	}
}

// receiveAnswer processes an answer that another host published.
func (q *Parts) receiveAnswer(f member.Fact) {
	var fact partFact
	if err := cbor.Unmarshal(f.Payload, &fact); err != nil {
		q.config.Logger.Warn("quarantine fact not decoded", "from", string(f.From), "key", f.Key, "error", err.Error())
		return
	}
	now := q.config.Now()
	q.mu.Lock()
	q.notePublished(f.Key, now)
	q.mu.Unlock()
	q.recordAnswer(now, f.Key, earlier(time.UnixMilli(fact.Milli), now), string(f.From))
}

// recordAnswer records an answer of this host, or of another if from is not empty. It
// returns true if that ends evidence or a condemnation.
func (q *Parts) recordAnswer(now time.Time, part string, at time.Time, from string) (ended bool) {
	q.mu.Lock()
	_, condemned := q.ledger.Condemned(now)[part]
	ended = q.ledger.RecordAnswer(now, part, at)
	q.mu.Unlock()
	if condemned && ended {
		q.config.Logger.Warn("prompt part released from quarantine", "part", part, "from", from)
		if from == "" {
			q.config.Forget(part)
		}
	}
	return ended
}

// report returns what this host knows of suspect parts.
func (q *Parts) report() partsReport {
	now := q.config.Now()
	var r partsReport
	answered := make(map[string]bool)
	q.mu.Lock()
	defer q.mu.Unlock()
	for part, until := range q.ledger.Condemned(now) {
		r.Condemned = append(r.Condemned, condemnedReport{Part: part, Remaining: until.Sub(now)})
	}
	for _, loss := range q.ledger.Losses() {
		r.Losses = append(r.Losses, lossReport{Part: loss.Part, Upstream: loss.Upstream, Age: now.Sub(loss.At), Strength: loss.Strength})
		if at := q.ledger.Answered(loss.Part); !at.IsZero() && !answered[loss.Part] {
			answered[loss.Part] = true
			r.Answers = append(r.Answers, answerReport{Part: loss.Part, Age: now.Sub(at)})
		}
	}
	return r
}

// merge takes over what another host knows.
func (q *Parts) merge(r partsReport, from string) {
	now := q.config.Now()
	for _, a := range r.Answers {
		q.recordAnswer(now, a.Part, now.Add(-a.Age), from)
	}
	q.mu.Lock()
	for _, l := range r.Losses {
		q.ledger.RecordLoss(now, PartLoss{Part: l.Part, Upstream: l.Upstream, At: now.Add(-l.Age), Strength: l.Strength})
	}
	q.mu.Unlock()
	for _, c := range r.Condemned {
		q.condemn(now, c.Part, now.Add(c.Remaining), from)
	}
}

func (q *Parts) condemnedCount() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return float64(len(q.ledger.Condemned(q.config.Now())))
}

// normalize returns part IDs that are short enough for the keys of facts.
func normalize(ids []string) []string {
	short := make([]string, len(ids))
	for i, id := range ids {
		short[i] = id
		if len(id) > maxPartBytes {
			sum := blake3.Sum256([]byte(id))
			short[i] = hex.EncodeToString(sum[:maxPartBytes/2])
		}
	}
	return short
}
