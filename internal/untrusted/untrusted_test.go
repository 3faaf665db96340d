// Package untrusted_test checks that crowds of untrusted clients neither end a host's process
// nor take it out of its memory and descriptors. The crowds and the bounds are fixed: a change
// of the product that needs others does not count as a fix.
package untrusted_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// sendTime bounds how long a client of a crowd sends.
const sendTime = 3 * time.Second

const largeBody = 4 << 20 // the largest that the configuration allows

// crowd opens connections at once, on each of which send writes for at most sendTime. They
// stay open until the test ends.
func (p *process) crowd(clients int, send func(i int, c net.Conn)) {
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			c, err := net.DialTimeout("tcp4", p.addr, sendTime)
			if err != nil {
				return // the host refuses clients in this way
			}
			p.t.Cleanup(func() { _ = c.Close() })
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // slow readers take little into the kernel
			_ = c.SetDeadline(time.Now().Add(sendTime))
			send(i, c)
		})
	}
	group.Wait()
}

// repeat writes text until a number of bytes has been sent or the connection fails.
func repeat(c net.Conn, text string, bytes int) {
	block := strings.Repeat(text, max(1, (16<<10)/len(text)))
	for sent := 0; sent < bytes; sent += len(block) {
		if _, err := io.WriteString(c, block[:min(len(block), bytes-sent)]); err != nil {
			return
		}
	}
}

// fields returns short header fields with different names, of about a number of bytes.
func fields(bytes int) string {
	var text strings.Builder
	for i := 0; text.Len() < bytes; i++ {
		_, _ = fmt.Fprintf(&text, "%x:\n", 0xa000+i)
	}
	return text.String()
}

// head returns the start of a request with a body.
func head(method, path, id, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, path, platformtest.Host, id, apiKey, framing)
}

// Guards against a host that holds heads far over the limit of 16,384 bytes, whose fields take
// many times their bytes. Load: 48 clients, 160 KiB each, in fields of 6 bytes.
func TestHeadsOverTheLimit(t *testing.T) {
	p := start(t)
	p.crowd(48, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, "GET /read/ HTTP/1.1\r\n")
		_, _ = io.WriteString(c, fields(160<<10))
	})
	p.requireBounds()
}

// Guards against heads within the limit that never end and together take all memory or
// descriptors. Load: 600 clients, 15 KiB each, then nothing.
func TestHeadsWithoutEnd(t *testing.T) {
	p := start(t)
	p.crowd(600, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, "GET /read/ HTTP/1.1\r\n")
		_, _ = io.WriteString(c, fields(15<<10))
	})
	p.requireBounds()
}

// Guards against clients that send nothing but empty lines. Load: 600 clients, one empty line
// after another, half of them after a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	p := start(t)
	p.crowd(600, func(i int, c net.Conn) {
		if i%2 == 0 {
			_, _ = io.WriteString(c, head("POST", "/read/", fmt.Sprint("e", i), "Content-Length: 0\r\n"))
		}
		for end := time.Now().Add(sendTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if _, err := io.WriteString(c, "\r\n"); err != nil {
				return
			}
		}
	})
	p.requireBounds()
}

// Guards against bodies that hold the memory for bodies, and small ones beside them that take
// the rest. Load: 60 clients of 4 MiB, every third sends all of it, half in pieces, the others
// all but a byte; 1,000 clients of 16 KiB, all but a byte.
func TestManyLargeBodies(t *testing.T) {
	p := start(t)
	p.crowd(1060, func(i int, c net.Conn) {
		size := largeBody
		if i >= 60 {
			size = 16 << 10
		}
		_, _ = io.WriteString(c, head("POST", "/read/", fmt.Sprint("b", i), fmt.Sprintf("Content-Length: %d\r\n", size)))
		if i >= 60 || i%3 > 0 {
			size--
		}
		if i%2 == 0 {
			repeat(c, strings.Repeat("x", 16<<10), size)
			return
		}
		for sent := 0; sent < size; sent += 256 << 10 {
			repeat(c, "x", min(256<<10, size-sent))
			time.Sleep(20 * time.Millisecond)
		}
	})
	p.requireBounds()
}

// Guards against chunked bodies that take the memory of the largest body each, or that of
// their chunks' framing. Load: 60 clients of 3 MiB in chunks of 64 KiB and 60 of 128 KiB in
// chunks of a byte, every third whole; 1,000 clients of 15 KiB in chunks of a byte, without end.
func TestManyChunkedBodies(t *testing.T) {
	p := start(t)
	large := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	p.crowd(1120, func(i int, c net.Conn) {
		_, _ = io.WriteString(c, head("POST", "/read/", fmt.Sprint("c", i), "Transfer-Encoding: chunked\r\n"))
		chunk, count := large, 48
		switch {
		case i >= 120:
			chunk, count = "1\r\nx\r\n", 15<<10
		case i%2 == 0:
			chunk, count = "1\r\nx\r\n", 128<<10
		}
		repeat(c, chunk, count*len(chunk))
		if i < 120 && i%3 == 0 {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	})
	p.requireBounds()
}

// Guards against answers that pile up for callers that do not read them. Load: 60 callers of
// answers of 4 MiB and 60 of streams with events of 512 KiB, which read nothing.
func TestCallersThatReadNothing(t *testing.T) {
	p := start(t)
	p.crowd(120, func(i int, c net.Conn) {
		path := "/large/"
		if i%2 == 0 {
			path = "/events/"
		}
		_, _ = io.WriteString(c, head("GET", path, fmt.Sprint("r", i), ""))
		time.Sleep(sendTime)
	})
	p.requireBounds()
}
