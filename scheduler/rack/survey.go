package rack

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// surveyResult describes the current owner of a rack as its workers report it.
type surveyResult struct {
	// generation is the highest reported generation.
	generation platform.Generation
	// deadline is the latest end of a lease under that generation; zero if the
	// workers do not report it.
	deadline time.Time
}

// leaseExpired reports whether the lease in force is known to have ended.
func (s surveyResult) leaseExpired(now time.Time) bool {
	return !s.deadline.IsZero() && !now.Before(s.deadline)
}

func (s *surveyResult) merge(g platform.Generation, deadline time.Time) {
	switch c := g.Compare(s.generation); {
	case c > 0:
		s.generation, s.deadline = g, deadline
	case c == 0 && deadline.After(s.deadline):
		s.deadline = deadline
	}
}

// survey asks the workers for the generation in force. It sends a claim under the
// lowest generation, which has no effect on a worker that has an owner. It returns
// *UnreachableError if no worker answers within surveyTimeout.
func survey(ctx context.Context, rack string, workers map[string]platform.Worker) (surveyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		result  surveyResult
		answers int
	)
	for _, w := range workers {
		wait.Go(func() {
			i, err := w.Claim(ctx, platform.Lease{Deadline: time.Now()})
			var denied *platform.DeniedError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answers++
				result.merge(i.Generation, time.Time{})
			case errors.As(err, &denied):
				answers++
				result.merge(denied.Generation, denied.Deadline)
			}
		})
	}
	wait.Wait()
	if answers == 0 {
		return result, &UnreachableError{Rack: rack}
	}
	return result, nil
}

// awaitClaims waits until a claim of each worker was attempted once, but no longer
// than claimTimeout.
func (o *Owner) awaitClaims(ctx context.Context) {
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for _, st := range o.snapshotWorkers() {
		select {
		case <-st.attempted:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner) snapshotWorkers() []*workerState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*workerState
	for _, st := range o.workerStates {
		all = append(all, st)
	}
	return all
}

// endLeases claims all workers with a lease that ends now, so that the next owner
// need not wait for the leases to expire. Tasks keep their own, longer lease.
func (o *Owner) endLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o.mu.Lock()
	g, r := o.generation, o.activeRun
	o.activeRun = nil // no further renewals
	o.mu.Unlock()
	if r == nil {
		return
	}
	defer r.cancel()
	var wait sync.WaitGroup
	for _, st := range o.snapshotWorkers() {
		wait.Go(func() {
			// A renewal that is still in progress would extend the lease again.
			select {
			case st.claimSemaphore <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-st.claimSemaphore }()
			_, _ = st.client.Claim(ctx, platform.Lease{Generation: g, Deadline: time.Now()})
		})
	}
	wait.Wait()
}
