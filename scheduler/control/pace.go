package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/throttle"
)

// sharedWait is how long a worker may delay its answer while some of its tasks
// serve beside fillers; response times are those of the last half second.
const sharedWait = 400 * time.Millisecond

// shared returns the tasks of a worker that serve users of their own and those
// that fill it. The caller holds the lock.
func (w *worker) shared() (serving, fillers []*placement) {
	for _, pl := range w.placements {
		switch {
		case pl.phase != phaseRunning:
		case pl.step.BestEffort:
			fillers = append(fillers, pl)
		case pl.step.Target > 0:
			serving = append(serving, pl)
		}
	}
	return serving, fillers
}

// throttle adapts the share of a worker's fillers to what it reported. The
// caller holds the lock.
func (p *Planner) throttle(w *worker, now time.Time) {
	serving, fillers := w.shared()
	tails := make([]throttle.Serving, 0, len(serving))
	for _, pl := range serving {
		tails = append(tails, throttle.Serving{TailLatency: pl.tail, TargetLatency: pl.step.Target})
	}
	before := w.level.Share()
	w.level = w.level.Next(now, tails)
	share := w.level.Share()
	if share != before {
		p.Log.Info("share of fillers", "worker", w.info.ID, "share", share, "former", before, "fillers", len(fillers), "serving", len(serving))
	}
	for _, pl := range fillers {
		if pl.share != share && !pl.pacing {
			pl.pacing = true
			p.group.Go(func() error {
				p.orderPace(pl, share)
				return nil
			})
		}
	}
}

// orderPace sends the share of a run once; the next report repeats it if that
// fails.
func (p *Planner) orderPace(pl *placement, share int) {
	p.mu.Lock()
	runner := pl.worker.runner
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, orderTimeout)
	_, err := runner.Throttle(ctx, platform.ThrottleRequest{
		Run: platform.Run{Task: pl.id, Number: pl.run}, Generation: p.Term.Generation(), SpeedPercent: share,
	})
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.pacing = false
	var old *platform.StaleRunError
	switch {
	case err == nil:
		pl.share = share
	case errors.As(err, &old):
		// The run has ended.
	default:
		p.Log.Info("share was not taken over", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "error", err)
	}
}
