package drill

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// usage is the resource usage of a host process.
type usage struct {
	// goroutines excludes those that serve a connection, because their number
	// depends on idle connections.
	goroutines  int
	memoryBytes int64
}

// measureIdle records each host's usage before the load.
func (f *fleet) measureIdle(ctx context.Context) {
	for _, h := range f.currentHosts() {
		h.idle = f.measureUsage(ctx, h)
	}
}

// measureUsage returns a host's current usage; goroutines is 0 if the host does
// not answer.
func (f *fleet) measureUsage(ctx context.Context, h *entryHost) usage {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	used := usage{memoryBytes: h.residentBytes()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operator+"/debug/pprof/goroutine?debug=1", nil)
	if err != nil {
		return used
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return used
	}
	defer resp.Body.Close()
	used.goroutines = countGoroutines(resp.Body)
	return used
}

// connectionFrames are parts of the names of functions whose goroutines serve a
// connection.
var connectionFrames = []string{
	"net/http.(*persistConn)", "net/http.(*conn).serve", "net/http.(*connReader).backgroundRead",
	"storj.io/drpc/drpcmanager", "storj.io/drpc/drpcconn",
}

// countGoroutines counts the goroutines in a text profile that do not serve a
// connection. A line "N @ ..." starts a group of N goroutines with one stack.
func countGoroutines(profile io.Reader) int {
	total, group, servesConnection := 0, 0, false
	scanner := bufio.NewScanner(profile)
	for scanner.Scan() {
		line := scanner.Text()
		if count, _, ok := strings.Cut(line, " @ "); ok {
			if !servesConnection {
				total += group
			}
			group, _ = strconv.Atoi(count) // 0 if it is not a number
			servesConnection = false
			continue
		}
		for _, frame := range connectionFrames {
			servesConnection = servesConnection || strings.Contains(line, frame)
		}
	}
	if !servesConnection {
		total += group
	}
	return total
}
