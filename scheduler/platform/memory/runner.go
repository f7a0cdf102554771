package memory

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

// Runner is an in-memory platform.Runner. A payload of the form
// "duration[ fail]" sets how long a task runs and whether it fails; a bare
// number is in milliseconds. The payload "lasting" is a long-running task that
// reports full progress after startupDelay.
type Runner struct {
	*Injector
	info platform.RunnerInfo
	// LeaseGracePeriod is how long runs continue after the end of the lease.
	LeaseGracePeriod time.Duration
	// Speed divides the run time of tasks; 0 means 1.
	Speed float64
	// TailLatency returns the tail latency of a task, given the highest speed in
	// percent of the other runs on the worker. If nil, none is reported.
	TailLatency func(task batch.TaskID, otherSpeed int) time.Duration
	// Slowdown returns the factor by which a task takes longer because of the other
	// tasks on the worker. If nil, tasks do not slow each other down.
	Slowdown func(task batch.TaskID, others []batch.TaskID) float64

	mu            sync.Mutex
	started       time.Time
	incarnation   int64
	generation    uint64
	leaseDeadline time.Duration
	running       map[batch.TaskID]*activeRun
	// highestEnded is the highest run number of each task that was stopped or
	// has ended. Runs up to it are not started.
	highestEnded map[batch.TaskID]int
	ended        []platform.EndedTask
	sequence     int64
	changed      chan struct{}
	starts       []platform.Run
	spans        []*Span
}

// Span records when a run started and ended on a worker.
type Span struct {
	platform.Run
	Started time.Time
	// Ended is zero while the run is in progress. Outcome is empty if the run was
	// lost in a restart of the worker.
	Ended   time.Time
	Outcome platform.RunOutcome
	// Acknowledged is when the planner acknowledged the end of the run.
	Acknowledged time.Time
	sequence     int64
}

// activeRun is a run in progress on a Runner.
type activeRun struct {
	run       platform.Run
	endsAt    time.Duration
	fails     bool
	startedAt time.Duration
	span      *Span
	// speedPercent is the speed set by Throttle, initially full speed.
	speedPercent int
	pace         pace
}

// NewRunner returns a worker that has just started.
func NewRunner(info platform.RunnerInfo, seed uint64) *Runner {
	r := &Runner{Injector: NewInjector("worker", seed), info: info}
	r.Restart()
	return r
}

// Restart simulates a restart of the worker process, which loses all its state.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, active := range r.running {
		active.span.Ended = time.Now()
	}
	for _, s := range r.spans {
		// The new process reuses the sequence numbers for other runs.
		s.sequence = 0
	}
	r.started = time.Now()
	r.incarnation++
	r.info.Incarnation = r.incarnation
	r.generation, r.leaseDeadline, r.sequence = 0, 0, 0
	r.running, r.highestEnded, r.ended = map[batch.TaskID]*activeRun{}, map[batch.TaskID]int{}, nil
	r.changed = make(chan struct{})
}

// SetDataCentre sets the data centre that the worker reports.
func (r *Runner) SetDataCentre(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.DataCentre = name
}

// SetLabels sets the labels that the worker reports.
func (r *Runner) SetLabels(labels ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Labels = labels
}

// Starts returns all runs in the order in which they were started.
func (r *Runner) Starts() []platform.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts)
}

// Spans returns the spans of all runs in the order of their starts.
func (r *Runner) Spans() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	all := make([]Span, len(r.spans))
	for i, s := range r.spans {
		all[i] = *s
	}
	return all
}

// Running returns the runs in progress.
func (r *Runner) Running() []platform.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	var all []platform.Run
	for _, active := range r.running {
		all = append(all, active.run)
	}
	return all
}

func (r *Runner) clock() time.Duration { return time.Since(r.started) }

// advance ends the runs that are due or outlived the lease and its grace period.
func (r *Runner) advance() {
	now := r.clock()
	for _, active := range r.running {
		switch {
		case r.leaseDeadline > 0 && now > r.leaseDeadline+r.LeaseGracePeriod && active.endsAt > r.leaseDeadline+r.LeaseGracePeriod:
			r.endRun(active, platform.RunLeaseExpired, r.leaseDeadline+r.LeaseGracePeriod)
		case now >= active.endsAt && active.fails:
			r.endRun(active, platform.RunFailed, active.endsAt)
		case now >= active.endsAt:
			r.endRun(active, platform.RunDone, active.endsAt)
		}
	}
}

func (r *Runner) endRun(active *activeRun, outcome platform.RunOutcome, at time.Duration) {
	delete(r.running, active.run.Task)
	r.highestEnded[active.run.Task] = max(r.highestEnded[active.run.Task], active.run.Number)
	r.sequence++
	active.span.Ended, active.span.Outcome, active.span.sequence = r.started.Add(at), outcome, r.sequence
	r.ended = append(r.ended, platform.EndedTask{Sequence: r.sequence, Run: active.run, Outcome: outcome})
	r.adjustPaces(at)
	close(r.changed)
	r.changed = make(chan struct{})
}

const (
	// fullSpeedPercent is the speed of a run that is not throttled.
	fullSpeedPercent = 100
	// startupDelay is the time after which a long-running task reports full
	// progress.
	startupDelay = 300 * time.Millisecond
	// longRunningTime is the run time of a long-running task.
	longRunningTime = 1000 * time.Hour
)

// parsePayload returns the run time of a payload and whether the task fails.
func parsePayload(payload string) (time.Duration, bool) {
	if payload == "lasting" {
		return longRunningTime, false
	}
	text, ending, _ := strings.Cut(payload, " ")
	d, err := time.ParseDuration(text)
	if err != nil {
		ms, _ := strconv.Atoi(text)
		d = time.Duration(ms) * time.Millisecond
	}
	return d, ending == "fail"
}

