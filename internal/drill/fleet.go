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
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/store"
)

// Timeouts for starting and stopping processes and for calls to them.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	callTimeout  = 5 * time.Second
)

// fleet is one running deployment: its stand-ins, hosts, callers and editors.
type fleet struct {
	cfg        Config
	index      int
	deployment Deployment
	doc        *document.Document
	dir        string
	controlURL string
	overview   standin.Overview
	standins   *process
	callers    *http.Client
	ledger     *ledger
	edits      *edits
	reversals  generationReversals
	// converged reports whether all hosts agreed on the document after the load,
	// and convergence how long that took.
	converged   bool
	convergence time.Duration
	// storeBefore and storeAfter are the store's call counts at the start and the
	// end of the load, which lasted loadDuration.
	storeBefore  store.Counts
	storeAfter   store.Counts
	loadDuration time.Duration

	mu           sync.Mutex
	hosts        []*entryHost // the current host of each slot
	replaced     []*entryHost // former hosts, ended or ending
	pauseEnds    []time.Time  // when paused hosts were resumed
	hostsStarted int
	reservations []*ports.Reservation // the ports of all hosts
}

// readDocument reads the operators' document. It writes a built-in example to a
// file, because the stand-ins read the document from a file.
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

// startFleet starts a deployment and waits until its hosts are ready. It returns
// the fleet also with an error, so that its processes can be stopped.
func startFleet(ctx context.Context, cfg Config, index int, d Deployment) (*fleet, error) {
	f := &fleet{
		cfg: cfg, index: index, deployment: d, dir: filepath.Join(cfg.Dir, d.Name),
		callers: newCallerClient(), ledger: newLedger(), edits: newEdits(),
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
	if err := f.createDocument(ctx, text); err != nil {
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

// startStandins starts the process that runs the stand-ins.
func (f *fleet) startStandins(ctx context.Context) (err error) {
	f.standins, err = startProcess(
		filepath.Join(f.dir, "standins.log"), func(line string) { f.controlURL = line }, f.cfg.Seamdrill, "standins",
		"-document", f.deployment.Path, "-upstreams", strconv.Itoa(f.deployment.Upstreams),
		"-seed", strconv.FormatUint(f.cfg.Seed, 10),
	)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(f.controlURL, "http://") {
		return Error.New("stand-ins of %s did not start: %q", f.deployment.Name, f.controlURL)
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

// createDocument writes the operators' document into the empty store.
func (f *fleet) createDocument(ctx context.Context, text []byte) error {
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

// controlCall sends a request to the stand-ins' control API.
func (f *fleet) controlCall(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, f.controlURL+path, strings.NewReader(string(body)))
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

// logf writes a line to the drill's log.
func (f *fleet) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(f.cfg.Out, "%s %s: %s\n", time.Now().Format("15:04:05.000"), f.deployment.Name, fmt.Sprintf(format, args...))
}

// stop ends every process of the deployment.
func (f *fleet) stop() {
	f.mu.Lock()
	all := append(append([]*entryHost{}, f.hosts...), f.replaced...)
	f.mu.Unlock()
	for _, h := range all {
		h.signal(syscall.SIGKILL)
		_ = h.waitOrKill(stopTimeout) // the exit status of a killed process does not matter
	}
	if f.standins != nil {
		f.standins.signal(syscall.SIGTERM)
		_ = f.standins.waitOrKill(stopTimeout) // its exit status does not matter
	}
	f.callers.CloseIdleConnections()
	for _, r := range f.reservations {
		_ = r.Release() // the reservation ends with the process at the latest
	}
}

// execute performs one planned event and waits until it is over.
func (f *fleet) execute(ctx context.Context, e Event) error {
	switch e.Action {
	case KillHost:
		return f.killHost(ctx, e)
	case PauseHost:
		return f.pauseHost(ctx, e)
	case DrainHost:
		return f.drainHost(ctx, e)
	case FailStore:
		return f.injectFault(ctx, standin.NameStore, e)
	case LeaveUpstream:
		return f.withdrawUpstream(ctx, f.upstream(e.Target), e)
	default:
		return f.injectFault(ctx, f.upstream(e.Target), e)
	}
}

// upstream returns the name of the upstream that target selects.
func (f *fleet) upstream(target uint64) string {
	all := f.overview.Upstreams
	return all[target%uint64(len(all))].Name
}

// injectFault injects the event's fault for the event's length. The stand-in clears
// the fault by itself after that time, so that the end of one fault does not end
// another fault of the same stand-in early.
func (f *fleet) injectFault(ctx context.Context, name string, e Event) error {
	injected := e.Fault
	injected.ForMS = int(e.Length.Milliseconds())
	f.logf("%s: %s for %s", name, injected.Kind, e.Length.Round(time.Millisecond))
	return f.postFault(ctx, name, injected)
}

func (f *fleet) postFault(ctx context.Context, name string, injected fault.Fault) error {
	return f.controlCall(ctx, http.MethodPost, "/fault/"+name, injected, nil)
}

// withdrawUpstream makes an upstream leave for the event's length.
func (f *fleet) withdrawUpstream(ctx context.Context, name string, e Event) error {
	f.logf("%s: leaving for %s", name, e.Length.Round(time.Millisecond))
	if err := f.controlCall(ctx, http.MethodPost, "/leave/"+name, nil, nil); err != nil {
		return err
	}
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.controlCall(ctx, http.MethodPost, "/return/"+name, nil, nil)
}
