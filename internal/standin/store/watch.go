package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// watcher is one open watch of one key.
type watcher struct {
	key    []byte
	next   Int           // the first revision that was not sent
	wakeup chan struct{} // holds one token when there may be news
	broken chan struct{}
	once   sync.Once
}

func newWatcher(key []byte, next Int) *watcher {
	return &watcher{key: key, next: next, wakeup: make(chan struct{}, 1), broken: make(chan struct{})}
}

func (w *watcher) poke() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *watcher) stop() { w.once.Do(func() { close(w.broken) }) }

// open adds a watch, or returns the oldest revision that can be watched.
func (d *data) open(key []byte, start Int) (w *watcher, compacted Int) {
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
	w.poke()
	return w, 0
}

func (d *data) closeWatch(w *watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchers, w)
}

// news returns the changes that the watch has not sent yet.
func (d *data) news(w *watcher) watchResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	resp := watchResponse{Header: header{d.revision}}
	for _, e := range d.history {
		if e.Kv.ModRevision >= w.next && bytes.Equal(e.Kv.Key, w.key) {
			resp.Events = append(resp.Events, e)
		}
	}
	w.next = max(w.next, d.revision+1)
	return resp
}

// watch serves one watch call until the caller goes or the watch breaks.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Create == nil {
		writeError(w, errBadRequest)
		return
	}
	watcher, compacted := s.data.open(req.Create.Key, req.Create.StartRevision)
	out := json.NewEncoder(w)
	if watcher == nil {
		_ = out.Encode(streamed[watchResponse]{watchResponse{Created: true, Canceled: true, CompactRevision: compacted}})
		return
	}
	defer s.data.closeWatch(watcher)
	created := watchResponse{Header: header{req.Create.StartRevision}, Created: true}
	if out.Encode(streamed[watchResponse]{created}) != nil {
		return
	}
	s.send(w, r, watcher, out)
}

// send passes changes on as they come.
func (s *Store) send(w http.ResponseWriter, r *http.Request, watcher *watcher, out *json.Encoder) {
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
		case <-watcher.wakeup:
		}
		news := s.data.news(watcher)
		if len(news.Events) == 0 {
			continue
		}
		if out.Encode(streamed[watchResponse]{news}) != nil {
			return
		}
	}
}
