package dispatch

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/balance"
	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

const (
	// roundEvery is the interval between rounds while work is pending.
	roundEvery = time.Second
	// scanEvery is the interval between pages of the scan for jobs whose offer
	// was lost.
	scanEvery = 2 * time.Second
	// scanRows and loadRows are the jobs read in one call: few during the
	// continuous scan, so that it stays far below the table's 2,000 reads a
	// second, and many when the role is taken over.
	scanRows = 100
	loadRows = 500
	// scanWait bounds one read; a slow table takes seconds for a call.
	scanWait = 15 * time.Second
	// settleAfter is how long a started gang may be missing from its rack's
	// published state.
	settleAfter = 5 * time.Second
	// orphanAfter is how long a claimed job may be on no worker before its
	// attempt counts as lost. It exceeds the takeover of a rack.
	orphanAfter = 15 * time.Second
)

// scheduler decides for the pending jobs of the data centre while this instance
// holds the planner role.
type scheduler struct {
	self      platform.Instance
	group     *member.Group
	ledger    *ledger.Ledger
	catalogue *template.Catalogue
	board     *board
	planner   *planner.Planner
	balance   *balance.Account
	caller    caller
	grace     time.Duration
	log       klog.Logger
	wakes     chan struct{}
	loads     chan struct{}

	mu     sync.Mutex
	active bool
	loaded bool
	cursor string
	// term counts the changes of the role, so that a read that began in an
	// earlier term is dropped.
	term     int
	pending  *queue.Queue
	unpaid   map[string]*schema.Job
	records  map[string]*schema.Job
	shares   map[string]float64
	starting map[string]starting
	// places holds the workers of the gangs started here, by member.
	places   map[string][]string
	stopping map[string]time.Time
	missing  map[string]time.Time
	strays   map[string]time.Time
	// refused tells since when no machines could hold a pending job.
	refused   map[string]time.Time
	holds     []planner.Reservation
	estimator *queue.Estimator
	book      *quarantine.Tracker
	speeds    *gang.Speeds
	// workers and spent hold what was last logged.
	workers map[string]quarantine.State
	spent   map[string]bool
	plan    planCache
	// guaranteed tells which running gangs were started in a cell of their
	// team.
	guaranteed map[string]bool
}

// starting is a gang that the rack's published state does not show yet.
type starting struct {
	start    planner.Start
	attempt  int32
	deadline time.Time
}

// caller carries decisions to the rack owners.
type caller interface {
	launch(ctx context.Context, m *schema.Launch) (*schema.Launched, error)
	evict(ctx context.Context, m *schema.Evict) (*schema.Evicted, error)
	halt(ctx context.Context, m *schema.Halt) error
}

func newScheduler(self platform.Instance, group *member.Group, l *ledger.Ledger, catalogue *template.Catalogue, b *board, p *planner.Planner, account *balance.Account, c caller, grace time.Duration, log klog.Logger) *scheduler {
	s := &scheduler{
		self:       self,
		group:      group,
		ledger:     l,
		catalogue:  catalogue,
		board:      b,
		planner:    p,
		balance:    account,
		caller:     c,
		grace:      grace,
		log:        log,
		wakes:      make(chan struct{}, 1),
		loads:      make(chan struct{}, 1),
		estimator:  queue.NewEstimator(),
		book:       quarantine.New(),
		speeds:     gang.NewSpeeds(),
		workers:    make(map[string]quarantine.State),
		spent:      make(map[string]bool),
		guaranteed: make(map[string]bool),
	}
	s.reset()
	return s
}

// reset forgets all jobs. What was learned stays.
func (s *scheduler) reset() {
	s.loaded = false
	s.cursor = ""
	s.pending = queue.New()
	s.unpaid = make(map[string]*schema.Job)
	s.records = make(map[string]*schema.Job)
	s.shares = make(map[string]float64)
	s.places = make(map[string][]string)
	s.starting = make(map[string]starting)
	s.stopping = make(map[string]time.Time)
	s.missing = make(map[string]time.Time)
	s.strays = make(map[string]time.Time)
	s.refused = make(map[string]time.Time)
	s.holds = nil
}

// wake causes a round soon.
func (s *scheduler) wake() { signal(s.wakes) }

// signal sends on a channel unless a value is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run makes rounds until ctx ends.
func (s *scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.wakes:
		}
		s.round(ctx, time.Now())
	}
}

// round takes or gives up the role and decides.
func (s *scheduler) round(ctx context.Context, now time.Time) {
	if !s.holdsRole() {
		return
	}
	listing, ok := s.group.Listing()
	if !ok || len(layout(listing.Workers, s.self.DataCentre)) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteQuarantine(listing.Workers, now)
	s.reconcile(ctx, now)
	in := s.input(now)
	s.settleStrays(ctx, in.Running, now)
	s.charge(ctx, in, now)
	result := s.planner.Decide(in)
	s.holds = result.Reservations
	s.carryOut(ctx, result, now)
}

// planKey is the key whose owner is the planner of a data centre.
func planKey(centre string) string { return "queue/" + centre }

// holdsRole reports whether this instance is the planner, after taking or
// giving up the role.
func (s *scheduler) holdsRole() bool {
	owner, ok := member.Owner(planKey(s.self.DataCentre), s.group.Local())
	mine := ok && owner.Name == s.self.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	if mine != s.active {
		s.active = mine
		s.term++
		s.reset()
		if mine {
			signal(s.loads)
			s.log.Info(EventPlannerAcquired, "centre", s.self.DataCentre)
		} else {
			s.log.Info(EventPlannerReleased, "centre", s.self.DataCentre)
		}
	}
	return mine
}

// scan reads the open jobs until ctx ends: all of them after taking the role,
// then one page every scanEvery. It runs beside the rounds, so that a slow table
// does not delay decisions that need no table.
func (s *scheduler) scan(ctx context.Context) error {
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.loads:
		}
		for s.scanPage(ctx) {
			s.wake()
		}
		s.wake()
	}
}

// scanPage reads one page and reports whether the next is due at once.
func (s *scheduler) scanPage(ctx context.Context) bool {
	s.mu.Lock()
	active, loaded, cursor, term := s.active, s.loaded, s.cursor, s.term
	s.mu.Unlock()
	if !active {
		return false
	}
	size := scanRows
	if !loaded {
		size = loadRows
	}
	ctx, cancel := context.WithTimeout(ctx, scanWait)
	defer cancel()
	jobs, next, err := s.ledger.ListUnfinished(ctx, s.self.DataCentre, cursor, size)
	if err != nil {
		s.log.V(1).Info(EventRetry, "what", "scan of open jobs", "err", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return false
	}
	for _, job := range jobs {
		s.adopt(job)
	}
	s.cursor = next
	s.loaded = s.loaded || next == ""
	return !s.loaded
}
