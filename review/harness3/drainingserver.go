package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The streams of the case and the server that leaves.
const (
	streamEvents   = 60
	streamPause    = 80 * time.Millisecond
	streamDeadline = 10 * time.Second
	clientsPerHost = 8
	// lingerTime is how long the leaving server accepts connections beyond drain_ms.
	lingerTime = 200 * time.Millisecond
	// preemptedTime is the pause in the streams, below the gap after which clients give up: four
	// times the objective, 6.8 s.
	preemptedTime = 2500 * time.Millisecond
)

// sentStream is a stream as its client saw it.
type sentStream struct {
	id, host string
	sentAt   time.Time
	endAt    time.Time
	status   int
	events   int
	err      error
}

// streamConfig returns a configuration with one route of streams that can't be resumed.
func streamConfig() ([]byte, error) {
	return json.Marshal(map[string]any{
		"version": 1,
		"services": []map[string]any{
			{"name": modelService, "max_conns": 720, "engine": map[string]any{"concurrency": 64, "kv_capacity": 557011}},
		},
		"routes": []map[string]any{{
			"name": "answers", "host": routeHost, "prefix": answersPath, "type": "stream", "timeout_ms": 10000, "goal_ms": 1700,
			"priority": 0, "service": modelService, "max_attempts": 1, "itl_target_ms": 200, "stages": []any{}, "resumable": false,
		}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "welders", wire.TenantKeys: []string{"key-0"}}},
	})
}

// drainingServer lets a model server leave in order while it has streams, and checks whether the
// hosts cut these.
func drainingServer(r *run) (held bool, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	var models []*modelServer
	for i := range 4 {
		m := &modelServer{id: fmt.Sprintf("i-model-%d", i), zone: zones[i], events: streamEvents, eventPause: streamPause}
		if err := m.start(); err != nil {
			return false, err
		}
		defer m.listener.Close()
		if err := m.report(store, "ready"); err != nil {
			return false, err
		}
		models = append(models, m)
	}
	config, err := streamConfig()
	if err != nil {
		return false, err
	}
	store.Put(platform.ConfigKey, config)
	f, err := newFleet(r.dir, siteHosts, store.Addr().String())
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(r.ctx); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	r.record.note("%d hosts are ready", len(f.hosts))

	var number atomic.Int64
	sending, stopSending := context.WithCancel(r.ctx)
	defer stopSending()
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		sent    []sentStream
	)
	for _, h := range f.hosts {
		for i := range clientsPerHost {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
				defer client.CloseIdleConnections()
				time.Sleep(time.Duration(i) * streamEvents * streamPause / clientsPerHost)
				for sending.Err() == nil {
					s := askStream(client, h, fmt.Sprintf("%016x", number.Add(1)))
					mu.Lock()
					sent = append(sent, s)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(streamEvents * streamPause)

	// Planned work: the settings file is written again, and the machines get SIGHUP.
	for _, h := range f.hosts {
		if err := h.signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	hupAt := time.Now()
	r.record.note("all machines have got SIGHUP")
	time.Sleep(1500 * time.Millisecond)
	leaving := models[0]
	if err := leaving.report(store, "draining"); err != nil {
		return false, err
	}
	r.record.note("%s reports that it is draining", leaving.id)
	time.Sleep(drainTime + lingerTime)
	if r.trouble {
		leaving.stopAccepting()
		r.record.note("%s accepts no further connections and ends what it has", leaving.id)
	}
	leaving.preempt(preemptedTime)
	r.record.note("the streams of %s are preempted for %v", leaving.id, preemptedTime)
	time.Sleep(time.Second)
	stopSending()
	clients.Wait()
	for _, m := range models[1:] {
		recordStreams(r, sent, m.list())
	}
	return checkStreams(r, sent, leaving.list(), hupAt), nil
}

// recordStreams records streams of a server that stays.
func recordStreams(r *run, sent []sentStream, ran []modelStream) {
	bySent := make(map[string]sentStream)
	for _, s := range sent {
		bySent[s.id] = s
	}
	for _, m := range ran {
		s := bySent[m.id]
		r.record.noteAt(s.sentAt, "%s sent to %s, run by %s, which stays: the client got status %d and %d of %d events, error %v; the server sent %d",
			s.id, s.host, m.server, s.status, s.events, streamEvents, s.err, m.events)
	}
}

// checkStreams reports whether the connection of each stream that was sent around the planned work
// to the leaving server ended with a complete answer, unless the server broke it off or the
// deadline, which is the route's timeout too, was reached.
func checkStreams(r *run, sent []sentStream, ran []modelStream, hupAt time.Time) (held bool) {
	bySent := make(map[string]sentStream)
	for _, s := range sent {
		bySent[s.id] = s
	}
	held = true
	for _, m := range ran {
		s := bySent[m.id]
		aroundWork := s.sentAt.After(hupAt) && s.sentAt.Before(hupAt.Add(configApply))
		verdict := "allowed"
		if s.err != nil && m.cut && aroundWork && s.endAt.Sub(s.sentAt) < streamDeadline {
			held, verdict = false, "BROKEN: no complete answer; the server was at work, its connection was closed by the host, the deadline not reached"
		}
		r.record.noteAt(s.sentAt, "%s sent to %s, run by %s: the client got status %d and %d of %d events, ended at %.3f s, error %v; the server sent %d and ended at %.3f s; %s",
			s.id, s.host, m.server, s.status, s.events, streamEvents, r.record.since(s.endAt), s.err, m.events, r.record.since(m.endAt), verdict)
	}
	whole := 0
	for _, s := range sent {
		if s.status == http.StatusOK && s.events == streamEvents && s.err == nil {
			whole++
		}
	}
	r.record.note("%d streams were sent, %d were answered whole", len(sent), whole)
	return held
}

// askStream sends one request for a stream and reads it to its end.
func askStream(client *http.Client, h *entryHost, id string) sentStream {
	s := sentStream{id: id, host: h.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr()+answersPath+"1", strings.NewReader("question "+id))
	if err != nil {
		s.err = err
		return s
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		wire.RequestID: id, "Deadline-Ms": "10000", "Authorization": "Bearer key-0", "Model": "m", wire.Tokens: "600,180", wire.PromptParts: "91bd3f06" + id[8:] + ":600",
	} {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	if err != nil {
		s.err, s.endAt = err, time.Now()
		return s
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	s.status, s.err, s.endAt = answer.StatusCode, err, time.Now()
	s.events = bytes.Count(body, []byte("\n\n"))
	return s
}
