package memory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// Worker is one view of a worker. It implements platform.Worker; its other
// methods change the worker for all views.
type Worker struct {
	*Injector
	m *machine
}

func taskName(ref platform.TaskRef) string {
	return fmt.Sprintf("%s/%d/%d", ref.Job, ref.Member, ref.Attempt)
}

func (m *machine) service() string { return "worker " + m.info.Name }

// connect occupies one of the worker's connections.
func (m *machine) connect() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown() {
		return &platform.UnavailableError{Service: m.service(), Cause: errDown}
	}
	if limit := m.info.Connections; limit > 0 && m.calls >= limit {
		return &platform.UnavailableError{Service: m.service(), Cause: errConnections}
	}
	m.calls++
	return nil
}

func (m *machine) disconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls--
}

// ask carries out do on the worker's state under the faults of w.
func ask[T any](ctx context.Context, w Worker, write bool, do func(now time.Time) (T, error)) (T, error) {
	var zero T
	if err := w.m.connect(); err != nil {
		return zero, err
	}
	defer w.m.disconnect()
	return call(ctx, w.Injector, write, func() (T, error) {
		w.m.mu.Lock()
		defer w.m.mu.Unlock()
		if w.m.isDown() {
			return zero, w.failed(write, errDown)
		}
		now := time.Now()
		w.m.advance(now)
		return do(now)
	})
}

// command is ask for a command under a generation.
func command(ctx context.Context, w Worker, g platform.Generation, do func(now time.Time) error) error {
	_, err := ask(ctx, w, true, func(now time.Time) (struct{}, error) {
		if err := w.m.check(g); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, do(now)
	})
	return err
}

// Claim implements platform.Worker.
func (w Worker) Claim(ctx context.Context, l platform.Lease) (platform.Inventory, error) {
	return ask(ctx, w, true, func(now time.Time) (platform.Inventory, error) {
		return w.m.claim(now, l)
	})
}

// Reserve implements platform.Worker.
func (w Worker) Reserve(ctx context.Context, r platform.Reservation) error {
	return command(ctx, w, r.Generation, func(time.Time) error { return w.m.reserve(r) })
}

// Commit implements platform.Worker.
func (w Worker) Commit(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(now time.Time) error { return w.m.commit(now, ref) })
}

// Release implements platform.Worker.
func (w Worker) Release(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(time.Time) error {
		w.m.release(ref)
		return nil
	})
}

// Stop implements platform.Worker.
func (w Worker) Stop(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(now time.Time) error {
		w.m.stop(now, ref)
		return nil
	})
}

// Checkpoint implements platform.Worker.
func (w Worker) Checkpoint(ctx context.Context, g platform.Generation, ref platform.TaskRef) (platform.Checkpoint, error) {
	return ask(ctx, w, true, func(now time.Time) (platform.Checkpoint, error) {
		if err := w.m.check(g); err != nil {
			return platform.Checkpoint{}, err
		}
		t, err := w.m.running(ref)
		if err != nil {
			return platform.Checkpoint{}, err
		}
		c := platform.Checkpoint{
			Name:  fmt.Sprintf("%s@%d", taskName(ref), now.UnixNano()),
			Share: t.progress(now),
		}
		w.m.saved.Store(c.Name, c.Share)
		return c, nil
	})
}

// Throttle implements platform.Worker.
func (w Worker) Throttle(ctx context.Context, g platform.Generation, ref platform.TaskRef, share float64) error {
	return command(ctx, w, g, func(now time.Time) error {
		t, err := w.m.running(ref)
		if err != nil {
			return err
		}
		t.throttle = min(max(share, 0), 1)
		t.retime(now, w.m.speed)
		return nil
	})
}

// Acknowledge implements platform.Worker.
func (w Worker) Acknowledge(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(time.Time) error {
		w.m.acknowledge(ref)
		return nil
	})
}

// usagePage is the largest number of reports in one answer.
const usagePage = 1000

// Usage implements platform.Worker.
func (w Worker) Usage(ctx context.Context, after uint64) ([]platform.UsageReport, error) {
	return ask(ctx, w, false, func(now time.Time) ([]platform.UsageReport, error) {
		first := min(after, uint64(len(w.m.reports)))
		var visible []platform.UsageReport
		for _, r := range w.m.reports[first:] {
			if now.Before(r.Until.Add(w.m.conf.UsageLag)) || len(visible) == usagePage {
				break
			}
			visible = append(visible, r)
		}
		return visible, nil
	})
}

// Run implements platform.Worker.
func (w Worker) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	if err := w.m.connect(); err != nil {
		return platform.Answer{}, err
	}
	defer w.m.disconnect()
	r.Payload = slices.Clone(r.Payload)
	return call(ctx, w.Injector, true, func() (platform.Answer, error) {
		return w.m.execute(ctx, r)
	})
}

// Revoke implements platform.Worker.
func (w Worker) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	return ask(ctx, w, true, func(now time.Time) (platform.Outcome, error) {
		if w.m.forgot(now, ref) {
			return "", w.failed(true, errForgotten)
		}
		return w.m.revoke(now, ref), nil
	})
}

// Probe implements platform.Worker.
func (w Worker) Probe(ctx context.Context) (platform.Load, error) {
	return ask(ctx, w, false, func(time.Time) (platform.Load, error) {
		return w.m.load(), nil
	})
}
