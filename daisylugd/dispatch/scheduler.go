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
	// roundInterval is the interval between scheduling rounds.
	roundInterval = time.Second
	// scanInterval is the interval between the pages of the scan that finds
	// jobs whose offer was lost.
	scanInterval = 2 * time.Second
	// scanPageSize and loadPageSize are the numbers of jobs read in one call.
	// The continuous scan reads few, to stay far below the table's 2,000 reads
	// per second; taking over the role reads many.
	scanPageSize = 100
	loadPageSize = 500
	// scanTimeout limits one read; a slow table takes seconds per call.
	scanTimeout = 15 * time.Second
	// propagationTimeout is how long a started gang may be missing from the
	// published state of its rack.
	propagationTimeout = 5 * time.Second
	// orphanTimeout is how long a claimed job may be missing from all workers
	// before its attempt counts as lost. It is longer than the takeover of a
	// rack.
	orphanTimeout = 15 * time.Second
)

// scheduler schedules the pending jobs of the data centre while this instance
// holds the planner role.
type scheduler struct {
	self           platform.Instance
	group          *member.Group
	ledger         *ledger.Ledger
	catalogue      *template.Catalogue
	publishedRacks *publishedRacks
	planner        *planner.Planner
	account        *balance.Account
	rackClient     rackClient
	gracePeriod    time.Duration
	log            klog.Logger
	wakeCh         chan struct{}
	loadCh         chan struct{}

	mu     sync.Mutex
	active bool
	loaded bool
	cursor string
	// term is incremented on each change of the role, so that the result of a
	// read that began in an earlier term is discarded.
	term    int
	pending *queue.Queue
	// unpaid holds the queued jobs of teams whose balance is spent.
	unpaid  map[string]*schema.Job
	records map[string]*schema.Job
	// progress holds the share of an evicted job's work that its checkpoints
	// cover.
	progress      map[string]float64
	pendingStarts map[string]pendingStart
	// gangWorkers holds the workers of each gang started here, in member order.
	gangWorkers map[string][]string
	evicting    map[string]time.Time
	// missingSince holds the time from which no worker runs a claimed job.
	missingSince map[string]time.Time
	// untracked holds, for each running gang whose job is unknown, the time of
	// the next look-up of the job.
	untracked map[string]time.Time
	// refusedSince holds the time from which no machines could hold a pending
	// job.
	refusedSince      map[string]time.Time
	reservations      []planner.Reservation
	estimator         *queue.Estimator
	quarantineTracker *quarantine.Tracker
	speeds            *gang.Speeds
	// loggedStates and loggedSpent hold the values that were last logged.
	loggedStates map[string]quarantine.State
	loggedSpent  map[string]bool
	planCache    planCache
	// guaranteed holds the running gangs that were started in a guaranteed cell
	// of their team.
	guaranteed map[string]bool
}

// pendingStart is a gang whose start was requested and that the published rack
// state does not show yet.
type pendingStart struct {
	start    planner.Start
	attempt  int32
	deadline time.Time
}

// rackClient calls the rack owners to carry out decisions.
type rackClient interface {
	launch(ctx context.Context, m *schema.Launch) (*schema.Launched, error)
	evict(ctx context.Context, m *schema.Evict) (*schema.Evicted, error)
	halt(ctx context.Context, m *schema.Halt) error
}

func newScheduler(self platform.Instance, group *member.Group, l *ledger.Ledger, catalogue *template.Catalogue, racks *publishedRacks, p *planner.Planner, account *balance.Account, client rackClient, grace time.Duration, log klog.Logger) *scheduler {
	s := &scheduler{
		self:              self,
		group:             group,
		ledger:            l,
		catalogue:         catalogue,
		publishedRacks:    racks,
		planner:           p,
		account:           account,
		rackClient:        client,
		gracePeriod:       grace,
		log:               log,
		wakeCh:            make(chan struct{}, 1),
		loadCh:            make(chan struct{}, 1),
		estimator:         queue.NewEstimator(),
		quarantineTracker: quarantine.New(),
		speeds:            gang.NewSpeeds(),
		loggedStates:      make(map[string]quarantine.State),
		loggedSpent:       make(map[string]bool),
		guaranteed:        make(map[string]bool),
	}
	s.reset()
	return s
}

// reset removes all jobs. Learned run times, speeds and failures are kept.
func (s *scheduler) reset() {
	s.loaded = false
	s.cursor = ""
	s.pending = queue.New()
	s.unpaid = make(map[string]*schema.Job)
	s.records = make(map[string]*schema.Job)
	s.progress = make(map[string]float64)
	s.gangWorkers = make(map[string][]string)
	s.pendingStarts = make(map[string]pendingStart)
	s.evicting = make(map[string]time.Time)
	s.missingSince = make(map[string]time.Time)
	s.untracked = make(map[string]time.Time)
	s.refusedSince = make(map[string]time.Time)
	s.reservations = nil
}

// wake triggers a round without waiting for the interval.
func (s *scheduler) wake() { signal(s.wakeCh) }

// signal sends on a channel unless a value is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run executes scheduling rounds until ctx is cancelled.
func (s *scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.wakeCh:
		}
		s.round(ctx, time.Now())
	}
}

// round updates the planner role and, if this instance holds it, schedules.
func (s *scheduler) round(ctx context.Context, now time.Time) {
	if !s.updateRole() {
		return
	}
	listing, ok := s.group.Listing()
	if !ok || len(rackLayout(listing.Workers, s.self.DataCentre)) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logQuarantine(listing.Workers, now)
	s.reconcile(ctx, now)
	in := s.plannerInput(now)
	s.reconcileUntracked(ctx, in.Running, now)
	s.enforceBalances(ctx, in, now)
	result := s.planner.Decide(in)
	s.reservations = result.Reservations
	s.execute(ctx, result, now)
}

// plannerKey returns the key whose owner is the planner of a data centre.
func plannerKey(centre string) string { return "queue/" + centre }

// updateRole acquires or releases the planner role as ownership requires, and
// reports whether this instance holds it.
func (s *scheduler) updateRole() bool {
	owner, ok := member.Owner(plannerKey(s.self.DataCentre), s.group.Local())
	isPlanner := ok && owner.Name == s.self.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	if isPlanner != s.active {
		s.active = isPlanner
		s.term++
		s.reset()
		if isPlanner {
			signal(s.loadCh)
			s.log.Info(EventPlannerAcquired, "centre", s.self.DataCentre)
		} else {
			s.log.Info(EventPlannerReleased, "centre", s.self.DataCentre)
		}
	}
	return isPlanner
}

// scan reads the unfinished jobs until ctx is cancelled: all of them after
// taking the role, then one page every scanInterval. It runs concurrently with
// the rounds, so that a slow table does not delay decisions that do not need
// the table.
func (s *scheduler) scan(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.loadCh:
		}
		for s.scanPage(ctx) {
			s.wake()
		}
		s.wake()
	}
}

// scanPage reads one page and reports whether the next page should be read
// immediately.
func (s *scheduler) scanPage(ctx context.Context) bool {
	s.mu.Lock()
	active, loaded, cursor, term := s.active, s.loaded, s.cursor, s.term
	s.mu.Unlock()
	if !active {
		return false
	}
	size := scanPageSize
	if !loaded {
		size = loadPageSize
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
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
		s.mergeRecord(job)
	}
	s.cursor = next
	s.loaded = s.loaded || next == ""
	return !s.loaded
}
