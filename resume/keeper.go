package resume

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// Methods that hosts call on each other.
const (
	storeMethod  link.Method = "resume.Store"
	lookupMethod link.Method = "resume.Lookup"
)

const (
	// batchDelay is how long a record waits for others to the same host. A caller
	// needs longer to come back.
	batchDelay = 2 * time.Millisecond
	// storeTimeout bounds sending one batch. It is many round trips between data
	// centres.
	storeTimeout = 300 * time.Millisecond
	// maxResends bounds how often a record is sent again after a host could not be
	// reached.
	maxResends = 3
	// lookupTimeout bounds asking other hosts. It is several round trips between
	// data centres.
	lookupTimeout = 150 * time.Millisecond
	// maxAsks is how often other hosts are asked for a record, askPause the time
	// between.
	maxAsks  = 3
	askPause = 50 * time.Millisecond
)

// Config configures a Keeper. Registerer may be nil.
type Config struct {
	Fleet      host.View
	Caller     link.Caller
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Archive keeps records in the store; nil keeps none there.
	Archive *ArchiveConfig
}

// Keeper holds this host's records, sends new ones to other hosts and asks them for
// those that it lacks. It is safe for concurrent use.
type Keeper struct {
	config  Config
	records *table
	outbox  *outbox
	avoided ownership.Avoided // hosts that a batch could not be sent to
	senders sync.WaitGroup
	lookups *prometheus.CounterVec
	archive *archive // nil if no records are kept in the store
}

// New creates a keeper and registers the methods that other hosts call.
func New(config Config, registrar link.Registrar) *Keeper {
	k := &Keeper{
		config: config, records: newTable(), outbox: newOutbox(),
		lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_resume_lookups_total", Help: "Look-ups of the software version that began a stream, by where it was found.",
		}, []string{"outcome"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(k.lookups)
	}
	if config.Archive != nil {
		k.startArchive(registrar)
	}
	link.HandleTyped(registrar, storeMethod, func(_ context.Context, batch []Record) (struct{}, error) {
		now := time.Now()
		for _, r := range batch {
			k.records.put(r, now)
		}
		return struct{}{}, nil
	})
	link.HandleTyped(registrar, lookupMethod, func(_ context.Context, attempt string) (lookupReply, error) {
		r, known := k.records.get(attempt, time.Now())
		return lookupReply{Known: known, Record: r}, nil
	})
	return k
}

// startArchive prepares the records in the store.
func (k *Keeper) startArchive(registrar link.Registrar) {
	k.archive = newArchive(*k.config.Archive)
	if k.config.Registerer != nil {
		k.config.Registerer.MustRegister(k.archive.written)
	}
	link.HandleTyped(registrar, archiveMethod, func(_ context.Context, records []Record) (struct{}, error) {
		k.archive.receive(records)
		return struct{}{}, nil
	})
}

// Run keeps records in the store until ctx ends, and then waits for the senders that still work. Records that
// were not sent by then are dropped: this host takes no more streams.
func (k *Keeper) Run(ctx context.Context) error {
	if k.archive != nil {
		k.runArchive(ctx)
	}
	<-ctx.Done()
	k.outbox.close()
	k.senders.Wait()
	return nil
}

// Store stores a record here and sends it to other hosts in the background.
func (k *Keeper) Store(r Record) {
	now := time.Now()
	k.records.put(r, now)
	for _, m := range k.replicas(r.Attempt) {
		k.queue(m, outgoing{Record: r})
	}
	if k.archive != nil {
		k.archive.add(r, func(service string) []Record { return k.records.ofService(service, now) })
	}
}

// replicas returns the hosts that shall hold a record beside this one.
func (k *Keeper) replicas(attempt string) []host.Member {
	now := time.Now()
	return storeOn(attempt, k.config.Fleet, func(id host.ID) bool { return k.avoided.Has(id, now) })
}

// queue queues a record for a host and starts a sender if none works on it.
func (k *Keeper) queue(to host.Member, r outgoing) {
	k.outbox.add(to.ID, r, func() {
		k.senders.Go(func() { k.send(to) })
	})
}

// send sends what is queued for a host, in batches, until nothing is left.
func (k *Keeper) send(to host.Member) {
	for {
		time.Sleep(batchDelay)
		batch, dropped := k.outbox.take(to.ID)
		if dropped > 0 {
			k.config.Logger.Warn("stream versions dropped", "peer", string(to.ID), "records", dropped, "reason", "too many wait to be sent")
		}
		if len(batch) == 0 {
			return
		}
		k.sendBatch(to, batch)
	}
}

// sendBatch sends records to one host. If that fails, the host is avoided for a
// while, and each record is sent again to the hosts that are then the first in its
// order. Some of these have it already, which changes nothing.
func (k *Keeper) sendBatch(to host.Member, batch []outgoing) {
	records := make([]Record, len(batch))
	for i, r := range batch {
		records[i] = r.Record
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := link.CallIdempotent[[]Record, struct{}](ctx, k.config.Caller, to.LinkAddr, storeMethod, records)
	if err == nil {
		return
	}
	k.config.Logger.Warn("stream versions not sent to another host", "peer", string(to.ID), "records", len(batch), "error", err.Error())
	k.avoided.Add(to.ID, time.Now())
	for _, r := range batch {
		if r.resends++; r.resends > maxResends {
			continue
		}
		for _, m := range k.replicas(r.Attempt) {
			k.queue(m, r)
		}
	}
}
