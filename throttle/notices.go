package throttle

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// NoticeTopic is the topic of facts that name limits of upstreams, their withdrawals, and
// pauses that upstreams ask for.
const NoticeTopic member.Topic = "notices"

// noticesMethod asks a host for all that it knows of limits and pauses.
const noticesMethod link.Method = "throttle.Notices"

const (
	// noticeSlots is how many facts a host has at once. The facts of 2,336 hosts then fit into
	// the store of facts, which holds 65,536 and keeps each for half an hour.
	noticeSlots = 16
	// minPublishInterval is the least time between two facts of a slot. An upstream may name
	// another limit in every answer, and facts that follow each other faster use up the budget
	// for gossip of all hosts. Together with NoticeInterval and the time that a fact takes, it is
	// below the second within which all hosts are to know.
	minPublishInterval = 250 * time.Millisecond
	// NoticeInterval is how often Flush is to be called.
	NoticeInterval = 100 * time.Millisecond
	// withdrawalLifetime is how long a withdrawal is kept as a fact, well above the time that
	// a fact takes to reach all hosts.
	withdrawalLifetime = time.Minute
	// noticesTimeout bounds asking another host for all notices.
	noticesTimeout = 200 * time.Millisecond
	// maxNotices bounds the answer to that, to about 40 kB.
	maxNotices = 512
	// maxNoticeID bounds an upstream's ID in a notice. Longer ones are not shared: the fact
	// would be sent less often, since it is no longer a short one.
	maxNoticeID = 30
	// maxSharedLimit is the highest limit that a notice may name.
	maxSharedLimit = 1e6
	// maxMalformedSources bounds the hosts whose malformed notices are logged.
	maxMalformedSources = 64
)

// noticeKind is what a notice says of an upstream process.
type noticeKind uint8

const (
	limitNamed     noticeKind = 1
	limitWithdrawn noticeKind = 2
	pauseAsked     noticeKind = 3
)

// noticeFact is what an answer of an upstream process has said to one host.
type noticeFact struct {
	ID          instance.ID `cbor:"1,keyasint"`
	StartMillis int64       `cbor:"2,keyasint"`
	Kind        noticeKind  `cbor:"3,keyasint"`
	PerSecond   float64     `cbor:"4,keyasint,omitempty"`
	// AtMillis is when the answer arrived, by the clock of the host that got it. AgeMillis,
	// which is used in calls, is how long ago that was.
	AtMillis  int64 `cbor:"5,keyasint,omitempty"`
	AgeMillis int64 `cbor:"6,keyasint,omitempty"`
	// LeftMillis is how long the pause lasts from then on.
	LeftMillis int64 `cbor:"7,keyasint,omitempty"`
}

// isValid reports whether the values are within their bounds.
func (f noticeFact) isValid() bool {
	switch f.Kind {
	case limitNamed:
		if math.IsNaN(f.PerSecond) || f.PerSecond < 0 || f.PerSecond > maxSharedLimit {
			return false
		}
	case limitWithdrawn:
	case pauseAsked:
		if f.LeftMillis <= 0 || f.LeftMillis > instance.MaxReportedPause.Milliseconds() {
			return false
		}
	default:
		return false
	}
	return f.ID != "" && len(f.ID) <= maxNoticeID && f.AgeMillis >= 0 && f.AgeMillis < math.MaxInt32
}

func (f noticeFact) process() instance.Process {
	return instance.Process{ID: f.ID, StartTime: time.UnixMilli(f.StartMillis)}
}

// isOnLimit reports whether the notice is on the limit of its process, not on a pause.
func (f noticeFact) isOnLimit() bool { return f.Kind != pauseAsked }

// noticeSlot is a fact of this host.
type noticeSlot struct {
	noticeFact
	changedAt   time.Time // when the notice was recorded
	publishedAt time.Time // when a fact was last published in this slot
	live        bool
	pending     bool // the notice is not published yet
}

// Notices tells the other hosts what upstreams have said to this one of limits and pauses, and
// records what they tell. It is safe for concurrent use.
type Notices struct {
	config NoticesConfig
	facts  *prometheus.CounterVec
	// informed is true once this host has asked others for what they know.
	informed atomic.Bool

	publishing sync.Mutex // orders the calls of Publish; taken before slotsMu

	slotsMu sync.Mutex // guards slots; not held during Publish, taken before the lock of Instances
	slots   [noticeSlots]noticeSlot

	malformedMu sync.Mutex // guards malformed
	malformed   map[host.ID]bool
}

