package kv

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// Watch reads the key and then watches it from the revision of the read, so
// that no change falls in between. The channel keeps only the newest entry for
// a slow reader.
func (c *Client) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	current, revision, err := c.read(ctx, key)
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

// openWatch makes the watch call and waits until the service confirms it. The
// call's timeout ends it through cancel, as the stream itself has none.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, key string, start int64) (*watchStream, error) {
	timeout := time.AfterFunc(c.cfg.Timeout, cancel)
	defer timeout.Stop()
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: start}})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.post(ctx, c.endpoint(), "/v3/watch", noEffect, body)
	if err != nil {
		return nil, err
	}
	s := &watchStream{body: resp.Body, decoder: json.NewDecoder(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)) // the status says enough
		return nil, statusError(resp.Status, data, noEffect)
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
		return nil, wrap(infra.ErrUnavailable, Error.New("%s", m.Error.text()))
	}
	if m.Result == nil || m.Result.Canceled {
		return nil, wrap(infra.ErrUnavailable, Error.New("watch cancelled by the service"))
	}
	return m.Result, nil
}

// watch passes the changes of one key on.
type watch struct {
	client *Client
	key    string
	stream *watchStream
	out    chan infra.Entry
	cancel context.CancelFunc
	last   infra.Version
}

// run passes changes on until the stream breaks or ctx ends.
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

// drain waits until the receiver has ended.
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
			case events <- w.entry(e):
			case <-ctx.Done():
				return
			}
		}
	}
}

// entry returns the key as a change leaves it.
func (w *watch) entry(e watchEvent) infra.Entry {
	if e.Type == eventDelete {
		return infra.Entry{Key: w.key}
	}
	return entryOf(e.Kv)
}

// deliver hands on an entry in place of one that was not yet taken. Only the
// run goroutine sends, so the second send can't block.
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
