package config

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/document"
)

// recentLimit is how many of the newest generations a head lists.
const recentLimit = 64

// SectionRef identifies the content of one section.
type SectionRef struct {
	Section document.Section `cbor:"1,keyasint"`
	// Manifest is the hash of the section's manifest, which lists its chunks.
	Manifest Hash `cbor:"2,keyasint"`
}

// Operation describes an accepted change: who made it, to which sections, and
// why.
type Operation struct {
	// ID is chosen by the client. It identifies the change permanently, so
	// that a repeated request is recognised.
	ID       string             `cbor:"1,keyasint"`
	Team     string             `cbor:"2,keyasint"`
	Sections []document.Section `cbor:"3,keyasint"`
	Reason   string             `cbor:"4,keyasint"`
	// AtUnixNano is the time of acceptance by the clock of the writing host.
	AtUnixNano int64 `cbor:"5,keyasint"`
}

// Record describes one accepted generation. Each record holds the hash of the
// one before it.
type Record struct {
	Generation Generation `cbor:"1,keyasint"`
	// Previous is the hash of the preceding record; zero in the first one.
	Previous  Hash         `cbor:"2,keyasint"`
	Sections  []SectionRef `cbor:"3,keyasint"`
	Operation Operation    `cbor:"4,keyasint"`
}

// manifestOf returns the manifest hash of a section, or zero if the record has
// no such section.
func (r Record) manifestOf(section document.Section) Hash {
	for _, ref := range r.Sections {
		if ref.Section == section {
			return ref.Manifest
		}
	}
	return Hash{}
}

// recentGeneration identifies one of the newest generations.
type recentGeneration struct {
	Generation  Generation `cbor:"1,keyasint"`
	Record      Hash       `cbor:"2,keyasint"`
	OperationID string     `cbor:"3,keyasint"`
}

// head is the only mutable value in the store. It holds the newest record and
// lists the newest generations, oldest first; the last entry of Recent is the
// record itself.
type head struct {
	Record Record             `cbor:"1,keyasint"`
	Recent []recentGeneration `cbor:"2,keyasint"`
}

// hash returns the hash of the head's record, or zero without a head.
func (h *head) hash() Hash {
	if h == nil || len(h.Recent) == 0 {
		return Hash{}
	}
	return h.Recent[len(h.Recent)-1].Record
}

// generation returns the head's generation, or zero without a head.
func (h *head) generation() Generation {
	if h == nil {
		return 0
	}
	return h.Record.Generation
}

// recentHash returns the record hash of a generation that the head lists.
func (h *head) recentHash(generation Generation) (Hash, bool) {
	for _, ref := range h.Recent {
		if ref.Generation == generation {
			return ref.Record, true
		}
	}
	return Hash{}, false
}

// next returns the head that follows h and has the given sections. h may be
// nil.
func (h *head) next(sections []SectionRef, operation Operation) *head {
	record := Record{
		Generation: h.generation() + 1,
		Previous:   h.hash(),
		Sections:   sections,
		Operation:  operation,
	}
	var before []recentGeneration
	if h != nil {
		before = h.Recent
	}
	if len(before) >= recentLimit {
		before = before[len(before)-recentLimit+1:]
	}
	self := recentGeneration{record.Generation, hashOf(encode(record)), operation.ID}
	return &head{Record: record, Recent: append(slices.Clone(before), self)}
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode returns the deterministic encoding of a value. Hashes are taken of
// it.
func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(err) // every type here can be encoded
	}
	return data
}

// decodeHead decodes a head and checks that its last listed generation is its
// own record.
func decodeHead(data []byte) (*head, error) {
	var h head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return nil, Error.New("unreadable head: %w", err)
	}
	if h.Record.Generation == 0 || h.hash() != hashOf(encode(h.Record)) {
		return nil, Error.New("the head doesn't name its own record")
	}
	return &h, nil
}

// decodeRecord decodes a record.
func decodeRecord(data []byte) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(data, &record); err != nil {
		return Record{}, Error.New("unreadable record: %w", err)
	}
	return record, nil
}
