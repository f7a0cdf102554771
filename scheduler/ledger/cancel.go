package ledger

import (
	"context"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/schema"
)

// maxConcurrentCancels is the number of cancellations of one call that wait for
// the table at a time, so that one call cannot fill the queue.
const maxConcurrentCancels = 2048

// CancelResult is the outcome of one cancellation.
type CancelResult struct {
	ID string
	// Job is the record after the cancellation.
	Job *schema.Job
	// PreviousState is the state before the cancellation. A job that was queued
	// does not run again; one that was claimed may be starting, and its rack
	// owner must stop it.
	PreviousState schema.State
	// Err is nil if the job is cancelled, *StaleAttemptError if it had already
	// ended, or one of the errors of the other operations.
	Err error
}

// Cancel cancels the jobs and returns one result for each, in order. Jobs that
// are already cancelled count as cancelled.
func (l *Ledger) Cancel(ctx context.Context, ids ...string) []CancelResult {
	results := make([]CancelResult, len(ids))
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCancels)
	for i, id := range ids {
		calls.Go(func() error {
			results[i] = l.cancel(ctx, id)
			return nil
		})
	}
	_ = calls.Wait()
	return results
}

func (l *Ledger) cancel(ctx context.Context, id string) CancelResult {
	now := timestamppb.Now()
	updated, err := l.updateSized(ctx, id, operationOverheadBytes, func(job *schema.Job, _ string) error {
		if job.State == schema.State_STATE_CANCELLED {
			return nil
		}
		if terminal(job.State) {
			return &StaleAttemptError{ID: id, Attempt: job.Attempt, Current: job.Attempt, State: job.State}
		}
		job.State = schema.State_STATE_CANCELLED
		job.Ended = now
		return nil
	})
	return CancelResult{ID: id, Job: updated.job, PreviousState: updated.previousState, Err: err}
}
