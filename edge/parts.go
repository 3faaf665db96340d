package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/directory"
)

// partPrefix is the prefix of the store's keys for condemned parts of prompts. A host that
// starts when no other is left learns of them there.
const partPrefix = "quarantine/"

// partStoreTimeout bounds writing a condemned part to the store, with its lease.
const partStoreTimeout = 3 * time.Second

// keepPart writes a condemned part to the store in the background. Without it, hosts that
// start together later have to find the part again.
func (h *Host) keepPart(part string, until time.Time) {
	value := strconv.FormatInt(until.UnixMilli(), 10)
	h.inStore("keep", part, func(ctx context.Context) error {
		return h.platform.Keep(ctx, partPrefix+part, []byte(value), time.Until(until))
	})
}

// forgetPart removes a part that was released from the store in the background.
func (h *Host) forgetPart(part string) {
	h.inStore("forget", part, func(ctx context.Context) error { return h.platform.Delete(ctx, partPrefix+part) })
}

func (h *Host) inStore(action, part string, write func(context.Context) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), partStoreTimeout)
		defer cancel()
		if err := write(ctx); err != nil {
			h.logger.Warn("condemned part not written to the store", "action", action, "part", part, "error", err.Error())
		}
	}()
}

// onStoreItem takes over what this host and others keep in the store.
func (h *Host) onStoreItem(item directory.Item) {
	if !item.Removed {
		h.streams.OnArchived(item.Key, item.Value, time.Now())
	}
	h.onStoredPart(item)
}

// onStoredPart takes over a condemned part from the store.
func (h *Host) onStoredPart(item directory.Item) {
	part, found := strings.CutPrefix(item.Key, partPrefix)
	if !found || item.Removed {
		return
	}
	milli, err := strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil {
		h.logger.Warn("condemned part in the store ignored", "part", part, "revision", item.Revision, "error", err.Error())
		return
	}
	h.parts.Condemn(part, time.UnixMilli(milli), "store")
}
