package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/throttle"
)

// sharedLongPollTimeout is how long a worker may delay its response while it runs both
// latency-sensitive and best-effort tasks. Latencies are measured over the last
// half second.
const sharedLongPollTimeout = 400 * time.Millisecond

// sharedTasks returns the tasks of a worker that serve latency-sensitive
// traffic and its best-effort tasks. The caller holds the lock.
func (w *worker) sharedTasks() (serving, bestEffort []*placement) {
	for _, pl := range w.placements {
		switch {
		case pl.phase != phaseRunning:
		case pl.step.BestEffort:
			bestEffort = append(bestEffort, pl)
		case pl.step.TargetLatency > 0:
			serving = append(serving, pl)
		}
	}
	return serving, bestEffort
}

// throttleBestEffort adapts the share of a worker's best-effort tasks to its
// report. The caller holds the lock.
func (p *Planner) throttleBestEffort(w *worker, now time.Time) {
	serving, bestEffort := w.sharedTasks()
	latencies := make([]throttle.Serving, 0, len(serving))
	for _, pl := range serving {
		latencies = append(latencies, throttle.Serving{TailLatency: pl.tailLatency, TargetLatency: pl.step.TargetLatency})
	}
	before := w.bestEffortShare.Share()
	w.bestEffortShare = w.bestEffortShare.Next(now, latencies)
	share := w.bestEffortShare.Share()
	if share != before {
		p.Log.Info("share of best-effort tasks changed", "worker", w.info.ID, "share", share, "former", before, "fillers", len(bestEffort), "serving", len(serving))
	}
	for _, pl := range bestEffort {
		if pl.appliedShare != share && !pl.throttling {
			pl.throttling = true
			p.spawn("throttling", func() { p.sendThrottle(pl, share) })
		}
	}
}

// sendThrottle sends the share of a run once; after a failure the next report
// triggers it again.
func (p *Planner) sendThrottle(pl *placement, share int) {
	var (
		runner platform.Runner
		token  uint64
	)
	p.locked("throttling", func() { runner, token = pl.worker.runner, pl.worker.token })
	ctx, cancel := context.WithTimeout(p.ctx, commandTimeout)
	_, err := runner.Throttle(ctx, platform.ThrottleRequest{
		Run: platform.Run{Task: pl.id, Number: pl.run}, Generation: token, SpeedPercent: share,
	})
	cancel()
	p.locked("throttling", func() { p.applyThrottleResponse(pl, share, err) })
}

// applyThrottleResponse processes the response to a throttle request. The caller holds
// the lock.
func (p *Planner) applyThrottleResponse(pl *placement, share int, err error) {
	p.processing = pl.job
	pl.throttling = false
	var staleRun *platform.StaleRunError
	switch {
	case err == nil:
		pl.appliedShare = share
		if pl.worker.placements[pl.id] == pl {
			p.setPresence(pl, pl.presenceWeight(), time.Now())
		}
	case errors.As(err, &staleRun):
		// The run has ended.
	default:
		p.Log.Info("share not applied", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "error", err)
	}
}