// Start implements platform.Runner.
func (r *Runner) Start(ctx context.Context, req platform.StartRequest) (time.Duration, error) {
	return invoke(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		switch active := r.running[req.Task]; {
		case req.Generation < r.generation:
			return now, &platform.FencedError{Clock: now}
		case active != nil && active.run.Number == req.Number:
			return now, nil
		case req.Number <= r.highestEnded[req.Task] || active != nil:
			return now, &platform.StaleRunError{Clock: now}
		case req.LeaseDeadline > 0 && req.LeaseDeadline < now:
			return now, &platform.LeaseExpiredError{Clock: now}
		}
		r.generation = req.Generation
		r.leaseDeadline = max(r.leaseDeadline, req.LeaseDeadline)
		d, failed := parsePayload(req.Payload)
		if r.Speed > 0 {
			d = time.Duration(float64(d) / r.Speed)
		}
		span := &Span{Run: req.Run, Started: time.Now()}
		r.spans = append(r.spans, span)
		r.running[req.Task] = &activeRun{run: req.Run, endsAt: now + d, fails: failed, startedAt: now, span: span, speedPercent: fullSpeedPercent}
		r.adjustPaces(now)
		r.starts = append(r.starts, req.Run)
		return now, nil
	})
}

// Stop implements platform.Runner.
func (r *Runner) Stop(ctx context.Context, req platform.StopRequest) (time.Duration, error) {
	return invoke(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		if req.Generation < r.generation {
			return now, &platform.FencedError{Clock: now}
		}
		r.generation = req.Generation
		r.highestEnded[req.Task] = max(r.highestEnded[req.Task], req.Number)
		if active := r.running[req.Task]; active != nil && active.run.Number <= req.Number {
			r.endRun(active, platform.RunStopped, now)
		}
		return now, nil
	})
}

// Throttle implements platform.Runner. The speed is stored but does not affect
// the run time of the task.
func (r *Runner) Throttle(ctx context.Context, req platform.ThrottleRequest) (time.Duration, error) {
	return invoke(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		p := r.running[req.Task]
		switch {
		case req.Generation < r.generation:
			return now, &platform.FencedError{Clock: now}
		case p == nil || p.run.Number != req.Number:
			return now, &platform.StaleRunError{Clock: now}
		}
		r.generation = req.Generation
		p.speedPercent = req.SpeedPercent
		return now, nil
	})
}

// SpeedPercent returns the speed of a task in percent as set by Throttle, or -1
// if the task is not running.
func (r *Runner) SpeedPercent(task batch.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if active := r.running[task]; active != nil {
		return active.speedPercent
	}
	return -1
}

// RenewLease implements platform.Runner.
func (r *Runner) RenewLease(ctx context.Context, req platform.RenewLeaseRequest) (platform.RunnerState, error) {
	return invoke(ctx, r.Injector, true, func() (platform.RunnerState, error) {
		if err := r.applyRenewal(req); err != nil {
			return platform.RunnerState{}, err
		}
		end := time.Now().Add(req.Wait)
		for {
			state, next, changed := r.state()
			wait := min(time.Until(end), next)
			if len(state.Ended) > 0 || wait <= 0 {
				return state, nil
			}
			select {
			case <-time.After(wait):
			case <-changed:
			case <-ctx.Done():
				return state, nil
			}
		}
	})
}

func (r *Runner) applyRenewal(req platform.RenewLeaseRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if req.Generation < r.generation {
		return &platform.FencedError{Clock: r.clock()}
	}
	r.generation = req.Generation
	r.leaseDeadline = max(r.leaseDeadline, req.LeaseDeadline)
	for _, s := range r.spans {
		if s.sequence > 0 && s.sequence <= req.AcknowledgedSequence && s.Acknowledged.IsZero() {
			s.Acknowledged = time.Now()
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(e platform.EndedTask) bool { return e.Sequence <= req.AcknowledgedSequence })
	return nil
}

// state returns the worker's state, the time until the next run ends, and a
// channel that is closed when a run ends.
func (r *Runner) state() (platform.RunnerState, time.Duration, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	now := r.clock()
	s := platform.RunnerState{Clock: now, Incarnation: r.incarnation, Ended: slices.Clone(r.ended)}
	next := time.Hour
	for _, active := range r.running {
		progress := r.progress(active, now)
		if active.endsAt-active.startedAt == longRunningTime && now-active.startedAt >= startupDelay {
			progress = 1
		}
		t := platform.RunningTask{Run: active.run, Progress: progress}
		if r.TailLatency != nil {
			t.TailLatency = r.TailLatency(active.run.Task, r.maxOtherSpeed(active))
		}
		s.Running = append(s.Running, t)
		next = min(next, active.endsAt-now)
		if r.leaseDeadline > 0 {
			next = min(next, max(r.leaseDeadline-now, 0)+time.Millisecond)
		}
	}
	return s, next, r.changed
}

// maxOtherSpeed returns the highest speed, in percent, of the runs other than the
// given one.
func (r *Runner) maxOtherSpeed(active *activeRun) int {
	most := 0
	for _, o := range r.running {
		if o != active {
			most = max(most, o.speedPercent)
		}
	}
	return most
}

// Info returns the current registration of the worker.
func (r *Runner) Info() platform.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// Unacknowledged returns the number of ended runs that are not acknowledged.
func (r *Runner) Unacknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return len(r.ended)
}
