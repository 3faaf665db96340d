package transport

import (
	"net"
	"time"

	"github.com/zeebo/errs"
)

// uploadEndWait is how long the end of an unframed answer waits for the end of its request's
// body: what the upstream has read was written a moment before.
const uploadEndWait = 100 * time.Millisecond

// errUploadCut ends an unframed answer whose upstream closed the connection before the whole
// request was written.
var errUploadCut = errs.New("connection closed before the whole request was written")

// upload is the body of a request that is written in the background.
type upload struct {
	done chan struct{} // closed after err was set
	err  error
}

// startUpload writes a body in the background.
func startUpload(to net.Conn, parts net.Buffers) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = parts.WriteTo(to)
	}()
	return u
}

// finished reports whether the whole body has been written. A nil upload was written before.
func (u *upload) finished() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// finishedSoon is finished, but waits for a body that is about to be written.
func (u *upload) finishedSoon() bool {
	if u == nil {
		return true
	}
	timer := time.NewTimer(uploadEndWait)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
	}
	return u.finished()
}
