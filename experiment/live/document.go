package live

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/examples"
	"github.com/galenaseam/galenaseam/internal/dev"
)

const (
	// engineSlots is the engines' concurrency, small so that one machine can
	// drive them over capacity.
	engineSlots = 2
	// pace stretches the stand-ins' times, and typicalAnswer is what an answer
	// then takes.
	pace          = 10
	typicalAnswer = 700 * time.Millisecond

	quickDeadline = 3 * time.Second
	longDeadline  = 12 * time.Second
)

// mix is what callers ask for.
type mix struct {
	quick, long string
	order       string
	workspaces  []string
	engines     int
}

func mixOf(d dev.Deployment) mix {
	if d == dev.Yardline {
		return mix{
			quick: "yard-question", long: "inspection-summary", order: "bookings/extensions",
			workspaces: []string{"marabella-cranes"}, engines: 10,
		}
	}
	return mix{
		quick: "stock-question", long: "safety-summary", order: "orders/refills",
		workspaces: []string{"valmiera-welding", "riga-shipyard", "daugavpils-depot"}, engines: 20,
	}
}

// documentOf is the example document with fewer slots, tighter deadlines, no
// limits on workspaces, and no second model to fall back to.
func documentOf(d dev.Deployment) ([]byte, error) {
	text, err := examples.Document(string(d))
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	changed := *doc
	changed.Limits = nil
	changed.Pools = append([]document.Pool(nil), doc.Pools...)
	changed.Stages = append([]document.Stage(nil), doc.Stages...)
	changed.Pipelines = append([]document.Pipeline(nil), doc.Pipelines...)
	for i := range changed.Pools {
		if changed.Pools[i].Kind == document.KindGenerate {
			changed.Pools[i].Concurrency = engineSlots
		}
	}
	for i := range changed.Stages {
		if s := &changed.Stages[i]; s.Kind == document.KindGenerate {
			s.Typical = document.Duration(typicalAnswer)
			s.Fallback = nil
		}
	}
	m := mixOf(d)
	for i := range changed.Pipelines {
		switch p := &changed.Pipelines[i]; p.Name {
		case m.quick:
			p.Deadline = document.Duration(quickDeadline)
		case m.long:
			p.Deadline = document.Duration(longDeadline)
		}
	}
	return yaml.Marshal(&changed)
}
