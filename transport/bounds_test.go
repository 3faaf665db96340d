package transport_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/transport"
)

const okHead = "HTTP/1.1 200 OK\r\nId: own\r\n"

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// An upstream in trouble may send bytes that never end. Wherever they stand, the
// call must end soon and not by its deadline, and take little memory.
func TestEndlessBytesBreakTheCall(t *testing.T) {
	const (
		// maxMemory bounds the sum of all allocations, also those that are garbage
		// soon. The servers send 64 MiB if they may.
		maxMemory = 16 << 20
		maxTime   = 3 * time.Second
	)
	stale := strings.Replace(okHead, "own", "stray", 1)
	for name, answer := range map[string]platformtest.EndlessAnswer{
		"no answer":             {Repeat: "x"},
		"status line":           {Start: "HTTP/1.1 200 ", Repeat: "O"},
		"header line":           {Start: okHead + "X: ", Repeat: "x"},
		"continued header":      {Start: okHead + "X: x", Repeat: "\r\n x"},
		"headers":               {Start: okHead, Repeat: "X: x\r\n"},
		"tiny headers":          {Start: okHead, Repeat: "x:\n"},
		"empty lines":           {Repeat: "\r\n"},
		"informational":         {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational headers": {Start: "HTTP/1.1 103 Early Hints\r\n", Repeat: "X: x\r\n"},
		"stale body":            {Start: stale + "\r\n", Repeat: "x"},
		"stale long body":       {Start: stale + "Content-Length: 99999999999\r\n\r\n", Repeat: "x"},
		"stale chunked body":    {Start: stale + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1\r\nx\r\n"},
		"stale answers":         {Repeat: stale + "Content-Length: 1\r\n\r\nx"},
		"chunk size":            {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "0"},
		"chunk extension":       {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat: "x"},
		"chunk extensions":      {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"},
		"trailer line":          {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", Repeat: "x"},
		"trailers":              {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := platformtest.StartEndless(answer)
			defer server.Close()
			call := get(server.Addr(), "own")
			call.Matches = func(r *http.Response) bool { return r.Header.Get("Id") == "own" }
			ctx, cancel := context.WithTimeout(t.Context(), 2*maxTime)
			defer cancel()
			begun := time.Now()
			var err error
			memory := allocated(func() {
				var a *transport.Answer
				if a, err = transport.New(nil).Do(ctx, call); err == nil {
					_, err = io.Copy(io.Discard, io.LimitReader(a.Body, 1<<20))
					a.Close()
				}
			})
			require.Error(t, err)
			require.NotErrorIs(t, err, transport.ErrNotSent)
			require.NoError(t, ctx.Err(), "the call ended by itself")
			require.Less(t, time.Since(begun), maxTime)
			require.Less(t, memory, uint64(maxMemory))
			require.Less(t, len(err.Error()), 400, "the error goes into the log")
		})
	}
}

// What sound upstreams send must fit: informational answers, large headers, and a
// long answer to an earlier call before the right one.
func TestSoundAnswersAreWithinTheBounds(t *testing.T) {
	addr, _ := server(t, func(_ int, r *http.Request) string {
		large := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nX: " + strings.Repeat("x", 60_000) + "\r\nContent-Length: 3\r\n\r\nown"
		return strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n", 10) +
			"HTTP/1.1 200 OK\r\nId: stray\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("y", 1_000_000) + large
	})
	body, err := do(t, transport.New(nil), get(addr, "a"))
	require.NoError(t, err)
	require.Equal(t, "own", body)
}
