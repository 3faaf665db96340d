package config

import (
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// Methods of calls between hosts, and the gossip topic that announces a head.
const (
	methodHead    link.Method  = "config.Head"
	methodObjects link.Method  = "config.Objects"
	topicHead     member.Topic = "config.head"
)

// maxResponseBytes bounds the objects in one response. A single larger object
// is still sent.
const maxResponseBytes = 512 << 10

// maxRequestedObjects bounds the hashes in one request.
const maxRequestedObjects = 1024

// headRequest asks a peer for its head. Have and Generation describe the head
// that the requesting host serves.
type headRequest struct {
	Have       Hash       `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}

// headResponse holds the generation and head that a peer serves.
type headResponse struct {
	Generation Generation `cbor:"1,keyasint"`
	// Head is the peer's head. It is empty if that head is older than the
	// requesting host's or the same.
	Head []byte `cbor:"2,keyasint,omitempty"`
}

// objectsRequest asks a peer for objects.
type objectsRequest struct {
	Wanted []Hash `cbor:"1,keyasint"`
}

// objectsResponse holds the requested objects that the peer has, in the order
// of the request, up to the size limit.
type objectsResponse struct {
	Contents [][]byte `cbor:"1,keyasint"`
}

// headFact announces which generation a host serves.
type headFact struct {
	Generation Generation `cbor:"1,keyasint"`
	Record     Hash       `cbor:"2,keyasint"`
}
