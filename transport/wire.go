package transport

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"golang.org/x/sys/unix"
)

// requestHead returns the request line and headers.
func requestHead(call *Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	// Writing to a bytes.Buffer can't fail.
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

// appendBody appends the body as it is sent.
func appendBody(to []byte, call *Call) []byte {
	for _, part := range bodyParts(call) {
		to = append(to, part...)
	}
	return to
}

// bodyParts returns what is sent as the body, as a single chunk if the call is chunked. The
// body itself is not copied.
func bodyParts(call *Call) net.Buffers {
	switch {
	case !call.Chunked:
		return net.Buffers{call.Body}
	case len(call.Body) == 0:
		return net.Buffers{[]byte("0\r\n\r\n")}
	}
	size := strconv.FormatInt(int64(len(call.Body)), 16) + "\r\n"
	return net.Buffers{[]byte(size), call.Body, []byte("\r\n0\r\n\r\n")}
}

// NothingReceived reports whether nothing has arrived on an idle connection that was
// not read yet, neither the end of the stream nor bytes.
func NothingReceived(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	})
	return err == nil && empty
}
