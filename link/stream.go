package link

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/zeebo/errs"
)

// Stream is a sequence of messages in each direction between two hosts. One goroutine may
// send while another receives.
type Stream interface {
	// Send sends a message. It waits while the other host does not receive.
	Send(msg any) error
	// Recv receives the next message into msg. It returns an error once the other host
	// has ended the stream or the connection broke.
	Recv(msg any) error
}

// StreamHandler serves a stream that another host has opened. The stream ends when it
// returns, and ctx ends when the other host closes the stream or is lost.
type StreamHandler func(ctx context.Context, stream Stream) error

// ClientStream is a stream that this host has opened.
type ClientStream interface {
	Stream
	// Close closes the stream in both directions, also while Send or Recv wait.
	Close() error
}

// StreamOpener opens streams to other hosts. Implementations are safe for concurrent use.
type StreamOpener interface {
	// Open opens a stream that the peer serves with the handler of a method. ctx bounds
	// the opening only.
	Open(ctx context.Context, peer netip.AddrPort, method Method) (ClientStream, error)
}

var _ StreamOpener = (*Client)(nil)

// encodedStream is a drpc stream with the codec of its messages.
type encodedStream struct {
	drpc.Stream
	codec drpc.Encoding
}

func (s encodedStream) Send(msg any) error { return Error.Wrap(s.MsgSend(msg, s.codec)) }
func (s encodedStream) Recv(msg any) error { return Error.Wrap(s.MsgRecv(msg, s.codec)) }

// clientStream is a stream with a connection of its own.
type clientStream struct {
	encodedStream
	conn *pooledConn
}

// Close closes the connection, which ends a Send that waits for the peer.
func (s *clientStream) Close() error { return Error.Wrap(s.conn.Close()) }

// Open opens a stream on a connection of its own, so that a stream whose peer does not
// receive holds up nothing else. The peer learns of the stream with the first message.
func (c *Client) Open(ctx context.Context, peer netip.AddrPort, method Method) (ClientStream, error) {
	if err := c.auth.checkCredentials(); err != nil {
		return nil, err
	}
	conn, err := c.dial(ctx, peer)
	if err != nil {
		return nil, wrapNotSent(err)
	}
	// The stream's context ends with its connection.
	stream, err := conn.NewStream(context.WithoutCancel(ctx), string(method), c.codec)
	if err != nil {
		return nil, Error.Wrap(errs.Combine(err, conn.Close()))
	}
	return &clientStream{encodedStream: encodedStream{stream, c.codec}, conn: conn}, nil
}
