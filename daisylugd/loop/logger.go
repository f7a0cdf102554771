package loop

import (
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// NewKratosLogger returns a kratos logger that writes to a klog logger.
func NewKratosLogger(log klog.Logger) kratoslog.Logger { return kratosLogger{log} }

type kratosLogger struct{ log klog.Logger }

// Log implements the Logger interface of kratos.
func (l kratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
	if level >= kratoslog.LevelError {
		l.log.Error(nil, "kratos message", keyvals...)
		return nil
	}
	l.log.V(2).Info("kratos message", keyvals...)
	return nil
}
