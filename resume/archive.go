package resume

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
)

// While a service has more than one software version, its records are also kept in the
// platform's store, where they outlive a loss of all hosts. Each host sends its records to
// the archivist, one host of the fleet, which writes those of all hosts in one value. Two
// archivists at once are harmless: they write to keys of their own. Nothing is written
// while every service has one version.

// ArchivePrefix is the prefix of the store's keys for records.
const ArchivePrefix = "streams/"

const archiveMethod link.Method = "resume.Archive"

const (
	// collectInterval is how often a host sends its records to the archivist, and
	// writeInterval how often that writes them. Their sum bounds what a loss of all hosts
	// takes with it.
	collectInterval = 100 * time.Millisecond
	writeInterval   = 300 * time.Millisecond
	// archiveTimeout bounds sending records to the archivist, and writing them with their
	// lease.
	archiveTimeout = 2 * time.Second
	// maxArchived bounds the records of one value, maxArchivedID the attempt's ID in each, so
	// that a value is below the store's largest one.
	maxArchived   = 1024
	maxArchivedID = 128
	// maxWaiting bounds the records that wait to be sent, or to be written.
	maxWaiting = 16 * maxArchived
	// maxWriteFailures is how often in a row writing may fail before what waits is dropped.
	maxWriteFailures = 40
	// minArchiveTTL is the shortest time for which the store keeps a value.
	minArchiveTTL = 2 * time.Second
)

// ArchiveConfig configures the records in the store.
type ArchiveConfig struct {
	// Self is the local host.
	Self host.ID
	// Archivist returns the host that writes the records of all hosts.
	Archivist func(now time.Time) (archivist host.Info, own bool)
	// IsMixed reports whether a service has, or had lately, more than one version.
	IsMixed func(service string) bool
	// Write writes a value to the store, which removes it after a time.
	Write func(ctx context.Context, key string, value []byte, ttl time.Duration) error
}

// archive collects records for the store. It is safe for concurrent use.
type archive struct {
	config  ArchiveConfig
	written prometheus.Counter

	mu        sync.Mutex // guards the fields below; locked before the table's mutex
	mixed     map[string]bool
	collected map[string]Record // of this host, by attempt, for the archivist
	received  map[string]Record // of all hosts, if this one is the archivist
	sequence  int
	failures  int // of writing, in a row
}

func newArchive(config ArchiveConfig) *archive {
	return &archive{
		config: config, mixed: make(map[string]bool), collected: make(map[string]Record), received: make(map[string]Record),
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "seam_resume_archived_total", Help: "Records of streams' software versions that this host wrote to the store.",
		}),
	}
}

// add collects a record of this host. begun returns the records from before the service
// had more than one version.
func (a *archive) add(r Record, begun func(service string) []Record) {
	mixed := a.config.IsMixed(r.Service)
	var all []Record
	a.mu.Lock()
	defer a.mu.Unlock()
	if mixed && !a.mixed[r.Service] {
		all = begun(r.Service)
	}
	a.mixed[r.Service] = mixed
	if mixed {
		merge(a.collected, append(all, r))
	}
}

// merge adds records to those that wait, up to maxWaiting.
func merge(to map[string]Record, records []Record) {
	for _, r := range records {
		if len(to) < maxWaiting && len(r.Attempt) <= maxArchivedID {
			to[r.Attempt] = r
		}
	}
}

// receive takes records of another host for the store.
func (a *archive) receive(records []Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	merge(a.received, records)
}

// take takes up to maxArchived of the records that wait in a map.
func (a *archive) take(from map[string]Record) (records []Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt, r := range from {
		if len(records) == maxArchived {
			break
		}
		records = append(records, r)
		delete(from, attempt)
	}
	return records
}

// wrote records the outcome of writing records. It returns false if they must be dropped.
func (a *archive) wrote(records []Record, err error) (kept bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.failures = 0
		a.written.Add(float64(len(records)))
		return true
	}
	if a.failures++; a.failures > maxWriteFailures {
		return false
	}
	merge(a.received, records)
	return true
}

// runArchive sends and writes records until ctx ends.
func (k *Keeper) runArchive(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		_ = sleep.Every(ctx, collectInterval, func(now time.Time) { k.sendCollected(ctx, now) })
	})
	group.Go(func() {
		_ = sleep.Every(ctx, writeInterval, func(time.Time) { k.writeReceived(ctx) })
	})
	group.Wait()
}

// sendCollected sends this host's records to the archivist. Those that could not be sent
// wait for the next time.
func (k *Keeper) sendCollected(ctx context.Context, now time.Time) {
	records := k.archive.take(k.archive.collected)
	if len(records) == 0 {
		return
	}
	archivist, own := k.archive.config.Archivist(now)
	if own {
		k.archive.receive(records)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if _, err := link.CallIdempotent[[]Record, struct{}](ctx, k.config.Caller, archivist.LinkAddr, archiveMethod, records); err != nil {
		k.config.Logger.Warn("stream versions not sent to the archivist", "archivist", string(archivist.ID), "records", len(records), "error", err.Error())
		k.archive.mu.Lock()
		defer k.archive.mu.Unlock()
		merge(k.archive.collected, records)
	}
}

// writeReceived writes the records of all hosts to the store. Those that could not be
// written wait for the next time.
func (k *Keeper) writeReceived(ctx context.Context) {
	for records := k.archive.take(k.archive.received); len(records) > 0; records = k.archive.take(k.archive.received) {
		err := k.write(ctx, records)
		kept := k.archive.wrote(records, err)
		if err != nil {
			k.config.Logger.Warn("stream versions not written to the store", "records", len(records), "dropped", !kept, "error", err.Error())
			return
		}
	}
}

// write writes one value with records to the store.
func (k *Keeper) write(ctx context.Context, records []Record) error {
	value, err := cbor.Marshal(records)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	return Error.Wrap(k.archive.config.Write(ctx, k.archive.nextKey(), value, longestTTL(records)))
}

// nextKey returns a key that was not used before.
func (a *archive) nextKey() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return fmt.Sprintf("%s%s/%d", ArchivePrefix, a.config.Self, a.sequence)
}

func longestTTL(records []Record) time.Duration {
	longest := minArchiveTTL
	for _, r := range records {
		longest = max(longest, min(r.TTL, maxTTL))
	}
	return longest
}

// OnArchived takes over the records of a value in the store. It ignores other keys.
func (k *Keeper) OnArchived(key string, value []byte, now time.Time) {
	if !strings.HasPrefix(key, ArchivePrefix) {
		return
	}
	var records []Record
	if err := cbor.Unmarshal(value, &records); err != nil {
		k.config.Logger.Warn("stream versions in the store ignored", "key", key, "error", err.Error())
		return
	}
	for _, r := range records {
		if r.Attempt != "" && r.Version != "" {
			k.records.put(r, now)
		}
	}
}
