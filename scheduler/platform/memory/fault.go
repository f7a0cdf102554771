package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Faults are the injected faults of one service in one view. Loss rates and
// drop counts both apply; a count of n affects the next n calls that change
// state.
type Faults struct {
	// Outage makes every call fail at once without effect.
	Outage bool
	// Silent makes every call block until its context ends, without effect.
	Silent bool
	// Delay is added before each call takes effect. A call that changes state
	// still takes effect if its context ends during the delay.
	Delay time.Duration
	// RequestLossRate is the probability that a call is lost without effect.
	RequestLossRate float64
	// ResponseLossRate is the probability that the answer of a call is lost after
	// the call took effect.
	ResponseLossRate  float64
	DropNextRequests  int
	DropNextResponses int
}

// causeError is the cause of an UnavailableError or UnknownOutcomeError.
type causeError string

func (e causeError) Error() string { return string(e) }

const (
	errInjected    causeError = "injected fault"
	errDown        causeError = "worker is down"
	errConnections causeError = "connection limit reached"
	errDuplicate   causeError = "attempt was received before"
	errForgotten   causeError = "worker restarted and may have forgotten the attempt"
)

// Injector injects the faults of one service in one view.
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

// SetFaults replaces the faults; calls in progress keep the previous ones.
func (i *Injector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Faults returns the current faults, with the remaining counts.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// callFaults are the faults that apply to one call.
type callFaults struct {
	outage, silent, loseRequest, loseResponse bool
	delay                                     time.Duration
}

func (i *Injector) sample(write bool) callFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := &i.faults
	sampled := callFaults{outage: f.Outage, silent: f.Silent, delay: f.Delay}
	if sampled.outage || sampled.silent {
		return sampled
	}
	sampled.loseRequest = f.RequestLossRate > 0 && i.rand.Float64() < f.RequestLossRate
	sampled.loseResponse = f.ResponseLossRate > 0 && i.rand.Float64() < f.ResponseLossRate
	if write && f.DropNextRequests > 0 {
		f.DropNextRequests--
		sampled.loseRequest = true
	} else if write && f.DropNextResponses > 0 {
		f.DropNextResponses--
		sampled.loseResponse = true
	}
	return sampled
}

// noResponseError returns the error of a call without an answer. Only a call
// that changes state can have an unknown outcome.
func (i *Injector) noResponseError(write bool, cause error) error {
	if write {
		return &platform.UnknownOutcomeError{Service: i.service, Cause: cause}
	}
	return &platform.UnavailableError{Service: i.service, Cause: cause}
}

// invoke calls do under the faults of i. The write parameter tells whether do
// changes state.
func invoke[T any](ctx context.Context, i *Injector, write bool, do func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, &platform.UnavailableError{Service: i.service, Cause: err}
	}
	sampled := i.sample(write)
	if sampled.outage {
		return zero, &platform.UnavailableError{Service: i.service, Cause: errInjected}
	}
	if sampled.silent {
		<-ctx.Done()
		return zero, i.noResponseError(write, ctx.Err())
	}
	if remaining, err := sleep(ctx, sampled.delay); err != nil {
		if write && !sampled.loseRequest {
			time.AfterFunc(remaining, func() { _, _ = do() })
		}
		return zero, i.noResponseError(write, err)
	}
	if sampled.loseRequest {
		return zero, i.noResponseError(write, errInjected)
	}
	answer, err := do()
	if sampled.loseResponse {
		return zero, i.noResponseError(write, errInjected)
	}
	return answer, err
}

// invokeWrite is invoke for a function that changes state and returns only an
// error.
func invokeWrite(ctx context.Context, i *Injector, do func() error) error {
	_, err := invoke(ctx, i, true, func() (struct{}, error) { return struct{}{}, do() })
	return err
}

// sleep waits for d. If the context ends first, it returns the remaining time
// and the context's error.
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
