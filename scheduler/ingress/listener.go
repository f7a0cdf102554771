package ingress

import "net"

// listener limits the connections that it accepts.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, limiter: l.limiter}
		if l.limiter.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}
