package tunnel

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func upstreamAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000)
}

// One upstream that accepts slowly is no reason to pass the others by, and a path that is
// lost must be tried again, so that it is found when it is back.
func TestLostPathIsTriedAgainAndOthersStayDirect(t *testing.T) {
	p, now := newPaths(), start
	require.Equal(t, plan{direct: true, tunnelAfter: tunnelDelay}, p.plan(upstreamAddr(1), now))
	wasReached, isCutOff := p.lose(upstreamAddr(1), now)
	require.True(t, wasReached)
	require.False(t, isCutOff)
	require.Equal(t, plan{}, p.plan(upstreamAddr(1), now.Add(trialInterval/2)), "a tunnel only")
	require.Equal(t, plan{direct: true}, p.plan(upstreamAddr(1), now.Add(trialInterval)), "both at once")
	require.Equal(t, plan{}, p.plan(upstreamAddr(1), now.Add(trialInterval+time.Millisecond)))
	require.Equal(t, plan{direct: true, tunnelAfter: tunnelDelay}, p.plan(upstreamAddr(2), now), "another upstream")
	wasLost, wasCutOff := p.directOpened(upstreamAddr(1), now)
	require.True(t, wasLost)
	require.False(t, wasCutOff)
	require.Equal(t, tunnelDelay, p.plan(upstreamAddr(1), now).tunnelAfter)
}

// A host that has lost its links finds out from a few upstreams, not from each anew.
func TestHostThatHasLostItsLinksDoesNotWaitForEachUpstream(t *testing.T) {
	p, now := newPaths(), start
	p.plan(upstreamAddr(1), now)
	p.lose(upstreamAddr(1), now)
	_, isCutOff := p.lose(upstreamAddr(2), now)
	require.True(t, isCutOff)
	require.Equal(t, plan{direct: true}, p.plan(upstreamAddr(3), now), "both at once, since no direct connection was tried yet")
	require.Equal(t, plan{}, p.plan(upstreamAddr(3), now.Add(time.Millisecond)))
	require.Equal(t, noPath, p.expected(upstreamAddr(4), now), "a tunnel for another host")
	_, wasCutOff := p.directOpened(upstreamAddr(3), now)
	require.True(t, wasCutOff)
	require.Equal(t, tunnelDelay, p.plan(upstreamAddr(4), now).tunnelAfter)
	require.Equal(t, plan{}, p.plan(upstreamAddr(1), now.Add(time.Millisecond)), "still lost by itself")
	require.Equal(t, connected, p.expected(upstreamAddr(4), now))
	require.Equal(t, unreachable, p.expected(upstreamAddr(1), now))
}

// An upstream that is down must cost other hosts no tunnel for each request.
func TestUpstreamThatNoHostReachesIsOnlyTriedDirectly(t *testing.T) {
	p, now := newPaths(), start
	p.down(upstreamAddr(1), now)
	require.True(t, p.plan(upstreamAddr(1), now).noTunnel)
	require.False(t, p.plan(upstreamAddr(1), now.Add(downTime)).noTunnel)
}

// A host without requests of its own must find out that it has lost its links, and one with
// direct connections must not ask others each time that an upstream is down.
func TestOnlyAHostWithoutDirectConnectionsDoubtsItsLinks(t *testing.T) {
	p, now := newPaths(), start
	require.True(t, p.mustVerify(upstreamAddr(1), now))
	require.False(t, p.mustVerify(upstreamAddr(1), now.Add(verifyInterval/2)), "it is being found out")
	require.True(t, p.mustVerify(upstreamAddr(2), now))
	p.directOpened(upstreamAddr(3), now)
	require.False(t, p.mustVerify(upstreamAddr(4), now.Add(verifyInterval/2)))
	require.True(t, p.mustVerify(upstreamAddr(4), now.Add(verifyInterval)))
}