// NoticesConfig configures Notices. Now and Registerer are optional.
type NoticesConfig struct {
	Gossip     member.Gossip
	Instances  *instance.Table
	Caller     link.Caller
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// NewNotices creates Notices and registers the method that other hosts call.
func NewNotices(config NoticesConfig, registrar link.Registrar) *Notices {
	if config.Now == nil {
		config.Now = time.Now
	}
	n := &Notices{config: config, malformed: make(map[host.ID]bool), facts: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "seam_shared_notices_total", Help: "Limits and pauses of upstreams that hosts tell each other, by result.",
	}, []string{"result"})}
	if config.Registerer != nil {
		config.Registerer.MustRegister(n.facts)
	}
	config.Gossip.Subscribe(NoticeTopic, func(f member.Fact) { n.receive(f, config.Now()) })
	link.HandleTyped(registrar, noticesMethod, func(context.Context, struct{}) (noticesAnswer, error) {
		return noticesAnswer{Notices: n.known(config.Now()), Informed: n.informed.Load()}, nil
	})
	return n
}

// Limit tells the other hosts that a process has named a limit, or has withdrawn it.
func (n *Notices) Limit(p instance.Process, perSecond float64, named bool, now time.Time) {
	f := noticeFact{Kind: limitWithdrawn}
	if named {
		f = noticeFact{Kind: limitNamed, PerSecond: perSecond}
	}
	n.publish(p, f, now)
}

// Pause tells the other hosts that a process has asked for a pause.
func (n *Notices) Pause(p instance.Process, until, now time.Time) {
	left := min(until.Sub(now), instance.MaxReportedPause)
	if left >= time.Millisecond {
		n.publish(p, noticeFact{Kind: pauseAsked, LeftMillis: left.Milliseconds()}, now)
	}
}

// publish publishes a notice on a process in the slot of the last one on the same.
func (n *Notices) publish(p instance.Process, f noticeFact, now time.Time) {
	id := newProcessID(p)
	f.ID, f.StartMillis, f.AtMillis = id.ID, id.StartMillis, now.UnixMilli()
	if !f.isValid() {
		return
	}
	n.slotsMu.Lock()
	s := &n.slots[n.slotFor(f)]
	s.noticeFact, s.changedAt, s.live, s.pending = f, now, true, true
	n.slotsMu.Unlock()
	n.Flush(now)
}

// Flush publishes the notices whose slots may be published again. If another goroutine is
// publishing, what it misses is left to the next call, since requests must not wait for it.
func (n *Notices) Flush(now time.Time) {
	if !n.publishing.TryLock() { // otherwise an older fact could be published after a newer one in its slot
		return
	}
	defer n.publishing.Unlock()
	for slot := range n.slots {
		n.slotsMu.Lock()
		s := &n.slots[slot]
		due := s.pending && now.Sub(s.publishedAt) >= minPublishInterval
		if due {
			s.pending, s.publishedAt = false, now
		}
		f := s.noticeFact
		n.slotsMu.Unlock()
		if !due {
			continue
		}
		payload, err := cbor.Marshal(f)
		if err == nil {
			err = n.config.Gossip.Publish(NoticeTopic, strconv.Itoa(slot), payload)
		}
		n.report("published", err)
	}
}

// slotFor returns the slot of the last notice on the same, or else the one that has not been
// used for the longest. The caller holds slotsMu.
func (n *Notices) slotFor(f noticeFact) (slot int) {
	for i, s := range n.slots {
		if s.ID == f.ID && s.StartMillis == f.StartMillis && s.isOnLimit() == f.isOnLimit() {
			return i
		}
		if s.changedAt.Before(n.slots[slot].changedAt) {
			slot = i
		}
	}
	return slot
}

// Expire withdraws the facts of this host that no longer hold. Otherwise hosts that start would
// take them for true.
func (n *Notices) Expire(now time.Time) {
	var expired []int
	n.publishing.Lock() // otherwise a notice that gets an expired slot could be withdrawn
	defer n.publishing.Unlock()
	n.slotsMu.Lock()
	for i := range n.slots {
		s := &n.slots[i]
		if s.live && !n.holds(*s, now) {
			s.live, s.pending, s.changedAt = false, false, time.Time{}
			expired = append(expired, i)
		}
	}
	n.slotsMu.Unlock()
	for _, slot := range expired {
		n.report("expired", n.config.Gossip.Publish(NoticeTopic, strconv.Itoa(slot), nil))
	}
}

