// Package loop runs background loops of a program as kratos servers, so that
// they start and stop with it.
package loop

import (
	"context"

	"github.com/go-kratos/kratos/v2/transport"
)

// Server runs a loop function. It implements transport.Server.
type Server struct {
	run    func(context.Context) error
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
}

var _ transport.Server = (*Server)(nil)

// New returns a Server that calls run on Start and cancels its context on Stop.
func New(run func(context.Context) error) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{run: run, cancel: cancel, ctx: ctx, done: make(chan struct{})}
}

// Start runs the loop until Stop or until the loop returns.
func (s *Server) Start(context.Context) error {
	defer close(s.done)
	err := s.run(s.ctx)
	if s.ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop cancels the loop and waits until it has returned or ctx is cancelled.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
