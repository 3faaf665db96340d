package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/policy"
)

const (
	// topicSuspicion carries the hosts' suspicions of badly performing
	// upstreams.
	topicSuspicion member.Topic = "suspicion"
	// publishInterval is the shortest time between two publications.
	publishInterval = 500 * time.Millisecond
)

// subscribeSuspicions records the suspicions that other hosts publish.
func (rt *Runtime) subscribeSuspicions() {
	if rt.config.Gossip == nil {
		return
	}
	rt.config.Gossip.Subscribe(topicSuspicion, func(f member.Fact) {
		var received policy.Suspicion
		if err := cbor.Unmarshal(f.Payload, &received); err != nil {
			rt.config.Logger.Warn("suspicion not decoded", "from", f.From, "error", err)
			return
		}
		rt.coreMu.Lock()
		defer rt.coreMu.Unlock()
		rt.core.RecordSuspicion(rt.config.Now(), f.From, received)
	})
}

// publishSuspicions publishes the suspicions that this host's own calls give rise
// to.
func (rt *Runtime) publishSuspicions(now time.Time) {
	if rt.config.Gossip == nil || now.Sub(rt.lastPublished) < publishInterval {
		return
	}
	rt.lastPublished = now
	for _, s := range rt.suspicions() {
		payload, err := cbor.Marshal(s)
		if err != nil {
			rt.config.Logger.Error("suspicion not encoded", "error", err)
			continue
		}
		if err := rt.config.Gossip.Publish(topicSuspicion, string(s.Upstream), payload); err != nil {
			rt.config.Logger.Warn("suspicion not published", "upstream", s.Upstream, "error", err)
		}
	}
}

func (rt *Runtime) suspicions() []policy.Suspicion {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Suspicions()
}
