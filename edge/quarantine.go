package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/directory"
)

// Prefixes of the store's keys for what has crashed upstreams. A host that starts when no other
// is left learns of it there. Hosts of an earlier version take every key with partPrefix for that
// of a part.
const (
	partPrefix    = "quarantine/"
	requestPrefix = "quarantined-requests/"
)

// quarantineStoreTimeout bounds writing a key to the store, with its lease.
const quarantineStoreTimeout = 3 * time.Second

// keepPart writes a condemned part of prompts to the store in the background. Without it, hosts
// that start together later have to find the part again.
func (h *Host) keepPart(part string, until time.Time) {
	value := strconv.FormatInt(until.UnixMilli(), 10)
	h.inStore("keep", partPrefix+part, func(ctx context.Context, key string) error {
		return h.platform.Keep(ctx, key, []byte(value), time.Until(until))
	})
}

// forgetPart removes a part that was released from the store in the background.
func (h *Host) forgetPart(part string) { h.inStore("forget", partPrefix+part, h.platform.Delete) }

// keepRequest writes a condemned request to the store in the background.
func (h *Host) keepRequest(name string, value []byte, ttl time.Duration) {
	h.inStore("keep", requestPrefix+name, func(ctx context.Context, key string) error {
		return h.platform.Keep(ctx, key, value, ttl)
	})
}

func (h *Host) inStore(action, key string, write func(ctx context.Context, key string) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineStoreTimeout)
		defer cancel()
		if err := write(ctx, key); err != nil {
			h.logger.Warn("quarantine not written to the store", "action", action, "key", key, "error", err.Error())
		}
	}()
}

// onStoreItem takes over what this host and others keep in the store.
func (h *Host) onStoreItem(item directory.Item) {
	if item.Removed {
		return
	}
	h.streams.OnArchived(item.Key, item.Value, time.Now())
	if part, found := strings.CutPrefix(item.Key, partPrefix); found {
		h.onStoredPart(part, item)
	}
	if name, found := strings.CutPrefix(item.Key, requestPrefix); found {
		if err := h.suspects.Kept(name, item.Value); err != nil {
			h.logger.Warn("condemned request in the store ignored", "revision", item.Revision, "error", err.Error())
		}
	}
}

// onStoredPart takes over a condemned part from the store.
func (h *Host) onStoredPart(part string, item directory.Item) {
	milli, err := strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil {
		h.logger.Warn("condemned part in the store ignored", "part", part, "revision", item.Revision, "error", err.Error())
		return
	}
	h.parts.Condemn(part, time.UnixMilli(milli), "store")
}
