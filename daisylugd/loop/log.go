package loop

import (
	klevel "github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// NewKratosLogger passes kratos' log lines to klog.
func NewKratosLogger(log klog.Logger) klevel.Logger { return kratosLog{log} }

type kratosLog struct{ log klog.Logger }

// Log implements the logger of kratos.
func (l kratosLog) Log(level klevel.Level, keyvals ...any) error {
	if level >= klevel.LevelError {
		l.log.Error(nil, "server", keyvals...)
		return nil
	}
	l.log.V(2).Info("server", keyvals...)
	return nil
}
