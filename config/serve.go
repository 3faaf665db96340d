package config

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// registerHandlers registers the handlers of peers' calls and subscribes to
// announcements.
func (s *Syncer) registerHandlers() {
	link.HandleTyped(s.cfg.Registrar, methodHead, s.serveHead)
	link.HandleTyped(s.cfg.Registrar, methodObjects, s.serveObjects)
	if s.cfg.Gossip != nil {
		s.cfg.Gossip.Subscribe(topicHead, s.handleFact)
	}
}

// serveHead returns the head in force unless it is older than the requesting
// host's or the same.
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

// serveObjects returns objects of the document in force and its recent
// records.
func (s *Syncer) serveObjects(_ context.Context, request objectsRequest) (objectsResponse, error) {
	if len(request.Wanted) > maxRequestedObjects {
		return objectsResponse{}, Error.New("%d objects asked for; at most %d go in one call",
			len(request.Wanted), maxRequestedObjects)
	}
	have := s.servedObjects.Load()
	var response objectsResponse
	size := 0
	for _, hash := range request.Wanted {
		content := have.find(hash)
		if content == nil {
			continue
		}
		if size > 0 && size+len(content) > maxResponseBytes {
			break
		}
		size += len(content)
		response.Contents = append(response.Contents, content)
	}
	return response, nil
}

// find returns an object's content, or nil.
func (s *objectSet) find(hash Hash) []byte {
	if s == nil {
		return nil
	}
	return s.byHash[hash]
}

// handleFact queues the sender of an announcement if it serves a newer
// generation.
func (s *Syncer) handleFact(fact member.Fact) {
	var heard headFact
	if cbor.Unmarshal(fact.Payload, &heard) != nil || heard.Generation <= headOf(s.Current()).generation() {
		return
	}
	peer, known := s.cfg.View.Lookup(fact.From)
	if known {
		sendLatest(s.factPeers, peer)
	}
}

// announce gossips the generation in force. Only watchers do, so that the
// traffic does not grow with the fleet.
func (s *Syncer) announce(served *Snapshot) {
	if s.cfg.Gossip == nil || !s.isWatcher() {
		return
	}
	fact := encode(headFact{served.Generation, served.Hash})
	if err := s.cfg.Gossip.Publish(topicHead, "", fact); err != nil {
		s.cfg.Logger.Warn("configuration generation not announced", "error", err.Error())
	}
}
