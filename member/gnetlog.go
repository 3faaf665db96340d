package member

import (
	"fmt"
	"log/slog"
)

// gnetLogger writes the log lines of gnet's event loop to the host's logger.
type gnetLogger struct {
	logger *slog.Logger
}

// Debugf logs at debug level.
func (l gnetLogger) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }

// Infof logs at debug level: gnet uses it for starts and stops of the loop, which
// are of no interest to the host's operators.
func (l gnetLogger) Infof(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }

// Warnf logs a warning.
func (l gnetLogger) Warnf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }

// Errorf logs an error.
func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }

// Fatalf logs an error. It does not exit: the loop ends by itself.
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
