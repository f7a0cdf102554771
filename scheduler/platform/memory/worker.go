package memory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// Worker is a view of an in-memory platform.Worker. The methods that are not
// part of that interface control the worker for all views.
type Worker struct {
	*Injector
	machine *machine
}

func taskName(ref platform.TaskRef) string {
	return fmt.Sprintf("%s/%d/%d", ref.Job, ref.Member, ref.Attempt)
}

func (m *machine) serviceName() string { return "worker " + m.info.Name }

// connect takes one of the worker's connections.
func (m *machine) connect() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown() {
		return &platform.UnavailableError{Service: m.serviceName(), Cause: errDown}
	}
	if limit := m.info.Connections; limit > 0 && m.connections >= limit {
		return &platform.UnavailableError{Service: m.serviceName(), Cause: errConnections}
	}
	m.connections++
	return nil
}

func (m *machine) disconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections--
}

// invokeWorker calls do on the worker's up-to-date state under the faults of w.
func invokeWorker[T any](ctx context.Context, w Worker, write bool, do func(now time.Time) (T, error)) (T, error) {
	var zero T
	if err := w.machine.connect(); err != nil {
		return zero, err
	}
	defer w.machine.disconnect()
	return invoke(ctx, w.Injector, write, func() (T, error) {
		w.machine.mu.Lock()
		defer w.machine.mu.Unlock()
		if w.machine.isDown() {
			return zero, w.noResponseError(write, errDown)
		}
		now := time.Now()
		w.machine.advance(now)
		return do(now)
	})
}

// command is invokeWorker for a command that changes state under a generation.
func command(ctx context.Context, w Worker, g platform.Generation, do func(now time.Time) error) error {
	_, err := invokeWorker(ctx, w, true, func(now time.Time) (struct{}, error) {
		if err := w.machine.checkGeneration(g); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, do(now)
	})
	return err
}

// Claim implements platform.Worker.
func (w Worker) Claim(ctx context.Context, l platform.Lease) (platform.Inventory, error) {
	return invokeWorker(ctx, w, true, func(now time.Time) (platform.Inventory, error) {
		return w.machine.claim(now, l)
	})
}

// Reserve implements platform.Worker.
func (w Worker) Reserve(ctx context.Context, r platform.Reservation) error {
	return command(ctx, w, r.Generation, func(time.Time) error { return w.machine.reserve(r) })
}

// Commit implements platform.Worker.
func (w Worker) Commit(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(now time.Time) error { return w.machine.commit(now, ref) })
}

// Release implements platform.Worker.
func (w Worker) Release(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(time.Time) error {
		w.machine.release(ref)
		return nil
	})
}

// Stop implements platform.Worker.
func (w Worker) Stop(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(now time.Time) error {
		w.machine.stop(now, ref)
		return nil
	})
}

// Checkpoint implements platform.Worker.
func (w Worker) Checkpoint(ctx context.Context, g platform.Generation, ref platform.TaskRef) (platform.Checkpoint, error) {
	return invokeWorker(ctx, w, true, func(now time.Time) (platform.Checkpoint, error) {
		if err := w.machine.checkGeneration(g); err != nil {
			return platform.Checkpoint{}, err
		}
		t, err := w.machine.runningTask(ref)
		if err != nil {
			return platform.Checkpoint{}, err
		}
		c := platform.Checkpoint{
			Name:     fmt.Sprintf("%s@%d", taskName(ref), now.UnixNano()),
			Progress: t.progress(now),
		}
		w.machine.checkpoints.Store(c.Name, c.Progress)
		return c, nil
	})
}

// Throttle implements platform.Worker.
func (w Worker) Throttle(ctx context.Context, g platform.Generation, ref platform.TaskRef, share float64) error {
	return command(ctx, w, g, func(now time.Time) error {
		t, err := w.machine.runningTask(ref)
		if err != nil {
			return err
		}
		t.speedShare = min(max(share, 0), 1)
		t.reschedule(now, w.machine.speed)
		return nil
	})
}

// Acknowledge implements platform.Worker.
func (w Worker) Acknowledge(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return command(ctx, w, g, func(time.Time) error {
		w.machine.acknowledge(ref)
		return nil
	})
}

// maxUsageReports is the maximum number of reports per call of Usage.
const maxUsageReports = 1000

// Usage implements platform.Worker.
func (w Worker) Usage(ctx context.Context, after uint64) ([]platform.UsageReport, error) {
	return invokeWorker(ctx, w, false, func(now time.Time) ([]platform.UsageReport, error) {
		first := min(after, uint64(len(w.machine.reports)))
		var visible []platform.UsageReport
		for _, r := range w.machine.reports[first:] {
			if now.Before(r.Until.Add(w.machine.config.UsageLag)) || len(visible) == maxUsageReports {
				break
			}
			visible = append(visible, r)
		}
		return visible, nil
	})
}

// Run implements platform.Worker.
func (w Worker) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	if err := w.machine.connect(); err != nil {
		return platform.Answer{}, err
	}
	defer w.machine.disconnect()
	r.Payload = slices.Clone(r.Payload)
	return invoke(ctx, w.Injector, true, func() (platform.Answer, error) {
		return w.machine.execute(ctx, r)
	})
}

// Revoke implements platform.Worker.
func (w Worker) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	return invokeWorker(ctx, w, true, func(now time.Time) (platform.Outcome, error) {
		if w.machine.mayHaveForgotten(now, ref) {
			return "", w.noResponseError(true, errForgotten)
		}
		return w.machine.revoke(now, ref), nil
	})
}

// Probe implements platform.Worker.
func (w Worker) Probe(ctx context.Context) (platform.Load, error) {
	return invokeWorker(ctx, w, false, func(time.Time) (platform.Load, error) {
		return w.machine.load(), nil
	})
}
