package limit

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// claimsPerFact is the number of claims in one fact. It keeps a fact under
// member.MaxFactBytes.
const claimsPerFact = 28

// wireClaim is the encoded form of a claim. Its half-precision floats are exact
// to one part in a thousand.
type wireClaim struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32
	Requests float32
	Tokens   float32
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeClaims encodes the claims of one fact.
func encodeClaims(claims []claim) ([]byte, error) {
	wire := make([]wireClaim, len(claims))
	for i, c := range claims {
		wire[i] = wireClaim{ID: c.id, Requests: roundToHalf(c.demand.requests), Tokens: roundToHalf(c.demand.tokens)}
	}
	data, err := encMode.Marshal(wire)
	return data, Error.Wrap(err)
}

// droppedBits is the number of low bits to clear in a float32 to leave the
// eleven significant bits of a half-precision float.
const droppedBits = 13

// roundToHalf clears the bits that the encoding drops, so that a host computes
// its own share from the same figures as the other hosts.
func roundToHalf(v float64) float32 {
	bits := math.Float32bits(float32(v))
	return math.Float32frombits(bits &^ (1<<droppedBits - 1))
}

// decodeClaims decodes the claims of one fact.
func decodeClaims(payload []byte) ([]claim, error) {
	var wire []wireClaim
	if err := cbor.Unmarshal(payload, &wire); err != nil {
		return nil, Error.Wrap(err)
	}
	claims := make([]claim, len(wire))
	for i, w := range wire {
		if !isValidAmount(w.Requests) || !isValidAmount(w.Tokens) {
			return nil, Error.New("claim out of range")
		}
		claims[i] = claim{id: w.ID, demand: demand{requests: float64(w.Requests), tokens: float64(w.Tokens)}}
	}
	return claims, nil
}

func isValidAmount(v float32) bool {
	return v >= 0 && !math.IsInf(float64(v), 0) && !math.IsNaN(float64(v))
}
