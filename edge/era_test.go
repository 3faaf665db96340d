package edge_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// loseRevisions writes to the store what a restore loses, and waits until the
// hosts know it.
func (f *fleet) loseRevisions(n int) {
	for i := range n {
		f.store.Put(fmt.Sprint("other/", i), nil)
	}
	time.Sleep(500 * time.Millisecond)
}

// withKey gives the workspace another key than the one that send uses.
func withKey(c map[string]any) {
	c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
}

// requireNoRuns sends requests to a host for a while, and requires that they are
// refused and that an upstream, the only one of the service, runs none.
func (f *fleet) requireNoRuns(n *node, u *platformtest.Upstream, length time.Duration) {
	before := len(u.Runs())
	for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
		require.Equal(f.t, http.StatusServiceUnavailable, f.send(n, http.MethodGet, "/read/1", "r1").status)
	}
	require.Len(f.t, u.Runs(), before)
}

// Guards against new work for an upstream that starts to leave after the store
// came back from a copy, with a revision lower than those known.
func TestUpstreamLeavingAfterRestoreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n, other := f.start(), f.start()
	copied := f.store.Snapshot()
	f.loseRevisions(60)
	a.Register(f.store, "ready")
	f.loseRevisions(1)
	f.store.Restore(copied)
	a.Register(f.store, "draining")
	time.Sleep(time.Second)
	f.requireNoRuns(n, a, 500*time.Millisecond)
	f.requireNoRuns(other, a, 500*time.Millisecond)
}

// Guards against a configuration that is ignored because its revision is lower
// than that of the one before.
func TestConfigurationAfterRestoreIsInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(5, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	copied := f.store.Snapshot()
	f.loseRevisions(60)
	f.store.Restore(copied)
	f.configure(9, withKey)
	require.Eventually(t, func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r1").status == http.StatusUnauthorized
	}, 3*time.Second, 10*time.Millisecond)
}

// Guards against a host that calls the store without a pause, because its watch
// goes on from a revision that the store no longer has.
func TestRestoreCausesFewStoreCalls(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.start()
	copied := f.store.Snapshot()
	f.loseRevisions(60)
	var calls atomic.Int32
	f.store.SetFault(func(string) platformtest.Fault {
		calls.Add(1)
		return platformtest.FaultNone
	})
	f.store.Restore(copied)
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, calls.Load(), int32(15), "reads of all pages, watches and the registration")
}

// Guards against a configuration that reverts because the copy holds an older
// one.
func TestConfigurationDoesNotRevertToThatOfTheCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(5, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	copied := f.store.Snapshot()
	f.configure(9, withKey)
	unauthorized := func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r1").status == http.StatusUnauthorized
	}
	require.Eventually(t, unauthorized, 2*time.Second, 10*time.Millisecond)
	f.store.Restore(copied)
	require.Never(t, func() bool { return !unauthorized() }, 1500*time.Millisecond, 20*time.Millisecond)
	f.configure(9, withKey)
	require.Never(t, func() bool { return !unauthorized() }, time.Second, 20*time.Millisecond)
}

// Guards against new work for upstreams that were leaving or removed and that the
// copy lists as ready.
func TestUpstreamThatLeftBeforeRestoreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(f *fleet, u *platformtest.Upstream){
		"leaving": func(f *fleet, u *platformtest.Upstream) { u.Register(f.store, "draining") },
		"removed": func(f *fleet, u *platformtest.Upstream) { f.store.Delete("servers/" + u.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, nil)
			a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
			n := f.start()
			copied := f.store.Snapshot()
			leave(f, a)
			time.Sleep(time.Second)
			f.requireNoRuns(n, a, 200*time.Millisecond)
			f.store.Restore(copied)
			f.requireNoRuns(n, a, 3*time.Second)
		})
	}
}

// Guards against refusals while upstreams that the copy lacks write themselves
// again.
func TestUpstreamMissingInCopyIsUsedAllTheWhile(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	copied := f.store.Snapshot()
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	f.loseRevisions(20)
	f.store.Restore(copied)
	serveFor := func(length time.Duration) {
		for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
			require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
		}
	}
	serveFor(1500 * time.Millisecond)
	u.Register(f.store, "ready")
	serveFor(3 * time.Second)
}

// Guards against a host that is cut off from the store and stays in the former
// era, although the other hosts are in the new one.
func TestHostCutOffFromStoreGetsNewsOfNewEraFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	f.start()
	front := platformtest.NewFaultProxy(f.store.Addr())
	t.Cleanup(front.Close)
	isolated := f.startUnready(front.Addr())
	require.Eventually(t, isolated.Ready, waitTimeout, 5*time.Millisecond)
	copied := f.store.Snapshot()
	f.loseRevisions(60)
	a.Register(f.store, "ready")
	f.loseRevisions(1)
	front.SetFault(platformtest.FaultSilent)
	f.store.Restore(copied)
	a.Register(f.store, "draining")
	time.Sleep(3 * time.Second)
	f.requireNoRuns(isolated, a, 500*time.Millisecond)
}

// Guards against a host that others can't find after the store came back from a
// copy, which has no leases.
func TestHostsRegisterAgainAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.start()
	f.start()
	registered := func() bool { return len(f.store.Keys("hosts/")) == 2 }
	require.Eventually(t, registered, waitTimeout, 5*time.Millisecond)
	copied := f.store.Snapshot()
	f.loseRevisions(10)
	f.store.Restore(copied)
	require.Empty(t, f.store.Keys("hosts/"))
	require.Eventually(t, registered, 2*time.Second, 5*time.Millisecond)
}

// Guards against new work for upstreams that were leaving or removed before a host started,
// and that the copy from which the store comes back lists as ready. The host starts before or
// after the store comes back.
func TestUpstreamThatLeftBeforeAHostStartedGetsNoNewWorkAfterRestore(t *testing.T) {
	t.Parallel()
	leavings := map[string]func(f *fleet, u *platformtest.Upstream){
		"removed": func(f *fleet, u *platformtest.Upstream) { f.store.Delete("servers/" + u.ID) },
		"leaving, then removed": func(f *fleet, u *platformtest.Upstream) {
			u.Register(f.store, "draining")
			time.Sleep(500 * time.Millisecond)
			f.store.Delete("servers/" + u.ID)
		},
		"leaving": func(f *fleet, u *platformtest.Upstream) { u.Register(f.store, "draining") },
	}
	for name, leave := range leavings {
		for _, startsAfter := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, host starts after the restore: %t", name, startsAfter), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure(1, nil)
				a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
				f.start()
				copied := f.store.Snapshot()
				f.loseRevisions(60)
				leave(f, a)
				time.Sleep(time.Second)
				var started *node
				if startsAfter {
					f.store.Restore(copied)
					time.Sleep(500 * time.Millisecond)
					started = f.startUnready(f.store.Addr())
				} else {
					started = f.start()
					f.store.Restore(copied)
				}
				f.requireNoRuns(started, a, 3*time.Second)
				a.NextProcess()
				a.Register(f.store, "ready")
				require.Eventually(t, func() bool { return f.send(started, http.MethodGet, "/read/1", "r2").status == http.StatusOK },
					time.Second, 5*time.Millisecond, "the next process is used at once")
			})
		}
	}
}
