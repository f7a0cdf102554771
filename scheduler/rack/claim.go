package rack

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// surveyed is what the workers of a rack tell about its present owner.
type surveyed struct {
	// generation is the highest one seen.
	generation platform.Generation
	// deadline is the latest end of a lease under that generation; zero if
	// the workers do not report it.
	deadline time.Time
}

// lapsed tells whether the lease in force is known to have ended.
func (s surveyed) lapsed(now time.Time) bool {
	return !s.deadline.IsZero() && !now.Before(s.deadline)
}

func (s *surveyed) add(g platform.Generation, deadline time.Time) {
	switch c := g.Compare(s.generation); {
	case c > 0:
		s.generation, s.deadline = g, deadline
	case c == 0 && deadline.After(s.deadline):
		s.deadline = deadline
	}
}

// survey asks the workers for the generation in force, with a claim under the
// lowest one that changes nothing once a worker has an owner. It waits for
// each worker that answers in time, and returns *SilentError if none does.
func survey(ctx context.Context, rack string, workers map[string]platform.Worker) (surveyed, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyLimit)
	defer cancel()
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		seen    surveyed
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
				seen.add(i.Generation, time.Time{})
			case errors.As(err, &denied):
				answers++
				seen.add(denied.Generation, denied.Deadline)
			}
		})
	}
	wait.Wait()
	if answers == 0 {
		return seen, &UnreachableError{Rack: rack}
	}
	return seen, nil
}

// awaitClaims waits until each worker was tried once, at most for the limit.
func (o *Owner) awaitClaims(ctx context.Context) {
	limit := time.NewTimer(claimLimit)
	defer limit.Stop()
	for _, st := range o.snapshot() {
		select {
		case <-st.tried:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner) snapshot() []*station {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*station
	for _, st := range o.stations {
		all = append(all, st)
	}
	return all
}

// endLeases claims all workers until now, which tells the next owner that the
// rack was given up. Tasks keep their own, longer lease.
func (o *Owner) endLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	o.mu.Lock()
	g, r := o.generation, o.run
	o.run = nil // no further renewals
	o.mu.Unlock()
	if r == nil {
		return
	}
	defer r.cancel()
	var wait sync.WaitGroup
	for _, st := range o.snapshot() {
		wait.Go(func() {
			// A renewal under way would extend the lease again.
			select {
			case st.turn <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-st.turn }()
			_, _ = st.client.Claim(ctx, platform.Lease{Generation: g, Deadline: time.Now()})
		})
	}
	wait.Wait()
}
