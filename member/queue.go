package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Limits on gossip.
const (
	gossipFanout          = 3
	urgentFanout          = 4 // hosts that an urgent fact is forwarded to at once
	pushersPerCentre      = 2 // delegates that forward an urgent fact to a remote data centre at once
	generationRounds      = 3 // rounds that send messages because of a new generation
	largeFactSends        = 3 // most sends of a fact over smallFactBytes within the scope
	smallFactBytes        = 64
	maxQueuedItems        = 4096
	burstSeconds          = 4.0 // seconds of GossipBytesPerSecond that may accumulate
	headerBytes           = 230 // of a message, including signature and UDP/IP headers
	centreEntryBytes      = 12  // of a heartbeat or digest, besides the data centre's name
	remoteCentresPerRound = 3   // data centres that a delegate sends to in one round
	remoteItemLifetime    = 10 * time.Second
	overdraftSeconds      = 1.0  // seconds of GossipBytesPerSecond that records and urgent facts may overdraw
	reserveShare          = 0.5  // of GossipBytesPerSecond, for facts that are not urgent
	urgentBudgetShare     = 4.0  // of GossipBytesPerSecond, in addition to it, for urgent facts of the local host
	urgentBurstSeconds    = 30.0 // seconds of that share that may accumulate
	smallFleetPeers       = 16   // up to this many other hosts, facts are sent directly to all
)

// item is a record or fact that is queued for gossip.
type item struct {
	key             string
	raw             cbor.RawMessage
	isFact          bool
	urgent          bool   // a fact that is sent before others
	order           uint64 // higher for items queued later
	sends           int    // sends so far within the scope
	maxSends        int
	crossCentre     bool // a delegate also sends it to other data centres
	sentToCentres   map[host.DataCentre]bool
	directSendsLeft int // rounds left in which this host sends it directly to every other
	queuedAt        time.Time
}

// usesReserve reports whether the item may be paid for by the reserve.
func (i *item) usesReserve() bool { return i.isFact && !i.urgent }

// gossipQueue holds the items queued for gossip and the byte budget for sending
// them, a token bucket.
type gossipQueue struct {
	items     map[string]*item
	order     uint64 // of the last item queued
	nextRound time.Time
	tokens    float64 // bytes that may be sent now; may be overdrawn
	// urgentTokens are bytes that may be sent now for urgent facts of the local
	// host. They are a separate budget, so that urgent and other facts don't delay
	// each other.
	urgentTokens float64
	// reserveTokens are bytes that may be sent now for facts that are not urgent, while records
	// and urgent facts have used up tokens.
	reserveTokens   float64
	refilledAt      time.Time
	announceRounds  int // rounds left in which a new generation forces a message
	centresToNotify map[host.DataCentre]bool
	nextRemote      int
	dropped         uint64
	// urgentTopics are the topics whose facts are sent first.
	urgentTopics map[Topic]bool
}

func newGossipQueue() gossipQueue { return gossipQueue{items: make(map[string]*item)} }

// announceGeneration makes the next rounds send messages even without items, so
// that a new generation, which every message carries, spreads.
func (q *gossipQueue) announceGeneration(remote []host.DataCentre) {
	q.announceRounds = generationRounds
	q.centresToNotify = make(map[host.DataCentre]bool)
	for _, centre := range remote {
		q.centresToNotify[centre] = true
	}
}

func (q *gossipQueue) add(i *item) {
	q.order++
	i.order = q.order
	old, queued := q.items[i.key]
	if !queued && len(q.items) >= maxQueuedItems {
		q.dropped++
		return
	}
	// A fact that is still to be sent directly keeps its place when it is replaced.
	if queued && old.directSendsLeft > 0 {
		i.order = old.order
	}
	q.items[i.key] = i
}

// addRecord queues a record and replaces a queued one of the same host and
// accuser.
func (q *gossipQueue) addRecord(r record, raw cbor.RawMessage, crossCentre bool, maxSends int) {
	key := "r\x00" + string(r.Info.ID) + "\x00" + string(r.Accuser)
	q.add(&item{key: key, raw: raw, maxSends: maxSends, crossCentre: crossCentre && r.State != host.Suspect})
}

// addFact queues a fact and replaces a queued one of the same key.
func (q *gossipQueue) addFact(f factRecord, raw cbor.RawMessage, crossCentre bool, maxSends int) {
	if len(f.Payload) > smallFactBytes {
		maxSends = min(maxSends, largeFactSends)
	}
	q.add(&item{
		key: factItemKey(f), raw: raw, isFact: true, urgent: q.urgentTopics[f.Topic], maxSends: maxSends, crossCentre: crossCentre,
	})
}

// addDirectFact queues a fact of this host that is sent directly to every other.
func (q *gossipQueue) addDirectFact(f factRecord, raw cbor.RawMessage) {
	q.addFact(f, raw, false, 0)
	if i := q.items[factItemKey(f)]; i != nil {
		i.directSendsLeft = directSends(f)
	}
}

// directSends returns how often a fact is sent directly to all hosts: small ones
// twice, so that one lost datagram does not delay them.
func directSends(f factRecord) int {
	if len(f.Payload) > smallFactBytes {
		return 1
	}
	return 2
}

func factItemKey(f factRecord) string {
	return "f\x00" + string(f.From) + "\x00" + string(f.Topic) + "\x00" + f.Key
}

// refill adds the budget for the time since the last refill, up to the bursts.
func (q *gossipQueue) refill(now time.Time, rate float64) {
	urgentRate := rate * urgentBudgetShare
	elapsed := now.Sub(q.refilledAt).Seconds()
	if q.refilledAt.IsZero() {
		// Start with a full urgent budget, so that a host that has just started
		// reports crashes as fast as others.
		q.urgentTokens = urgentBurstSeconds * urgentRate
	}
	if q.refilledAt.IsZero() || elapsed > burstSeconds {
		elapsed = burstSeconds
	}
	q.refilledAt = now
	toReserve := min(elapsed*rate*reserveShare, burstSeconds*rate*reserveShare-q.reserveTokens)
	q.reserveTokens += toReserve
	q.tokens = min(q.tokens+elapsed*rate-toReserve, burstSeconds*rate)
	q.urgentTokens = min(q.urgentTokens+elapsed*urgentRate, urgentBurstSeconds*urgentRate)
}

// sorted returns the items in sending order: records before facts, urgent facts
// before others, then those sent least often, then the newest.
func (q *gossipQueue) sorted() []*item {
	items := make([]*item, 0, len(q.items))
	for _, i := range q.items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		switch {
		case a.isFact != b.isFact:
			return boolOrder(a.isFact)
		case a.urgent != b.urgent:
			return boolOrder(b.urgent)
		case a.sends != b.sends:
			return a.sends - b.sends
		case a.order > b.order:
			return -1
		}
		return 1
	})
	return items
}

func boolOrder(after bool) int {
	if after {
		return 1
	}
	return -1
}
