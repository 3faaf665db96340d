package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/config"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/examples"
	"github.com/galenaseam/galenaseam/infra/kv"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/store"
)

// The waits for processes.
const (
	startPatience = 30 * time.Second
	stopPatience  = 10 * time.Second
	callPatience  = 5 * time.Second
)

// fleet is one deployment: its stand-ins, its hosts and its callers.
type fleet struct {
	cfg        Config
	index      int
	deployment Deployment
	doc        *document.Document
	dir        string
	control    string
	overview   standin.Overview
	standins   *process
	callers    *http.Client
	ledger     *ledger
	edits      *edits
	reversals  reversals
	// converged says that all hosts came to agree on the document after the
	// load, and convergence how long that took.
	converged   bool
	convergence time.Duration
	// before and after are the store's calls at both ends of the load, which
	// lasted for loaded.
	before store.Counts
	after  store.Counts
	loaded time.Duration

	mu      sync.Mutex
	hosts   []*entryHost // one in each slot
	past    []*entryHost // those that were replaced
	resumed []time.Time  // when pauses of hosts ended
	started int
}

// readDocument reads the operators' document. An example that is built in is
// written down for the stand-ins.
func (f *fleet) readDocument() ([]byte, error) {
	if f.deployment.Path != "" {
		return os.ReadFile(f.deployment.Path)
	}
	text, err := examples.Document(f.deployment.Name)
	if err != nil {
		return nil, err
	}
	f.deployment.Path = filepath.Join(f.dir, "document.yaml")
	return text, os.WriteFile(f.deployment.Path, text, 0o600)
}

// startFleet starts a deployment and waits until its hosts take work. The
// fleet is returned also with an error, so that its processes can be ended.
func startFleet(ctx context.Context, cfg Config, index int, d Deployment) (*fleet, error) {
	f := &fleet{
		cfg: cfg, index: index, deployment: d, dir: filepath.Join(cfg.Dir, d.Name),
		callers: newCallersClient(), ledger: newLedger(), edits: newEdits(),
	}
	if err := os.MkdirAll(f.dir, 0o755); err != nil {
		return f, Error.Wrap(err)
	}
	text, err := f.readDocument()
	if err != nil {
		return f, Error.Wrap(err)
	}
	if f.doc, err = document.Parse(text); err != nil {
		return f, Error.Wrap(err)
	}
	if err := f.startStandins(ctx); err != nil {
		return f, err
	}
	if err := f.putFirst(ctx, text); err != nil {
		return f, err
	}
	if err := f.writeKey(); err != nil {
		return f, err
	}
	for slot := range cfg.Hosts {
		h, err := f.startHost(ctx, slot)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, f.waitReady(ctx)
}

// startStandins starts the process of the stand-ins.
func (f *fleet) startStandins(ctx context.Context) (err error) {
	f.standins, err = startProcess(
		filepath.Join(f.dir, "standins.log"), func(line string) { f.control = line }, f.cfg.Seamdrill, "standins",
		"-document", f.deployment.Path, "-upstreams", strconv.Itoa(f.deployment.Upstreams),
		"-seed", strconv.FormatUint(f.cfg.Seed, 10),
	)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(f.control, "http://") {
		return Error.New("stand-ins of %s did not start: %q", f.deployment.Name, f.control)
	}
	return f.readOverview(ctx)
}

func (f *fleet) readOverview(ctx context.Context) error {
	var now standin.Overview
	if err := f.controlCall(ctx, http.MethodGet, "/", nil, &now); err != nil {
		return err
	}
	f.overview = now
	return nil
}

// putFirst puts the operators' document into the empty store.
func (f *fleet) putFirst(ctx context.Context, text []byte) error {
	client, err := kv.New(kv.Config{Endpoints: []string{f.overview.Store}})
	if err != nil {
		return Error.Wrap(err)
	}
	defer client.Close()
	bodies, err := document.Split(text)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = config.NewWriter(config.WriterConfig{Store: client}).Create(ctx, "drill-first", bodies, "drill")
	return Error.Wrap(err)
}

// controlCall calls the stand-ins' control address.
func (f *fleet) controlCall(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, f.control+path, strings.NewReader(string(body)))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return Error.New("%s %s: %s", method, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// say tells what happens.
func (f *fleet) say(format string, args ...any) {
	_, _ = fmt.Fprintf(f.cfg.Out, "%s %s: %s\n", time.Now().Format("15:04:05.000"), f.deployment.Name, fmt.Sprintf(format, args...))
}

// stop ends every process of the deployment.
func (f *fleet) stop() {
	f.mu.Lock()
	all := append(append([]*entryHost{}, f.hosts...), f.past...)
	f.mu.Unlock()
	for _, h := range all {
		h.signal(syscall.SIGKILL)
		_ = h.end(stopPatience) // killed on purpose
	}
	if f.standins != nil {
		f.standins.signal(syscall.SIGTERM)
		_ = f.standins.end(stopPatience) // nothing depends on how it ended
	}
	f.callers.CloseIdleConnections()
}

// carryOut does one planned action and waits until it is over.
func (f *fleet) carryOut(ctx context.Context, e Event) error {
	switch e.Action {
	case KillHost:
		return f.killHost(ctx, e)
	case PauseHost:
		return f.pauseHost(ctx, e)
	case DrainHost:
		return f.drainHost(ctx, e)
	case FailStore:
		return f.failFor(ctx, standin.NameStore, e)
	case LeaveUpstream:
		return f.leaveFor(ctx, f.upstream(e.Target), e)
	default:
		return f.failFor(ctx, f.upstream(e.Target), e)
	}
}

// upstream picks an upstream.
func (f *fleet) upstream(target uint64) string {
	all := f.overview.Upstreams
	return all[target%uint64(len(all))].Name
}

// failFor shows a fault for the event's length. The failure ends by itself, so
// that two failures of one stand-in do not end each other.
func (f *fleet) failFor(ctx context.Context, name string, e Event) error {
	shown := e.Fault
	shown.ForMS = int(e.Length.Milliseconds())
	f.say("%s: %s for %s", name, shown.Kind, e.Length.Round(time.Millisecond))
	return f.fault(ctx, name, shown)
}

func (f *fleet) fault(ctx context.Context, name string, shown fault.Fault) error {
	return f.controlCall(ctx, http.MethodPost, "/fault/"+name, shown, nil)
}

// leaveFor takes an upstream away for the event's length.
func (f *fleet) leaveFor(ctx context.Context, name string, e Event) error {
	f.say("%s: leaving for %s", name, e.Length.Round(time.Millisecond))
	if err := f.controlCall(ctx, http.MethodPost, "/leave/"+name, nil, nil); err != nil {
		return err
	}
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.controlCall(ctx, http.MethodPost, "/return/"+name, nil, nil)
}
