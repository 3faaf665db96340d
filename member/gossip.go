// Package member keeps the list of hosts by datagrams between them, and lets
// other packages spread small facts on the same datagrams.
package member

import "github.com/galenaseam/galenaseam/host"

// Topic names a kind of fact that is spread between hosts.
type Topic string

// MaxFactBytes is the largest payload of one fact.
const MaxFactBytes = 512

// Fact is one small piece of news from a host. A newer fact of the same host,
// topic and key replaces an older one, and older ones are never delivered
// after newer ones.
type Fact struct {
	From    host.ID
	Topic   Topic
	Key     string
	Payload []byte
}

// Gossip spreads facts to every host that is reachable, usually within a
// second inside a data centre. Delivery is a hint: facts can be late or never
// come. Implementations are safe for concurrent use.
type Gossip interface {
	// Publish spreads a fact of the local host. It returns an error when the
	// payload is over MaxFactBytes.
	Publish(topic Topic, key string, payload []byte) error
	// Subscribe calls deliver for every fact of the topic from other hosts.
	// deliver must return at once.
	Subscribe(topic Topic, deliver func(Fact))
}
