package policy

import "time"

// committedWork is the expected upstream time of admitted requests whose calls
// have not started, by priority and by workspace.
type committedWork struct {
	byPriority  map[int]time.Duration
	byWorkspace map[string]*workspaceWork
	// shares is the sum of the shares of all workspaces that have work.
	shares float64
}

// workspaceWork is the committed work of one workspace.
type workspaceWork struct {
	time  time.Duration
	calls int
	share float64
}

func newCommittedWork() committedWork {
	return committedWork{byPriority: make(map[int]time.Duration), byWorkspace: make(map[string]*workspaceWork)}
}

func (w *committedWork) add(r *Request, d time.Duration) {
	w.byPriority[r.Class.Priority] += d
	work := w.byWorkspace[r.Workspace]
	if work == nil {
		work = &workspaceWork{share: r.share()}
		w.byWorkspace[r.Workspace] = work
		w.shares += work.share
	}
	work.time += d
	work.calls++
}

func (w *committedWork) remove(r *Request, d time.Duration) {
	w.byPriority[r.Class.Priority] -= d
	work := w.byWorkspace[r.Workspace]
	work.time -= d
	work.calls--
	if work.calls == 0 {
		delete(w.byWorkspace, r.Workspace)
		w.shares -= work.share
	}
}

// aheadOf returns the work that runs before a new request of the priority.
func (w *committedWork) aheadOf(priority int) time.Duration {
	var sum time.Duration
	for other, d := range w.byPriority {
		if other >= priority {
			sum += d
		}
	}
	return sum
}

// fairShare returns a workspace's own work and its share of the pool among the
// workspaces that have work.
func (w *committedWork) fairShare(workspace string, share float64) (own time.Duration, part float64) {
	work := w.byWorkspace[workspace]
	if work == nil {
		return 0, share / (w.shares + share)
	}
	return work.time, work.share / w.shares
}
