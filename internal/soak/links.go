package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/internal/soak/cutdial"
)

const (
	// minCutTime and maxCutTime are how long hosts have no links to upstreams.
	minCutTime = inTouchTime + time.Second
	maxCutTime = inTouchTime + 3*time.Second
	// pathBackTime is how long after a cut requests may still go through other hosts.
	pathBackTime = 2 * time.Second
	// minReachShare is the least share of the requests to hosts without links that is
	// served, of the share at the others. It counts from lostSlack failures on, and one more
	// for lostEach requests.
	minReachShare = 2.0 / 3
	lostSlack     = 10
	lostEach      = 50
)

// linkFaults are hosts that lose their links to all upstreams.
var linkFaults = []fault{cutLinks}

// linkCut is a time in which hosts had no links to upstreams.
type linkCut struct {
	hosts       []string
	from, until time.Time
}

// setLinks sets the state of the host's links to upstreams.
func (h *hostProcess) setLinks(state string) error {
	temporary := h.linksPath() + ".new"
	if err := os.WriteFile(temporary, []byte(state), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, h.linksPath())
}

// cutLinks cuts one host, or all but one, off from all upstreams.
func cutLinks(e *environment, r *rand.Rand) (string, error) {
	state := pick(r, []string{cutdial.Silent, cutdial.Reset, cutdial.Refused})
	hosts := slices.Clone(e.hosts)
	r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:pick(r, []int{1, len(hosts) - 1})]
	length := minCutTime + time.Duration(r.Int64N(int64(maxCutTime-minCutTime)))
	c := linkCut{from: time.Now()}
	var failed error
	for _, h := range hosts {
		defer h.disrupt(linksCut)()
		c.hosts = append(c.hosts, h.settings.Name)
		failed = errors.Join(failed, h.setLinks(state))
	}
	time.Sleep(length)
	c.until = time.Now()
	for _, h := range hosts {
		failed = errors.Join(failed, h.setLinks(cutdial.Whole))
	}
	e.mu.Lock()
	e.cuts = append(e.cuts, c)
	e.mu.Unlock()
	return fmt.Sprintf("links of %v to upstreams %s for %s", c.hosts, state, length), failed
}

// checkLinks checks that callers of hosts without links are served like those of others.
func (e *environment) checkLinks(outcomes []outcome) (violations []string) {
	for _, c := range e.cuts {
		var with, without tally
		for _, o := range outcomes {
			switch {
			case !c.counts(o) || e.host(o.host).wasDisrupted(o.sentAt.Add(-inTouchTime), o.endedAt, killed, stopped, paused):
			case slices.Contains(c.hosts, o.host):
				without.add(o)
			default:
				with.add(o)
			}
		}
		lost := without.sent - without.served
		if with.sent == 0 || lost <= lostSlack+(with.sent+without.sent)/lostEach {
			continue
		}
		if without.share() < minReachShare*with.share() {
			violations = append(violations, fmt.Sprintf("without links to upstreams %v served %g of %g requests, the others %g of %g",
				c.hosts, without.served, without.sent, with.served, with.sent))
		}
	}
	return violations
}

// counts reports whether a request was sent late enough in the cut, and ended in it.
func (c linkCut) counts(o outcome) bool {
	return o.sentAt.After(c.from.Add(inTouchTime)) && o.endedAt.Before(c.until) && !o.abandoned && !o.resumes && o.key == keptKey
}

// tally counts requests.
type tally struct{ sent, served float64 }

func (t *tally) add(o outcome) {
	t.sent++
	if o.status == 200 && o.complete {
		t.served++
	}
}

func (t *tally) share() float64 { return t.served / t.sent }
