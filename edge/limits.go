package edge

// How a host's memory and descriptors are divided.
const (
	// memoryLimitShare is the fraction of the process's memory that is set as the Go
	// runtime's soft memory limit. The rest is for stacks and kernel buffers.
	memoryLimitShare = 0.7
	// maxHeldShare is the most of the process's memory that heads, bodies and answers take.
	maxHeldShare = 0.45
	// ownBytes is what a host in a fleet of a few hundred needs for itself: 25 to 30 MB are
	// resident without callers.
	ownBytes = 32 << 20
	// heldShare and connShare are the parts of what is left below the soft limit that are for
	// what is held for callers and for their connections.
	heldShare = 0.8
	connShare = 0.2
	// minHeldShare is for hosts whose memory is below what the process needs.
	minHeldShare = 0.1
	// smallShare is the part of the held memory that only small heads, bodies and answers may
	// take, so that ordinary requests are served while large ones hold the rest.
	smallShare = 1.0 / 8
	// connBytes is what a caller's connection takes without a request: the buffers and the
	// goroutine of net/http.
	connBytes = 16 << 10
	// callerSocketBytes bounds the kernel's buffers of a caller's connection in each direction,
	// which grow to several MiB otherwise. The kernel doubles it. 10 Mbit/s take 128 KiB at a
	// round trip of 0.1 s.
	callerSocketBytes = 128 << 10
	// minConns is the least limit of callers' connections.
	minConns = 64
	// connDescriptorShare is the part of the descriptors that callers' connections may take.
	// Each may have a connection to an upstream; the rest is for idle ones, for peers and for
	// the store.
	connDescriptorShare = 0.4
)

// shares is how a host's memory and descriptors are divided.
type shares struct {
	large, small int64 // held bytes, 0 for no limit
	conns        int   // callers' connections, 0 for no limit
}

// divide divides the memory and the descriptors of a process; 0 means that there is no limit.
func divide(memoryBytes int64, descriptors int) shares {
	var s shares
	if descriptors > 0 {
		s.conns = max(int(connDescriptorShare*float64(descriptors)), 1)
	}
	if memoryBytes <= 0 {
		return s
	}
	all := float64(memoryBytes)
	left := memoryLimitShare*all - ownBytes
	held := max(min(maxHeldShare*all, heldShare*left), minHeldShare*all)
	s.small = int64(smallShare * held)
	s.large = int64(held) - s.small
	byMemory := max(int(connShare*left/connBytes), minConns)
	if s.conns == 0 || byMemory < s.conns {
		s.conns = byMemory
	}
	return s
}
