package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Bounds of the site that the case needs.
const (
	retryRatio  = 0.2
	retrySlack  = 104
	retryWindow = 10 * time.Second
)

// The service, and the requests for it.
const (
	stormServers  = 4
	stormWork     = 600 * time.Millisecond
	usualInterval = time.Second / 6
	burstInterval = usualInterval * 10 / 26 // 2.6 times as often
	usualTime     = 12 * time.Second
	burstTime     = 12 * time.Second
	killAfter     = 4 * time.Second // since the burst has begun
	restartDelay  = 500 * time.Millisecond
	stormDeadline = 3 * time.Second
)

// sentRequests are the client attempts that were sent. It is safe for concurrent use.
type sentRequests struct {
	mu sync.Mutex // guards at
	at []time.Time
}

func (s *sentRequests) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = append(s.at, at)
}

// retryStorm kills all hosts at once while a service is overloaded, and counts the repeats that
// reach it.
func retryStorm(r *run) (held bool, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	reached := &arrivals{}
	for i := range stormServers {
		s := &slotServer{id: fmt.Sprintf("i-orders-%d", i), service: "orders", zone: zones[i%len(zones)], work: stormWork, arrivals: reached}
		if err := s.start(store, 1, 2); err != nil {
			return false, err
		}
		defer s.close()
	}
	store.Configure(1, []platformtest.Route{{Prefix: "/orders/", Type: "unsafe", Service: "orders"}}, []string{"key-0"})
	f, err := newFleet(r.dir, siteHosts, store.Addr().String())
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(r.ctx); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	r.record.note("%d hosts are ready", len(f.hosts))

	sent, clients := &sentRequests{}, &sync.WaitGroup{}
	var number atomic.Int64
	burstAt := time.Now().Add(usualTime)
	clients.Go(func() {
		for now := time.Now(); now.Before(burstAt.Add(burstTime)); now = time.Now() {
			h := f.hosts[int(number.Add(1))%len(f.hosts)]
			clients.Go(func() { ask(r, h, sent, &number) })
			interval := usualInterval
			if now.After(burstAt) {
				interval = burstInterval
			}
			time.Sleep(interval)
		}
	})
	time.Sleep(time.Until(burstAt))
	r.record.note("many users come at once: 2.6 times as many requests")
	if r.trouble {
		time.Sleep(killAfter)
		if err := killAll(r, f); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return checkRepeats(r, reached.list(), sent.at), nil
}

// killAll kills all processes at once and starts them again.
func killAll(r *run, f *fleet) error {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(h.kill)
	}
	wg.Wait()
	r.record.note("all processes of the system were killed")
	time.Sleep(restartDelay)
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	r.record.note("all processes were started again")
	return nil
}

// ask sends one request. It is sent once more, at another host, if it was refused.
func ask(r *run, h *entryHost, sent *sentRequests, number *atomic.Int64) {
	deadline := time.Now().Add(stormDeadline)
	for range 2 {
		id := fmt.Sprintf("%016x", number.Add(1))
		status, pause := askOnce(r, h, sent, id, time.Until(deadline))
		if status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(min(pause, time.Until(deadline)/3))
	}
}

// askOnce makes one client attempt on a new connection.
func askOnce(r *run, h *entryHost, sent *sentRequests, id string, left time.Duration) (status int, pause time.Duration) {
	client := &http.Client{Timeout: left, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddr()+"/orders/1", nil)
	if err != nil {
		return 0, 0
	}
	request.Host = platformtest.Host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-0")
	at := time.Now()
	sent.add(at)
	answer, err := client.Do(request)
	if err != nil {
		r.record.noteAt(at, "%s sent to %s: %v", id, h.name, err)
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	r.record.noteAt(at, "%s sent to %s: status %d after %d ms", id, h.name, answer.StatusCode, time.Since(at).Milliseconds())
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	return answer.StatusCode, time.Duration(seconds * float64(time.Second))
}

// checkRepeats reports whether the repeats in each window are within the bound.
func checkRepeats(r *run, reached []arrival, sent []time.Time) (held bool) {
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range reached {
		again := ""
		if seen[a.id] {
			repeats = append(repeats, a.at)
			again = ", a repeat"
		}
		seen[a.id] = true
		r.record.noteAt(a.at, "%s reaches %s, runs: %t%s", a.id, a.server, a.ran, again)
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeats, time.Time.Compare)
	held = true
	worst, worstBound, worstAt := 0, 0.0, time.Time{}
	for _, until := range repeats {
		from := until.Add(-retryWindow)
		n := countWithin(repeats, from, until)
		requests := 0
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countWithin(sent, from.Add(-shift), until.Add(-shift)))
		}
		bound := retryRatio*float64(requests) + retrySlack
		if float64(n)-bound > float64(worst)-worstBound || worst == 0 {
			worst, worstBound, worstAt = n, bound, until
		}
		held = held && float64(n) <= bound
	}
	r.record.note("worst window: the 10 s up to %.3f s, with %d repeats; allowed are %.1f", r.record.since(worstAt), worst, worstBound)
	return held
}

// countWithin counts the times after from and up to until.
func countWithin(times []time.Time, from, until time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(until) {
			n++
		}
	}
	return n
}
