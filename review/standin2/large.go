package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func init() { cases["large"] = playLarge }

// Figures of the case "large".
const (
	largeHosts  = 4
	unreadable  = 16      // entries of another writer
	valueBytes  = 1 << 20 // the largest value that the store takes, as the settings say
	pageBytes   = 1 << 20 // of a range
	settled     = 1500 * time.Millisecond
	watchedTime = 12 * time.Second // after the acknowledgement; the store keeps its history for 20 s
	keyCheckGap = 250 * time.Millisecond
)

// pagedStore serves the calls of hosts. It cuts the pages of a range as the platform's store does,
// which the stand-in behind it does by their number only.
type pagedStore struct{ *door }

// ServeHTTP passes a call on to the store.
func (p pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "-range") {
		p.door.ServeHTTP(w, r)
		return
	}
	whole := httptest.NewRecorder()
	p.door.ServeHTTP(whole, r)
	var page struct {
		Items     []json.RawMessage `json:"items"`
		Truncated bool              `json:"truncated"`
		AsOf      int64             `json:"as_of"`
	}
	if err := json.Unmarshal(whole.Body.Bytes(), &page); err != nil || whole.Code != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := 0
	for i, item := range page.Items {
		if size += len(item); i > 0 && size > pageBytes {
			page.Items, page.Truncated = page.Items[:i], true
			break
		}
	}
	for name, values := range whole.Header() {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")    // the page may be shorter now
	_ = json.NewEncoder(w).Encode(page) // if it fails, the host has left
}

// writeUnreadable writes entries that can't be read, as another writer may. Without trouble they are as
// many and small.
func writeUnreadable(e *environment, store *platformtest.Store) {
	size := valueBytes
	if !e.trouble {
		size = 1 << 10
	}
	for i := range unreadable {
		store.Put(fmt.Sprintf("servers/unreadable-%d", i), bytes.Repeat([]byte{0xff}, size))
	}
	e.note("another writer has written %d entries of %d bytes that can't be read", unreadable, size)
}

// playLarge has another writer write large entries, takes a key away, and counts the requests with
// that key that run too late.
func playLarge(e *environment) (broken int, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	service := newPlainService("noma-kodols", 15*time.Millisecond, time.Second, store, e.note)
	defer service.stop()
	for _, zone := range zones {
		if err := service.start(zone); err != nil {
			return 0, err
		}
	}
	store.Put(platform.ConfigKey, movedConfig(3, apiKey, takenKey))
	paged, err := newDoor(store.Addr().String())
	if err != nil {
		return 0, err
	}
	paged.server.Handler = pagedStore{paged}
	defer func() { _ = paged.server.Close() }()
	hosts, err := newFleet(e.command, e.dir, paged.addr(), largeHosts)
	if err != nil {
		return 0, err
	}
	defer hosts.stop()
	if err := hosts.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow + time.Second)
	writeUnreadable(e, store)
	time.Sleep(settled)
	store.Put(platform.ConfigKey, movedConfig(7, apiKey))
	return useAfter(e, hosts, service, time.Now())
}

// useAfter sends requests with the key that was taken away to all hosts, and others beside them. It
// returns how many of the former ran though they were sent too late.
func useAfter(e *environment, hosts *fleet, service *plainService, acknowledged time.Time) (broken int, err error) {
	e.note("version 7, without the key, is acknowledged")
	late := make(map[string]bool)
	for n := 0; time.Since(acknowledged) < watchedTime; n++ {
		time.Sleep(keyCheckGap)
		h := hosts.hosts[n%len(hosts.hosts)]
		id, sent := fmt.Sprintf("taken-%d", n), time.Now()
		a := send(h, "/bobo563/2f", id, "book "+id, time.Second, http.Header{"Authorization": {"Bearer " + takenKey}})
		other := send(h, "/bobo563/2f", fmt.Sprintf("other-%d", n), "book other", time.Second, nil)
		after := sent.Sub(acknowledged)
		e.note("%s with the key, sent %d ms after the acknowledgement to %s: %d; with another key: %d", id, after.Milliseconds(), h.name, a.status, other.status)
		if after > configApply {
			late[id] = true
		}
	}
	for _, a := range service.recorded() {
		if late[a.request] {
			broken++
			e.note("%s ran at %s", a.request, a.server)
		}
	}
	if len(late) == 0 {
		return 0, fmt.Errorf("no request was sent late enough")
	}
	return broken, nil
}
