package console

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/remote"
)

// directSender sends quick requests to the workers without daisylug, one
// worker after the other.
type directSender struct {
	workers []platform.Worker
	payload json.RawMessage
	calls   atomic.Uint64
}

var errNoWorkers = errors.New("the directory lists no live worker")

// newDirectSender finds the live workers of the platform at base.
func newDirectSender(ctx context.Context, base string, connections int, payload json.RawMessage) (*directSender, error) {
	p := remote.New(strings.TrimRight(base, "/"), remote.Options{WorkerConnections: connections})
	listing, err := p.Directory.List(ctx)
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	s := &directSender{payload: payload}
	for _, info := range listing.Workers {
		if info.State != platform.StateLive {
			continue
		}
		w, err := p.Fleet.Worker(info.Name)
		if err != nil {
			return nil, &UnreachableError{Cause: err}
		}
		s.workers = append(s.workers, w)
	}
	if len(s.workers) == 0 {
		return nil, &UnreachableError{Cause: errNoWorkers}
	}
	return s, nil
}

func (s *directSender) send(ctx context.Context, o order) error {
	w := s.workers[s.calls.Add(1)%uint64(len(s.workers))]
	ctx, cancel := context.WithDeadline(ctx, o.deadline.Add(answerMargin))
	defer cancel()
	a, err := w.Run(ctx, platform.Request{
		Ref:      platform.RequestRef{ID: o.id, Attempt: 1},
		Team:     o.Team,
		Template: o.Template,
		Deadline: o.deadline,
		Payload:  s.payload,
	})
	if err != nil {
		return directFailure(err)
	}
	if a.Failed {
		return &APIError{Type: typeFailed, Message: string(a.Content), Execution: ranYes}
	}
	return nil
}

// directFailure names the errors of a worker in the terms of the report.
func directFailure(err error) error {
	var busy *platform.BusyError
	var leaving *platform.LeavingError
	var away *platform.UnavailableError
	switch {
	case errors.As(err, &busy):
		return &APIError{Type: "busy", Message: err.Error(), Execution: ranNo}
	case errors.As(err, &leaving):
		return &APIError{Type: "leaving", Message: err.Error(), Execution: ranNo}
	case errors.As(err, &away):
		return &UnreachableError{Cause: err}
	default:
		return &UnknownOutcomeError{Cause: err}
	}
}
