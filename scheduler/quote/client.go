package quote

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisylug.example/scheduler/platform"
)

// UnresponsiveError reports a connection on which no answer arrives.
type UnresponsiveError struct {
	Worker string
	// Outcome is what the worker says of the attempt on another connection;
	// empty if it did not say.
	Outcome platform.Outcome
}

func (e *UnresponsiveError) Error() string {
	if e.Outcome == "" {
		return fmt.Sprintf("worker %s does not answer", e.Worker)
	}
	return fmt.Sprintf("connection to worker %s is silent; the attempt is %s", e.Worker, e.Outcome)
}

// client is a platform.Worker whose quick requests use the pool.
type client struct {
	platform.Worker
	host *host
}

// Run implements platform.Worker. It sends the attempt once. A connection that
// went silent yields *platform.UnavailableError if the worker has confirmed
// that the attempt never starts, and *platform.UnknownError otherwise.
func (c *client) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	h := c.host
	if err := h.beginRun(); err != nil {
		return platform.Answer{}, err
	}
	defer h.endRun()
	l, err := h.take(ctx, false)
	if err != nil {
		return platform.Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		h.put(l)
		return platform.Answer{}, &platform.UnavailableError{Service: "worker", Cause: err}
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(h.pool.options.StallAfter, func() { c.inspect(run, cancel, r.Ref) })
	a, err := l.conn.Run(run, r)
	watch.Stop()
	return a, c.conclude(run, l, err)
}

// conclude keeps or closes the connection and returns the error to report.
func (c *client) conclude(run context.Context, l *link, err error) error {
	if err == nil || classifyError(err) == outcomeBusy || classifyError(err) == outcomeLeaving {
		c.host.put(l)
		return err
	}
	var silent *UnresponsiveError
	if !errors.As(context.Cause(run), &silent) {
		// A late answer may still arrive on this connection.
		c.host.drop(l)
		return err
	}
	c.host.replace(l)
	if silent.Outcome == platform.OutcomeNotStarted {
		return &platform.UnavailableError{Service: "worker", Cause: silent}
	}
	return &platform.UnknownOutcomeError{Service: "worker", Cause: silent}
}

// maxUnasked is the number of failed questions after which a worker counts as
// unreachable.
const maxUnasked = 2

// inspect asks the worker on another connection what became of an attempt that
// takes long, until it ends. It cancels the attempt when its answer will not
// arrive.
func (c *client) inspect(run context.Context, cancel context.CancelCauseFunc, ref platform.RequestRef) {
	o := c.host.pool.options
	failures := 0
	for run.Err() == nil {
		outcome, err := c.Revoke(run, ref)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		switch {
		case failures >= maxUnasked || (err == nil && outcome == platform.OutcomeNotStarted):
			cancel(&UnresponsiveError{Worker: c.host.worker().Name, Outcome: outcome})
			return
		case err == nil && outcome == platform.OutcomeDone:
			// The answer may be on its way.
			sleep(run, o.ProbeTimeout)
			cancel(&UnresponsiveError{Worker: c.host.worker().Name, Outcome: outcome})
			return
		}
		sleep(run, o.StallAfter)
	}
}

// revokeTries is the number of connections on which Revoke asks.
const revokeTries = 3

// Revoke implements platform.Worker. Asking again is safe.
func (c *client) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	var outcome platform.Outcome
	err := c.ask(ctx, func(ctx context.Context, conn Conn) error {
		var err error
		outcome, err = conn.Revoke(ctx, ref)
		return err
	})
	if err != nil {
		return "", err
	}
	return outcome, nil
}

// Probe implements platform.Worker.
func (c *client) Probe(ctx context.Context) (platform.Load, error) {
	var load platform.Load
	err := c.ask(ctx, func(ctx context.Context, conn Conn) error {
		var err error
		load, err = conn.Probe(ctx)
		return err
	})
	return load, err
}

// ask makes a short call that may be repeated, after a failure on a new
// connection.
func (c *client) ask(ctx context.Context, call func(context.Context, Conn) error) error {
	h := c.host
	var last error
	for try := range revokeTries {
		l, err := h.take(ctx, try > 0)
		if err != nil {
			return err
		}
		short, cancel := context.WithTimeout(ctx, h.pool.options.ProbeTimeout)
		last = call(short, l.conn)
		expired := short.Err() != nil && ctx.Err() == nil
		cancel()
		switch {
		case last == nil:
			h.put(l)
			return nil
		case expired:
			h.replace(l)
		default:
			h.drop(l)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return last
}
