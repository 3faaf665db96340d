// Package member maintains the list of hosts with a gossip protocol over UDP,
// and lets other packages spread small facts in the same datagrams.
package member

import "github.com/galenaseam/galenaseam/host"

// Topic names a kind of fact that hosts spread by gossip.
type Topic string

// MaxFactBytes is the largest payload of one fact.
const MaxFactBytes = 512

// Fact is a small value that a host publishes. A newer fact of the same host,
// topic and key replaces an older one, and an older one is never delivered after
// a newer one.
type Fact struct {
	From    host.ID
	Topic   Topic
	Key     string
	Payload []byte
}

// Gossip spreads facts to every reachable host, usually within a second inside a
// data centre. Delivery is best-effort: a fact can be late or lost.
// Implementations are safe for concurrent use.
type Gossip interface {
	// Publish spreads a fact of the local host. It returns an error when the
	// payload is over MaxFactBytes.
	Publish(topic Topic, key string, payload []byte) error
	// Subscribe calls deliver for every fact of the topic from other hosts.
	// deliver must return at once.
	Subscribe(topic Topic, deliver func(Fact))
}
