package entry

import (
	klevel "github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// ServerLog passes kratos' log lines to klog.
func ServerLog(log klog.Logger) klevel.Logger { return serverLog{log} }

type serverLog struct{ log klog.Logger }

// Log implements the logger of kratos.
func (l serverLog) Log(level klevel.Level, keyvals ...any) error {
	if level >= klevel.LevelError {
		l.log.Error(nil, "server", keyvals...)
		return nil
	}
	l.log.V(2).Info("server", keyvals...)
	return nil
}
