package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/queue"
)

// baseline is a simple policy without plan, eviction, estimates or quarantine.
type baseline struct {
	// byPriority orders jobs by class, priority and age instead of age only.
	byPriority bool
	// backfill reserves a rack for the first job that does not fit, based on
	// declared run times, and starts other jobs there only if they end before.
	backfill bool
	// bestFit chooses the rack and workers with the least capacity left instead
	// of the first that fit.
	bestFit bool
}

// Baselines returns the policies that the planner is compared with.
func Baselines() map[string]Policy {
	return map[string]Policy{
		"fifo":     baseline{},
		"bestfit":  baseline{bestFit: true},
		"backfill": baseline{byPriority: true, backfill: true},
	}
}

// Decide goes through the pending jobs in order and starts those that fit.
func (b baseline) Decide(in planner.Input) planner.Result {
	var result planner.Result
	racks := slices.Clone(in.Racks)
	noFit := map[gang.Shape]bool{}
	// reserved is the rack reserved for backfilling, and shadow the time at which
	// the job with the reservation is expected to start.
	reserved, shadow := -1, time.Time{}
	for _, j := range b.order(in) {
		if noFit[j.Shape] && reserved < 0 && !b.backfill {
			continue
		}
		skip := -1
		if reserved >= 0 && in.Now.Add(j.Declared).After(shadow) {
			skip = reserved
		}
		rack, set, ok := b.place(racks, j, skip)
		if !ok {
			noFit[j.Shape] = true
			if b.backfill && reserved < 0 {
				reserved, shadow = reserve(in, racks, j)
			}
			continue
		}
		racks[rack] = racks[rack].WithUse(set, j.Shape.Accelerators)
		result.Starts = append(result.Starts, planner.Start{Job: j, Rack: racks[rack].Name(), Workers: racks[rack].Names(set), Kind: guarantee.KindBorrowed})
	}
	return result
}

func (b baseline) order(in planner.Input) []queue.Job {
	jobs := in.Pending.Jobs()
	slices.SortFunc(jobs, func(x, y queue.Job) int {
		byAge := cmp.Or(x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID))
		if !b.byPriority {
			return byAge
		}
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(y.Priority, x.Priority), byAge)
	})
	return jobs
}

// place returns the first or the best fit, ignoring the rack skip.
func (b baseline) place(racks []gang.Rack, j queue.Job, skip int) (int, gang.Set, bool) {
	best, bestLeft := -1, math.MaxInt
	var bestSet gang.Set
	for i, r := range racks {
		if i == skip {
			continue
		}
		set, left, ok := b.fit(r, j)
		if ok && left < bestLeft {
			best, bestLeft, bestSet = i, left, set
		}
		if ok && !b.bestFit {
			break
		}
	}
	return best, bestSet, best >= 0
}

// fit returns workers of the rack that can hold the job, and a score of the
// accelerators left free on these workers and on the rack.
func (b baseline) fit(r gang.Rack, j queue.Job) (gang.Set, int, bool) {
	var fitting []int
	for i := range r.Len() {
		name := r.Worker(i).Name
		if r.Worker(i).Free >= j.Shape.Accelerators && !slices.Contains(j.AvoidWorkers, name) {
			fitting = append(fitting, i)
		}
	}
	if len(fitting) < j.Shape.Workers {
		return 0, 0, false
	}
	if b.bestFit {
		slices.SortStableFunc(fitting, func(x, y int) int { return cmp.Compare(r.Worker(x).Free, r.Worker(y).Free) })
	}
	var set gang.Set
	left := r.Free()
	for _, i := range fitting[:j.Shape.Workers] {
		set = set.With(i)
		// The weight is the number of accelerators of a rack, so that those left on
		// the workers outweigh those left on the rack.
		left += 64 * (r.Worker(i).Free - j.Shape.Accelerators)
	}
	return set, left, true
}

// reserve returns the rack that is expected to be the first with capacity for
// the job, and when, based on the declared run times of the work on it.
func reserve(in planner.Input, racks []gang.Rack, j queue.Job) (int, time.Time) {
	best, shadow := -1, time.Time{}
	byRack := map[string][]planner.Running{}
	for _, w := range in.Running {
		byRack[w.Rack] = append(byRack[w.Rack], w)
	}
	for i, r := range racks {
		at := in.Now
		ends := byRack[r.Name()]
		slices.SortFunc(ends, func(x, y planner.Running) int { return declaredEnd(x).Compare(declaredEnd(y)) })
		for _, w := range ends {
			if fits(r, j.Shape) {
				break
			}
			r = r.WithUse(w.Workers, -w.Shape.Accelerators)
			at = declaredEnd(w)
		}
		if fits(r, j.Shape) && (best < 0 || at.Before(shadow)) {
			best, shadow = i, at
		}
	}
	return best, shadow
}

func declaredEnd(w planner.Running) time.Time { return w.Started.Add(w.Request.Declared) }
