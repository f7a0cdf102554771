package member

import (
	"context"
	"net"
)

// Transport connects instances. TCP implements it.
type Transport interface {
	// Dial opens a session to the instance that listens for peers at address.
	Dial(ctx context.Context, address string) (Session, error)

	// Accept waits for a session opened by another instance.
	Accept(ctx context.Context) (Session, error)
}

// Session is a connection that multiplexes independent streams.
type Session interface {
	// Open opens a stream.
	Open(ctx context.Context) (net.Conn, error)

	// Accept waits for a stream opened by the other side.
	Accept(ctx context.Context) (net.Conn, error)

	// Close closes the session and all its streams.
	Close() error
}
