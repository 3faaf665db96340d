package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUrgentFactsAreNotHeldUpAfterAStart publishes the losses of one crash and
// of the requests beside it on a fleet that has just started. All hosts must
// have them before a caller that repeats its request has crashed another.
func TestUrgentFactsAreNotHeldUpAfterAStart(t *testing.T) {
	const hosts, crashes, losses = 12, 3, 5
	n := newNetwork(t, 21)
	n.addMany(hosts, "a1")
	for _, one := range n.nodes {
		one.news.urgent = map[Topic]bool{"quarantine": true}
	}
	n.await(3*time.Second, n.converged, "the fleet finds itself")
	for crash := range crashes {
		teller := n.nodes[0]
		for loss := range losses {
			key := fmt.Sprintf("%032d/10.0.0.%d:8080/%d", loss, crash, crash)
			require.NoError(t, teller.publish(n.now, "quarantine", key, []byte{1, 2, 3, 4, 5, 6, 7, 8, 9}))
		}
		n.run(400 * time.Millisecond)
		for _, one := range n.nodes {
			if one != teller {
				require.Len(t, one.facts, losses*(crash+1), "crash %d, host %s", crash, one.self.Info.ID)
			}
		}
	}
}
