package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func init() { cases["crash"] = playCrash }

// Figures of the case "crash": those of the small deployment and its service hire-api.
const (
	crashHosts    = 12
	crashServers  = 4
	crashBack     = 2 * time.Second // until a crashed server is replaced
	crashPause    = 700 * time.Millisecond
	bookingWork   = 60 * time.Millisecond
	bookingPause  = 30 * time.Millisecond
	crashDeadline = 3 * time.Second
	stableWindow  = 3 * time.Second
	// rollGap is the time between two stops, and graceEnd when a stopped process is killed.
	rollGap  = 1300 * time.Millisecond
	graceEnd = graceS * time.Second
	rolls    = 4
	// betweenRolls is the time before, between and after the rolls.
	betweenRolls = 3 * time.Second
	// allowedRetries is how often the request may reach servers once it has crashed three and
	// the stable window has passed.
	allowedRetries = 3
	crashesKnown   = 3
)

// touch knows when each host was last disrupted.
type touch struct {
	mu   sync.Mutex // guards last
	last map[*hostProcess]time.Time
}

func (t *touch) disrupt(h *hostProcess) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[h] = time.Now()
}

// isIn reports whether a host is in touch: for the whole stable window it had no signal and no start.
func (t *touch) isIn(h *hostProcess, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last[h]) > stableWindow
}

// crashCase is the state of the case.
type crashCase struct {
	*environment
	hosts   *fleet
	service *plainService
	touch   touch

	mu       sync.Mutex // guards the fields below
	sentVia  map[string]*hostProcess
	sentAt   map[string]time.Time
	bookings map[int]int // answers to the other bookings, by status
}

// playCrash sends a request that crashes the servers that run it again and again, through hosts in
// touch, while the hosts are stopped and started in turn.
func playCrash(e *environment) (broken int, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	c := &crashCase{
		environment: e, service: newPlainService("hire-api", bookingWork, crashBack, store, e.note),
		touch:   touch{last: make(map[*hostProcess]time.Time)},
		sentVia: make(map[string]*hostProcess), sentAt: make(map[string]time.Time), bookings: make(map[int]int),
	}
	defer c.service.stop()
	for i := range crashServers {
		if err := c.service.start(zones[i%len(zones)]); err != nil {
			return 0, err
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "booking-commit", "host": routeHost, "prefix": "/bobo563/", "type": "unsafe", "timeout_ms": 1500, "goal_ms": 300, "priority": 2,
			"service": "hire-api", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "hire-api", "max_conns": 192}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", wire().TenantKeys: []string{apiKey}}},
	})
	if err != nil {
		return 0, err
	}
	store.Put(platform.ConfigKey, config)
	if c.hosts, err = newFleet(e.command, e.dir, store.Addr().String(), crashHosts); err != nil {
		return 0, err
	}
	defer c.hosts.stop()
	if err := c.hosts.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	c.play()
	return c.judge()
}

// play sends the requests while the hosts are stopped in turn.
func (c *crashCase) play() {
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { c.sendCrashing(done) })
	senders.Go(func() { c.sendBookings(done) })
	time.Sleep(betweenRolls)
	for range rolls {
		if c.trouble {
			c.roll()
		}
		time.Sleep(betweenRolls)
	}
	close(done)
	senders.Wait()
}

// roll stops and starts the hosts in turn.
func (c *crashCase) roll() {
	var stops sync.WaitGroup
	for _, h := range c.hosts.hosts {
		stops.Go(func() { c.restart(h) })
		time.Sleep(rollGap)
	}
	stops.Wait()
}

// restart stops a host as the platform does, and starts it again.
func (c *crashCase) restart(h *hostProcess) {
	c.touch.disrupt(h)
	c.note("SIGTERM to %s", h.name)
	exited := h.done()
	if err := h.signal(syscall.SIGTERM); err != nil {
		c.note("%s could not be signalled: %v", h.name, err)
	}
	select {
	case <-exited:
	case <-time.After(graceEnd):
		_ = h.signal(syscall.SIGKILL) // it may have ended
		<-exited
	}
	c.touch.disrupt(h)
	if err := c.hosts.launch(h); err != nil {
		c.note("%s could not be started: %v", h.name, err)
		return
	}
	c.note("%s starts again", h.name)
}

// pickInTouch returns a random host in touch that is ready, nil if there is none.
func (c *crashCase) pickInTouch() *hostProcess {
	for _, i := range rand.Perm(len(c.hosts.hosts)) {
		if h := c.hosts.hosts[i]; c.touch.isIn(h, time.Now()) && h.isReady() {
			return h
		}
	}
	return nil
}

// sendCrashing sends the crashing request again and again.
func (c *crashCase) sendCrashing(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(crashPause):
		}
		h, id := c.pickInTouch(), fmt.Sprintf("crashing-%d", n)
		if h == nil {
			continue
		}
		c.mu.Lock()
		c.sentVia[id], c.sentAt[id] = h, time.Now()
		c.mu.Unlock()
		a := send(h, "/bobo563/2f", id, crashingBody, crashDeadline, nil)
		c.note("%s through %s, in touch: answered %d", id, h.name, a.status)
	}
}

// sendBookings sends other bookings at a steady rate.
func (c *crashCase) sendBookings(done <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(bookingPause):
		}
		h, id := c.hosts.hosts[n%len(c.hosts.hosts)], fmt.Sprintf("booking-%d", n)
		if !c.touch.isIn(h, time.Now()) {
			continue
		}
		all.Go(func() {
			a := send(h, "/bobo563/"+id, id, "book "+id, crashDeadline, nil)
			c.mu.Lock()
			c.bookings[a.status]++
			c.mu.Unlock()
		})
	}
}

// judge counts in how many retries the crashing request reached servers after it had crashed three
// and the stable window had passed.
func (c *crashCase) judge() (broken int, err error) {
	var crashes []arrival
	for _, a := range c.service.recorded() {
		if a.crashed {
			crashes = append(crashes, a)
		}
	}
	slices.SortFunc(crashes, func(a, b arrival) int { return a.at.Compare(b.at) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("the request has crashed %d servers; other bookings were answered %v", len(crashes), c.bookings)
	if c.bookings[http.StatusOK] == 0 || len(c.sentVia) == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	if len(crashes) < crashesKnown {
		return 0, nil
	}
	known := crashes[crashesKnown-1].at.Add(stableWindow)
	retries := make(map[string]bool)
	for _, a := range crashes {
		if c.sentAt[a.request].After(known) {
			retries[a.request] = true
			c.note("%s, sent %.3f s after the third crash by %s, which was in touch, reached %s", a.request,
				c.sentAt[a.request].Sub(known).Seconds()+stableWindow.Seconds(), c.sentVia[a.request].name, a.server)
		}
	}
	c.note("it reached servers in %d retries that were sent later than the stable window after it had crashed the third; %d are allowed", len(retries), allowedRetries)
	return max(len(retries)-allowedRetries, 0), nil
}
