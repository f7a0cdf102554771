package console

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// waitStep is short enough to show the changes of a job's state soon.
	waitStep = 2 * time.Second
	// pollLeast keeps an instance that does not wait from being polled in a
	// tight loop.
	pollLeast     = 250 * time.Millisecond
	progressEvery = 10 * time.Second
	retryMost     = 5 * time.Second
)

type jobWait struct {
	ID  string        `arg:"" help:"Id of the job."`
	For time.Duration `placeholder:"DURATION" help:"Longest time to wait. Default: no limit."`
}

// Run waits for the job.
func (c *jobWait) Run(s *session) error { return s.finishJob(c.ID, c.For) }

// finishJob waits until the job has ended, prints it and returns an error
// unless it is done.
func (s *session) finishJob(id string, limit time.Duration) error {
	job, err := newWaiter(s, id, limit).wait()
	if job != nil {
		err = errors.Join(s.printJob(job), err)
	}
	return err
}

// JobError reports a job that ended without being done.
type JobError struct {
	ID     string
	State  string
	Reason string
}

func (e *JobError) Error() string {
	text := "job " + e.ID + " is " + e.State
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

func (e *JobError) exit() int {
	switch e.State {
	case "failed":
		return ExitFailed
	case "cancelled":
		return ExitCancelled
	default:
		return ExitUnknownOutcome
	}
}

func (e *JobError) kind() string {
	switch e.State {
	case "failed":
		return typeFailed
	case "cancelled":
		return typeCancelled
	default:
		return typeUnknown
	}
}

func (e *JobError) ran() string {
	if e.State == "failed" {
		return ranYes
	}
	return ranUnknown
}

// waiter waits until a job has ended.
type waiter struct {
	*session
	id       string
	started  time.Time
	deadline time.Time
	retry    *backoff.ExponentialBackOff
	// state and shown are what progress was last written, and when.
	state string
	shown time.Time
}

func newWaiter(s *session, id string, limit time.Duration) *waiter {
	w := &waiter{session: s, id: id, started: time.Now(), retry: backoff.NewExponentialBackOff()}
	w.retry.MaxInterval = retryMost
	if limit > 0 {
		w.deadline = w.started.Add(limit)
	}
	return w
}

// wait returns the job once it has ended, or the last state seen of it with a
// *PendingError.
func (w *waiter) wait() (document, error) {
	var last document
	for {
		began := time.Now()
		job, err := w.poll()
		pause := pollLeast - time.Since(began)
		switch {
		case err == nil:
			last = job
			w.retry.Reset()
			w.progress(job.text("state"))
		case passing(err):
			w.progress("state not known: " + err.Error())
			pause = w.retry.NextBackOff()
		default:
			return nil, err
		}
		if job != nil && ended(job.text("state")) {
			return job, w.result(job)
		}
		if w.left() <= 0 {
			return last, w.pending(last, err)
		}
		if err := sleep(w.ctx, min(pause, w.left())); err != nil {
			return last, err
		}
	}
}

// left returns the time that is left to wait.
func (w *waiter) left() time.Duration {
	if w.deadline.IsZero() {
		return waitStep + retryMost
	}
	return time.Until(w.deadline)
}

// poll reads the job. The first time it does not wait, so that progress is
// shown at once.
func (w *waiter) poll() (document, error) {
	step := min(waitStep, max(w.left(), 0)).Truncate(time.Millisecond)
	if w.state == "" {
		step = 0
	}
	query := url.Values{}
	if step > 0 {
		query.Set("wait", step.String())
	}
	a, err := w.client.do(w.ctx, call{method: http.MethodGet, path: jobPath(w.id), query: query, repeatable: true, wait: step})
	if err != nil {
		return nil, err
	}
	var job document
	return job, a.decode(&job)
}

// progress writes the state when it changes, and from time to time.
func (w *waiter) progress(state string) {
	if state == w.state && time.Since(w.shown) < progressEvery {
		return
	}
	w.state, w.shown = state, time.Now()
	w.note(fmt.Sprintf("job %s: %s after %v", w.id, state, time.Since(w.started).Round(time.Second)))
}

func (w *waiter) result(job document) error {
	if job.text("state") == "done" {
		return nil
	}
	return &JobError{ID: w.id, State: job.text("state"), Reason: job.text("reason")}
}

func (w *waiter) pending(job document, err error) error {
	if job == nil {
		return err
	}
	return &WaitTimeoutError{What: "job " + w.id + " is " + job.text("state"), Waited: time.Since(w.started)}
}

func ended(state string) bool {
	switch state {
	case "done", "failed", "cancelled", "unknown":
		return true
	default:
		return false
	}
}

// passing reports whether a read that failed with err may succeed later.
func passing(err error) bool {
	var away *UnreachableError
	if errors.As(err, &away) {
		return true
	}
	var refused *APIError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Type {
	case typeLeaving, typeUnavailable, typeOverload, "deadline":
		return true
	default:
		return false
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
