package drill

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// usage is what a host process uses.
type usage struct {
	// goroutines leaves out those that serve a connection, which come and go
	// with idle connections.
	goroutines int
	bytes      int64
}

// measureIdle notes what each host uses before the load.
func (f *fleet) measureIdle(ctx context.Context) {
	for _, h := range f.living() {
		h.idle = f.measure(ctx, h)
	}
}

// measure returns what a host uses now; goroutines are 0 when it gives no
// answer.
func (f *fleet) measure(ctx context.Context, h *entryHost) usage {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	used := usage{bytes: h.residentBytes()}
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

// connectionFrames are functions of goroutines that live with a connection.
var connectionFrames = []string{
	"net/http.(*persistConn)", "net/http.(*conn).serve", "net/http.(*connReader).backgroundRead",
	"storj.io/drpc/drpcmanager", "storj.io/drpc/drpcconn",
}

// countGoroutines reads a goroutine profile in its text form, in which a line
// "N @ ..." begins a group of N goroutines with the same stack.
func countGoroutines(profile io.Reader) int {
	total, group, serves := 0, 0, false
	scanner := bufio.NewScanner(profile)
	for scanner.Scan() {
		line := scanner.Text()
		if count, _, ok := strings.Cut(line, " @ "); ok {
			if !serves {
				total += group
			}
			group, _ = strconv.Atoi(count) // zero when it is no count
			serves = false
			continue
		}
		for _, frame := range connectionFrames {
			serves = serves || strings.Contains(line, frame)
		}
	}
	if !serves {
		total += group
	}
	return total
}
