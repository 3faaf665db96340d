package directory

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// Messages of the build that sends configurations together with changes.
const (
	formerRequestBytes = "a401160203031a3b0233800400" // as of 22, version 3, wait 990 ms
	formerAnswerBytes  = "aa011702463720626f647903150481a90162753302617303460a00000950000460050006f508f609170a62763105f406f607f6081a004c4b4009a00b80"
)

// formerFollowRequest and formerFollowAnswer are what that build reads of messages.
type formerFollowRequest struct {
	AsOf    int64           `cbor:"1,keyasint"`
	Version routing.Version `cbor:"2,keyasint"`
	Wait    time.Duration   `cbor:"3,keyasint"`
	Era     *int64          `cbor:"4,keyasint,omitempty"`
}

type formerFollowAnswer struct {
	AsOf    int64            `cbor:"1,keyasint"`
	Config  []byte           `cbor:"2,keyasint"`
	Entries []instance.Entry `cbor:"4,keyasint"`
	Age     time.Duration    `cbor:"8,keyasint"`
}

// newTestDirectory returns a directory that has read a configuration and an upstream, and is not
// run.
func newTestDirectory() *Directory {
	d := newLoneDirectory(&testStore{changed: make(chan struct{})}, nil)
	d.config.Format = versionedFormat{}
	entry, err := cbor.Marshal(instance.Entry{Service: "s", Leaving: true})
	if err != nil {
		panic(err)
	}
	d.applySnapshot([]Item{
		{Key: "config", Value: []byte("7 body"), Revision: 21}, {Key: "up/u3", Value: entry, Revision: 23},
	}, infra.Position{Revision: 23}, time.Now())
	return d
}

// Guards against a fleet that is upgraded host by host in which hosts of the two builds don't
// understand each other.
func TestHostsOfTheBuildBeforeFollowAndAreFollowed(t *testing.T) {
	d := newTestDirectory()
	raw, err := hex.DecodeString(formerRequestBytes)
	require.NoError(t, err)
	var request followRequest
	require.NoError(t, cbor.Unmarshal(raw, &request))
	ask := func() (former formerFollowAnswer) {
		answer, err := d.serveFollow(t.Context(), request)
		require.NoError(t, err)
		raw, err := cbor.Marshal(answer)
		require.NoError(t, err)
		require.NoError(t, cbor.Unmarshal(raw, &former))
		return former
	}
	first := ask()
	require.Len(t, first.Entries, 1)
	require.Empty(t, first.Config, "the leaving does not wait for the configuration")
	request.AsOf = first.AsOf
	require.Equal(t, "7 body", string(ask().Config))

	raw, err = hex.DecodeString(formerAnswerBytes)
	require.NoError(t, err)
	var answer followAnswer
	require.NoError(t, cbor.Unmarshal(raw, &answer))
	follower := newLoneDirectory(&testStore{}, nil)
	follower.config.Format = versionedFormat{}
	require.True(t, follower.applyAnswer(answer, netip.AddrPort{}))
	require.Equal(t, routing.Version(7), follower.Routes().Version())
	entry, known := follower.config.Instances.Lookup("u3")
	require.True(t, known && entry.Leaving)
	_, lacks := follower.lacking()
	require.False(t, lacks)

	raw, err = cbor.Marshal(followRequest{AsOf: 22, Version: 3, Era: new(int64), Apart: true, UpstreamsAsOf: 23})
	require.NoError(t, err)
	var former formerFollowRequest
	require.NoError(t, cbor.Unmarshal(raw, &former))
	require.Equal(t, formerFollowRequest{AsOf: 22, Version: 3, Era: new(int64)}, former)
}

// Guards against two hosts that follow each other while a fleet is upgraded, because the builds
// choose different watchers.
func TestHostThatTheBuildBeforeFollowsWatchesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 24)
		watching := f.watching()
		follower := f.hosts[0]
		for i := range f.hosts {
			if follower = f.hosts[i]; !follower.isWatcher() {
				break
			}
		}
		_, follows := follower.chooseWatcher(time.Now())
		require.True(t, follows)
		_, err := follower.serveFollow(t.Context(), followRequest{Wait: time.Millisecond})
		require.NoError(t, err)
		_, follows = follower.chooseWatcher(time.Now())
		require.False(t, follows)
		require.Len(t, watching, minWatchers)
		time.Sleep(formerFollowerMemory)
		_, follows = follower.chooseWatcher(time.Now())
		require.True(t, follows, "no host of that build has followed it for a while")
	})
}

