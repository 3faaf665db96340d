package edge

import (
	"context"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
)

// reloadInterval is how often the settings are reread, since they may change
// without a signal.
const reloadInterval = time.Second

// FollowSettings rereads the settings on every signal and once a second, until
// ctx ends. If they can't be read, the previous ones stay in force.
func (h *Host) FollowSettings(ctx context.Context, signals <-chan os.Signal, read func() (Settings, error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		h.reload(signalled, read)
	}
}

// reload rereads the settings and applies those that may change while the host runs: the
// grace period, the retry bounds and the store's address. Others need a restart and are
// named in a warning.
func (h *Host) reload(signalled bool, read func() (Settings, error)) {
	updated, err := read()
	defaults.Set(&updated.DrainDelay, DefaultDrainDelay)
	defaults.Set(&updated.VersionMemory, DefaultVersionMemory)
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	if err != nil {
		// Log a repeated error once, not every second.
		if text := err.Error(); text != h.lastReloadError || signalled {
			h.lastReloadError = text
			h.logger.Error("failed to reload settings", "signalled", signalled, "error", text)
		}
		return
	}
	h.lastReloadError = ""
	before := h.latestSettings
	changed := !reflect.DeepEqual(updated, before)
	h.latestSettings = updated
	if !changed && !signalled {
		return
	}
	h.retries.SetBounds(updated.Retries)
	if updated.StoreAddr != before.StoreAddr {
		h.platform.MoveStore(updated.StoreAddr)
	}
	h.logger.Info("settings reloaded", "signalled", signalled, "changed", changed, "grace_ms", updated.Grace.Milliseconds(),
		"retry_ratio", updated.Retries.Ratio, "retry_slack", updated.Retries.Slack, "store", updated.StoreAddr.String())
	kept := restartSettings(h.settings, updated)
	h.pendingSettings.Set(float64(len(kept)))
	if len(kept) > 0 {
		h.logger.Warn("changed settings are not in force until a restart", "settings", kept)
	}
}

// reloadable are the fields of Settings that take effect without a restart.
var reloadable = []string{"Grace", "Retries", "StoreAddr"}

// restartSettings returns the names of the settings that differ from those that the host was
// started with and take effect only at the next start.
func restartSettings(started, updated Settings) (names []string) {
	was, is := reflect.ValueOf(started), reflect.ValueOf(updated)
	for i := range was.NumField() {
		name := was.Type().Field(i).Name
		if !slices.Contains(reloadable, name) && !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}

// grace returns the time from the request to stop until the process must have
// exited.
func (h *Host) grace() time.Duration {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	return h.latestSettings.Grace
}
