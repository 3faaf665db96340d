package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
)

// Guards against urgent facts being delayed on a fleet that has just started. A
// crash is published as one fact for each request that was lost in it. All hosts
// must have these facts before a caller that repeats its request can crash
// another upstream.
func TestUrgentFactsSpreadPromptlyAfterStart(t *testing.T) {
	const hosts, crashes, losses = 12, 3, 5
	n := newNetwork(t, 21)
	n.addMany(hosts, "a1")
	for _, h := range n.nodes {
		h.queue.urgentTopics = map[Topic]bool{"quarantine": true}
	}
	n.await(3*time.Second, n.converged, "the fleet converges")
	for crash := range crashes {
		publisher := n.nodes[0]
		for loss := range losses {
			key := fmt.Sprintf("%032d/10.0.0.%d:8080/%d", loss, crash, crash)
			require.NoError(t, publisher.publish(n.now, "quarantine", key, []byte{1, 2, 3, 4, 5, 6, 7, 8, 9}))
		}
		n.run(400 * time.Millisecond)
		for _, h := range n.nodes {
			if h != publisher {
				require.Len(t, h.facts, losses*(crash+1), "crash %d, host %s", crash, h.self.Info.ID)
			}
		}
	}
}

// Guards against urgent facts being delayed because those before have used up the budget.
func TestUrgentFactsSpreadPromptlyInASeries(t *testing.T) {
	const hosts, crashes = 12, 40
	n := newNetwork(t, 22)
	n.addMany(hosts, "a1")
	for _, h := range n.nodes {
		h.queue.urgentTopics = map[Topic]bool{"quarantine": true}
	}
	n.await(3*time.Second, n.converged, "the fleet converges")
	publisher := n.nodes[0]
	for crash := range crashes {
		for _, suffix := range []string{"", fmt.Sprintf("/10.0.0.%d:8080", crash)} {
			require.NoError(t, publisher.publish(n.now, "quarantine", fmt.Sprintf("%032d", crash)+suffix, []byte{1, 2, 3, 4, 5, 6, 7, 8, 9}))
		}
		n.run(400 * time.Millisecond)
		for _, h := range n.nodes {
			if h != publisher {
				require.Len(t, h.facts, 2*(crash+1), "crash %d, host %s", crash, h.self.Info.ID)
			}
		}
	}
}

// Hosts must know within a second that an upstream turns all of them away. Guards against
// urgent facts that reach a large fleet only in rounds, over 2 s later.
func TestUrgentFactsReachLargeFleetsWithinASecond(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts int
		loss  float64
	}{{17, 0}, {40, 0.02}, {195, 0}, {195, 0.02}, {2336, 0}} {
		t.Run(fmt.Sprintf("%d hosts, %g lost", c.hosts, c.loss), func(t *testing.T) {
			n := largeNetwork(t, c.hosts)
			for _, h := range n.nodes {
				h.queue.urgentTopics = map[Topic]bool{"urgent": true}
			}
			n.run(3 * time.Second)
			n.loss = c.loss
			const facts = 5
			for i := range facts {
				require.NoError(t, n.nodes[i*3].publish(n.now, "urgent", fmt.Sprint(i), make([]byte, 60)))
			}
			missing := func() (all int) {
				for _, h := range n.nodes {
					all += facts - len(h.core.facts.byKey)
				}
				return all
			}
			for end := n.now.Add(time.Second); n.now.Before(end) && missing() > 0; {
				n.run(testStep)
			}
			require.Zero(t, missing())
		})
	}
}

// Guards against urgent facts, of which upstreams that refuse requests cause many, that use up the
// budget: announcements of changes in the store then reached only the publisher's data centre.
// Within 3 s, in which hosts learn that an upstream leaves (bounds.drain_ms), most hosts of each
// data centre must know. Gossip alone misses single hosts; no old facts are repeated meanwhile.
func TestUrgentFactsDoNotHoldUpOthers(t *testing.T) {
	t.Parallel()
	const hosts, bound = 195, 3 * time.Second
	for _, perStep := range []int{1, 5} {
		n := largeNetwork(t, hosts)
		for _, h := range n.nodes {
			h.queue.urgentTopics = map[Topic]bool{"urgent": true}
		}
		published := 0
		run := func(span time.Duration) {
			for end := n.now.Add(span); n.now.Before(end); n.run(testStep) {
				for range perStep {
					published++
					require.NoError(t, n.nodes[published*7%hosts].publish(n.now, "urgent", fmt.Sprint(published%16), make([]byte, 60)))
				}
			}
		}
		run(8 * time.Second)
		announced := factKey{from: n.nodes[0].self.Info.ID, topic: "directory", key: "revision"}
		require.NoError(t, n.nodes[0].publish(n.now, announced.topic, announced.key, make([]byte, 20)))
		run(bound)
		known, all := make(map[host.DataCentre]int), make(map[host.DataCentre]int)
		for _, h := range n.nodes {
			centre := h.self.Info.Place.DataCentre
			all[centre]++
			if h.core.facts.byKey[announced] != nil {
				known[centre]++
			}
		}
		for centre := range all {
			require.Greater(t, 2*known[centre], all[centre], "%d urgent facts in %s, data centre %s: %v", perStep, testStep, centre, known)
		}
	}
}
