package remote

import (
	"context"
	"net"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

var dialer = &net.Dialer{Timeout: dialTimeout}

// Worker is a client of one worker.
type Worker struct {
	client  *client
	address string
}

func newWorker(info platform.WorkerInfo, o Options) *Worker {
	c := newClient("worker "+info.Name, "http://"+info.Address, o.maxWorkerConnections())
	return &Worker{client: c, address: info.Address}
}

// Reset closes the idle connections. Later calls open new ones.
func (w *Worker) Reset() { w.client.transport.CloseIdleConnections() }

// taskRequest is the body of a command for one task.
type taskRequest struct {
	Generation platform.Generation `json:"generation"`
	Task       platform.TaskRef    `json:"task"`
	Share      float64             `json:"share,omitempty"`
}

type usageRequest struct {
	After uint64 `json:"after"`
}

type revokeAnswer struct {
	Outcome platform.Outcome `json:"outcome"`
}

// Claim implements platform.Worker.
func (w *Worker) Claim(ctx context.Context, l platform.Lease) (platform.Inventory, error) {
	inventory, err := call[platform.Inventory](ctx, w.client, mutating, "/claim", l)
	if err != nil {
		return platform.Inventory{}, err
	}
	for _, t := range inventory.Tasks {
		if t.State == platform.TaskDone && xxhash.Sum64(t.Result) != t.Checksum {
			return platform.Inventory{}, w.client.callError(true, &ChecksumError{Length: len(t.Result)})
		}
	}
	return inventory, nil
}

// Reserve implements platform.Worker.
func (w *Worker) Reserve(ctx context.Context, r platform.Reservation) error {
	return callNoResult(ctx, w.client, "/reserve", r)
}

// Commit implements platform.Worker.
func (w *Worker) Commit(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return callNoResult(ctx, w.client, "/commit", taskRequest{Generation: g, Task: ref})
}

// Release implements platform.Worker.
func (w *Worker) Release(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return callNoResult(ctx, w.client, "/release", taskRequest{Generation: g, Task: ref})
}

// Stop implements platform.Worker.
func (w *Worker) Stop(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return callNoResult(ctx, w.client, "/stop", taskRequest{Generation: g, Task: ref})
}

// Checkpoint implements platform.Worker.
func (w *Worker) Checkpoint(ctx context.Context, g platform.Generation, ref platform.TaskRef) (platform.Checkpoint, error) {
	q := taskRequest{Generation: g, Task: ref}
	return call[platform.Checkpoint](ctx, w.client, mutating, "/checkpoint", q)
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(ctx context.Context, g platform.Generation, ref platform.TaskRef, share float64) error {
	return callNoResult(ctx, w.client, "/throttle", taskRequest{Generation: g, Task: ref, Share: share})
}

// Acknowledge implements platform.Worker.
func (w *Worker) Acknowledge(ctx context.Context, g platform.Generation, ref platform.TaskRef) error {
	return callNoResult(ctx, w.client, "/acknowledge", taskRequest{Generation: g, Task: ref})
}

// Usage implements platform.Worker.
func (w *Worker) Usage(ctx context.Context, after uint64) ([]platform.UsageReport, error) {
	return call[[]platform.UsageReport](ctx, w.client, readOnly, "/usage", usageRequest{After: after})
}

// Run implements platform.Worker. It returns an answer only if it is complete
// and belongs to r.
func (w *Worker) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	a, err := call[platform.Answer](ctx, w.client, mutating, "/run", r)
	if err != nil {
		return platform.Answer{}, err
	}
	if err := verifyAnswer(r.Ref, a); err != nil {
		return platform.Answer{}, w.client.callError(true, err)
	}
	return a, nil
}

func verifyAnswer(ref platform.RequestRef, a platform.Answer) error {
	if a.Ref != ref {
		return errMisdirected
	}
	if len(a.Content) != a.Length || xxhash.Sum64(a.Content) != a.Sum {
		return &ChecksumError{Length: len(a.Content)}
	}
	return nil
}

// Revoke implements platform.Worker.
func (w *Worker) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	a, err := call[revokeAnswer](ctx, w.client, mutating, "/revoke", ref)
	if err != nil {
		return "", err
	}
	switch a.Outcome {
	case platform.OutcomeNotStarted, platform.OutcomeRunning, platform.OutcomeDone:
		return a.Outcome, nil
	}
	return "", w.client.callError(true, errMisdirected)
}

// Probe implements platform.Worker.
func (w *Worker) Probe(ctx context.Context) (platform.Load, error) {
	return call[platform.Load](ctx, w.client, readOnly, "/probe", empty{})
}

// NewWorker returns a client of one worker at its listed address.
func NewWorker(info platform.WorkerInfo, o Options) *Worker { return newWorker(info, o) }
