package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// watcher is one open watch of one key.
type watcher struct {
	key          []byte
	nextRevision Int           // the first revision that was not sent yet
	notified     chan struct{} // holds one token when there may be pending events
	broken       chan struct{}
	once         sync.Once
}

func newWatcher(key []byte, nextRevision Int) *watcher {
	return &watcher{key: key, nextRevision: nextRevision, notified: make(chan struct{}, 1), broken: make(chan struct{})}
}

func (w *watcher) notify() {
	select {
	case w.notified <- struct{}{}:
	default:
	}
}

func (w *watcher) stop() { w.once.Do(func() { close(w.broken) }) }

// openWatch adds a watch of key that begins with revision start, or with the
// next one if start is 0. If start is compacted, it returns nil and the newest
// compacted revision.
func (d *data) openWatch(key []byte, start Int) (w *watcher, compacted Int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if start == 0 {
		start = d.revision + 1
	}
	if start <= d.compacted {
		return nil, d.compacted
	}
	w = newWatcher(key, start)
	d.watchers[w] = struct{}{}
	w.notify()
	return w, 0
}

func (d *data) closeWatch(w *watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchers, w)
}

// pendingEvents returns the events that the watch has not sent yet. The next
// call returns only later ones.
func (d *data) pendingEvents(w *watcher) watchResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	resp := watchResponse{Header: header{d.revision}}
	for _, e := range d.history {
		if e.Kv.ModRevision >= w.nextRevision && bytes.Equal(e.Kv.Key, w.key) {
			resp.Events = append(resp.Events, e)
		}
	}
	w.nextRevision = max(w.nextRevision, d.revision+1)
	return resp
}

// watch serves one watch call until the caller disconnects or the watch is
// broken.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Create == nil {
		writeError(w, errBadRequest)
		return
	}
	watcher, compacted := s.data.openWatch(req.Create.Key, req.Create.StartRevision)
	out := json.NewEncoder(w)
	if watcher == nil {
		_ = out.Encode(streamResult[watchResponse]{watchResponse{Created: true, Canceled: true, CompactRevision: compacted}})
		return
	}
	defer s.data.closeWatch(watcher)
	created := watchResponse{Header: header{req.Create.StartRevision}, Created: true}
	if out.Encode(streamResult[watchResponse]{created}) != nil {
		return
	}
	s.forwardEvents(w, r, watcher, out)
}

// forwardEvents sends events to the caller as they occur.
func (s *Store) forwardEvents(w http.ResponseWriter, r *http.Request, watcher *watcher, out *json.Encoder) {
	control := http.NewResponseController(w)
	for {
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-watcher.broken:
			panic(http.ErrAbortHandler)
		case <-watcher.notified:
		}
		pending := s.data.pendingEvents(watcher)
		if len(pending.Events) == 0 {
			continue
		}
		if out.Encode(streamResult[watchResponse]{pending}) != nil {
			return
		}
	}
}
