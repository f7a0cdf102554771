// Package ingress bounds what the clients of an HTTP/1.1 server can make it hold:
// connections, heads and bodies of requests, and answers that are not read.
//
// Memory is charged as bytes arrive. If a limit is reached, the request that has
// been arriving for the longest time makes room, so that clients which send
// nothing more cannot keep out those which do.
package ingress

import "time"

// Limits are the limits of a server.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the maximum size of all heads and bodies held at a time.
	Bytes int64
	// HeaderBytes is the maximum size of a head.
	HeaderBytes int
	// HeaderTimeout is the time within which a head must arrive, from its first byte.
	HeaderTimeout time.Duration
	// BodyTimeout is the time within which a body must arrive, from the end of its head.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteTimeout is the time within which a client must read a part of an answer.
	WriteTimeout time.Duration
}

// Defaults of the limits.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultWriteTimeout  = 10 * time.Second
)

const (
	// connectionBytes is what an open connection takes: its goroutines, their stacks
	// and buffers, and what the kernel has received for it.
	connectionBytes = 32 << 10
	// connectionShare and byteShare are the parts of the memory for connections, and
	// for heads and bodies.
	connectionShare = 1.0 / 6
	byteShare       = 1.0 / 12
	// descriptorShare is the part of the descriptors for connections. The rest is left
	// for the connections to other services.
	descriptorShare = 0.5
)

// DefaultLimits returns the limits of a server whose process may use the given
// memory, in bytes, and number of descriptors.
func DefaultLimits(memory int64, descriptors int) Limits {
	connections := min(connectionShare*float64(memory)/connectionBytes, descriptorShare*float64(descriptors))
	return Limits{
		Connections:   max(int(connections), 1),
		Bytes:         int64(byteShare * float64(memory)),
		HeaderBytes:   defaultHeaderBytes,
		HeaderTimeout: defaultHeaderTimeout,
		BodyTimeout:   defaultBodyTimeout,
		IdleTimeout:   defaultIdleTimeout,
		WriteTimeout:  defaultWriteTimeout,
	}
}

// WithConnections returns the limits with a maximum number of connections.
func (l Limits) WithConnections(n int) Limits {
	l.Connections = n
	return l
}

// WithHeader returns the limits with other ones for heads, where they are not 0.
func (l Limits) WithHeader(maxBytes int, timeout time.Duration) Limits {
	if maxBytes > 0 {
		l.HeaderBytes = maxBytes
	}
	if timeout > 0 {
		l.HeaderTimeout = timeout
	}
	return l
}

// bodiesHeld is the number of the largest bodies for which there must be memory.
// While a buffer grows, the former one is held as well.
const bodiesHeld = 4

// WithBody returns the limits with room for bodies of the given size.
func (l Limits) WithBody(maxBytes int64) Limits {
	l.Bytes = max(l.Bytes, bodiesHeld*maxBytes)
	return l
}

// WithIdleTimeout returns the limits with another idle timeout, if it is not 0.
func (l Limits) WithIdleTimeout(timeout time.Duration) Limits {
	if timeout > 0 {
		l.IdleTimeout = timeout
	}
	return l
}
