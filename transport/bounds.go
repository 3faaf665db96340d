package transport

import (
	"errors"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// Bounds of what is read from an upstream before its answer's body. The body is
// bounded by the caller.
const (
	// maxHeadBytes bounds the status lines and headers of an answer and of the
	// informational answers before it.
	maxHeadBytes = 64 << 10
	// maxHeaderFields bounds the headers of one answer, which take much more memory
	// than their bytes.
	maxHeaderFields = 512
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 16
	// maxStaleBodyBytes is the longest body of an answer to an earlier call that is
	// read in order to reuse the connection.
	maxStaleBodyBytes = 1 << 20
	// maxStaleWireBytes bounds what is read for such a body, with the framing of its chunks.
	maxStaleWireBytes = 2 * maxStaleBodyBytes
	// maxErrorBytes bounds the text of an error, which may quote what was received.
	maxErrorBytes = 300
)

// errHeadTooLong ends the reading of a head.
var errHeadTooLong = errs.New("status lines and headers are over %d bytes", maxHeadBytes)

// boundedReader limits how much is read.
type boundedReader struct {
	reader io.Reader
	left   int64 // in bytes, for the head or a body to discard; below 0 for no limit
}

// Read returns errHeadTooLong if nothing may be read any more.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.reader.Read(p)
	}
	if b.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// limitHead starts to limit what is read. The buffer may also take the start of a
// body from the connection.
func (n *conn) limitHead() { n.bounded.left = maxHeadBytes + readBufferBytes }

// limitStaleBody starts to limit what is read for a body that belongs to an earlier call.
func (n *conn) limitStaleBody() { n.bounded.left = maxStaleWireBytes }

// unlimit stops limiting what is read.
func (n *conn) unlimit() { n.bounded.left = -1 }

// checkFields returns an error if an answer has too many headers.
func checkFields(r *http.Response) error {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if fields > maxHeaderFields {
		return errs.New("answer has %d headers, at most %d are read", fields, maxHeaderFields)
	}
	return nil
}

// discardBody reads a body that belongs to an earlier call.
func discardBody(r *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStaleBodyBytes+1))
	switch {
	case errors.Is(err, errHeadTooLong):
		return errs.New("answer to an earlier call takes over %d bytes with its chunks", maxStaleWireBytes)
	case err == nil && n > maxStaleBodyBytes:
		return errs.New("answer to an earlier call is over %d bytes", maxStaleBodyBytes)
	}
	return err
}

// shorten returns err, or one with the start of its text if that is long.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errs.New("%s…", text[:maxErrorBytes])
	}
	return err
}
