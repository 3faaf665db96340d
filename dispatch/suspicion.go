package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/policy"
)

const (
	// topicSuspicion carries what hosts hold against upstreams.
	topicSuspicion member.Topic = "suspicion"
	// tellEvery is how often a host tells.
	tellEvery = 500 * time.Millisecond
)

// listen takes in what other hosts tell.
func (rt *Runtime) listen() {
	if rt.config.Gossip == nil {
		return
	}
	rt.config.Gossip.Subscribe(topicSuspicion, func(f member.Fact) {
		var said policy.Suspicion
		if err := cbor.Unmarshal(f.Payload, &said); err != nil {
			rt.config.Logger.Warn("suspicion not understood", "from", f.From, "error", err)
			return
		}
		rt.coreMu.Lock()
		defer rt.coreMu.Unlock()
		rt.core.RecordSuspicion(rt.config.Now(), f.From, said)
	})
}

// tell spreads what the own calls speak against.
func (rt *Runtime) tell(now time.Time) {
	if rt.config.Gossip == nil || now.Sub(rt.told) < tellEvery {
		return
	}
	rt.told = now
	for _, s := range rt.suspicions() {
		payload, err := cbor.Marshal(s)
		if err != nil {
			rt.config.Logger.Error("suspicion not encoded", "error", err)
			continue
		}
		if err := rt.config.Gossip.Publish(topicSuspicion, string(s.Upstream), payload); err != nil {
			rt.config.Logger.Warn("suspicion not told", "upstream", s.Upstream, "error", err)
		}
	}
}

func (rt *Runtime) suspicions() []policy.Suspicion {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Suspicions()
}
