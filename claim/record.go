package claim

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/host"
)

// state is where a key stands.
type state uint8

const (
	stateClaimed state = iota + 1
	stateDone
	stateReleased
)

// process is a host process as the logs name it.
type process struct {
	_    struct{} `cbor:",toarray"`
	ID   host.ID
	Addr netip.AddrPort
}

func processOf(info host.Info) process {
	return process{ID: info.ID, Addr: info.LinkAddr}
}

// hold is who holds a claim.
type hold struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptID
	Holder  process
}

// entry is the newest state of one key.
type entry struct {
	_      struct{} `cbor:",toarray"`
	Key    keyID
	State  state
	Digest shortDigest
	// Seconds is the time that the key carries; 0 for an opaque key.
	Seconds int64
	// Hold is nil once the entry was sealed.
	Hold *hold
	// Outcome is set in stateDone.
	Outcome *Outcome
	// order is the place among the applied entries of a table.
	order uint64
}

// opaque says whether the key carries no time, and so is never forgotten.
func (e *entry) opaque() bool { return e.Seconds == 0 }

// heldBy says whether an attempt holds the claim.
func (e *entry) heldBy(a attemptID) bool {
	return e.Hold != nil && e.Hold.Attempt == a
}

// entryOverheadBytes is more than an entry takes beside its outcome.
const entryOverheadBytes = 200

func (e *entry) sizeBound() int {
	size := entryOverheadBytes
	if e.Outcome != nil {
		size += len(e.Outcome.Body) + len(e.Outcome.ContentType)
	}
	return size
}

// record is one batch, as a slot of the ring holds it.
type record struct {
	_     struct{} `cbor:",toarray"`
	Seq   uint64
	Epoch uint64
	Batch attemptID
	// Takeover is set in the first record of an epoch.
	Takeover bool
	Entries  []entry
}

// segmentRef names one segment.
type segmentRef struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Opaque says that the segment holds keys without a time.
	Opaque bool
	// Sealed segments are never written again.
	Sealed bool
	Count  int
	// MaxSeconds is the newest time of its keys.
	MaxSeconds int64
}

// segment is the value of a segment's key.
type segment struct {
	_       struct{} `cbor:",toarray"`
	Entries []entry
}

// head is the record that a shard's recovery starts from.
type head struct {
	Ring  int     `cbor:"1,keyasint"`
	Epoch uint64  `cbor:"2,keyasint"`
	Owner process `cbor:"3,keyasint"`
	// Vacant says that the owner of the epoch has handed the shard on.
	Vacant bool `cbor:"4,keyasint,omitempty"`
	// Nonce tells the writes of two hosts for the same epoch apart.
	Nonce attemptID `cbor:"5,keyasint"`
	// Checkpoint is the last record that is folded into the segments.
	Checkpoint uint64 `cbor:"6,keyasint"`
	// Horizon is the oldest time in seconds that a key may carry. Keys below
	// it may have been forgotten.
	Horizon     int64        `cbor:"7,keyasint"`
	NextSegment uint64       `cbor:"8,keyasint"`
	Segments    []segmentRef `cbor:"9,keyasint"`
	// Garbage names segments that are no longer used and may still exist.
	Garbage []string `cbor:"10,keyasint,omitempty"`
}

// layout is fixed by the first host that starts on a store.
type layout struct {
	Shards int `cbor:"1,keyasint"`
}

const keyPrefix = "claim/v1/"

const layoutKey = keyPrefix + "layout"

func headKey(shard int) string { return fmt.Sprintf("%s%d/head", keyPrefix, shard) }

func slotKey(shard, slot int) string { return fmt.Sprintf("%s%d/log/%d", keyPrefix, shard, slot) }

func segmentKey(shard int, name string) string {
	return fmt.Sprintf("%s%d/segment/%s", keyPrefix, shard, name)
}

// segmentName is unique over all owners: only one host ever has an epoch.
func segmentName(epoch, number uint64) string { return fmt.Sprintf("%d-%d", epoch, number) }

func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, Error.Wrap(err)
}

func decode(data []byte, into any) error {
	return Error.Wrap(cbor.Unmarshal(data, into))
}
