package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/errs"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("member")

// kind is the type of a message.
type kind uint8

// The kinds of messages. Messages of every kind can carry records and facts.
const (
	kindGossip       kind = iota // carries records and facts only
	kindPing                     // requests an ack with the same probe number
	kindAck                      // answers a ping
	kindIndirectPing             // asks the receiver to ping the target
	kindNack                     // reports that the target of an indirect ping sent no ack
	kindJoin                     // requests all records and facts
	kindEnd                      // not a kind; valid kinds are smaller
)

// record is the state of a host at one incarnation.
type record struct {
	_           struct{} `cbor:",toarray"`
	Info        host.Info
	State       host.State
	Incarnation uint64
	Generation  uint64
	// Accuser is the host that raised the suspicion. It is empty unless State is
	// Suspect.
	Accuser host.ID
}

// factRecord is a fact in a message. Version is the publisher's clock in
// milliseconds since 1970, raised if needed so that each publication of a key has
// a higher one.
type factRecord struct {
	_       struct{} `cbor:",toarray"`
	From    host.ID
	Topic   Topic
	Key     string
	Version uint64
	Payload []byte
}

// heartbeat is the newest heartbeat of a data centre. Count is the clock of the
// delegate that set it, in seconds since 1970.
type heartbeat struct {
	_          struct{} `cbor:",toarray"`
	DataCentre host.DataCentre
	Count      uint64
}

// digest is a hash of the records that the sender knows of one data centre.
type digest struct {
	_          struct{} `cbor:",toarray"`
	DataCentre host.DataCentre
	Sum        uint64
}

// message is the content of a datagram. Records and facts stay encoded, so that
// a host can forward them without encoding them again.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// To is the receiver. It may be empty in a join only, whose sender knows the
	// receiver's address but not its ID.
	To host.ID
	// Sequence grows with each datagram of the sender.
	Sequence uint64
	// SentMillis is the sender's clock, in milliseconds since 1970.
	SentMillis int64
	// Self is the sender's own record.
	Self record
	// Probe is the number of the ping that is sent, requested or answered.
	Probe uint64
	// Target is the host to ping on behalf of the sender.
	Target host.ID
	// NewestGeneration is the highest configuration generation that any host has
	// announced, as far as the sender knows.
	NewestGeneration uint64
	Heartbeats       []heartbeat
	Digests          []digest
	Records          []cbor.RawMessage
	Facts            []cbor.RawMessage
}

// outgoing is a message and its destination.
type outgoing struct {
	to      netip.AddrPort
	message *message
}

// Limits on a datagram.
const (
	maxDatagramBytes = 1200
	// itemRoomBytes is unused: itemSpace computes the space for records and facts
	// from what else each message holds.
	itemRoomBytes    = 700
	maxItems         = 64
	maxCentreEntries = 64
	maxNesting       = 8
	maxNameBytes     = 128
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: maxNesting, MaxArrayElements: maxItems}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeItem encodes a record or a fact. It panics on failure, which their types
// rule out.
func encodeItem(item any) cbor.RawMessage {
	data, err := encMode.Marshal(item)
	if err != nil {
		panic(err)
	}
	return data
}

func (r *record) valid() bool {
	return r.Info.ID != "" && len(r.Info.ID) <= maxNameBytes &&
		len(r.Info.Place.DataCentre) <= maxNameBytes && len(r.Info.Place.Region) <= maxNameBytes &&
		r.Info.LinkAddr.IsValid() && r.State <= host.Dead
}

func (f *factRecord) valid() bool {
	return f.From != "" && len(f.From) <= maxNameBytes && len(f.Topic) <= maxNameBytes &&
		len(f.Key) <= maxNameBytes && len(f.Payload) <= MaxFactBytes
}

// decodeMessage decodes and validates a datagram's body.
func decodeMessage(body []byte) (*message, error) {
	m := new(message)
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, Error.Wrap(err)
	}
	if m.Kind >= kindEnd || !m.Self.valid() || len(m.Heartbeats) > maxCentreEntries || len(m.Digests) > maxCentreEntries {
		return nil, Error.New("message has an invalid kind, sender or length")
	}
	return m, nil
}

// decodeRecords decodes the records of a message. One invalid record fails the
// whole message.
func (m *message) decodeRecords() ([]record, error) {
	records := make([]record, len(m.Records))
	for i, raw := range m.Records {
		if err := decMode.Unmarshal(raw, &records[i]); err != nil {
			return nil, Error.Wrap(err)
		}
		if !records[i].valid() {
			return nil, Error.New("record has an invalid ID, place, address or state")
		}
	}
	return records, nil
}

// decodeFacts decodes the facts of a message. One invalid fact fails the whole
// message.
func (m *message) decodeFacts() ([]factRecord, error) {
	facts := make([]factRecord, len(m.Facts))
	for i, raw := range m.Facts {
		if err := decMode.Unmarshal(raw, &facts[i]); err != nil {
			return nil, Error.Wrap(err)
		}
		if !facts[i].valid() {
			return nil, Error.New("fact has an invalid host, topic, key or length")
		}
	}
	return facts, nil
}
