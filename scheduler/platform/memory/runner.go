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
// "duration[ fail]" tells how long a task runs and how it ends; "lasting" is a
// task that does not end and is at work after startup.
type Runner struct {
	*Injector
	info platform.RunnerInfo
	// Linger is how long a run goes on after the end of its lease.
	Linger time.Duration
	// Speed divides the time that tasks take, if it is not 0.
	Speed float64
	// TailLatency returns the response time of a serving task while the others on the
	// worker have a share in percent; nil means none.
	TailLatency func(task batch.TaskID, share int) time.Duration

	mu         sync.Mutex
	born       time.Time
	life       int64
	generation uint64
	lease      time.Duration
	running    map[batch.TaskID]*process
	// barred holds the highest run that was stopped or has ended.
	barred   map[batch.TaskID]int
	ended    []platform.EndedTask
	sequence int64
	changed  chan struct{}
	starts   []platform.Run
	spans    []*Span
}

// Span is the time of one run on a worker.
type Span struct {
	platform.Run
	Begun time.Time
	// Ended is zero while the run goes on, How empty if it was lost with its
	// worker.
	Ended   time.Time
	Outcome platform.RunOutcome
	// Acknowledged is when the planner had taken note of the end.
	Acknowledged time.Time
	sequence     int64
}

// process is a run on a Runner.
type process struct {
	run    platform.Run
	ends   time.Duration
	failed bool
	begun  time.Duration
	span   *Span
	// share is the speed in percent that was ordered.
	share int
}

// NewRunner returns a worker that has just started.
func NewRunner(info platform.RunnerInfo, seed uint64) *Runner {
	r := &Runner{Injector: NewInjector("worker", seed), info: info}
	r.Restart()
	return r
}

// Restart loses all that the worker knows.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.running {
		p.span.Ended = time.Now()
	}
	for _, s := range r.spans {
		// The new process has other ends under the same numbers.
		s.sequence = 0
	}
	r.born = time.Now()
	r.life++
	r.info.Incarnation = r.life
	r.generation, r.lease, r.sequence = 0, 0, 0
	r.running, r.barred, r.ended = map[batch.TaskID]*process{}, map[batch.TaskID]int{}, nil
	r.changed = make(chan struct{})
}

// SetDataCentre sets where the worker says that it is.
func (r *Runner) SetDataCentre(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.DataCentre = name
}

// Starts returns the runs that were started, in order.
func (r *Runner) Starts() []platform.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts)
}

// Spans returns the times of all runs, in order of their starts.
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
	for _, p := range r.running {
		all = append(all, p.run)
	}
	return all
}

func (r *Runner) clock() time.Duration { return time.Since(r.born) }

// advance ends what is due and what the lease does not cover any more.
func (r *Runner) advance() {
	now := r.clock()
	for _, p := range r.running {
		switch {
		case r.lease > 0 && now > r.lease+r.Linger && p.ends > r.lease+r.Linger:
			r.end(p, platform.RunLeaseExpired, r.lease+r.Linger)
		case now >= p.ends && p.failed:
			r.end(p, platform.RunFailed, p.ends)
		case now >= p.ends:
			r.end(p, platform.RunDone, p.ends)
		}
	}
}

func (r *Runner) end(p *process, how platform.RunOutcome, at time.Duration) {
	delete(r.running, p.run.Task)
	r.barred[p.run.Task] = max(r.barred[p.run.Task], p.run.Number)
	r.sequence++
	p.span.Ended, p.span.Outcome, p.span.sequence = r.born.Add(at), how, r.sequence
	r.ended = append(r.ended, platform.EndedTask{Sequence: r.sequence, Run: p.run, Outcome: how})
	close(r.changed)
	r.changed = make(chan struct{})
}

const (
	// fullShare is the speed of a run that was not slowed, in percent.
	fullShare = 100
	// startup is the time until a lasting task is at work.
	startup = 300 * time.Millisecond
	// forever is the run time of a lasting task.
	forever = 1000 * time.Hour
)

// parse reads a payload.
func parse(payload string) (time.Duration, bool) {
	if payload == "lasting" {
		return forever, false
	}
	text, how, _ := strings.Cut(payload, " ")
	d, err := time.ParseDuration(text)
	if err != nil {
		ms, _ := strconv.Atoi(text)
		d = time.Duration(ms) * time.Millisecond
	}
	return d, how == "fail"
}

