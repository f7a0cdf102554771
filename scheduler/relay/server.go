package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/uptime"
)

const (
	// idleAnswerDelay is how long the answer to a lease renewal without ended
	// tasks may wait to be returned together with other answers.
	idleAnswerDelay = 150 * time.Millisecond
	// urgentAnswerDelay is the corresponding delay of all other answers.
	urgentAnswerDelay = 10 * time.Millisecond
	// maxAnswersPerReply limits the number of answers in one reply.
	maxAnswersPerReply = 200
	// maxConcurrentCalls limits the calls to workers in progress at a time.
	maxConcurrentCalls = 2000
	// idleTTL is how long unused connections to workers and sessions with
	// uncollected answers are kept.
	idleTTL = 20 * time.Second
)

// Server executes calls to workers on behalf of planners on other instances.
type Server struct {
	dialer Dialer
	// checkStart returns an error if no start may be sent now.
	checkStart func() error
	log        klog.Logger

	mu        sync.Mutex
	sessions  map[sessionKey]*session
	runners   map[runnerKey]*cachedRunner
	lastSweep time.Time
	slots     chan struct{}
}

// sessionKey identifies a calling process.
type sessionKey struct {
	instance string
	id       uint64
}

type runnerKey struct{ worker, address string }

type cachedRunner struct {
	platform.Runner
	lastUsed time.Time
}

// NewServer returns a server that reaches workers through dialer. checkStart is
// called right before each start is sent; its error, if any, is returned instead.
func NewServer(dialer Dialer, checkStart func() error, log klog.Logger) *Server {
	return &Server{
		dialer: dialer, checkStart: checkStart, log: log, lastSweep: time.Now(),
		sessions: map[sessionKey]*session{}, runners: map[runnerKey]*cachedRunner{}, slots: make(chan struct{}, maxConcurrentCalls),
	}
}

// Exchange starts the calls of a request and returns the answers that are
// available, including those of earlier requests of the same process.
func (srv *Server) Exchange(ctx context.Context, from platform.Instance, request *schema.RelayRequest) (proto.Message, error) {
	received := uptime.Now()
	s := srv.sessionFor(sessionKey{from.Name, request.GetSession()})
	for _, c := range request.GetCalls() {
		payload := ""
		if n := int(c.GetPayload()); n > 0 && n <= len(request.GetPayloads()) {
			payload = request.GetPayloads()[n-1]
		}
		select {
		case srv.slots <- struct{}{}:
			go func() {
				defer func() { <-srv.slots }()
				s.add(srv.execute(c, payload, received))
			}()
		default:
			s.add(encodeFailure(c, &platform.UnavailableError{Service: ServiceName, Cause: &BusyError{Calls: maxConcurrentCalls}}))
		}
	}
	return &schema.RelayReply{Answers: s.collect(ctx, collectTimeout)}, nil
}

// BusyError reports a call that was rejected because the instance already
// executes the maximum number of calls.
type BusyError struct{ Calls int }

func (e *BusyError) Error() string { return "instance makes too many calls to workers" }

// sessionFor returns the session of a process and removes expired sessions and
// connections.
func (srv *Server) sessionFor(key sessionKey) *session {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := time.Now()
	if now.Sub(srv.lastSweep) > idleTTL {
		srv.lastSweep = now
		for k, s := range srv.sessions {
			if now.Sub(s.lastUsed) > idleTTL {
				delete(srv.sessions, k)
			}
		}
		for k, r := range srv.runners {
			if now.Sub(r.lastUsed) > idleTTL {
				delete(srv.runners, k)
			}
		}
	}
	s := srv.sessions[key]
	if s == nil {
		srv.log.Info("opened a relay session", "for", key.instance)
		s = newSession()
		srv.sessions[key] = s
	}
	s.lastUsed = now
	return s
}

func (srv *Server) runnerFor(c *schema.RelayCall) platform.Runner {
	key := runnerKey{c.GetWorker(), c.GetAddress()}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	r := srv.runners[key]
	if r == nil {
		r = &cachedRunner{Runner: srv.dialer.Runner(platform.RunnerInfo{ID: key.worker, Address: key.address})}
		srv.runners[key] = r
	}
	r.lastUsed = time.Now()
	return r
}

