package claim

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/blake3"
)

// keyID is the hash of a Key. The logs store it in place of the key.
type keyID [16]byte

// attemptID identifies one attempt of one host to claim a key. It is random and
// unique, and also serves as batch ID and head nonce.
type attemptID [16]byte

// shortDigest is the prefix of a Digest that the logs store.
type shortDigest [16]byte

// maxFutureSkew is how far ahead of the local clock a key's time may be. A key
// further ahead counts as opaque, that is, as one without a time.
const maxFutureSkew = 10 * time.Minute

// uuidTimeBytes is the length of the timestamp, in milliseconds, at the start of a
// version 7 UUID.
const uuidTimeBytes = 6

func hashKey(k Key) keyID {
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

// keyUnixTime returns the Unix time in seconds that a version 7 UUID carries,
// and 0 for any other key.
func keyUnixTime(idempotencyKey string, now time.Time) int64 {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0
	}
	var padded [8]byte
	copy(padded[8-uuidTimeBytes:], id[:uuidTimeBytes])
	seconds := int64(binary.BigEndian.Uint64(padded[:]) / 1000)
	if seconds > now.Add(maxFutureSkew).Unix() {
		return 0
	}
	return seconds
}
