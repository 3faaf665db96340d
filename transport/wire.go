package transport

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// requestHead gives the request line and the header.
func requestHead(call *Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	// Writing to a buffer does not fail.
	_ = call.Header.Write(&b)
	switch {
	case call.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut:
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// appendBody appends the body, as one chunk when its length was not told.
func appendBody(to []byte, call *Call) []byte {
	if !call.Chunked {
		return append(to, call.Body...)
	}
	if len(call.Body) > 0 {
		to = append(to, strconv.FormatInt(int64(len(call.Body)), 16)+"\r\n"...)
		to = append(to, call.Body...)
		to = append(to, "\r\n"...)
	}
	return append(to, "0\r\n\r\n"...)
}

// setUserTimeout has the kernel give up a connection whose peer does not
// confirm what was sent, and ask a silent one whether it is there.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet says whether nothing has arrived on an idle connection: neither its
// end nor bytes that no call has asked for.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = err == unix.EAGAIN
	})
	return err == nil && nothing
}
