package config

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// serve registers the calls that peers make and subscribes to their facts.
func (s *Syncer) serve() {
	link.HandleTyped(s.cfg.Registrar, methodHead, s.serveHead)
	link.HandleTyped(s.cfg.Registrar, methodObjects, s.serveObjects)
	if s.cfg.Gossip != nil {
		s.cfg.Gossip.Subscribe(topicHead, s.hearFact)
	}
}

// serveHead answers with the head in force if the asker's is older.
func (s *Syncer) serveHead(_ context.Context, request headRequest) (headResponse, error) {
	served := s.Current()
	if served == nil {
		return headResponse{}, nil
	}
	response := headResponse{Generation: served.Generation}
	if served.Generation >= request.Generation && served.Hash != request.Have {
		response.Head = encode(served.head)
	}
	return response, nil
}

// serveObjects answers with the objects of what is in force and of the
// records before it.
func (s *Syncer) serveObjects(_ context.Context, request objectsRequest) (objectsResponse, error) {
	if len(request.Wanted) > maxAskedObjects {
		return objectsResponse{}, Error.New("%d objects asked for; at most %d go in one call",
			len(request.Wanted), maxAskedObjects)
	}
	have := s.held.Load()
	var response objectsResponse
	size := 0
	for _, hash := range request.Wanted {
		content := have.find(hash)
		if content == nil {
			continue
		}
		if size > 0 && size+len(content) > maxAnswerBytes {
			break
		}
		size += len(content)
		response.Contents = append(response.Contents, content)
	}
	return response, nil
}

// find returns an object's content; nil when it isn't there.
func (c *content) find(hash Hash) []byte {
	if c == nil {
		return nil
	}
	return c.byHash[hash]
}

// hearFact wakes the Syncer when a peer serves something newer.
func (s *Syncer) hearFact(fact member.Fact) {
	var heard headFact
	if cbor.Unmarshal(fact.Payload, &heard) != nil || heard.Generation <= headOf(s.Current()).generation() {
		return
	}
	peer, known := s.cfg.View.Lookup(fact.From)
	if known {
		replace(s.facts, peer)
	}
}

// announce spreads what is in force. Only watchers do, so that the datagrams
// don't grow with the fleet.
func (s *Syncer) announce(served *Snapshot) {
	if s.cfg.Gossip == nil || !s.isWatcher() {
		return
	}
	fact := encode(headFact{served.Generation, served.Hash})
	if err := s.cfg.Gossip.Publish(topicHead, "", fact); err != nil {
		s.cfg.Logger.Warn("configuration generation not spread", "error", err.Error())
	}
}
