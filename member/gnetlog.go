package member

import (
	"fmt"
	"log/slog"
)

// eventLog takes what the event loop logs into the host's own log.
type eventLog struct {
	logger *slog.Logger
}

// Debugf logs below the level that is shown by default.
func (l eventLog) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }

// Infof logs below the level that is shown by default: starts and stops of the
// loop are no news of the host.
func (l eventLog) Infof(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }

// Warnf logs a warning.
func (l eventLog) Warnf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }

// Errorf logs an error.
func (l eventLog) Errorf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }

// Fatalf logs an error; the loop ends by itself.
func (l eventLog) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
