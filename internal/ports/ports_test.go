package ports

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// helperVariable makes the test binary reserve ports, print them, and keep them until
// its input ends.
const helperVariable = "GALENASEAM_RESERVE_PORTS"

// portsPerProcess is the number of ports that each process of a test reserves.
const portsPerProcess = 50

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	next.Store(0) // all processes start at the same port
	for range portsPerProcess {
		r, err := Reserve()
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(r.Addr())
	}
	_, _ = os.Stdin.Read(make([]byte, 1)) // returns when the test ends
}

// askFor opens sockets on any free port, while the kernel may give them only the
// port of addr, and keeps them open. It returns the addresses that they got.
func askFor(t *testing.T, addr netip.AddrPort) (tcp, udp string) {
	onlyThisPort := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			const highShift = 16 // the option holds the last port in its upper half
			portRange := int(addr.Port()) | int(addr.Port())<<highShift
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, portRange)
		})
		require.NoError(t, controlErr)
		return err
	}}
	l, err := onlyThisPort.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	p, err := onlyThisPort.ListenPacket(context.Background(), "udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return l.Addr().String(), p.LocalAddr().String()
}

// A socket that asks for any port must not be given a reserved one, not even if it is
// the only port that it wants.
func TestReservedPortIsGivenToNoOtherSocket(t *testing.T) {
	addr := ForTest(t)
	tcp, udp := askFor(t, addr)
	require.NotEqual(t, addr.String(), tcp)
	require.NotEqual(t, addr.String(), udp)
	l, err := net.Listen("tcp4", addr.String())
	require.NoError(t, err)
	require.NoError(t, l.Close())
	u, err := net.ListenPacket("udp4", addr.String())
	require.NoError(t, err)
	require.NoError(t, u.Close())
}

func TestPortInUseIsNotReserved(t *testing.T) {
	free, err := Reserve()
	require.NoError(t, err)
	addr := free.Addr()
	require.NoError(t, free.Release())

	l, err := net.Listen("tcp4", addr.String())
	require.NoError(t, err)
	held, err := reserve(addr.Port())
	require.NoError(t, err)
	require.Nil(t, held, "a TCP listener is open")
	require.NoError(t, l.Close())

	u, err := net.ListenPacket("udp4", addr.String())
	require.NoError(t, err)
	held, err = reserve(addr.Port())
	require.NoError(t, err)
	require.Nil(t, held, "a UDP socket is open")
	require.NoError(t, u.Close())

	held, err = reserve(addr.Port())
	require.NoError(t, err)
	require.NotNil(t, held)
	again, err := reserve(addr.Port())
	require.NoError(t, err)
	require.Nil(t, again, "the port is reserved")
	require.NoError(t, held.Release())
}

// Processes that reserve ports at the same time, and start at the same port, must
// not share any.
func TestProcessesReserveDifferentPorts(t *testing.T) {
	const processes = 4
	var mu sync.Mutex
	owners := map[string]int{}
	var group sync.WaitGroup
	for i := range processes {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), helperVariable+"=1")
		input, err := command.StdinPipe()
		require.NoError(t, err)
		output, err := command.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, command.Start())
		t.Cleanup(func() {
			require.NoError(t, input.Close())
			require.NoError(t, command.Wait())
		})
		group.Go(func() {
			lines := bufio.NewScanner(output)
			for range portsPerProcess {
				if !lines.Scan() {
					return
				}
				mu.Lock()
				if other, taken := owners[lines.Text()]; taken {
					t.Errorf("processes %d and %d both reserved %s", other, i, lines.Text())
				}
				owners[lines.Text()] = i
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Len(t, owners, processes*portsPerProcess)
	for addr := range owners {
		held, err := reserve(netip.MustParseAddrPort(addr).Port())
		require.NoError(t, err)
		require.Nil(t, held, "%s is reserved by another process", addr)
	}
}
