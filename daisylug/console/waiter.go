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
	// longPollTimeout is the time for which an instance holds a poll. It is short
	// so that changes of a job's state are shown soon.
	longPollTimeout = 2 * time.Second
	// minPollInterval keeps the command from polling in a tight loop when the
	// instance answers at once.
	minPollInterval  = 250 * time.Millisecond
	progressInterval = 10 * time.Second
	maxRetryInterval = 5 * time.Second
)

type jobWait struct {
	ID  string        `arg:"" help:"Id of the job."`
	For time.Duration `placeholder:"DURATION" help:"Longest time to wait. Default: no limit."`
}

// Run waits for the job.
func (c *jobWait) Run(s *session) error { return s.waitForJob(c.ID, c.For) }

// waitForJob waits until the job has ended, prints it and returns an error unless
// its state is done.
func (s *session) waitForJob(id string, limit time.Duration) error {
	job, err := newWaiter(s, id, limit).wait()
	if job != nil {
		err = errors.Join(s.printJob(job), err)
	}
	return err
}

// JobError reports a job that ended in a state other than done.
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
		return typeWorkFailed
	case "cancelled":
		return typeCancelled
	default:
		return typeOutcomeUnknown
	}
}

func (e *JobError) ran() string {
	if e.State == "failed" {
		return ranYes
	}
	return ranUnknown
}

// waiter polls a job until it has ended.
type waiter struct {
	*session
	id           string
	started      time.Time
	deadline     time.Time
	retryBackoff *backoff.ExponentialBackOff
	// state and shownAt are the state that was last printed and the time of it.
	state   string
	shownAt time.Time
}

func newWaiter(s *session, id string, limit time.Duration) *waiter {
	w := &waiter{session: s, id: id, started: time.Now(), retryBackoff: backoff.NewExponentialBackOff()}
	w.retryBackoff.MaxInterval = maxRetryInterval
	if limit > 0 {
		w.deadline = w.started.Add(limit)
	}
	return w
}

// wait returns the job once it has ended. If the time limit passes first, it
// returns the last state seen with a *WaitTimeoutError.
func (w *waiter) wait() (document, error) {
	var last document
	for {
		began := time.Now()
		job, err := w.poll()
		delay := minPollInterval - time.Since(began)
		switch {
		case err == nil:
			last = job
			w.retryBackoff.Reset()
			w.progress(job.text("state"))
		case transient(err):
			w.progress("state not known: " + err.Error())
			delay = w.retryBackoff.NextBackOff()
		default:
			return nil, err
		}
		if job != nil && ended(job.text("state")) {
			return job, w.result(job)
		}
		if w.remaining() <= 0 {
			return last, w.timeoutError(last, err)
		}
		if err := sleep(w.ctx, min(delay, w.remaining())); err != nil {
			return last, err
		}
	}
}

// remaining returns the time left to wait. Without a limit that is longer than
// any poll or delay.
func (w *waiter) remaining() time.Duration {
	if w.deadline.IsZero() {
		return longPollTimeout + maxRetryInterval
	}
	return time.Until(w.deadline)
}

// poll reads the job with a long poll. The first poll does not wait, so that
// progress is shown at once.
func (w *waiter) poll() (document, error) {
	pollTimeout := min(longPollTimeout, max(w.remaining(), 0)).Truncate(time.Millisecond)
	if w.state == "" {
		pollTimeout = 0
	}
	query := url.Values{}
	if pollTimeout > 0 {
		query.Set("wait", pollTimeout.String())
	}
	resp, err := w.client.do(w.ctx, call{method: http.MethodGet, path: jobPath(w.id), query: query, repeatable: true, wait: pollTimeout})
	if err != nil {
		return nil, err
	}
	var job document
	return job, resp.decode(&job)
}

// progress prints the state when it changes, and at least every progressInterval.
func (w *waiter) progress(state string) {
	if state == w.state && time.Since(w.shownAt) < progressInterval {
		return
	}
	w.state, w.shownAt = state, time.Now()
	w.note(fmt.Sprintf("job %s: %s after %v", w.id, state, time.Since(w.started).Round(time.Second)))
}

func (w *waiter) result(job document) error {
	if job.text("state") == "done" {
		return nil
	}
	return &JobError{ID: w.id, State: job.text("state"), Reason: job.text("reason")}
}

func (w *waiter) timeoutError(job document, err error) error {
	if job == nil {
		return err
	}
	return &WaitTimeoutError{What: "job " + w.id + " is still " + job.text("state"), Waited: time.Since(w.started)}
}

func ended(state string) bool {
	switch state {
	case "done", "failed", "cancelled", "unknown":
		return true
	default:
		return false
	}
}

// transient reports whether a read that failed with err may succeed if it is
// repeated.
func transient(err error) bool {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	var apiErr *APIError
	if !errors.As(err, &apiErr) {
		return false
	}
	switch apiErr.Type {
	case typeShuttingDown, typeUnavailable, typeOverload, "deadline":
		return true
	default:
		return false
	}
}

// sleep waits until d has passed or ctx ends.
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
