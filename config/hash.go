package config

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// hashBytes is the length of a content hash.
const hashBytes = 32

// Hash is the BLAKE3 hash of an object's content.
type Hash [hashBytes]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// hashOf returns the hash of content.
func hashOf(content []byte) Hash { return blake3.Sum256(content) }
