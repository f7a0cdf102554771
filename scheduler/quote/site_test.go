package quote

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// site is an in-memory data centre whose directory serves as the view.
type site struct {
	cluster *memory.Platform
	teams   []Team
	claims  claims
	// sent counts all attempts, first the first attempts of requests, and busy
	// the attempts refused for lack of a slot.
	sent, first, busy atomic.Int64
}

// spread is the ratio of the highest to the lowest worker speed.
const spread = 4

func newSite(workers, instances int, seed uint64) *site {
	layout := memory.Layout{
		DataCentres: []string{"a"}, Workers: workers, Accelerators: 8, Slots: 8, Connections: 60, SpeedRatio: spread,
	}
	c := memory.Config{Seed: seed, Workers: layout.Build()}
	for i := range instances {
		c.Instances = append(c.Instances, platform.Instance{Name: self(i), Weight: 1 + i%2, State: platform.StateLive})
	}
	return &site{cluster: memory.New(c)}
}

func self(i int) string { return fmt.Sprintf("i%d", i) }

func (s *site) listing() platform.Listing {
	l, err := s.cluster.Directory.List(context.Background())
	if err != nil {
		panic(err)
	}
	return l
}

func (s *site) Workers() []platform.WorkerInfo { return s.listing().Workers }

func (s *site) Instances() []platform.Instance { return s.listing().Instances }

func (s *site) Teams() []Team { return s.teams }

func (s *site) router(i int, o Options) *Router {
	o.Seed = uint64(i) + 1
	return New(Dependencies{Self: self(i), Fleet: s, View: s, Claimer: &s.claims}, o)
}

// Worker returns a client of the worker that counts the attempts.
func (s *site) Worker(name string) (platform.Worker, error) {
	w, err := s.cluster.Fleet.Worker(name)
	return countingWorker{Worker: w, site: s}, err
}

type countingWorker struct {
	platform.Worker
	site *site
}

func (c countingWorker) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	c.site.sent.Add(1)
	if r.Ref.Attempt&15 == 1 {
		c.site.first.Add(1)
	}
	a, err := c.Worker.Run(ctx, r)
	if err != nil && classifyError(err) == outcomeBusy {
		c.site.busy.Add(1)
	}
	return a, err
}

// claims is an in-memory Claimer.
type claims struct {
	mu   sync.Mutex
	held map[string]Execution
	err  error
	wait time.Duration
}

func (c *claims) Claim(ctx context.Context, id string) error {
	if !sleep(ctx, c.wait) {
		return &platform.UnknownOutcomeError{Service: "table", Cause: ctx.Err()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if _, ok := c.held[id]; ok {
		return &platform.ConflictError{Keys: []string{id}}
	}
	if c.held == nil {
		c.held = map[string]Execution{}
	}
	c.held[id] = ""
	return nil
}

func (c *claims) Finish(_ context.Context, id string, ran Execution) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[id] = ran
	if ran == NotExecuted {
		delete(c.held, id)
	}
	return nil
}

// testDialer opens connections that can be made unresponsive.
type testDialer struct {
	site *site
	mu   sync.Mutex
	open []*testConn
	// excess is the largest number of connections to a worker beyond the
	// instance's share.
	excess int
}

func (d *testDialer) Dial(_ context.Context, w platform.WorkerInfo) (Conn, error) {
	worker, err := d.site.Worker(w.Name)
	if err != nil {
		return nil, err
	}
	c := &testConn{worker: worker, name: w.Name, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = append(d.open, c)
	d.excess = max(d.excess, d.count(w.Name)-Share(w.Name, w.Connections, self(0), d.site.Instances()))
	return c, nil
}

// count returns the number of open connections to the worker.
func (d *testDialer) count(name string) int {
	n := 0
	for _, c := range d.open {
		select {
		case <-c.closed:
		default:
			if c.name == name {
				n++
			}
		}
	}
	return n
}

// silence makes every nth connection permanently unresponsive.
func (d *testDialer) silence(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.open {
		if i%n == 0 {
			c.silent.Store(true)
		}
	}
}

// testConn is a connection to a worker. A silent one delivers nothing in either
// direction.
type testConn struct {
	worker platform.Worker
	name   string
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func deliver[T any](ctx context.Context, c *testConn, call func(context.Context) (T, error)) (T, error) {
	var answer T
	var err error
	if !c.silent.Load() {
		answer, err = call(ctx)
	}
	if !c.silent.Load() {
		return answer, err
	}
	var zero T
	select {
	case <-ctx.Done():
	case <-c.closed:
	}
	return zero, &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
}

func (c *testConn) Run(ctx context.Context, r platform.Request) (platform.Answer, error) {
	return deliver(ctx, c, func(ctx context.Context) (platform.Answer, error) { return c.worker.Run(ctx, r) })
}

func (c *testConn) Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error) {
	return deliver(ctx, c, func(ctx context.Context) (platform.Outcome, error) { return c.worker.Revoke(ctx, ref) })
}

func (c *testConn) Probe(ctx context.Context) (platform.Load, error) {
	return deliver(ctx, c, c.worker.Probe)
}

func (c *testConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// doer is a router or a baseline balancer.
type doer interface {
	Do(ctx context.Context, q Request) (Answer, error)
}

// baselineBalancer is a load balancer to compare with. It assigns each request to
// a worker by round robin or least outstanding requests, waits there for a slot,
// and after a failure retries immediately on the next worker.
type baselineBalancer struct {
	site             *site
	leastOutstanding bool
	retries          int
	mu               sync.Mutex
	names            []string
	slots            map[string]chan struct{}
	pending          map[string]int
	turn             int
}

func newBaselineBalancer(s *site, i int, least bool, retries int) *baselineBalancer {
	b := &baselineBalancer{site: s, leastOutstanding: least, retries: retries, slots: map[string]chan struct{}{}, pending: map[string]int{}}
	l := s.listing()
	for _, w := range l.Workers {
		if n := Share(w.Name, w.Slots, self(i), l.Instances); n > 0 {
			b.names = append(b.names, w.Name)
			b.slots[w.Name] = make(chan struct{}, n)
		}
	}
	return b
}

func (b *baselineBalancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	name := b.names[b.turn%len(b.names)]
	if b.leastOutstanding {
		for _, n := range b.names {
			if b.pending[n] < b.pending[name] {
				name = n
			}
		}
	}
	b.pending[name]++
	return name
}

func (b *baselineBalancer) Do(ctx context.Context, q Request) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	base := rand.Int() >> 20 << 4
	for try := 1; ; try++ {
		name := b.next()
		a, err := b.run(ctx, name, platform.Request{
			Ref:  platform.RequestRef{ID: q.ID, Attempt: base + try},
			Team: q.Team, Template: q.Template, Deadline: q.Deadline, Payload: q.Payload,
		})
		b.mu.Lock()
		b.pending[name]--
		b.mu.Unlock()
		if (err == nil && !a.Failed) || try > b.retries || ctx.Err() != nil {
			if err != nil {
				err = &RefusedError{Reason: ReasonDeadline, Execution: ExecutionUnknown, Cause: err}
			}
			return Answer{Worker: name, Failed: a.Failed, Content: a.Content, Attempts: try}, err
		}
	}
}

func (b *baselineBalancer) run(ctx context.Context, name string, r platform.Request) (platform.Answer, error) {
	select {
	case b.slots[name] <- struct{}{}:
		defer func() { <-b.slots[name] }()
	case <-ctx.Done():
		return platform.Answer{}, ctx.Err()
	}
	w, err := b.site.Worker(name)
	if err != nil {
		return platform.Answer{}, err
	}
	return w.Run(ctx, r)
}