// Guards against watchers whose links their followers fill, while wider ones are idle.
func TestWatchersAreStrongHostsAsFarAsThereAre(t *testing.T) {
	t.Parallel()
	const hosts = 100 // of which six watch
	for strong := range 12 {
		var members []host.Member
		for i := range hosts {
			info := host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Capacity: 0.04}
			if i < strong {
				info.Capacity = 0.8
			}
			members = append(members, host.Member{Info: info})
		}
		chosen, ofStrong := watchers(members), 0
		for _, w := range chosen {
			if w.Capacity > 0.5 {
				ofStrong++
			}
		}
		require.Len(t, chosen, 6)
		require.Equal(t, min(strong, 6), ofStrong)
	}
}

// Guards against a host that sends a version to all who ask it, and against askers that are sent
// in a circle.
func TestAskersOfAVersionFormATree(t *testing.T) {
	t.Parallel()
	const askers = 60
	var s spread
	parents, children := make(map[netip.AddrPort]netip.AddrPort), make(map[netip.AddrPort]int)
	for i := range askers {
		asker := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		s.asked(5, asker)
		if other, found := s.next(asker); found {
			parents[asker] = other
			children[other]++
		}
	}
	require.Len(t, parents, askers-1, "the first one is not sent elsewhere")
	for asker := range parents {
		depth := 0
		for at, has := asker, true; has; at, has = parents[at] {
			depth++
		}
		require.LessOrEqual(t, depth, 7)
		require.LessOrEqual(t, children[asker], fanOut)
	}
	late := netip.MustParseAddrPort("10.0.1.1:1")
	s.asked(6, late)
	_, found := s.next(late)
	require.False(t, found, "nobody has asked for this version before")
}

// Guards against copies that fill a host's link, and against one that is never sent because it
// takes long.
func TestUplinkBoundsTheCopiesThatAreSentAtATime(t *testing.T) {
	t.Parallel()
	now := time.Now()
	u := newUplink(16) // 1 MB/s for copies
	require.Zero(t, u.reserve(500_000, now), "larger than the bound, and alone")
	require.Equal(t, 410*time.Millisecond, u.reserve(10_000, now))
	require.Equal(t, 500*time.Millisecond, u.reserve(200_000, now), "when the link is free")
	require.Zero(t, u.reserve(10_000, now.Add(410*time.Millisecond)))
}

// Guards against a host whose memory another one fills with a small message.
func TestPackedConfigurationIsBounded(t *testing.T) {
	t.Parallel()
	body := "9 " + strings.Repeat(" ", maxConfigurationBytes-2)
	fits := pack(9, 1, []byte(body))
	raw, err := configurationAnswer{Body: fits.body, Packed: fits.packed}.unpack()
	require.NoError(t, err)
	require.Equal(t, body, string(raw))
	tooLong := pack(9, 1, []byte(body+" "))
	require.Less(t, len(tooLong.body), 100_000)
	_, err = configurationAnswer{Body: tooLong.body, Packed: tooLong.packed}.unpack()
	require.ErrorContains(t, err, "over 8388608 bytes")
}

// Guards against a host that fetches a version that it can't read again and again, and against one
// that misses the next version because of that.
func TestVersionThatCannotBeReadIsFetchedOnce(t *testing.T) {
	t.Parallel()
	d, peer := newTestDirectory(), netip.MustParseAddrPort("10.0.0.9:1")
	lacks := func() bool {
		_, lacks := d.lacking()
		return lacks
	}
	d.announce(7, peer)
	require.False(t, lacks(), "in force")
	d.announce(8, peer)
	require.True(t, lacks())
	require.False(t, d.applyCopy(configurationAnswer{Body: []byte("unreadable"), Version: 8}, 8, peer))
	require.False(t, lacks())
	d.announce(8, peer)
	require.False(t, lacks())
	d.announce(9, peer)
	require.True(t, lacks())
	require.True(t, d.applyCopy(configurationAnswer{Body: []byte("9 body"), Revision: 30, Version: 9}, 9, peer))
	require.False(t, lacks())
	require.Equal(t, routing.Version(9), d.Routes().Version())
}

// Guards against a version that stays away because the host that announced it, or those that it
// names, have stopped.
func TestConfigurationIsFetchedPastHostsThatStopped(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration // the announcement
		stops func(i int, h *testHost) bool
	}{
		"each third host": {after: 200 * time.Millisecond, stops: func(i int, h *testHost) bool { return i%3 == 0 && !h.isWatcher() }},
		"all watchers":    {after: 40 * time.Millisecond, stops: func(_ int, h *testHost) bool { return h.isWatcher() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(t, links(6, 60), versionedFormat{}, 0)
				f.store.putConfig(1, noise(60<<10))
				time.Sleep(c.after)
				stopped := make(map[*testHost]bool)
				for i, h := range f.hosts {
					if c.stops(i, h) {
						h.frozen.Store(true)
						stopped[h] = true
					}
				}
				time.Sleep(testMaxDelay)
				for _, h := range f.hosts {
					if !stopped[h] {
						require.NotNil(t, h.Routes(), h.Self().ID)
					}
				}
			})
		})
	}
}
