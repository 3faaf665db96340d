package directory

import "time"

const (
	// copyShare is the part of a host's link that copies of the configuration may take. The rest
	// is for callers, upstreams and changes.
	copyShare = 0.5
	// maxCopyQueue bounds the copies that a host sends at the same time, by how long they take
	// its share of the link.
	maxCopyQueue = 100 * time.Millisecond
	// defaultLinkMegabits is assumed of a host that states no bandwidth.
	defaultLinkMegabits = 100
	bitsPerByte         = 8
)

// uplink bounds the bytes of configurations that a host sends at a time, so that small changes,
// which share its link, wait for few of them. It does no I/O, and is not safe for concurrent use.
type uplink struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

// newUplink returns the uplink of a link with a bandwidth in Mbit/s, 0 if it is unknown.
func newUplink(megabits float64) uplink {
	if megabits <= 0 {
		megabits = defaultLinkMegabits
	}
	return uplink{bytesPerSecond: copyShare * megabits * 1e6 / bitsPerByte}
}

// reserve makes room for a copy. If there is none, it returns the time until there is.
func (u *uplink) reserve(bytes int, now time.Time) (wait time.Duration) {
	took := time.Duration(float64(bytes) / u.bytesPerSecond * float64(time.Second))
	queued := max(u.busyUntil.Sub(now), 0)
	if queued > 0 && queued+took > maxCopyQueue {
		return min(queued, queued+took-maxCopyQueue)
	}
	u.busyUntil = now.Add(queued + took)
	return 0
}
