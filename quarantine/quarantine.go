package quarantine

import (
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/upstream"
)

// Topic is the kind of fact that hosts share.
const Topic member.Topic = "quarantine"

// news is what one host tells the others of one digest. The digest, and for a
// loss the upstream, are the fact's key, so that the news stays short: short
// facts are told more than once.
type news struct {
	_ struct{} `cbor:",toarray"`
	// AtMilli is the loss's Unix time in milliseconds, by the teller's clock.
	AtMilli int64
	// Alone says that the teller runs the suspect alone, or lost the upstream
	// while it did.
	Alone bool
	// Cleared says that the suspect ran to its end without a loss.
	Cleared bool
}

// toldBytes is how much of a digest goes into a key, and counts.
const toldBytes = 16

// told cuts a digest down to what hosts tell each other of it.
func told(d Digest) Digest {
	clear(d[toldBytes:])
	return d
}

// keyOf is the key of the news of a digest; id is empty but for a loss. The
// newest of a host replaces its older ones by the key, so that each loss has a
// key of its own.
func keyOf(d Digest, id upstream.ID) string {
	key := hex.EncodeToString(d[:toldBytes])
	if id != "" {
		key += "/" + string(id)
	}
	return key
}

// readKey undoes keyOf.
func readKey(key string) (d Digest, id upstream.ID, ok bool) {
	text, lost, _ := strings.Cut(key, "/")
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != toldBytes {
		return Digest{}, "", false
	}
	copy(d[:], raw)
	return d, upstream.ID(lost), true
}

// Config is what a Quarantine is made of. Now and Registerer may be left out.
type Config struct {
	Gossip     member.Gossip
	Now        func() time.Time
	Registerer prometheus.Registerer
	Settings   Settings
}

// Quarantine is a host's share in finding requests that crash upstreams. It is
// safe for concurrent use.
type Quarantine struct {
	gossip   member.Gossip
	now      func() time.Time
	verdicts *prometheus.CounterVec
	lost     prometheus.Counter

	mu     sync.Mutex // guards all below; not held during Publish
	ledger *Ledger
	// alone are the suspects that this host runs alone.
	alone map[Digest]bool
}

// New makes a quarantine and listens to the other hosts.
func New(cfg Config) (*Quarantine, error) {
	q := &Quarantine{
		gossip: cfg.Gossip,
		now:    cfg.Now,
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_quarantine_verdicts_total", Help: "Checks of requests, by verdict.",
		}, []string{"verdict"}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_quarantine_losses_total", Help: "Upstreams lost while this host's requests ran on them.",
		}),
		ledger: NewLedger(cfg.Settings),
		alone:  make(map[Digest]bool),
	}
	if q.now == nil {
		q.now = time.Now
	}
	if cfg.Registerer != nil {
		for _, c := range []prometheus.Collector{q.verdicts, q.lost} {
			if err := cfg.Registerer.Register(c); err != nil {
				return nil, Error.Wrap(err)
			}
		}
	}
	cfg.Gossip.Subscribe(Topic, q.hear)
	return q, nil
}

// Check says what may be done with a request now. After RunAlone the caller
// must run it, by Started and Ended, or give the right back by Ended alone.
func (q *Quarantine) Check(now time.Time, d Digest) Verdict {
	d = told(d)
	q.mu.Lock()
	v := q.ledger.Check(now, d)
	if v == RunAlone {
		q.alone[d] = true
	}
	q.mu.Unlock()
	q.verdicts.WithLabelValues(v.String()).Inc()
	if v == RunAlone {
		q.tell(d, "", news{Alone: true})
	}
	return v
}

// Started takes note that an upstream begins to run a request.
func (q *Quarantine) Started(d Digest, _ upstream.ID) {
	d = told(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.alone[d] {
		q.ledger.HeldAlone(q.now(), d)
	}
}

// Ended takes note that an upstream no longer runs a request. lost says that
// the upstream was lost while it did; a mere timeout is not a loss.
func (q *Quarantine) Ended(d Digest, id upstream.ID, lost bool) {
	d = told(d)
	now := q.now()
	q.mu.Lock()
	alone := q.alone[d]
	delete(q.alone, d)
	loss := Loss{Digest: d, Upstream: id, At: now}
	if lost && alone {
		q.ledger.LoseAlone(now, loss)
	} else if lost {
		q.ledger.Lose(now, loss)
	} else if alone {
		q.ledger.Cleared(d)
	}
	q.mu.Unlock()
	switch {
	case lost:
		q.lost.Inc()
		q.tell(d, id, news{AtMilli: now.UnixMilli(), Alone: alone})
	case alone:
		q.tell(d, "", news{Cleared: true})
	}
}

// GiveBack takes note that this host no longer runs a suspect alone, although
// the suspect did not run to its end. Others may run it when the right lapses.
func (q *Quarantine) GiveBack(d Digest) {
	d = told(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.alone, d)
}

// tell spreads news.
func (q *Quarantine) tell(d Digest, id upstream.ID, n news) {
	payload, err := cbor.Marshal(n)
	if err != nil {
		return
	}
	// Too large a payload can't be: its parts are bounded.
	_ = q.gossip.Publish(Topic, keyOf(d, id), payload)
}

// hear takes in another host's news.
func (q *Quarantine) hear(f member.Fact) {
	var n news
	d, id, ok := readKey(f.Key)
	if !ok || cbor.Unmarshal(f.Payload, &n) != nil {
		return
	}
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	loss := Loss{Digest: d, Upstream: id, At: time.UnixMilli(n.AtMilli)}
	switch {
	case id != "" && n.Alone:
		q.ledger.LoseAlone(now, loss)
	case id != "":
		q.ledger.Lose(now, loss)
	case n.Alone:
		q.ledger.HeldAlone(now, d)
	case n.Cleared:
		q.ledger.Cleared(d)
	}
}
