package live

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/examples"
	"github.com/galenaseam/galenaseam/internal/dev"
)

const (
	// engineSlots is the concurrency of each engine. It is small so that one
	// machine can load the engines beyond their capacity.
	engineSlots = 2
	// engineSlowdown multiplies the stand-ins' service times. typicalAnswer is the
	// typical time of an answer at that pace.
	engineSlowdown = 10
	typicalAnswer  = 700 * time.Millisecond

	quickDeadline = 3 * time.Second
	longDeadline  = 12 * time.Second
)

// trafficMix names the pipelines, the order operation and the workspaces that
// callers use, and the number of engines.
type trafficMix struct {
	quick, long string
	order       string
	workspaces  []string
	engines     int
}

func trafficMixOf(d dev.Deployment) trafficMix {
	if d == dev.Yardline {
		return trafficMix{
			quick: "yard-question", long: "inspection-summary", order: "bookings/extensions",
			workspaces: []string{"marabella-cranes"}, engines: 10,
		}
	}
	return trafficMix{
		quick: "stock-question", long: "safety-summary", order: "orders/refills",
		workspaces: []string{"valmiera-welding", "riga-shipyard", "daugavpils-depot"}, engines: 20,
	}
}

// overloadDocument returns the example document with fewer engine slots and
// tighter deadlines, without limits on workspaces, and without the fallback to a
// second model.
func overloadDocument(d dev.Deployment) ([]byte, error) {
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
			s.TypicalDuration = document.Duration(typicalAnswer)
			s.Fallback = nil
		}
	}
	m := trafficMixOf(d)
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
