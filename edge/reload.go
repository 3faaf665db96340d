package edge

import (
	"context"
	"os"
	"reflect"
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

// reload rereads the settings and applies the grace period and retry bounds.
// Changes of other settings need a restart.
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
	changed := !reflect.DeepEqual(updated, h.latestSettings)
	h.latestSettings = updated
	if !changed && !signalled {
		return
	}
	needsRestart := updated.CallerAddr != h.settings.CallerAddr || updated.ReadinessAddr != h.settings.ReadinessAddr || updated.PeerAddr != h.settings.PeerAddr
	h.retries.SetBounds(updated.Retries)
	h.logger.Info("settings reloaded", "signalled", signalled, "changed", changed, "needs_restart", needsRestart,
		"grace_ms", updated.Grace.Milliseconds(), "retry_ratio", updated.Retries.Ratio, "retry_slack", updated.Retries.Slack)
}

// grace returns the time from the request to stop until the process must have
// exited.
func (h *Host) grace() time.Duration {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	return h.latestSettings.Grace
}
