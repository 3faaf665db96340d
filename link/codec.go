package link

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// DefaultMaxMessageBytes is the largest request or answer unless set otherwise.
const DefaultMaxMessageBytes = 16 << 20

// Bounds on what a decoded message may hold, against hostile input.
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
	if ready, isReady := msg.(encoded); isReady {
		return ready, nil
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
	answer, isAnswer := msg.(*answer)
	if !isAnswer {
		return Error.Wrap(c.dec.Unmarshal(data, msg))
	}
	if err := c.dec.Unmarshal(data, answer.into); err != nil {
		return Error.Wrap(err)
	}
	answer.decoded = true
	return nil
}

// encoded is a message that was encoded before the call began, so that a
// message that can't be encoded touches no connection.
type encoded []byte

// answer remembers that the whole answer came, whatever happens to the
// connection afterwards.
type answer struct {
	into    any
	decoded bool
}

// newAnswer decodes into out, or into nothing when out is nil.
func newAnswer(out any) *answer {
	if out == nil || reflect.ValueOf(out).IsZero() {
		return &answer{into: new(cbor.RawMessage)}
	}
	return &answer{into: out}
}
