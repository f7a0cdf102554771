// Package loop runs the loops of a program as servers of kratos, so that they
// start and stop with it.
package loop

import (
	"context"

	"github.com/go-kratos/kratos/v2/transport"
)

// Server is a loop. It implements transport.Server.
type Server struct {
	run    func(context.Context) error
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
}

var _ transport.Server = (*Server)(nil)

// New returns a loop that runs from Start until Stop.
func New(run func(context.Context) error) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{run: run, cancel: cancel, ctx: ctx, done: make(chan struct{})}
}

// Start runs the loop until Stop.
func (t *Server) Start(context.Context) error {
	defer close(t.done)
	err := t.run(t.ctx)
	if t.ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop ends the loop and waits for it.
func (t *Server) Stop(ctx context.Context) error {
	t.cancel()
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
