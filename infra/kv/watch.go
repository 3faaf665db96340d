package kv

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// Watch reads the key and then watches it from the revision after the read, so
// that it misses no change in between. If the receiver is slow, the channel keeps
// only the newest entry.
func (c *Client) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	current, revision, err := c.getWithRevision(ctx, key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.openWatch(ctx, cancel, key, revision+1)
	if err != nil {
		cancel()
		return nil, err
	}
	w := &watch{client: c, key: key, stream: stream, out: make(chan infra.Entry, 1), cancel: cancel}
	w.deliver(current)
	go w.run(ctx)
	return w.out, nil
}

// watchStream is an open watch call.
type watchStream struct {
	body    io.ReadCloser
	decoder *json.Decoder
}

// openWatch starts the watch call and waits until the service confirms it. If
// that takes longer than the client's Timeout, it calls cancel, which ends ctx.
// The open stream has no timeout.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, key string, start int64) (*watchStream, error) {
	timeout := time.AfterFunc(c.cfg.Timeout, cancel)
	defer timeout.Stop()
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: start}})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.post(ctx, c.currentEndpoint(), "/v3/watch", readCall, body)
	if err != nil {
		return nil, err
	}
	s := &watchStream{body: resp.Body, decoder: json.NewDecoder(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes)) // the status alone identifies the error
		return nil, statusError(resp.Status, data, readCall)
	}
	first, err := s.next()
	if err == nil && !first.Created {
		err = wrap(infra.ErrUnavailable, Error.New("watch not created"))
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return s, nil
}

// next returns the next message of the stream.
func (s *watchStream) next() (*watchResponse, error) {
	var m watchMessage
	if err := s.decoder.Decode(&m); err != nil {
		return nil, wrap(infra.ErrUnavailable, err)
	}
	if m.Error != nil {
		return nil, wrap(infra.ErrUnavailable, Error.New("%s", m.Error.message()))
	}
	if m.Result == nil || m.Result.Canceled {
		return nil, wrap(infra.ErrUnavailable, Error.New("watch cancelled by the service"))
	}
	return m.Result, nil
}

// watch delivers the changes of one key to out.
type watch struct {
	client *Client
	key    string
	stream *watchStream
	out    chan infra.Entry
	cancel context.CancelFunc
	last   infra.Version
}

// run delivers changes until the stream breaks, a refresh fails or ctx ends.
func (w *watch) run(ctx context.Context) {
	defer close(w.out)
	defer w.cancel()
	events := make(chan infra.Entry)
	go w.receive(ctx, events)
	refresh := time.NewTicker(w.client.cfg.WatchRefresh)
	defer refresh.Stop()
	for {
		select {
		case entry, ok := <-events:
			if !ok {
				return
			}
			w.deliver(entry)
		case <-refresh.C:
			entry, err := w.client.Get(ctx, w.key)
			if err != nil {
				w.cancel()
				w.drain(events)
				return
			}
			if entry.Version != w.last {
				w.deliver(entry)
			}
		}
	}
}

// drain discards events until receive has returned.
func (w *watch) drain(events <-chan infra.Entry) {
	for range events {
		continue
	}
}

// receive reads the stream until it breaks.
func (w *watch) receive(ctx context.Context, events chan<- infra.Entry) {
	defer close(events)
	defer w.stream.body.Close()
	for {
		message, err := w.stream.next()
		if err != nil {
			return
		}
		for _, e := range message.Events {
			select {
			case events <- w.eventEntry(e):
			case <-ctx.Done():
				return
			}
		}
	}
}

// eventEntry returns the key's entry after an event.
func (w *watch) eventEntry(e watchEvent) infra.Entry {
	if e.Type == eventDelete {
		return infra.Entry{Key: w.key}
	}
	return toEntry(e.Kv)
}

// deliver sends an entry, replacing one that the reader has not yet received.
// Only one goroutine sends at a time, so the second send can't block.
func (w *watch) deliver(entry infra.Entry) {
	w.last = entry.Version
	select {
	case w.out <- entry:
		return
	default:
	}
	select {
	case <-w.out:
	default:
	}
	w.out <- entry
}
