// Command 2 shows that hosts send requests to an upstream that has left, later than the
// drain time allows, if the store cuts waiting watches around that time.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/review/harness"
)

const (
	hosts   = 3
	servers = 4
	service = "plan-registry"
	path    = "/plan-commit/"
	apiKey  = "staff-key"

	// drainTime is bounds.drain_ms of the settings.
	drainTime = 2 * time.Second
	// lingerTime is how long a server serves after the drain time before it exits.
	lingerTime = 250 * time.Millisecond
	// measureSlack allows for the time between the store's answer and the note of it.
	measureSlack = 20 * time.Millisecond
	// stableTime is bounds.stable_window_ms of the settings.
	stableTime = 3 * time.Second
	// watchLife is how long the store lets a watch wait before it cuts it.
	watchLife = 400 * time.Millisecond
	rounds    = 6
	// workTime is how long a booking takes; the sheet has up to 110 ms.
	workTime = 50 * time.Millisecond
	// sendInterval is the time between two bookings to one host.
	sendInterval = 20 * time.Millisecond
	// callerDeadline is the deadline of a booking on the sheet.
	callerDeadline = 1500 * time.Millisecond
)

func main() { harness.Main(run) }

func run(record *harness.Record, fleet *harness.Fleet, trouble bool) (breaches []string, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	cutter := harness.NewWatchCutter(store.Addr())
	defer cutter.Close()
	store.Configure(3, []platformtest.Route{{Prefix: path, Type: "unsafe", Service: service}}, []string{apiKey})
	running := make([]*platformtest.Upstream, 0, servers+rounds)
	start := func() {
		u := &platformtest.Upstream{ID: fmt.Sprintf("i-%d", len(running)), Service: service, Zone: "riga-a", Work: workTime, StartTime: time.Now()}
		u.Start().Register(store, "ready")
		running = append(running, u)
	}
	for range servers {
		start()
	}
	if err := fleet.Start(hosts, cutter.Addr()); err != nil {
		return nil, err
	}
	if trouble {
		cutter.CutAfter(watchLife)
		record.Printf("the store cuts each watch that has waited %s", watchLife)
	}
	callers := harness.NewCallers(record, apiKey, callerDeadline)
	stop := callers.Load(fleet.Hosts, sendInterval, http.MethodPost, path, nil)
	time.Sleep(stableTime + time.Second)
	for round := range rounds {
		start()
		// Any moment between two cuts of the watches is as good as another.
		time.Sleep(time.Second + rand.N(watchLife))
		breaches = append(breaches, leave(record, store, running[round])...)
	}
	stop()
	record.Printf("the store has cut %d watches", cutter.Cuts())
	served := 0
	for _, o := range callers.Outcomes() {
		switch {
		case o.Status == http.StatusOK && o.Complete:
			served++
		case ran(running, o.ID):
			record.PrintfAt(o.EndedAt, "lost: booking %s ran, and its caller got status %d", o.ID, o.Status)
		}
	}
	record.Printf("%d of %d bookings were served", served, len(callers.Outcomes()))
	if served == 0 {
		return nil, fmt.Errorf("no booking was served")
	}
	return breaches, nil
}

// ran reports whether a server began to run a request.
func ran(servers []*platformtest.Upstream, id string) bool {
	return slices.ContainsFunc(servers, func(u *platformtest.Upstream) bool {
		return slices.ContainsFunc(u.Runs(), func(r platformtest.Run) bool { return r.RequestID == id })
	})
}

// leave removes the entry of a server, which never reported that it is draining, and lets it
// serve on for the drain time and a little longer. It returns the requests that reached the
// server too late.
func leave(record *harness.Record, store *platformtest.Store, u *platformtest.Upstream) (breaches []string) {
	store.Delete("servers/" + u.ID)
	acknowledged := time.Now()
	record.Printf("the store has removed the entry of %s, which leaves", u.ID)
	time.Sleep(time.Until(acknowledged.Add(drainTime + lingerTime)))
	u.Close()
	record.Printf("%s has exited", u.ID)
	for _, a := range u.Arrivals() {
		if late := a.At.Sub(acknowledged.Add(drainTime)); late > measureSlack {
			record.PrintfAt(a.At, "%s reached %s", a.RequestID, u.ID)
			breaches = append(breaches, fmt.Sprintf("DRAIN: request %s reached %s %d ms after its removal was acknowledged, %d ms more than drain_ms",
				a.RequestID, u.ID, a.At.Sub(acknowledged).Milliseconds(), late.Milliseconds()))
		}
	}
	return breaches
}
