package config

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/document"
)

// recentLimit is how many of the newest generations a head names.
const recentLimit = 64

// SectionRef names the content of one section.
type SectionRef struct {
	Section document.Section `cbor:"1,keyasint"`
	// Manifest is the hash of the list of the section's chunks.
	Manifest Hash `cbor:"2,keyasint"`
}

// Operation is who changed what, and why.
type Operation struct {
	// ID is chosen by whoever asks for the change and names it for good.
	ID       string             `cbor:"1,keyasint"`
	Team     string             `cbor:"2,keyasint"`
	Sections []document.Section `cbor:"3,keyasint"`
	Reason   string             `cbor:"4,keyasint"`
	// AtUnixNano is when it was accepted, by the writing host's clock.
	AtUnixNano int64 `cbor:"5,keyasint"`
}

// Record is one accepted generation. Records form a chain by their hashes.
type Record struct {
	Generation Generation `cbor:"1,keyasint"`
	// Previous is the hash of the record before; zero for the first.
	Previous  Hash         `cbor:"2,keyasint"`
	Sections  []SectionRef `cbor:"3,keyasint"`
	Operation Operation    `cbor:"4,keyasint"`
}

// section returns the manifest of a section; zero when it is absent.
func (r Record) section(section document.Section) Hash {
	for _, ref := range r.Sections {
		if ref.Section == section {
			return ref.Manifest
		}
	}
	return Hash{}
}

// recent names one of the newest generations.
type recent struct {
	Generation  Generation `cbor:"1,keyasint"`
	Record      Hash       `cbor:"2,keyasint"`
	OperationID string     `cbor:"3,keyasint"`
}

// head is the one record that moves: the newest generation, and the newest
// before it by hash, oldest first and itself last.
type head struct {
	Record Record   `cbor:"1,keyasint"`
	Recent []recent `cbor:"2,keyasint"`
}

// hash returns the hash of the head's record.
func (h *head) hash() Hash {
	if h == nil || len(h.Recent) == 0 {
		return Hash{}
	}
	return h.Recent[len(h.Recent)-1].Record
}

// generation returns the head's generation; zero for no head.
func (h *head) generation() Generation {
	if h == nil {
		return 0
	}
	return h.Record.Generation
}

// recentHash returns the hash of an earlier generation if the head names it.
func (h *head) recentHash(generation Generation) (Hash, bool) {
	for _, named := range h.Recent {
		if named.Generation == generation {
			return named.Record, true
		}
	}
	return Hash{}, false
}

// next makes the head that follows h with the given sections.
func (h *head) next(sections []SectionRef, operation Operation) *head {
	record := Record{
		Generation: h.generation() + 1,
		Previous:   h.hash(),
		Sections:   sections,
		Operation:  operation,
	}
	var before []recent
	if h != nil {
		before = h.Recent
	}
	if len(before) >= recentLimit {
		before = before[len(before)-recentLimit+1:]
	}
	self := recent{record.Generation, hashOf(encode(record)), operation.ID}
	return &head{Record: record, Recent: append(slices.Clone(before), self)}
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode writes a value in the one form that its hash is taken of.
func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(err) // every type here can be encoded
	}
	return data
}

// decodeHead reads a head and checks that it names its own record.
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

// decodeRecord reads a record of the history.
func decodeRecord(data []byte) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(data, &record); err != nil {
		return Record{}, Error.New("unreadable record: %w", err)
	}
	return record, nil
}
