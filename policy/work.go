package policy

import "time"

// work is the expected time on an upstream of admitted requests whose calls
// have not started, by priority and workspace.
type work struct {
	byPriority  map[int]time.Duration
	byWorkspace map[string]*owed
	// shares is the sum of the shares of the workspaces with work.
	shares float64
}

// owed is the work of one workspace.
type owed struct {
	time  time.Duration
	calls int
	share float64
}

func newWork() work {
	return work{byPriority: make(map[int]time.Duration), byWorkspace: make(map[string]*owed)}
}

func (w *work) add(r *Request, d time.Duration) {
	w.byPriority[r.Class.Priority] += d
	o := w.byWorkspace[r.Workspace]
	if o == nil {
		o = &owed{share: r.share()}
		w.byWorkspace[r.Workspace] = o
		w.shares += o.share
	}
	o.time += d
	o.calls++
}

func (w *work) sub(r *Request, d time.Duration) {
	w.byPriority[r.Class.Priority] -= d
	o := w.byWorkspace[r.Workspace]
	o.time -= d
	o.calls--
	if o.calls == 0 {
		delete(w.byWorkspace, r.Workspace)
		w.shares -= o.share
	}
}

// ahead returns the work that goes before a new request of the priority.
func (w *work) ahead(priority int) time.Duration {
	var sum time.Duration
	for other, d := range w.byPriority {
		if other >= priority {
			sum += d
		}
	}
	return sum
}

// fairPart returns a workspace's own work and its part of the pool while the
// others stay active.
func (w *work) fairPart(workspace string, share float64) (own time.Duration, part float64) {
	o := w.byWorkspace[workspace]
	if o == nil {
		return 0, share / (w.shares + share)
	}
	return o.time, o.share / w.shares
}
