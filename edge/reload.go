package edge

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
)

// reloadInterval is how often the settings are read again: they may change
// without a signal.
const reloadInterval = time.Second

// FollowSettings reads the settings again at every signal and once a second,
// until ctx ends. Settings that can't be read change nothing.
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

// reload takes in changed settings.
func (h *Host) reload(signalled bool, read func() (Settings, error)) {
	next, err := read()
	defaults.Set(&next.LeaveRotation, DefaultLeaveRotation)
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	if err != nil {
		// Told once for each new error, not once a second.
		if text := err.Error(); text != h.settingsError || signalled {
			h.settingsError = text
			h.logger.Error("settings not reloaded", "signalled", signalled, "error", text)
		}
		return
	}
	h.settingsError = ""
	changed := !reflect.DeepEqual(next, h.newest)
	h.newest = next
	if !changed && !signalled {
		return
	}
	needsRestart := next.Callers != h.settings.Callers || next.Readiness != h.settings.Readiness || next.Peers != h.settings.Peers
	h.retries.SetBounds(next.Retries)
	h.logger.Info("settings reloaded", "signalled", signalled, "changed", changed, "needs_restart", needsRestart,
		"grace_ms", next.Grace.Milliseconds(), "retry_ratio", next.Retries.Ratio, "retry_slack", next.Retries.Slack)
}

// grace is the time from the order to stop to the end of the process.
func (h *Host) grace() time.Duration {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	return h.newest.Grace
}