// Start implements platform.Runner.
func (r *Runner) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	return call(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		switch p := r.running[o.Task]; {
		case o.Generation < r.generation:
			return now, &platform.FencedError{Clock: now}
		case p != nil && p.run.Number == o.Number:
			return now, nil
		case o.Number <= r.barred[o.Task] || p != nil:
			return now, &platform.StaleRunError{Clock: now}
		case o.LeaseDeadline > 0 && o.LeaseDeadline < now:
			return now, &platform.LeaseExpiredError{Clock: now}
		}
		r.generation = o.Generation
		r.lease = max(r.lease, o.LeaseDeadline)
		d, failed := parse(o.Payload)
		if r.Speed > 0 {
			d = time.Duration(float64(d) / r.Speed)
		}
		span := &Span{Run: o.Run, Begun: time.Now()}
		r.spans = append(r.spans, span)
		r.running[o.Task] = &process{run: o.Run, ends: now + d, failed: failed, begun: now, span: span, share: fullShare}
		r.starts = append(r.starts, o.Run)
		return now, nil
	})
}

// Stop implements platform.Runner.
func (r *Runner) Stop(ctx context.Context, o platform.StopRequest) (time.Duration, error) {
	return call(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		if o.Generation < r.generation {
			return now, &platform.FencedError{Clock: now}
		}
		r.generation = o.Generation
		r.barred[o.Task] = max(r.barred[o.Task], o.Number)
		if p := r.running[o.Task]; p != nil && p.run.Number <= o.Number {
			r.end(p, platform.RunStopped, now)
		}
		return now, nil
	})
}

// Throttle implements platform.Runner. The share is kept but has no effect on the
// time that a task takes.
func (r *Runner) Throttle(ctx context.Context, o platform.ThrottleRequest) (time.Duration, error) {
	return call(ctx, r.Injector, true, func() (time.Duration, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		now := r.clock()
		p := r.running[o.Task]
		switch {
		case o.Generation < r.generation:
			return now, &platform.FencedError{Clock: now}
		case p == nil || p.run.Number != o.Number:
			return now, &platform.StaleRunError{Clock: now}
		}
		r.generation = o.Generation
		p.share = o.SpeedPercent
		return now, nil
	})
}

// Share returns the ordered speed of a task in percent, or -1 if it does not
// run.
func (r *Runner) Share(task batch.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if p := r.running[task]; p != nil {
		return p.share
	}
	return -1
}

// RenewLease implements platform.Runner.
func (r *Runner) RenewLease(ctx context.Context, h platform.RenewLeaseRequest) (platform.RunnerState, error) {
	return call(ctx, r.Injector, true, func() (platform.RunnerState, error) {
		if err := r.adopt(h); err != nil {
			return platform.RunnerState{}, err
		}
		end := time.Now().Add(h.Wait)
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

func (r *Runner) adopt(h platform.RenewLeaseRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if h.Generation < r.generation {
		return &platform.FencedError{Clock: r.clock()}
	}
	r.generation = h.Generation
	r.lease = max(r.lease, h.LeaseDeadline)
	for _, s := range r.spans {
		if s.sequence > 0 && s.sequence <= h.AcknowledgedSequence && s.Acknowledged.IsZero() {
			s.Acknowledged = time.Now()
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(e platform.EndedTask) bool { return e.Sequence <= h.AcknowledgedSequence })
	return nil
}

// state returns the lists and the time until the next end.
func (r *Runner) state() (platform.RunnerState, time.Duration, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	now := r.clock()
	s := platform.RunnerState{Clock: now, Incarnation: r.life, Ended: slices.Clone(r.ended)}
	next := time.Hour
	for _, p := range r.running {
		progress := float64(now-p.begun) / float64(max(p.ends-p.begun, 1))
		if p.ends-p.begun == forever && now-p.begun >= startup {
			progress = 1
		}
		t := platform.RunningTask{Run: p.run, Progress: progress}
		if r.TailLatency != nil {
			t.TailLatency = r.TailLatency(p.run.Task, r.shareBeside(p))
		}
		s.Running = append(s.Running, t)
		next = min(next, p.ends-now)
		if r.lease > 0 {
			next = min(next, max(r.lease-now, 0)+time.Millisecond)
		}
	}
	return s, next, r.changed
}

// shareBeside returns the largest share of the runs beside one, in percent.
func (r *Runner) shareBeside(p *process) int {
	most := 0
	for _, o := range r.running {
		if o != p {
			most = max(most, o.share)
		}
	}
	return most
}

// Info describes the worker as it is now.
func (r *Runner) Info() platform.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// Unacknowledged returns the number of ends that are not acknowledged.
func (r *Runner) Unacknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return len(r.ended)
}
