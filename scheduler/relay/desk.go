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
	// answerPause is how long the answer to a look in which nothing has ended may
	// wait for others.
	answerPause = 150 * time.Millisecond
	// endPause is the same for other answers.
	endPause = 10 * time.Millisecond
	// maxAnswers bounds the answers of one exchange.
	maxAnswers = 200
	// maxActive bounds the calls to workers at a time.
	maxActive = 2000
	// keepTime is how long connections and answers that nobody asks for are kept.
	keepTime = 20 * time.Second
)

// Server makes calls to workers for the planners of other instances.
type Server struct {
	dialer Dialer
	log    klog.Logger

	mu       sync.Mutex
	sessions map[sessionKey]*session
	runners  map[runnerKey]*dialled
	swept    time.Time
	active   chan struct{}
}

// sessionKey identifies a process that asks.
type sessionKey struct {
	instance string
	number   uint64
}

type runnerKey struct{ worker, address string }

type dialled struct {
	platform.Runner
	used time.Time
}

// NewServer returns a desk that reaches workers through a dialer.
func NewServer(dialer Dialer, log klog.Logger) *Server {
	return &Server{
		dialer: dialer, log: log, swept: time.Now(),
		sessions: map[sessionKey]*session{}, runners: map[runnerKey]*dialled{}, active: make(chan struct{}, maxActive),
	}
}

// Exchange begins calls and returns answers, those of earlier calls included.
func (d *Server) Exchange(ctx context.Context, from platform.Instance, m *schema.RelayRequest) (proto.Message, error) {
	received := uptime.Now()
	s := d.session(sessionKey{from.Name, m.GetSession()})
	for _, c := range m.GetCalls() {
		payload := ""
		if n := int(c.GetPayload()); n > 0 && n <= len(m.GetPayloads()) {
			payload = m.GetPayloads()[n-1]
		}
		select {
		case d.active <- struct{}{}:
			go func() {
				defer func() { <-d.active }()
				s.put(d.serve(c, payload, received))
			}()
		default:
			s.put(failure(c, &platform.UnavailableError{Service: Service, Cause: &BusyError{Calls: maxActive}}))
		}
	}
	return &schema.RelayReply{Answers: s.collect(ctx, collectTime)}, nil
}

// BusyError reports an instance that makes too many calls already.
type BusyError struct{ Calls int }

func (e *BusyError) Error() string { return "instance makes too many calls to workers" }

// session returns the session of a process and forgets what is no longer used.
func (d *Server) session(key sessionKey) *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.swept) > keepTime {
		d.swept = now
		for k, s := range d.sessions {
			if now.Sub(s.used) > keepTime {
				delete(d.sessions, k)
			}
		}
		for k, r := range d.runners {
			if now.Sub(r.used) > keepTime {
				delete(d.runners, k)
			}
		}
	}
	s := d.sessions[key]
	if s == nil {
		d.log.Info("making calls to workers", "for", key.instance)
		s = newSession()
		d.sessions[key] = s
	}
	s.used = now
	return s
}

func (d *Server) runner(c *schema.RelayCall) platform.Runner {
	key := runnerKey{c.GetWorker(), c.GetAddress()}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runners[key]
	if r == nil {
		r = &dialled{Runner: d.dialer.Runner(platform.RunnerInfo{ID: key.worker, Address: key.address})}
		d.runners[key] = r
	}
	r.used = time.Now()
	return r
}

// serve makes one call, unless its time has run out while this process was
// paused.
func (d *Server) serve(c *schema.RelayCall, payload string, received time.Duration) *schema.RelayAnswer {
	rest := milliseconds(c.GetBudget()) - (uptime.Now() - received)
	if rest <= 0 {
		d.log.Info("call was not made in time", "worker", c.GetWorker(), "order", c.GetOrder().String(), "late", -rest)
		return failure(c, &platform.UnavailableError{Service: Service, Cause: context.DeadlineExceeded})
	}
	ctx, cancel := context.WithTimeout(context.Background(), rest)
	defer cancel()
	runner := d.runner(c)
	a := &schema.RelayAnswer{Id: c.GetId()}
	var at time.Duration
	var err error
	switch c.GetOrder() {
	case schema.RelayOrder_RELAY_ORDER_START:
		at, err = runner.Start(ctx, platform.StartRequest{
			Run: decodeRun(c.GetRun()), Generation: c.GetGeneration(), LeaseDeadline: milliseconds(c.GetLease()),
			Payload: payload, Checkpoint: c.GetCheckpoint(), Ticket: c.GetTicket(),
		})
	case schema.RelayOrder_RELAY_ORDER_STOP:
		at, err = runner.Stop(ctx, platform.StopRequest{Run: decodeRun(c.GetRun()), Generation: c.GetGeneration()})
	case schema.RelayOrder_RELAY_ORDER_PACE:
		at, err = runner.Throttle(ctx, platform.ThrottleRequest{
			Run: decodeRun(c.GetRun()), Generation: c.GetGeneration(), SpeedPercent: int(c.GetShare()),
		})
	case schema.RelayOrder_RELAY_ORDER_HOLD:
		var state platform.RunnerState
		state, err = runner.RenewLease(ctx, platform.RenewLeaseRequest{
			Generation: c.GetGeneration(), LeaseDeadline: milliseconds(c.GetLease()), AcknowledgedSequence: c.GetAcknowledged(),
			Wait: milliseconds(c.GetWait()),
		})
		at = state.Clock
		encodeState(a, state)
	default:
		err = &platform.RejectedError{Reason: "unknown order"}
	}
	if err != nil {
		return failure(c, err)
	}
	a.Clock = at.Milliseconds()
	return a
}

// session holds the answers for one process.
type session struct {
	// used is when the process last asked, under the desk's lock.
	used time.Time

	mu    sync.Mutex
	ready []*schema.RelayAnswer
	// due is when the answers are returned at the latest.
	due     time.Time
	changed chan struct{}
	// newer is closed when another request waits for answers.
	newer chan struct{}
}

func newSession() *session {
	return &session{changed: make(chan struct{}), newer: make(chan struct{})}
}

// put adds an answer.
func (s *session) put(a *schema.RelayAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Now().Add(endPause)
	if a.GetFailure() == schema.RelayFailure_RELAY_FAILURE_UNSPECIFIED && a.GetLife() != 0 && len(a.GetEnded()) == 0 {
		due = due.Add(answerPause - endPause)
	}
	if len(s.ready) == 0 || due.Before(s.due) {
		s.due = due
	}
	s.ready = append(s.ready, a)
	close(s.changed)
	s.changed = make(chan struct{})
}

// collect returns the answers that are there, as soon as one is due, when a
// newer request waits for them, or after a time.
func (s *session) collect(ctx context.Context, wait time.Duration) []*schema.RelayAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.newer)
	newer := make(chan struct{})
	s.newer = newer
	end := time.Now().Add(wait)
	for {
		now := time.Now()
		until := end
		if len(s.ready) > 0 && s.due.Before(end) {
			until = s.due
		}
		if !now.Before(until) {
			return s.take()
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(until.Sub(now))
		over := false
		select {
		case <-timer.C:
		case <-changed:
		case <-newer:
			over = true
		case <-ctx.Done():
			over = true
		}
		timer.Stop()
		s.mu.Lock()
		if over {
			// Another request, or nobody, takes the answers.
			return nil
		}
	}
}

// take removes answers, as many as one message holds. The caller holds the
// lock.
func (s *session) take() []*schema.RelayAnswer {
	n := min(len(s.ready), maxAnswers)
	taken := s.ready[:n:n]
	s.ready = s.ready[n:]
	return taken
}
