package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Sizes of the spreading of news.
const (
	gossipFanout     = 3
	hurriedRounds    = 3 // rounds in which a new generation is told at once
	largeFactSends   = 3
	smallFactBytes   = 64
	maxQueuedNews    = 4096
	burstSeconds     = 4.0
	headerBytes      = 230 // of a message, signature and UDP/IP headers included
	bytesPerBeat     = 12  // besides the name
	remotePerRound   = 3   // data centres that a delegate tells in one round
	remoteLifetime   = 10 * time.Second
	overdraftSeconds = 1.0
	urgentShare      = 0.5  // of the budget, on top of it, for own urgent facts
	urgentSeconds    = 30.0 // of that share which may be saved up
	smallFleet       = 16   // hosts, up to which facts go straight to all
)

// item is one record or fact that is being passed on.
type item struct {
	key      string
	raw      cbor.RawMessage
	isFact   bool
	urgent   bool // a fact that goes before others
	order    uint64
	sends    int // within the scope
	limit    int
	crosses  bool // a delegate carries it to other data centres
	told     map[host.DataCentre]bool
	toAll    int // rounds in which it goes from this host straight to every other
	queuedAt time.Time
}

// news is the queue of what is passed on, and the budget for it.
type news struct {
	items  map[string]*item
	order  uint64
	next   time.Time
	tokens float64 // bytes that may be sent now
	// urgentTokens are bytes that may be sent now for own urgent facts. They
	// are apart, so that neither holds up the other.
	urgentTokens float64
	refilledAt   time.Time
	hurried      int // rounds left in which a new generation is told
	hurriedTo    map[host.DataCentre]bool
	nextRemote   int
	dropped      uint64
	// urgent are the topics whose facts go first.
	urgent map[Topic]bool
}

func newNews() news { return news{items: make(map[string]*item)} }

// hurry has the next rounds send messages even without items, so that a new
// generation, which every message carries, gets around.
func (n *news) hurry(remote []host.DataCentre) {
	n.hurried = hurriedRounds
	n.hurriedTo = make(map[host.DataCentre]bool)
	for _, centre := range remote {
		n.hurriedTo[centre] = true
	}
}

func (n *news) add(i *item) {
	n.order++
	i.order = n.order
	old, queued := n.items[i.key]
	if !queued && len(n.items) >= maxQueuedNews {
		n.dropped++
		return
	}
	if queued && old.toAll > 0 {
		i.order = old.order
	}
	n.items[i.key] = i
}

// addRecord queues a record in place of an older one of the same host.
func (n *news) addRecord(r record, raw cbor.RawMessage, crosses bool, sends int) {
	key := "r\x00" + string(r.Info.ID) + "\x00" + string(r.Accuser)
	n.add(&item{key: key, raw: raw, limit: sends, crosses: crosses && r.State != host.Suspect})
}

// addFact queues a fact in place of an older one of the same key.
func (n *news) addFact(f factRecord, raw cbor.RawMessage, crosses bool, sends int) {
	if len(f.Payload) > smallFactBytes {
		sends = min(sends, largeFactSends)
	}
	n.add(&item{
		key: factItemKey(f), raw: raw, isFact: true, urgent: n.urgent[f.Topic], limit: sends, crosses: crosses,
	})
}

// addOwnFact queues a fact of this host that goes straight to every other.
func (n *news) addOwnFact(f factRecord, raw cbor.RawMessage) {
	n.addFact(f, raw, false, 0)
	if i := n.items[factItemKey(f)]; i != nil {
		i.toAll = directRounds(f)
	}
}

// directRounds is how often a fact goes straight to all: short ones twice, so
// that a lost datagram is made good at once.
func directRounds(f factRecord) int {
	if len(f.Payload) > smallFactBytes {
		return 1
	}
	return 2
}

func factItemKey(f factRecord) string {
	return "f\x00" + string(f.From) + "\x00" + string(f.Topic) + "\x00" + f.Key
}

// refill adds the budget of the time that went by.
func (n *news) refill(now time.Time, rate float64) {
	urgentRate := rate * urgentShare
	elapsed := now.Sub(n.refilledAt).Seconds()
	if n.refilledAt.IsZero() {
		// Hosts that have just started tell of crashes as fast as others.
		n.urgentTokens = urgentSeconds * urgentRate
	}
	if n.refilledAt.IsZero() || elapsed > burstSeconds {
		elapsed = burstSeconds
	}
	n.refilledAt = now
	n.tokens = min(n.tokens+elapsed*rate, burstSeconds*rate)
	n.urgentTokens = min(n.urgentTokens+elapsed*urgentRate, urgentSeconds*urgentRate)
}

// queue returns the items in the order in which they are sent: records before
// facts, urgent facts before others, what was sent least before the rest, the
// newest first.
func (n *news) queue() []*item {
	items := make([]*item, 0, len(n.items))
	for _, i := range n.items {
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
