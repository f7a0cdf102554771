package quote

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisylug.example/scheduler/platform"
)

// UnresponsiveError reports a connection on which no answer arrived.
type UnresponsiveError struct {
	Worker string
	// Outcome is the outcome of the attempt that the worker reported on another
	// connection; empty if it reported none.
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
	conns *workerConns
}

// Run implements platform.Worker. It sends the attempt once. For an unresponsive
// connection it returns *platform.UnavailableError if the worker has confirmed
// that the attempt never starts, and *platform.UnknownOutcomeError otherwise.
func (c *client) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	conns := c.conns
	if err := conns.beginRun(); err != nil {
		return platform.Answer{}, err
	}
	defer conns.endRun()
	pc, err := conns.acquire(ctx, false)
	if err != nil {
		return platform.Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		conns.release(pc)
		return platform.Answer{}, &platform.UnavailableError{Service: "worker", Cause: err}
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(conns.pool.options.StallTimeout, func() { c.monitorAttempt(runCtx, cancel, r.Ref) })
	a, err := pc.conn.Run(runCtx, r)
	stallTimer.Stop()
	return a, c.finishRun(runCtx, pc, err)
}

// finishRun returns the connection to the pool or closes it, and returns the
// error to report.
func (c *client) finishRun(runCtx context.Context, pc *pooledConn, err error) error {
	if err == nil || classifyError(err) == outcomeBusy || classifyError(err) == outcomeLeaving {
		c.conns.release(pc)
		return err
	}
	var unresponsive *UnresponsiveError
	if !errors.As(context.Cause(runCtx), &unresponsive) {
		// A late answer may still arrive on this connection.
		c.conns.closeConn(pc)
		return err
	}
	c.conns.replace(pc)
	if unresponsive.Outcome == platform.OutcomeNotStarted {
		return &platform.UnavailableError{Service: "worker", Cause: unresponsive}
	}
	return &platform.UnknownOutcomeError{Service: "worker", Cause: unresponsive}
}

// maxRevokeFailures is the number of consecutive failed revocations after which
// a worker counts as unreachable.
const maxRevokeFailures = 2

// monitorAttempt calls Revoke on another connection to learn the outcome of a
// long-running attempt, at intervals until the attempt ends. It cancels the
// attempt if its answer is not going to arrive.
func (c *client) monitorAttempt(runCtx context.Context, cancel context.CancelCauseFunc, ref platform.RequestRef) {
	o := c.conns.pool.options
	failures := 0
	for runCtx.Err() == nil {
		outcome, err := c.Revoke(runCtx, ref)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		switch {
		case failures >= maxRevokeFailures || (err == nil && outcome == platform.OutcomeNotStarted):
			cancel(&UnresponsiveError{Worker: c.conns.workerInfo().Name, Outcome: outcome})
			return
		case err == nil && outcome == platform.OutcomeDone:
			// The answer may be in transit.
			sleep(runCtx, o.ProbeTimeout)
			cancel(&UnresponsiveError{Worker: c.conns.workerInfo().Name, Outcome: outcome})
			return
		}
		sleep(runCtx, o.StallTimeout)
	}
}

// maxCallAttempts is the maximum number of connections on which one Revoke or
// Probe is sent.
const maxCallAttempts = 3

// Revoke implements platform.Worker. It retries, since revocation is idempotent.
func (c *client) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	var outcome platform.Outcome
	err := c.callWithRetry(ctx, func(ctx context.Context, conn Conn) error {
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
	err := c.callWithRetry(ctx, func(ctx context.Context, conn Conn) error {
		var err error
		load, err = conn.Probe(ctx)
		return err
	})
	return load, err
}

// callWithRetry makes a short idempotent call. After a failure it repeats the
// call on a new connection.
func (c *client) callWithRetry(ctx context.Context, call func(context.Context, Conn) error) error {
	conns := c.conns
	var last error
	for attempt := range maxCallAttempts {
		pc, err := conns.acquire(ctx, attempt > 0)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, conns.pool.options.ProbeTimeout)
		last = call(callCtx, pc.conn)
		expired := callCtx.Err() != nil && ctx.Err() == nil
		cancel()
		switch {
		case last == nil:
			conns.release(pc)
			return nil
		case expired:
			conns.replace(pc)
		default:
			conns.closeConn(pc)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return last
}
