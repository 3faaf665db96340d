// Package ports reserves loopback ports for servers that are started later or by
// another process. It needs Linux.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("ports")

// ephemeralRangeFile holds the first and the last port of the range from which the
// kernel picks ports for outgoing connections and for listeners on port 0.
const ephemeralRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

// The ports that are reserved lie in this range and outside the ephemeral range.
const (
	firstPort = 10_000
	lastPort  = 65_535
)

// Reservation keeps a port of 127.0.0.1, for TCP and UDP, from being reserved again
// by any process on the machine until Release or the end of the process. The port
// lies outside the ephemeral range, so that the kernel gives it to no other socket.
type Reservation struct {
	addr netip.AddrPort
	lock net.Listener
}

// next counts the ports tried. It starts at a random number, so that processes try
// different ports.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(lastPort)) }

// Reserve reserves a port on which no socket is open.
func Reserve() (*Reservation, error) {
	low, high, err := ephemeralRange()
	if err != nil {
		return nil, err
	}
	below := max(low, firstPort) - firstPort   // number of ports below the ephemeral range
	above := lastPort - max(high, firstPort-1) // number of ports above it
	count := uint32(below) + uint32(above)
	for range count {
		n := uint16(next.Add(1) % count)
		port := firstPort + n
		if n >= below {
			port = max(high, firstPort-1) + 1 + (n - below)
		}
		r, err := reserve(port)
		if err != nil {
			return nil, err
		}
		if r != nil {
			return r, nil
		}
	}
	return nil, Error.New("no port from %d to %d is free outside the ephemeral range %d to %d", firstPort, lastPort, low, high)
}

// ephemeralRange returns the first and the last ephemeral port.
func ephemeralRange() (low, high uint16, err error) {
	text, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	if _, err := fmt.Sscan(string(text), &low, &high); err != nil {
		return 0, 0, Error.New("%s contains %q: %w", ephemeralRangeFile, text, err)
	}
	return low, high, nil
}

// reserve reserves one port. It returns nil if the port is reserved or in use.
func reserve(port uint16) (*Reservation, error) {
	// An abstract socket belongs to the network namespace, as ports do, and
	// disappears with the process.
	lock, err := net.Listen("unix", fmt.Sprintf("@galenaseam/port/%d", port))
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Reservation{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port), lock: lock}
	err = r.checkUnused()
	if err == nil {
		return r, nil
	}
	if releaseErr := r.Release(); releaseErr != nil || !errors.Is(err, syscall.EADDRINUSE) {
		return nil, Error.Wrap(errors.Join(err, releaseErr))
	}
	return nil, nil
}

// checkUnused returns an error if a TCP or UDP socket is open on the port. No process is
// forked during the check: a child has the sockets of the check until its exec.
func (r *Reservation) checkUnused() error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	tcp, err := net.Listen("tcp4", r.addr.String())
	if err != nil {
		return err
	}
	udp, err := net.ListenPacket("udp4", r.addr.String())
	if err != nil {
		return errors.Join(err, tcp.Close())
	}
	return errors.Join(tcp.Close(), udp.Close())
}

// Addr returns the loopback address with the port.
func (r *Reservation) Addr() netip.AddrPort { return r.addr }

// Release lets the port be reserved again. It may be called once.
func (r *Reservation) Release() error { return Error.Wrap(r.lock.Close()) }

// testingTB is the part of testing.TB that ForTest uses.
type testingTB interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Cleanup(func())
}

// ForTest returns an address that is reserved until the test ends.
func ForTest(t testingTB) netip.AddrPort {
	t.Helper()
	r, err := Reserve()
	if err != nil {
		t.Fatalf("reserve a port: %v", err)
	}
	t.Cleanup(func() {
		if err := r.Release(); err != nil {
			t.Errorf("release port %d: %v", r.addr.Port(), err)
		}
	})
	return r.Addr()
}
