package drill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/operator/client"
	"github.com/galenaseam/galenaseam/problem"
)

// editsOfDeployment is how many editors race in one deployment. They share two
// sections.
const editsOfDeployment = 4

// editPause is the mean pause between two edits of one editor.
const editPause = 700 * time.Millisecond

// settlePatience bounds the repeats of an edit whose outcome is open.
const settlePatience = 60 * time.Second

// accepted is an edit that a host said is accepted.
type accepted struct {
	marker     string
	section    document.Section
	generation uint64
}

// edits keeps what editors heard. It is safe for concurrent use.
type edits struct {
	mu        sync.Mutex
	accepted  []accepted
	refused   int
	open      int
	conflicts int
}

func newEdits() *edits { return &edits{} }

func (e *edits) accept(a accepted) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, a)
}

// editor changes one section again and again: each edit adds a comment line
// with a marker of its own to the text that it read.
type editor struct {
	fleet   *fleet
	number  int
	team    string
	section document.Section
	random  *rand.Rand
	made    int
}

// startEditors starts the editors of a deployment.
func (f *fleet) startEditors(ctx context.Context, running *sync.WaitGroup) {
	for number := range editsOfDeployment {
		e := &editor{
			fleet: f, number: number, team: "billing", section: document.SectionPrices,
			random: rand.New(rand.NewPCG(f.cfg.Seed, uint64(f.index*1000+number+500))),
		}
		if number%2 == 1 {
			e.team, e.section = "customers", document.SectionLimits
		}
		running.Go(func() { e.run(ctx) })
	}
}

func (e *editor) run(ctx context.Context) {
	for sleep.For(ctx, drawTime(e.random, editPause)) == nil {
		e.edit(context.WithoutCancel(ctx))
	}
}

// client returns a client of some host.
func (e *editor) client() *client.Client {
	hosts := e.fleet.living()
	h := hosts[e.random.IntN(len(hosts))]
	return client.New(client.Config{Base: "http://" + h.operator, Key: "demo-operator-" + e.team, Timeout: callPatience})
}

// edit makes one change, and repeats it while its outcome is open.
func (e *editor) edit(ctx context.Context) {
	current, err := e.client().Config(ctx)
	if err != nil {
		return
	}
	bodies, err := document.Split([]byte(current.Text))
	if err != nil {
		return
	}
	e.made++
	marker := fmt.Sprintf("# edit-%d-%d", e.number, e.made)
	text := insert(string(bodies.Get(e.section)), e.section, marker)
	change := operator.ApplyRequest{
		OperationID: fmt.Sprintf("drill-%s-%d-%d", e.fleet.deployment.Name, e.number, e.made),
		Base:        current.Generation,
		Sections:    []operator.SectionBody{{Name: string(e.section), Body: text}},
		Reason:      marker,
	}
	e.settle(ctx, change, marker)
}

// insert puts a comment line behind the section's key. A comment behind the
// section's last line would belong to the next section.
func insert(body string, section document.Section, comment string) string {
	key := string(section) + ":\n"
	return strings.Replace(body, key, key+"  "+comment+"\n", 1)
}

// settle sends a change until its outcome is known.
func (e *editor) settle(ctx context.Context, change operator.ApplyRequest, marker string) {
	ctx, cancel := context.WithTimeout(ctx, settlePatience)
	defer cancel()
	wasOpen := false
	for {
		answer, err := e.client().Apply(ctx, change)
		if err == nil {
			e.fleet.edits.accept(accepted{marker: marker, section: e.section, generation: answer.Generation})
			return
		}
		if refused(err) && !wasOpen {
			e.fleet.edits.count(err)
			return
		}
		if isConflict(err) {
			// An earlier try, whose answer was lost, was not accepted either: an
			// accepted one is told again.
			e.fleet.edits.count(err)
			return
		}
		wasOpen = true
		if sleep.For(ctx, drawTime(e.random, resendPause)) != nil {
			e.fleet.edits.leaveOpen()
			return
		}
	}
}

// refused says whether a host surely did not accept the change.
func refused(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Ran == problem.No
}

func isConflict(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Cause == "conflict"
}

func (e *edits) count(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isConflict(err) {
		e.conflicts++
		return
	}
	e.refused++
}

func (e *edits) leaveOpen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open++
}

// lost returns the accepted edits whose markers a document does not have.
func (e *edits) lost(text string) []string {
	bodies, err := document.Split([]byte(text))
	if err != nil {
		return []string{"the document in force can't be read: " + err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var lost []string
	for _, a := range e.accepted {
		if !strings.Contains(string(bodies.Get(a.section))+"\n", a.marker+"\n") {
			lost = append(lost, fmt.Sprintf("%s of generation %d", a.marker, a.generation))
		}
	}
	return lost
}

// newest returns the newest accepted generation and the number of edits.
func (e *edits) newest() (generation uint64, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accepted {
		generation = max(generation, a.generation)
	}
	return generation, len(e.accepted)
}
