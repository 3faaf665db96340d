package claim

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/blake3"
)

// keyID stands for a Key in the logs.
type keyID [16]byte

// attemptID names one attempt of one host to claim a key. No two attempts
// share an ID.
type attemptID [16]byte

// shortDigest is the part of a Digest that the logs keep.
type shortDigest [16]byte

// maxAhead is how far ahead of the owner's clock a key's time may be. Keys
// further ahead are treated as if they carried no time.
const maxAhead = 10 * time.Minute

// uuidTimeBytes is how many leading bytes of a version 7 UUID are its time in
// milliseconds.
const uuidTimeBytes = 6

func idOf(k Key) keyID {
	hasher := blake3.New()
	for _, part := range [...]string{k.Workspace, k.Service, k.IdempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hasher.Write(size[:])
		_, _ = hasher.WriteString(part)
	}
	var id keyID
	copy(id[:], hasher.Sum(nil))
	return id
}

func shorten(d Digest) shortDigest {
	var short shortDigest
	copy(short[:], d[:])
	return short
}

// shardOf returns the shard that a key belongs to.
func shardOf(id keyID, shards int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(shards))
}

// keySeconds returns the Unix time in seconds that a version 7 UUID carries,
// and 0 for any other key.
func keySeconds(idempotencyKey string, now time.Time) int64 {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0
	}
	var padded [8]byte
	copy(padded[8-uuidTimeBytes:], id[:uuidTimeBytes])
	seconds := int64(binary.BigEndian.Uint64(padded[:]) / 1000)
	if seconds > now.Add(maxAhead).Unix() {
		return 0
	}
	return seconds
}
