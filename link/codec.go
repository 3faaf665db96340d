package link

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// DefaultMaxMessageBytes is the default limit of a request or response.
const DefaultMaxMessageBytes = 16 << 20

// Limits on a decoded message, against hostile input.
const (
	maxNesting  = 32
	maxElements = 4 << 20
)

// codec is a drpc.Encoding that carries plain Go values as CBOR.
type codec struct {
	maxBytes int
	enc      cbor.EncMode
	dec      cbor.DecMode
}

var _ drpc.Encoding = (*codec)(nil)

func newCodec(maxBytes int) *codec {
	if maxBytes <= 0 {
		maxBytes = DefaultMaxMessageBytes
	}
	return &codec{maxBytes: maxBytes, enc: encMode, dec: decMode}
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes one message.
func (c *codec) Marshal(msg drpc.Message) ([]byte, error) {
	if preencodedMsg, isPreencoded := msg.(preencoded); isPreencoded {
		return preencodedMsg, nil
	}
	data, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > c.maxBytes {
		return nil, Error.New("message of %d bytes is over the limit of %d", len(data), c.maxBytes)
	}
	return data, nil
}

// Unmarshal decodes one message into the value that msg points at.
func (c *codec) Unmarshal(data []byte, msg drpc.Message) error {
	target, isTarget := msg.(*responseTarget)
	if !isTarget {
		return Error.Wrap(c.dec.Unmarshal(data, msg))
	}
	if err := c.dec.Unmarshal(data, target.dest); err != nil {
		return Error.Wrap(err)
	}
	target.decoded = true
	return nil
}

// preencoded is a message that was encoded before the call began, so that an
// encoding error does not affect a connection.
type preencoded []byte

// responseTarget holds the value to decode a response into. It records whether the
// whole response was decoded, even if the connection fails afterwards.
type responseTarget struct {
	dest    any
	decoded bool
}

// newResponseTarget returns a target that decodes into out, or that discards the
// response when out is nil.
func newResponseTarget(out any) *responseTarget {
	if out == nil || reflect.ValueOf(out).IsZero() {
		return &responseTarget{dest: new(cbor.RawMessage)}
	}
	return &responseTarget{dest: out}
}
