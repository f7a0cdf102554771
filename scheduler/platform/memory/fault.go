package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Faults are the faults of one service as one view sees it. Probabilities and
// counts both apply; a count of n affects the next n calls that change state.
type Faults struct {
	// Outage makes every call fail at once without effect.
	Outage bool
	// Silent makes every call wait until its context ends, without effect.
	Silent bool
	// Delay is added before each call takes effect. A call that changes state
	// and is abandoned during the delay still takes effect afterwards.
	Delay time.Duration
	// RequestLossRate is the probability that a call is lost without effect.
	RequestLossRate float64
	// ResponseLossRate is the probability that an answer is lost after the effect.
	ResponseLossRate  float64
	DropNextRequests  int
	DropNextResponses int
}

// causeError is the cause of an error of the platform.
type causeError string

func (e causeError) Error() string { return string(e) }

const (
	errInjected    causeError = "injected fault"
	errDown        causeError = "worker is down"
	errConnections causeError = "connection limit reached"
	errDuplicate   causeError = "attempt was received before"
	errForgotten   causeError = "worker restarted and may have forgotten the attempt"
)

// Injector holds the faults of one service in one view.
type Injector struct {
	service string
	mu      sync.Mutex
	faults  Faults
	rand    *rand.Rand
}

// NewInjector returns an injector without faults.
func NewInjector(service string, seed uint64) *Injector {
	return &Injector{service: service, rand: newRand(service, seed)}
}

// SetFaults replaces the faults; calls that have begun keep the previous ones.
func (i *Injector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Faults returns the faults in force, with the counts that remain.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// fate is what happens to one call.
type fate struct {
	outage, silent, before, after bool
	delay                         time.Duration
}

func (i *Injector) draw(write bool) fate {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := &i.faults
	d := fate{outage: f.Outage, silent: f.Silent, delay: f.Delay}
	if d.outage || d.silent {
		return d
	}
	d.before = f.RequestLossRate > 0 && i.rand.Float64() < f.RequestLossRate
	d.after = f.ResponseLossRate > 0 && i.rand.Float64() < f.ResponseLossRate
	if write && f.DropNextRequests > 0 {
		f.DropNextRequests--
		d.before = true
	} else if write && f.DropNextResponses > 0 {
		f.DropNextResponses--
		d.after = true
	}
	return d
}

// failed returns the error of a call without an answer. A call that changes no
// state has no outcome that could be unknown.
func (i *Injector) failed(write bool, cause error) error {
	if write {
		return &platform.UnknownOutcomeError{Service: i.service, Cause: cause}
	}
	return &platform.UnavailableError{Service: i.service, Cause: cause}
}

// call carries out do under the faults of i. Write tells whether do changes
// state.
func call[T any](ctx context.Context, i *Injector, write bool, do func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, &platform.UnavailableError{Service: i.service, Cause: err}
	}
	d := i.draw(write)
	if d.outage {
		return zero, &platform.UnavailableError{Service: i.service, Cause: errInjected}
	}
	if d.silent {
		<-ctx.Done()
		return zero, i.failed(write, ctx.Err())
	}
	if rest, err := sleep(ctx, d.delay); err != nil {
		if write && !d.before {
			time.AfterFunc(rest, func() { _, _ = do() })
		}
		return zero, i.failed(write, err)
	}
	if d.before {
		return zero, i.failed(write, errInjected)
	}
	answer, err := do()
	if d.after {
		return zero, i.failed(write, errInjected)
	}
	return answer, err
}

// change is call for a function that changes state and answers nothing.
func change(ctx context.Context, i *Injector, do func() error) error {
	_, err := call(ctx, i, true, func() (struct{}, error) { return struct{}{}, do() })
	return err
}

// sleep waits for d. If the context ends first, it returns the rest of d.
func sleep(ctx context.Context, d time.Duration) (time.Duration, error) {
	if d <= 0 {
		return 0, nil
	}
	begin := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, nil
	case <-ctx.Done():
		return max(d-time.Since(begin), 0), ctx.Err()
	}
}
