package ports_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ports"
)

// A child process has the parent's sockets between its fork and its exec. Guards against a
// reserved port that is still in use because a process was started while it was checked.
func TestReservedPortCanBeOpenedWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run() // only the fork matters
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	for range 3000 {
		r, err := ports.Reserve()
		require.NoError(t, err)
		listener, err := net.Listen("tcp4", r.Addr().String())
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		require.NoError(t, r.Release())
	}
}
