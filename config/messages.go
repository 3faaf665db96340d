package config

import (
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// The calls between hosts, and the fact they spread.
const (
	methodHead    link.Method  = "config.Head"
	methodObjects link.Method  = "config.Objects"
	topicHead     member.Topic = "config.head"
)

// maxAnswerBytes bounds the objects in one answer; one object may be more.
const maxAnswerBytes = 512 << 10

// maxAskedObjects bounds the hashes in one call.
const maxAskedObjects = 1024

// headRequest asks a peer for its head unless the asker has that one.
type headRequest struct {
	Have       Hash       `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}

// headResponse tells what a peer serves.
type headResponse struct {
	Generation Generation `cbor:"1,keyasint"`
	// Head is the peer's head if it is newer than the asker's; else empty.
	Head []byte `cbor:"2,keyasint,omitempty"`
}

// objectsRequest asks a peer for objects.
type objectsRequest struct {
	Wanted []Hash `cbor:"1,keyasint"`
}

// objectsResponse gives those of the objects that the peer has and that fit,
// in the order in which they were asked for.
type objectsResponse struct {
	Contents [][]byte `cbor:"1,keyasint"`
}

// headFact announces that a host serves a generation.
type headFact struct {
	Generation Generation `cbor:"1,keyasint"`
	Record     Hash       `cbor:"2,keyasint"`
}
