package throttle

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// The promise on limits that upstreams name: in any limitWindow at most limitFactor times
// what the limit allows, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostWithin returns the most grants within limitWindow.
func mostWithin(grants []time.Time) (most int) {
	first := 0
	for i, at := range grants {
		for at.Sub(grants[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newOwner returns a throttle that decides for a host by itself.
func newOwner(now *time.Time) *Throttle {
	return &Throttle{config: Config{Now: func() time.Time { return *now }}, buckets: make(map[processID]*bucket), coldBuckets: make(map[instance.ID]*coldBucket)}
}

// silentOwner answers no call.
type silentOwner struct{}

func (silentOwner) Call(ctx context.Context, _ netip.AddrPort, _ link.Method, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// A caller that leaves while its host asks the owner of a limit made the host avoid the
// owner for every task. Only an owner that does not answer in time may be avoided.
func TestOwnerIsNotAvoidedWhenTheCallerLeaves(t *testing.T) {
	fleet := hosttest.Fleet{{Info: host.Info{ID: "h0", Capacity: 1}}, {Info: host.Info{ID: "h1", Capacity: 1}}}
	owners := ownership.New(fleet, time.Now())
	id := instance.ID("")
	for i := 0; id == ""; i++ {
		if _, own := owners.Owner(fmt.Sprint("limit/u", i), time.Now()); !own {
			id = instance.ID(fmt.Sprint("u", i))
		}
	}
	limited := New(Config{Owners: owners, Caller: silentOwner{}, Logger: slog.New(slog.DiscardHandler)}, link.NewMux())
	ctx, leave := context.WithCancel(t.Context())
	leave()
	wait, granted := limited.Acquire(ctx, Limit{Process: instance.Process{ID: id}, PerSecond: 1})
	require.False(t, granted)
	require.Zero(t, wait, "other callers may ask at once")
	_, own := owners.Owner("limit/"+string(id), time.Now())
	require.False(t, own)
	wait, granted = limited.Acquire(t.Context(), Limit{Process: instance.Process{ID: id}, PerSecond: 1})
	require.False(t, granted)
	require.Equal(t, ownerFailedWait, wait)
	_, own = owners.Owner("limit/"+string(id), time.Now())
	require.True(t, own, "the owner that does not answer is avoided")
}

// Two hosts grant requests to one upstream, since the hosts' views of the fleet differ, and
// all hosts ask all the time. Their sum must stay within the promise, for limits below one
// too, also after a time in which nobody asked.
func TestTwoOwnersTogetherStayWithinTheLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.01, 0.25, 0.5, 1, 1.1, 2.5, 7, 40} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			now := time.Unix(1000, 0)
			owners := []*Throttle{newOwner(&now), newOwner(&now)}
			request := acquireRequest{ID: "u", StartMillis: 1, PerSecond: limit}
			var grants []time.Time
			for step := range 6000 {
				now = now.Add(5 * time.Millisecond)
				if step > 2000 && step < 3000 {
					continue
				}
				for _, o := range owners {
					if o.grant(request).Granted {
						grants = append(grants, now)
					}
				}
			}
			require.LessOrEqual(t, float64(mostWithin(grants)), limitFactor*limit*limitWindow.Seconds()+limitSlack)
			require.NotEmpty(t, grants, "an upstream that gets nothing can't withdraw its limit")
		})
	}
}

// A single owner grants most of what the limit allows.
func TestOwnerGrantsMostOfTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOwner(&now)
	granted := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if o.grant(acquireRequest{ID: "u", PerSecond: 8}).Granted {
			granted++
		}
	}
	require.InDelta(t, grantedShare*8*10, granted, 3)
}

// A host that is denied a request asks again when it may be granted.
func TestDeniedHostIsToldWhenToAskAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOwner(&now)
	request := acquireRequest{ID: "u", PerSecond: 0.5}
	reply := o.grant(request)
	require.False(t, reply.Granted, "another host may have granted requests until now")
	now = now.Add(reply.Wait + time.Millisecond)
	require.True(t, o.grant(request).Granted)
}

// Hosts know the limit from answers of different times: the newest holds, also if it is
// lower.
func TestNewestLimitHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOwner(&now)
	o.grant(acquireRequest{ID: "u", PerSecond: 100, Age: time.Second})
	o.grant(acquireRequest{ID: "u", PerSecond: 1, Age: 100 * time.Millisecond})
	o.grant(acquireRequest{ID: "u", PerSecond: 100, Age: 2 * time.Second})
	require.Equal(t, 1.0, o.buckets[processID{ID: "u"}].limit)
}

// A later process with the same ID has a limit of its own, and the buckets of processes
// that are not asked for are dropped.
func TestBucketsBelongToProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOwner(&now)
	for i := range int64(100) {
		o.grant(acquireRequest{ID: "u", StartMillis: i, PerSecond: 1})
	}
	require.Len(t, o.buckets, 100)
	now = now.Add(2 * idleBucketTTL)
	o.grant(acquireRequest{ID: instance.ID("v"), PerSecond: 1})
	require.Len(t, o.buckets, 1)
}