// holds reports whether a fact of this host still holds as far as the host knows.
func (n *Notices) holds(s noticeSlot, now time.Time) bool {
	age := now.Sub(s.changedAt)
	switch s.Kind {
	case pauseAsked:
		return age < time.Duration(s.LeftMillis)*time.Millisecond
	case limitWithdrawn:
		return age < withdrawalLifetime
	}
	_, listed := n.config.Instances.Lookup(s.ID)
	perSecond, _, named := n.config.Instances.Limit(s.process())
	return named && perSecond == s.PerSecond && (listed || age < withdrawalLifetime)
}

// receive processes a fact of another host. One without a payload is a withdrawal of a fact:
// what the host has told before holds on for as long as it said.
func (n *Notices) receive(f member.Fact, now time.Time) {
	if len(f.Payload) == 0 {
		return
	}
	var fact noticeFact
	if cbor.Unmarshal(f.Payload, &fact) != nil || fact.AgeMillis != 0 || !fact.isValid() {
		n.reportMalformed(f.From)
		return
	}
	n.facts.WithLabelValues("received").Inc()
	// A host whose clock is ahead has not seen the answer in the future.
	at := time.UnixMilli(fact.AtMillis)
	if at.After(now) {
		at = now
	}
	n.apply(fact, at, now)
}

// apply records a notice of an answer that arrived at another host at a time.
func (n *Notices) apply(f noticeFact, at, now time.Time) {
	if f.Kind == pauseAsked {
		n.config.Instances.ReportPause(f.process(), at.Add(time.Duration(f.LeftMillis)*time.Millisecond), now)
		return
	}
	n.config.Instances.MergeLimit(f.process(), f.PerSecond, f.Kind == limitNamed, at)
}

// known returns all that this host knows of limits and pauses of listed upstreams.
func (n *Notices) known(now time.Time) (all []noticeFact) {
	add := func(s instance.Notice, f noticeFact) {
		id := newProcessID(s.Process)
		f.ID, f.StartMillis = id.ID, id.StartMillis
		if f.isValid() && len(all) < maxNotices {
			all = append(all, f)
		}
	}
	for _, s := range n.config.Instances.Notices(now) {
		if s.Limited {
			add(s, noticeFact{Kind: limitNamed, PerSecond: s.PerSecond, AgeMillis: max(now.Sub(s.NamedAt).Milliseconds(), 0)})
		}
		if left := min(s.PausedUntil.Sub(now), instance.MaxReportedPause); left > 0 {
			add(s, noticeFact{Kind: pauseAsked, LeftMillis: left.Milliseconds()})
		}
	}
	return all
}

// noticesAnswer is all that a host knows of limits and pauses.
type noticesAnswer struct {
	Notices []noticeFact `cbor:"1,keyasint"`
	// Informed means that the answering host has been told by others itself since it started,
	// or had nobody to ask.
	Informed bool `cbor:"2,keyasint"`
}

// SetInformed records that this host has asked others, so that hosts that start need ask no
// other one.
func (n *Notices) SetInformed() { n.informed.Store(true) }

// Learn asks another host for all that it knows, for a host that has just started: facts may
// have ended with the hosts that published them. It returns false if another one should be asked
// too: the host did not answer in time, has just started itself, or is of a build that does not
// serve the method.
func (n *Notices) Learn(ctx context.Context, peer host.Info) bool {
	ctx, cancel := context.WithTimeout(ctx, noticesTimeout)
	defer cancel()
	answer, err := link.CallIdempotent[struct{}, noticesAnswer](ctx, n.config.Caller, peer.LinkAddr, noticesMethod, struct{}{})
	if err != nil {
		return false
	}
	now := n.config.Now()
	for _, f := range answer.Notices[:min(len(answer.Notices), maxNotices)] {
		if !f.isValid() {
			n.reportMalformed(peer.ID)
			continue
		}
		n.facts.WithLabelValues("learned").Inc()
		n.apply(f, now.Add(-time.Duration(f.AgeMillis)*time.Millisecond), now)
	}
	return answer.Informed
}

func (n *Notices) report(result string, err error) {
	if err != nil {
		n.config.Logger.Warn("failed to tell other hosts of an upstream's notice", "error", err.Error())
		result = "failed"
	}
	n.facts.WithLabelValues(result).Inc()
}

// reportMalformed counts a malformed notice and logs the first one of each host.
func (n *Notices) reportMalformed(from host.ID) {
	n.facts.WithLabelValues("malformed").Inc()
	n.malformedMu.Lock()
	logged := n.malformed[from] || len(n.malformed) >= maxMalformedSources
	if !logged {
		n.malformed[from] = true
	}
	n.malformedMu.Unlock()
	if !logged {
		n.config.Logger.Warn("malformed notice of another host ignored", "from", string(from))
	}
}
