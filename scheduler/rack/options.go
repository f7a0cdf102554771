package rack

import "k8s.io/klog/v2"

// Option changes a default of New or NewManager.
type Option func(*settings)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l klog.Logger) Option {
	return func(s *settings) { s.log = l }
}

type settings struct {
	log klog.Logger
}

func newSettings(options []Option) settings {
	var s settings
	for _, o := range options {
		o(&s)
	}
	return s
}