// execute makes one call, unless its budget has run out, for example while this
// process was paused.
func (srv *Server) execute(c *schema.RelayCall, payload string, received time.Duration) *schema.RelayAnswer {
	remaining := milliseconds(c.GetBudget()) - (uptime.Now() - received)
	if remaining <= 0 {
		srv.log.Info("relayed call expired before it was executed", "worker", c.GetWorker(), "order", c.GetOrder().String(), "late", -remaining)
		return encodeFailure(c, &platform.UnavailableError{Service: ServiceName, Cause: context.DeadlineExceeded})
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	runner := srv.runnerFor(c)
	a := &schema.RelayAnswer{Id: c.GetId()}
	var workerClock time.Duration
	var err error
	switch c.GetOrder() {
	case schema.RelayOrder_RELAY_ORDER_START:
		if err = srv.checkStart(); err != nil {
			break
		}
		workerClock, err = runner.Start(ctx, platform.StartRequest{
			Run: decodeRun(c.GetRun()), Generation: c.GetGeneration(), LeaseDeadline: milliseconds(c.GetLease()),
			Payload: payload, Checkpoint: c.GetCheckpoint(), Ticket: c.GetTicket(),
		})
	case schema.RelayOrder_RELAY_ORDER_STOP:
		workerClock, err = runner.Stop(ctx, platform.StopRequest{Run: decodeRun(c.GetRun()), Generation: c.GetGeneration()})
	case schema.RelayOrder_RELAY_ORDER_PACE:
		workerClock, err = runner.Throttle(ctx, platform.ThrottleRequest{
			Run: decodeRun(c.GetRun()), Generation: c.GetGeneration(), SpeedPercent: int(c.GetShare()),
		})
	case schema.RelayOrder_RELAY_ORDER_HOLD:
		var state platform.RunnerState
		state, err = runner.RenewLease(ctx, platform.RenewLeaseRequest{
			Generation: c.GetGeneration(), LeaseDeadline: milliseconds(c.GetLease()), AcknowledgedSequence: c.GetAcknowledged(),
			Wait: milliseconds(c.GetWait()),
		})
		workerClock = state.Clock
		encodeState(a, state)
	default:
		err = &platform.RejectedError{Reason: "unknown order"}
	}
	if err != nil {
		return encodeFailure(c, err)
	}
	a.Clock = workerClock.Milliseconds()
	return a
}

// session holds the pending answers for one calling process.
type session struct {
	// lastUsed is the time of the last request; it is guarded by the server's lock.
	lastUsed time.Time

	mu      sync.Mutex
	answers []*schema.RelayAnswer
	// flushBy is the latest time at which the pending answers are returned.
	flushBy time.Time
	changed chan struct{}
	// superseded is closed when a newer request starts to wait for answers.
	superseded chan struct{}
}

func newSession() *session {
	return &session{changed: make(chan struct{}), superseded: make(chan struct{})}
}

// add appends an answer and wakes the waiting request.
func (s *session) add(a *schema.RelayAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	flushBy := time.Now().Add(urgentAnswerDelay)
	if a.GetFailure() == schema.RelayFailure_RELAY_FAILURE_UNSPECIFIED && a.GetLife() != 0 && len(a.GetEnded()) == 0 {
		flushBy = flushBy.Add(idleAnswerDelay - urgentAnswerDelay)
	}
	if len(s.answers) == 0 || flushBy.Before(s.flushBy) {
		s.flushBy = flushBy
	}
	s.answers = append(s.answers, a)
	close(s.changed)
	s.changed = make(chan struct{})
}

// collect waits until an answer is due, at most for wait, and returns the pending
// answers. It returns none if a newer request supersedes it or ctx ends.
func (s *session) collect(ctx context.Context, wait time.Duration) []*schema.RelayAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.superseded)
	superseded := make(chan struct{})
	s.superseded = superseded
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		until := deadline
		if len(s.answers) > 0 && s.flushBy.Before(deadline) {
			until = s.flushBy
		}
		if !now.Before(until) {
			return s.take()
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(until.Sub(now))
		abandoned := false
		select {
		case <-timer.C:
		case <-changed:
		case <-superseded:
			abandoned = true
		case <-ctx.Done():
			abandoned = true
		}
		timer.Stop()
		s.mu.Lock()
		if abandoned {
			// The answers stay pending for a newer request, if there is one.
			return nil
		}
	}
}

// take removes and returns at most maxAnswersPerReply answers. The caller holds
// the lock.
func (s *session) take() []*schema.RelayAnswer {
	n := min(len(s.answers), maxAnswersPerReply)
	taken := s.answers[:n:n]
	s.answers = s.answers[n:]
	return taken
}
