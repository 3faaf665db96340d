package logqueue_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/logqueue"
)

// slowWriter blocks every write until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func TestLinesKeepOrder(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	q := logqueue.New(w, nil)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := q.Write([]byte(line))
		require.NoError(t, err)
	}
	q.Close()
	require.Equal(t, "a\nb\nc\n", w.String())
}

func TestSlowOutputDoesNotBlockAndVolumeIsBounded(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	registry := prometheus.NewRegistry()
	q := logqueue.New(w, registry)
	line := []byte(strings.Repeat("x", 999) + "\n")
	started := time.Now()
	for range 2000 {
		_, err := q.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(started), time.Second)
	close(w.release)
	q.Close()
	require.Less(t, w.Len(), 400<<10)
	require.NotZero(t, w.Len())
	families, err := registry.Gather()
	require.NoError(t, err)
	dropped := 0.0
	for _, f := range families {
		if f.GetName() == "seam_log_lines_dropped_total" {
			dropped = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.EqualValues(t, 2000, int(dropped)+bytes.Count(w.Bytes(), []byte("\n")))
}
