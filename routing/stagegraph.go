package routing

import "slices"

// StageGraph says which stages of a route read the results of which others. It has no cycles
// and is immutable.
type StageGraph struct {
	stages []Stage
	// inputs are, by stage, the distinct stages whose results it reads, in the order of the
	// configuration; readers are the stages that read its results.
	inputs, readers [][]int
	order           []int
}

// NewStageGraph returns the graph of a route's stages. An input that a stage lists twice counts
// once. The error names the stage that reads results of a stage that does not exist, or that
// reads its own results directly or through other stages.
func NewStageGraph(stages []Stage) (*StageGraph, error) {
	g := &StageGraph{stages: stages, inputs: make([][]int, len(stages)), readers: make([][]int, len(stages))}
	for i, s := range stages {
		for _, input := range s.DependsOn {
			if input < 0 || input >= len(stages) {
				return nil, Error.New("stage %d comes after stage %d, the route has stages 0 to %d", i, input, len(stages)-1)
			}
			if !slices.Contains(g.inputs[i], input) {
				g.inputs[i] = append(g.inputs[i], input)
				g.readers[input] = append(g.readers[input], i)
			}
		}
	}
	return g, g.sort()
}

// sort computes the order. It fails if there is a cycle.
func (g *StageGraph) sort() error {
	missing := make([]int, len(g.stages)) // inputs that are not in the order yet
	for i, inputs := range g.inputs {
		missing[i] = len(inputs)
		if len(inputs) == 0 {
			g.order = append(g.order, i)
		}
	}
	for next := 0; next < len(g.order); next++ {
		for _, reader := range g.readers[g.order[next]] {
			if missing[reader]--; missing[reader] == 0 {
				g.order = append(g.order, reader)
			}
		}
	}
	for i := range g.stages {
		if missing[i] > 0 {
			return Error.New("stage %d comes after itself or after a cycle of stages", i)
		}
	}
	return nil
}

// Stages returns the stages by their number. The caller must not change them.
func (g *StageGraph) Stages() []Stage { return g.stages }

// Inputs returns the distinct stages whose results a stage reads. The caller must not change
// them.
func (g *StageGraph) Inputs(stage int) []int { return g.inputs[stage] }

// Readers returns the distinct stages that read a stage's results. The caller must not change
// them.
func (g *StageGraph) Readers(stage int) []int { return g.readers[stage] }

// IsLast reports whether no other stage reads a stage's results. The request itself does then.
func (g *StageGraph) IsLast(stage int) bool { return len(g.readers[stage]) == 0 }

// Order returns the stages in an order in which each comes after its inputs. The caller must
// not change it.
func (g *StageGraph) Order() []int { return g.order }

// StageGraph returns the graph of a route of the table; nil if it has no stages. It fails if
// the configuration describes stages that no request can run.
func (t *Table) StageGraph(r *Route) (*StageGraph, error) {
	return t.stageGraphs[r].graph, t.stageGraphs[r].err
}

// InvalidRoute is a route that can't be served, with the reason.
type InvalidRoute struct {
	Name string
	Err  error
}

// InvalidRoutes returns the routes whose StageGraph fails, in the order of the configuration.
func (t *Table) InvalidRoutes() (all []InvalidRoute) {
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if _, err := t.StageGraph(r); err != nil {
			all = append(all, InvalidRoute{Name: r.Name, Err: err})
		}
	}
	return all
}

// tableStageGraph is the result of Table.StageGraph.
type tableStageGraph struct {
	graph *StageGraph
	err   error
}

// indexStageGraphs builds the graphs of the routes with stages.
func (t *Table) indexStageGraphs() {
	t.stageGraphs = make(map[*Route]tableStageGraph)
	descriptions := make(map[string]int)
	for i := range t.config.Services {
		descriptions[t.config.Services[i].Name]++
	}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if len(r.Stages) == 0 {
			continue
		}
		graph, err := NewStageGraph(r.Stages)
		if err == nil {
			err = t.checkStageServices(r.Stages, descriptions)
		}
		if err != nil {
			graph = nil
		}
		t.stageGraphs[r] = tableStageGraph{graph, err}
	}
}

// checkStageServices returns an error if the service of a stage can't run it. descriptions is how
// often the configuration describes each service.
func (t *Table) checkStageServices(stages []Stage, descriptions map[string]int) error {
	for i, s := range stages {
		service, known := t.services[s.Service]
		switch {
		case !known:
			return Error.New("service %q of stage %d is not in the configuration", s.Service, i)
		case descriptions[s.Service] > 1:
			return Error.New("service %q of stage %d is described twice", s.Service, i)
		case service.Stages == nil:
			return Error.New("service %q of stage %d runs no stages", s.Service, i)
		case s.ResultBytes > service.Stages.UsableResultMemory():
			return Error.New("a result of stage %d has %d bytes, servers of %q take at most %d",
				i, s.ResultBytes, s.Service, service.Stages.UsableResultMemory())
		}
	}
	return nil
}
