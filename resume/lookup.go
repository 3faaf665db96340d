package resume

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
)

// Where a look-up found a record, for logs and metrics. A record of another host
// has that host's ID as its source.
const (
	SourceLocal = "local"
	SourceNone  = "none"
)

// Outcomes of look-ups in the metric.
const (
	outcomeLocal   = "local"
	outcomeRemote  = "remote"
	outcomeUnknown = "unknown"
)

// Answer is the result of a look-up.
type Answer struct {
	Record
	Known bool
	// Source is SourceLocal, SourceNone, or the ID of the host that had the record.
	Source string
	// Asked is how many hosts were asked, and Unanswered how many of them failed or
	// did not answer in time.
	Asked, Unanswered int
	// Err is the error of one of these; nil if all answered.
	Err error
}

// lookupReply is the answer to resume.Lookup.
type lookupReply struct {
	Known  bool   `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// Lookup finds the record of a caller's attempt, here or at the hosts that may hold
// it. A caller may come back before the record has reached them, so they are asked up to
// maxAsks times. It takes lookupTimeout at the most.
func (k *Keeper) Lookup(ctx context.Context, attempt string) Answer {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var a Answer
	for asks := 0; asks < maxAsks && !a.Known; asks++ {
		if asks > 0 && sleep.For(ctx, askPause) != nil {
			break
		}
		if r, known := k.records.get(attempt, time.Now()); known {
			k.lookups.WithLabelValues(outcomeLocal).Inc()
			return Answer{Record: r, Known: true, Source: SourceLocal}
		}
		a = k.ask(ctx, attempt)
	}
	if !a.Known {
		k.lookups.WithLabelValues(outcomeUnknown).Inc()
		k.config.Logger.Warn("stream version not found", "attempt", attempt, "asked", a.Asked, "unanswered", a.Unanswered,
			"error", errText(a.Err))
		return a
	}
	k.lookups.WithLabelValues(outcomeRemote).Inc()
	return a
}

// ask asks several hosts at once, until ctx ends, and returns the first record that one
// of them has.
func (k *Keeper) ask(ctx context.Context, attempt string) Answer {
	hosts := askFor(attempt, k.config.Fleet)
	type reply struct {
		lookupReply
		from host.ID
		err  error
	}
	replies := make(chan reply, len(hosts))
	for _, m := range hosts {
		go func() {
			got, err := link.CallIdempotent[string, lookupReply](ctx, k.config.Caller, m.LinkAddr, lookupMethod, attempt)
			replies <- reply{got, m.ID, err}
		}()
	}
	a := Answer{Source: SourceNone, Asked: len(hosts), Unanswered: len(hosts)}
	for range hosts {
		select {
		case <-ctx.Done():
			a.Err = Error.Wrap(ctx.Err())
			return a
		case r := <-replies:
			if r.err != nil {
				a.Err = Error.Wrap(r.err)
				continue
			}
			a.Unanswered--
			if r.Known {
				a.Known, a.Record, a.Source, a.Err = true, r.Record, string(r.from), nil
				return a
			}
		}
	}
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
