package member

import (
	"context"
	"net"
)

// Transport connects instances. Listen returns the implementation over TCP.
type Transport interface {
	// Dial opens a session to the instance with the peer interface at address.
	Dial(ctx context.Context, address string) (Session, error)

	// Accept waits for a session opened by another instance.
	Accept(ctx context.Context) (Session, error)
}

// Session is one connection that carries independent streams.
type Session interface {
	// Open starts a stream.
	Open(ctx context.Context) (net.Conn, error)

	// Accept waits for a stream started by the other side.
	Accept(ctx context.Context) (net.Conn, error)

	// Close ends the session and all its streams.
	Close() error
}
