package dispatch

import (
	"context"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/remote"
	"daisylug.example/scheduler/quote"
)

// httpDialer opens connections for quick requests. It implements quote.Dialer.
type httpDialer struct{}

// Dial implements quote.Dialer.
func (httpDialer) Dial(_ context.Context, w platform.WorkerInfo) (quote.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	client := remote.NewWorker(w, remote.Options{WorkerConnections: 1})
	return &httpConn{worker: client, ctx: ctx, cancel: cancel}, nil
}

// httpConn is a connection to one worker.
type httpConn struct {
	worker *remote.Worker
	ctx    context.Context
	cancel context.CancelFunc
}

// Run implements quote.Conn.
func (c *httpConn) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	ctx, done := c.bindContext(ctx)
	defer done()
	return c.worker.Run(ctx, r)
}

// Revoke implements quote.Conn.
func (c *httpConn) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	ctx, done := c.bindContext(ctx)
	defer done()
	return c.worker.Revoke(ctx, ref)
}

// Probe implements quote.Conn.
func (c *httpConn) Probe(ctx context.Context) (platform.Load, error) {
	ctx, done := c.bindContext(ctx)
	defer done()
	return c.worker.Probe(ctx)
}

// Close implements quote.Conn. It also cancels a call in flight.
func (c *httpConn) Close() error {
	c.cancel()
	c.worker.Reset()
	return nil
}

// bindContext returns a context that is also cancelled when the connection
// closes.
func (c *httpConn) bindContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
