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

// editorsPerDeployment is the number of concurrent editors of a deployment. They
// share two sections, so that their edits conflict.
const editorsPerDeployment = 4

// editPause is the mean pause between two edits of one editor.
const editPause = 700 * time.Millisecond

// editTimeout limits how long an editor repeats an edit whose outcome is unknown.
const editTimeout = 60 * time.Second

// acceptedEdit is an edit that a host reported as accepted.
type acceptedEdit struct {
	marker     string
	section    document.Section
	generation uint64
}

// edits records the outcomes of edits. It is safe for concurrent use.
type edits struct {
	mu        sync.Mutex
	accepted  []acceptedEdit
	refused   int
	unknown   int
	conflicts int
}

func newEdits() *edits { return &edits{} }

func (e *edits) addAccepted(a acceptedEdit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, a)
}

// editor changes one section repeatedly: each edit adds a comment line with a
// unique marker to the text that the editor read.
type editor struct {
	fleet     *fleet
	number    int
	team      string
	section   document.Section
	random    *rand.Rand
	editCount int
}

// startEditors starts the editors of a deployment.
func (f *fleet) startEditors(ctx context.Context, group *sync.WaitGroup) {
	for number := range editorsPerDeployment {
		e := &editor{
			fleet: f, number: number, team: "billing", section: document.SectionPrices,
			random: rand.New(rand.NewPCG(f.cfg.Seed, uint64(f.index*1000+number+500))),
		}
		if number%2 == 1 {
			e.team, e.section = "customers", document.SectionLimits
		}
		group.Go(func() { e.run(ctx) })
	}
}

func (e *editor) run(ctx context.Context) {
	for sleep.For(ctx, randomDuration(e.random, editPause)) == nil {
		e.edit(context.WithoutCancel(ctx))
	}
}

// client returns a client of a random host.
func (e *editor) client() *client.Client {
	hosts := e.fleet.currentHosts()
	h := hosts[e.random.IntN(len(hosts))]
	return client.New(client.Config{BaseURL: "http://" + h.operator, OperatorKey: "demo-operator-" + e.team, Timeout: callTimeout})
}

// edit makes one change and repeats it while its outcome is unknown.
func (e *editor) edit(ctx context.Context) {
	current, err := e.client().Config(ctx)
	if err != nil {
		return
	}
	bodies, err := document.Split([]byte(current.Text))
	if err != nil {
		return
	}
	e.editCount++
	marker := fmt.Sprintf("# edit-%d-%d", e.number, e.editCount)
	text := insertComment(string(bodies.Get(e.section)), e.section, marker)
	change := operator.ApplyRequest{
		OperationID: fmt.Sprintf("drill-%s-%d-%d", e.fleet.deployment.Name, e.number, e.editCount),
		Base:        current.Generation,
		Sections:    []operator.SectionBody{{Name: string(e.section), Body: text}},
		Reason:      marker,
	}
	e.applyUntilKnown(ctx, change, marker)
}

// insertComment inserts a comment line after the section's key. After the
// section's last line, the comment would belong to the next section.
func insertComment(body string, section document.Section, comment string) string {
	key := string(section) + ":\n"
	return strings.Replace(body, key, key+"  "+comment+"\n", 1)
}

// applyUntilKnown sends a change until its outcome is known or the editor gives
// up.
func (e *editor) applyUntilKnown(ctx context.Context, change operator.ApplyRequest, marker string) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	wasUnknown := false
	for {
		answer, err := e.client().Apply(ctx, change)
		if err == nil {
			e.fleet.edits.addAccepted(acceptedEdit{marker: marker, section: e.section, generation: answer.Generation})
			return
		}
		if isRefused(err) && !wasUnknown {
			e.fleet.edits.countRejected(err)
			return
		}
		if isConflict(err) {
			// An earlier attempt whose answer was lost was not accepted either:
			// repeating an accepted change returns its first answer.
			e.fleet.edits.countRejected(err)
			return
		}
		wasUnknown = true
		if sleep.For(ctx, randomDuration(e.random, resendPause)) != nil {
			e.fleet.edits.countUnknown()
			return
		}
	}
}

// isRefused reports whether the host confirmed that it did not accept the change.
func isRefused(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Ran == problem.No
}

func isConflict(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Cause == "conflict"
}

func (e *edits) countRejected(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isConflict(err) {
		e.conflicts++
		return
	}
	e.refused++
}

func (e *edits) countUnknown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unknown++
}

// findLost returns the accepted edits whose markers are missing from the document.
func (e *edits) findLost(text string) []string {
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

// newestAccepted returns the highest accepted generation and the number of
// accepted edits.
func (e *edits) newestAccepted() (generation uint64, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accepted {
		generation = max(generation, a.generation)
	}
	return generation, len(e.accepted)
}
