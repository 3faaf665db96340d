package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("member")

// kind is what a datagram asks or answers.
type kind uint8

// The kinds of datagram. All of them carry news.
const (
	kindGossip       kind = iota // nothing but news
	kindPing                     // asks for an ack with the same probe number
	kindAck                      // answers a ping
	kindIndirectPing             // asks the receiver to ping the target
	kindNack                     // the receiver of an indirect ping got no ack
	kindJoin                     // asks for everything
	kindLast                     // bounds the valid kinds
)

// record is what is said of one host at one incarnation.
type record struct {
	_           struct{} `cbor:",toarray"`
	Info        host.Info
	State       host.State
	Incarnation uint64
	Generation  uint64
	// Accuser is the host that suspects; empty in other states.
	Accuser host.ID
}

// factRecord is a fact as it travels. Version is the publisher's clock in
// milliseconds, made to grow with every publication.
type factRecord struct {
	_       struct{} `cbor:",toarray"`
	From    host.ID
	Topic   Topic
	Key     string
	Version uint64
	Payload []byte
}

// beat is the newest sign of life of a data centre.
type beat struct {
	_          struct{} `cbor:",toarray"`
	DataCentre host.DataCentre
	Count      uint64
}

// digest sums up what the sender knows of one data centre.
type digest struct {
	_          struct{} `cbor:",toarray"`
	DataCentre host.DataCentre
	Sum        uint64
}

// message is one datagram. Records and facts stay encoded, so that a host
// forwards what it got without encoding it again.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// To is the receiver; empty only in a join, whose sender knows an address.
	To host.ID
	// Sequence grows with each datagram of the sender.
	Sequence uint64
	// SentMillis is the sender's clock, in milliseconds since 1970.
	SentMillis int64
	// Self is the sender's own record.
	Self record
	// Probe is the number of the ping that is asked or answered.
	Probe uint64
	// Target is the host to ping for the sender.
	Target host.ID
	// Newest is the highest configuration generation the sender has heard of.
	Newest  uint64
	Beats   []beat
	Digests []digest
	Records []cbor.RawMessage
	Facts   []cbor.RawMessage
}

// outgoing is a message and where to send it.
type outgoing struct {
	to      netip.AddrPort
	message *message
}

// Bounds on a datagram.
const (
	maxDatagramBytes = 1200
	// itemRoomBytes is what records and facts may take; the rest of the
	// datagram holds the header, the sender's record, beats and digests.
	itemRoomBytes = 700
	maxItems      = 64
	maxBeats      = 64
	maxNesting    = 8
	maxNameBytes  = 128
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

// encodeItem encodes a record or a fact; both always can be.
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

// decodeMessage reads a datagram's body.
func decodeMessage(body []byte) (*message, error) {
	m := new(message)
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, Error.Wrap(err)
	}
	if m.Kind >= kindLast || !m.Self.valid() || len(m.Beats) > maxBeats || len(m.Digests) > maxBeats {
		return nil, Error.New("message with fields out of range")
	}
	return m, nil
}

// decodeRecords reads the records of a message; one bad one spoils it.
func (m *message) decodeRecords() ([]record, error) {
	records := make([]record, len(m.Records))
	for i, raw := range m.Records {
		if err := decMode.Unmarshal(raw, &records[i]); err != nil {
			return nil, Error.Wrap(err)
		}
		if !records[i].valid() {
			return nil, Error.New("record with fields out of range")
		}
	}
	return records, nil
}

// decodeFacts reads the facts of a message; one bad one spoils it.
func (m *message) decodeFacts() ([]factRecord, error) {
	facts := make([]factRecord, len(m.Facts))
	for i, raw := range m.Facts {
		if err := decMode.Unmarshal(raw, &facts[i]); err != nil {
			return nil, Error.Wrap(err)
		}
		if !facts[i].valid() {
			return nil, Error.New("fact with fields out of range")
		}
	}
	return facts, nil
}
