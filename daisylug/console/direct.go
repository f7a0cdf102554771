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

// directSender sends quick requests straight to the workers, round-robin. It
// bypasses daisylug and serves as a baseline.
type directSender struct {
	workers []platform.Worker
	payload json.RawMessage
	calls   atomic.Uint64
}

var errNoWorkers = errors.New("the directory lists no live worker")

// newDirectSender returns a sender for the live workers of the platform at base.
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

func (s *directSender) send(ctx context.Context, req benchRequest) error {
	w := s.workers[s.calls.Add(1)%uint64(len(s.workers))]
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(responseGracePeriod))
	defer cancel()
	resp, err := w.Run(ctx, platform.Request{
		Ref:      platform.RequestRef{ID: req.id, Attempt: 1},
		Team:     req.Team,
		Template: req.Template,
		Deadline: req.deadline,
		Payload:  s.payload,
	})
	if err != nil {
		return directError(err)
	}
	if resp.Failed {
		return &APIError{Type: typeWorkFailed, Message: string(resp.Content), Execution: ranYes}
	}
	return nil
}

// directError maps an error of a worker to the error types of the report.
func directError(err error) error {
	var busy *platform.BusyError
	var leaving *platform.LeavingError
	var unavailable *platform.UnavailableError
	switch {
	case errors.As(err, &busy):
		return &APIError{Type: "busy", Message: err.Error(), Execution: ranNo}
	case errors.As(err, &leaving):
		return &APIError{Type: "leaving", Message: err.Error(), Execution: ranNo}
	case errors.As(err, &unavailable):
		return &UnreachableError{Cause: err}
	default:
		return &UnknownOutcomeError{Cause: err}
	}
}
