package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
)

// gossipDelay is the delivery delay of a fact.
const gossipDelay = 200 * time.Millisecond

// gossipNet delivers facts between the hosts of a cell.
type gossipNet struct {
	mu          sync.Mutex
	subscribers map[host.ID][]func(member.Fact)
}

func newGossipNet() *gossipNet {
	return &gossipNet{subscribers: make(map[host.ID][]func(member.Fact))}
}

// gossiper connects one host to a gossipNet.
type gossiper struct {
	net  *gossipNet
	self host.ID
}

func (n *gossipNet) host(i int) *gossiper {
	return &gossiper{net: n, self: host.ID(fmt.Sprint("host", i))}
}

// Publish delivers a fact to every other host after gossipDelay.
func (g *gossiper) Publish(topic member.Topic, key string, payload []byte) error {
	if len(payload) > member.MaxFactBytes {
		return fmt.Errorf("fact too large: %d bytes", len(payload))
	}
	fact := member.Fact{From: g.self, Topic: topic, Key: key, Payload: payload}
	time.AfterFunc(gossipDelay, func() { g.net.deliver(fact) })
	return nil
}

// Subscribe ignores the topic and delivers every fact: the hosts of a cell use only
// one topic.
func (g *gossiper) Subscribe(_ member.Topic, deliver func(member.Fact)) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.net.subscribers[g.self] = append(g.net.subscribers[g.self], deliver)
}

func (n *gossipNet) deliver(f member.Fact) {
	n.mu.Lock()
	var to []func(member.Fact)
	for id, all := range n.subscribers {
		if id != f.From {
			to = append(to, all...)
		}
	}
	n.mu.Unlock()
	for _, deliver := range to {
		deliver(f)
	}
}
