package throttle

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/member"
)

// gossip passes facts of one host on to all others at once.
type gossip struct {
	published  []member.Fact
	subscribed []func(member.Fact)
}

func (g *gossip) Publish(topic member.Topic, key string, payload []byte) error {
	f := member.Fact{From: "h0", Topic: topic, Key: key, Payload: payload}
	g.published = append(g.published, f)
	return nil
}

func (g *gossip) Subscribe(_ member.Topic, deliver func(member.Fact)) {
	g.subscribed = append(g.subscribed, deliver)
}

// Each host sees few answers. Guards against hosts that learn too late, or never, that a
// service is brittle, and against a fact of every host for every answer.
func TestHostsTellEachOtherOfBrittleServices(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, second gossip
	a, b := NewBrittle(&first, slog.New(slog.DiscardHandler)), NewBrittle(&second, slog.New(slog.DiscardHandler))
	a.Named("engines", 4, now)
	a.Named("engines", 4, now.Add(time.Second))
	require.Len(t, first.published, 1)
	b.receive(first.published[0], now)
	rejections, brittle := b.MaxRejections("engines", now.Add(time.Second))
	require.True(t, brittle)
	require.Equal(t, 4, rejections)
	b.Named("engines", 4, now.Add(time.Second))
	require.Empty(t, second.published, "another host has said so lately")
	b.Named("engines", 4, now.Add(brittlePublishInterval))
	require.Len(t, second.published, 1)
	_, brittle = b.MaxRejections("orders", now)
	require.False(t, brittle)
}

// Upstreams say so only while they are brittle.
func TestServiceIsNotBrittleForGood(t *testing.T) {
	now := time.Unix(1000, 0)
	var g gossip
	b := NewBrittle(&g, slog.New(slog.DiscardHandler))
	b.Named("engines", 4, now)
	b.Expire(now.Add(brittleTTL))
	require.Len(t, g.published, 1)
	_, brittle := b.MaxRejections("engines", now.Add(brittleTTL+time.Millisecond))
	require.False(t, brittle)
	b.Expire(now.Add(brittleTTL + time.Millisecond))
	require.Len(t, g.published, 2)
	require.Empty(t, g.published[1].Payload, "the fact is withdrawn")
	for _, payload := range []string{"", "\xff", "\xa1\x01\x20"} {
		b.receive(member.Fact{Topic: BrittleTopic, Key: "engines", Payload: []byte(payload)}, now)
	}
	_, brittle = b.MaxRejections("engines", now)
	require.False(t, brittle, "malformed facts")
}
