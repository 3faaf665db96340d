package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
)

// Guards against a host of a new build that asks one host of the build before after the other,
// each over a new connection, until it is ready.
func TestHostThatStartsAsksFewOthers(t *testing.T) {
	var members []host.Member
	for i := range 2336 {
		members = append(members, host.Member{Info: host.Info{ID: host.ID(fmt.Sprint("h", i))}, State: host.Alive})
	}
	asked := make(map[host.ID]bool)
	for {
		peer, found := peerToLearnFrom(members, "h0", asked)
		if !found {
			break
		}
		require.NotEqual(t, host.ID("h0"), peer.ID)
		asked[peer.ID] = true
	}
	require.Len(t, asked, 4)
}
