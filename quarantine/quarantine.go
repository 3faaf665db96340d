package quarantine

import (
	"context"
	"encoding/hex"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/upstream"
)

// Topic is the topic of the facts that hosts exchange.
const Topic member.Topic = "quarantine"

// gossipRecord is what a host publishes about one digest. The digest, and for a
// loss the upstream, are part of the fact's key. That keeps the payload short,
// and short facts are sent more than once.
type gossipRecord struct {
	_ struct{} `cbor:",toarray"`
	// AtMilli is the time of the loss in Unix milliseconds, by the publisher's
	// clock.
	AtMilli int64
	// Alone says that the publisher is running the suspect alone, or lost the
	// upstream while doing so.
	Alone bool
	// Cleared says that the suspect ran to its end without a loss.
	Cleared bool
}

// keyDigestBytes is how much of a digest is part of a fact's key and identifies
// the request.
const keyDigestBytes = 16

// truncateDigest clears the bytes of a digest that are not part of a fact's
// key.
func truncateDigest(d Digest) Digest {
	clear(d[keyDigestBytes:])
	return d
}

// factKey returns the key of a fact. id is empty unless the fact is a loss. A
// host's newer fact replaces its older one with the same key, so each loss
// needs a key of its own.
func factKey(d Digest, id upstream.ID) string {
	key := hex.EncodeToString(d[:keyDigestBytes])
	if id != "" {
		key += "/" + string(id)
	}
	return key
}

// parseFactKey is the inverse of factKey.
func parseFactKey(key string) (d Digest, id upstream.ID, ok bool) {
	digestHex, lostUpstream, _ := strings.Cut(key, "/")
	raw, err := hex.DecodeString(digestHex)
	if err != nil || len(raw) != keyDigestBytes {
		return Digest{}, "", false
	}
	copy(d[:], raw)
	return d, upstream.ID(lostUpstream), true
}

// Config configures a Quarantine. Now, Registerer and Keep are optional.
type Config struct {
	Gossip     member.Gossip
	Fleet      host.View
	Caller     link.Caller
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
	Settings   Settings
	// Keep has a condemned request kept in the store for a time. Hosts that read it there pass
	// name and value to Kept. It must return at once.
	Keep func(name string, value []byte, ttl time.Duration)
}

// Quarantine is this host's part in detecting requests that crash upstreams. It
// is safe for concurrent use.
type Quarantine struct {
	config   Config
	gossip   member.Gossip
	now      func() time.Time
	verdicts *prometheus.CounterVec
	losses   prometheus.Counter

	mu     sync.Mutex // guards the fields below; not held during Publish
	ledger *Ledger
	// alone are the suspects that this host is running alone.
	alone map[Digest]bool
}

// New creates a quarantine, subscribes to the facts of other hosts and registers the method
// that they call.
func New(cfg Config, registrar link.Registrar) (*Quarantine, error) {
	if cfg.Keep == nil {
		cfg.Keep = func(string, []byte, time.Duration) {}
	}
	q := &Quarantine{
		config: cfg,
		gossip: cfg.Gossip,
		now:    cfg.Now,
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_quarantine_verdicts_total", Help: "Checks of requests, by verdict.",
		}, []string{"verdict"}),
		losses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_quarantine_losses_total", Help: "Upstreams lost while this host's requests ran on them.",
		}),
		ledger: NewLedger(cfg.Settings),
		alone:  make(map[Digest]bool),
	}
	if q.now == nil {
		q.now = time.Now
	}
	if cfg.Registerer != nil {
		for _, c := range []prometheus.Collector{q.verdicts, q.losses} {
			if err := cfg.Registerer.Register(c); err != nil {
				return nil, Error.Wrap(err)
			}
		}
	}
	cfg.Gossip.Subscribe(Topic, q.receive)
	link.HandleTyped(registrar, requestsMethod, func(context.Context, struct{}) (requestsReport, error) { return q.report(), nil })
	return q, nil
}

// Check returns what may be done with a request now. After RunAlone the caller
// must either run the request and call Started and Ended, or give up the right
// to run it by calling Ended or Release.
func (q *Quarantine) Check(now time.Time, d Digest) Verdict {
	d = truncateDigest(d)
	q.mu.Lock()
	v := q.ledger.Check(now, d)
	if v == RunAlone {
		q.alone[d] = true
	}
	q.mu.Unlock()
	q.verdicts.WithLabelValues(v.String()).Inc()
	switch v {
	case RunAlone:
		q.publish(d, "", gossipRecord{Alone: true})
	case Refuse:
		q.keepCondemned(now, d)
	}
	return v
}

// Started records that an upstream starts to run a request.
func (q *Quarantine) Started(d Digest, _ upstream.ID) {
	d = truncateDigest(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.alone[d] {
		q.ledger.MarkRunningAlone(q.now(), d)
	}
}

// Ended records that an upstream no longer runs a request. lost is true if the
// upstream was lost while it ran the request; a timeout alone is not a loss.
func (q *Quarantine) Ended(d Digest, id upstream.ID, lost bool) {
	d = truncateDigest(d)
	now := q.now()
	q.mu.Lock()
	alone := q.alone[d]
	delete(q.alone, d)
	loss := Loss{Digest: d, Upstream: id, At: now}
	if lost && alone {
		q.ledger.RecordLossAlone(now, loss)
	} else if lost {
		q.ledger.RecordLoss(now, loss)
	} else if alone {
		q.ledger.Clear(now, d)
	}
	q.mu.Unlock()
	switch {
	case lost:
		q.losses.Inc()
		q.publish(d, id, gossipRecord{AtMilli: now.UnixMilli(), Alone: alone})
		q.keepCondemned(now, d)
	case alone:
		q.publish(d, "", gossipRecord{Cleared: true})
	}
}

// Release records that this host no longer runs a suspect alone although the
// suspect did not run to its end. Other hosts may run it when the right
// expires.
func (q *Quarantine) Release(d Digest) {
	d = truncateDigest(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.alone, d)
}

// publish sends a record to the other hosts.
func (q *Quarantine) publish(d Digest, id upstream.ID, record gossipRecord) {
	payload, err := cbor.Marshal(record)
	if err != nil {
		return
	}
	// The payload cannot be too large: its parts are bounded.
	_ = q.gossip.Publish(Topic, factKey(d, id), payload)
}

// receive processes a record of another host.
func (q *Quarantine) receive(f member.Fact) {
	var record gossipRecord
	d, id, ok := parseFactKey(f.Key)
	if !ok || cbor.Unmarshal(f.Payload, &record) != nil {
		return
	}
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	loss := Loss{Digest: d, Upstream: id, At: time.UnixMilli(record.AtMilli)}
	switch {
	case id != "" && record.Alone:
		q.ledger.RecordLossAlone(now, loss)
	case id != "":
		q.ledger.RecordLoss(now, loss)
	case record.Alone:
		q.ledger.MarkRunningAlone(now, d)
	case record.Cleared:
		q.ledger.Clear(now, d)
	}
}
