package claim

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/host"
)

// state is the state of a key.
type state uint8

const (
	stateClaimed state = iota + 1
	stateDone
	stateReleased
)

// process identifies a host process in the logs.
type process struct {
	_    struct{} `cbor:",toarray"`
	ID   host.ID
	Addr netip.AddrPort
}

func processOf(info host.Info) process {
	return process{ID: info.ID, Addr: info.LinkAddr}
}

// claimHolder identifies the attempt that holds a claim, and its process.
type claimHolder struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptID
	Process process
}

// entry is the state of one key.
type entry struct {
	_      struct{} `cbor:",toarray"`
	Key    keyID
	State  state
	Digest shortDigest
	// KeyTime is the Unix time in seconds that the key carries; 0 for an opaque
	// key.
	KeyTime int64
	// Holder is nil in stateReleased and once the entry is sealed.
	Holder *claimHolder
	// Outcome is set only in stateDone.
	Outcome *Outcome
	// applyOrder is the entry's rank among the entries applied to a table.
	applyOrder uint64
}

// opaque says whether the key carries no time. Such a key never expires.
func (e *entry) opaque() bool { return e.KeyTime == 0 }

// heldBy says whether the given attempt holds the claim.
func (e *entry) heldBy(a attemptID) bool {
	return e.Holder != nil && e.Holder.Attempt == a
}

// entryOverheadBytes is an upper bound on an entry's encoded size without its
// outcome's body and content type.
const entryOverheadBytes = 200

func (e *entry) maxEncodedBytes() int {
	size := entryOverheadBytes
	if e.Outcome != nil {
		size += len(e.Outcome.Body) + len(e.Outcome.ContentType)
	}
	return size
}

// record is one batch of entries. Each slot of the ring holds one record.
type record struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Epoch   uint64
	BatchID attemptID
	// Takeover is set in the first record of an epoch and only there.
	Takeover bool
	Entries  []entry
}

// segmentRef refers to one segment from the head.
type segmentRef struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Opaque says that the segment holds opaque keys, and no others.
	Opaque bool
	// Sealed says that the segment's entries have no holder and no body. A
	// sealed segment is never rewritten; a checkpoint that adds entries
	// writes a new one in its place.
	Sealed bool
	Count  int
	// MaxKeyTime is the latest KeyTime of the segment's entries.
	MaxKeyTime int64
}

// segment is the stored value of one segment.
type segment struct {
	_       struct{} `cbor:",toarray"`
	Entries []entry
}

// head is the record from which the recovery of a shard starts.
type head struct {
	Ring  int     `cbor:"1,keyasint"`
	Epoch uint64  `cbor:"2,keyasint"`
	Owner process `cbor:"3,keyasint"`
	// Vacant says that the owner of this epoch has given the shard up.
	Vacant bool `cbor:"4,keyasint,omitempty"`
	// Nonce distinguishes writes of the head, even by two hosts for the same
	// epoch.
	Nonce attemptID `cbor:"5,keyasint"`
	// Checkpoint is the sequence number of the last record that is held in the
	// segments.
	Checkpoint uint64 `cbor:"6,keyasint"`
	// Horizon is the earliest KeyTime that is remembered. Keys before it may
	// have been dropped.
	Horizon     int64        `cbor:"7,keyasint"`
	NextSegment uint64       `cbor:"8,keyasint"`
	Segments    []segmentRef `cbor:"9,keyasint"`
	// Garbage names segments that are unused but may still exist in the store.
	Garbage []string `cbor:"10,keyasint,omitempty"`
}

// layout is written by the first host that starts on a store and never changes.
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

// segmentName is unique over all owners, as each epoch has only one owner.
func segmentName(epoch, number uint64) string { return fmt.Sprintf("%d-%d", epoch, number) }

func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, Error.Wrap(err)
}

func decode(data []byte, into any) error {
	return Error.Wrap(cbor.Unmarshal(data, into))
}
