package tunnel

import (
	"net"
	"sync"
	"time"
)

// uploadEndWait bounds a write that is in progress when the upstream has closed the connection.
const uploadEndWait = 100 * time.Millisecond

// upload is the direction of a tunnel towards its upstream. A reset of the connection is
// reported once, to whichever of reading and writing comes first: after a failed write, reading
// may end as if the upstream had closed the connection in order.
type upload struct {
	conn net.Conn

	mu     sync.Mutex // held while writing; guards failed
	failed bool
}

// write writes to the upstream and reports whether that succeeded.
func (u *upload) write(data []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, err := u.conn.Write(data); err != nil {
		u.failed = true
	}
	return !u.failed
}

// broke ends a write in progress and reports whether any write has failed. It is called once
// reading has ended.
func (u *upload) broke() bool {
	_ = u.conn.SetWriteDeadline(time.Now().Add(uploadEndWait)) // a closed connection has no write in progress
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}
