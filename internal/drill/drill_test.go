package drill

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drillSeed is a seed whose short plan kills, pauses and drains hosts, takes the
// store down, loses its answers, and breaks upstreams' answers in five ways.
const drillSeed = 8100

// TestDrill runs a short drill with real processes. Each invariant is a subtest.
func TestDrill(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", programs, "./cmd/seamd", "./cmd/seamdrill")
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))

	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	var said strings.Builder
	report, err := Run(ctx, Config{
		Seed: drillSeed, Hosts: 3, Length: 6 * time.Second, Callers: 6,
		Deployments: ExampleDeployments("", 3), CrashEngines: true,
		Seamd: filepath.Join(programs, "seamd"), Seamdrill: filepath.Join(programs, "seamdrill"),
		Dir: dir, Out: &syncWriter{w: &said},
	})
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(dir, "*", "*.log"))
		for _, log := range logs {
			text, _ := os.ReadFile(log)
			t.Logf("%s:\n%s", log, text[max(0, len(text)-2000):])
		}
	}
	require.NoError(t, err, said.String())
	require.NoError(t, report.Write(&said))
	t.Log(said.String())
	for _, i := range report.Invariants {
		t.Run(strings.ReplaceAll(i.Name, " ", "_"), func(t *testing.T) {
			require.True(t, i.Held, "%s: %v", i.Figures, i.Breaches)
		})
	}
}

// syncWriter is a writer that is safe for concurrent use.
type syncWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *syncWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
