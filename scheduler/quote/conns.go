package quote

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// pooledConn is a connection in the pool.
type pooledConn struct {
	conn Conn
	// lastAnswer is when the last answer arrived on the connection.
	lastAnswer time.Time
}

// workerConns holds the connections to one worker.
type workerConns struct {
	pool *Pool

	mu    sync.Mutex
	info  platform.WorkerInfo
	limit int
	// open is the number of connections, including those being opened or closed.
	open    int
	closing int
	// runs is the number of requests that use a connection or wait for one.
	runs int
	// idle holds the idle connections, the most recently used one last.
	idle []*pooledConn
	// lastUnresponsive is when a connection was last found unresponsive. An idle
	// connection whose last answer is older is not used until it is probed.
	lastUnresponsive time.Time
	replaced         int
	// lastGrown is when a connection was last opened because none was idle.
	lastGrown time.Time
	// freed signals that a connection was returned or closed.
	freed chan struct{}
}

func newWorkerConns(p *Pool) *workerConns {
	return &workerConns{pool: p, freed: make(chan struct{}, 1)}
}

func (c *workerConns) workerInfo() platform.WorkerInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info
}

func (c *workerConns) configure(info platform.WorkerInfo, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info = info
	c.limit = limit
	for c.overLimit() && len(c.idle) > 0 {
		c.closeLocked(c.removeIdle(0))
	}
}

// removeIdle removes the idle connection at index i from the list and returns it.
func (c *workerConns) removeIdle(i int) *pooledConn {
	pc := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return pc
}

// closeLocked closes a connection that is not in the idle list, in the
// background. The caller holds h.mu. The connection counts as open until it is
// closed.
func (c *workerConns) closeLocked(pc *pooledConn) {
	c.closing++
	go func() {
		_ = pc.conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closing--
		c.open--
		c.signal()
	}()
}

// overLimit reports whether there are more connections than the limit allows.
func (c *workerConns) overLimit() bool { return c.open-c.closing > c.limit }

func (c *workerConns) signal() {
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// beginRun reserves capacity for a request. One connection is kept free to query
// the outcome of requests on the others, unless it is the only one.
func (c *workerConns) beginRun() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	maxRuns := c.limit - 1
	if c.limit == 1 {
		maxRuns = 1
	}
	if c.runs >= maxRuns {
		return &platform.BusyError{Worker: c.info.Name}
	}
	c.runs++
	return nil
}

func (c *workerConns) endRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs--
}

// acquire returns an idle connection that has answered since one was last found
// unresponsive, or a new connection if there is none or fresh is set. It waits
// while the limit is reached.
func (c *workerConns) acquire(ctx context.Context, fresh bool) (*pooledConn, error) {
	for {
		pc, mayOpen := c.tryAcquire(fresh)
		if pc != nil || mayOpen {
			// One signal may stand for several freed connections, so another
			// caller may be able to continue.
			c.signal()
		}
		if pc != nil {
			return pc, nil
		}
		if mayOpen {
			return c.dial(ctx)
		}
		select {
		case <-c.freed:
		case <-ctx.Done():
			return nil, &platform.UnavailableError{Service: "connections", Cause: ctx.Err()}
		}
	}
}

// tryAcquire returns an idle connection, or true if the caller is to open a new
// one, which it has counted.
func (c *workerConns) tryAcquire(fresh bool) (*pooledConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if !fresh && last >= 0 && c.idle[last].lastAnswer.After(c.lastUnresponsive) {
		return c.removeIdle(last), false
	}
	if c.open-c.closing >= c.limit && last >= 0 {
		c.closeLocked(c.removeIdle(0))
	}
	if c.open >= c.limit {
		return nil, false
	}
	c.open++
	c.lastGrown = time.Now()
	return nil, true
}

// dial opens a connection that tryAcquire has counted.
func (c *workerConns) dial(ctx context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.options.DialTimeout)
	defer cancel()
	conn, err := c.pool.dialer.Dial(ctx, c.workerInfo())
	if err != nil {
		c.mu.Lock()
		c.open--
		c.signal()
		c.mu.Unlock()
		return nil, &platform.UnavailableError{Service: "connection to worker", Cause: err}
	}
	return &pooledConn{conn: conn, lastAnswer: time.Now()}, nil
}

// release returns a connection to the pool after an answer has arrived on it.
func (c *workerConns) release(pc *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overLimit() {
		c.closeLocked(pc)
		return
	}
	pc.lastAnswer = time.Now()
	c.idle = append(c.idle, pc)
	c.signal()
}

// closeConn closes a connection whose state is unknown.
func (c *workerConns) closeConn(pc *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(pc)
}

// replace closes an unresponsive connection and starts probes of the idle ones.
func (c *workerConns) replace(pc *pooledConn) {
	c.mu.Lock()
	c.closeLocked(pc)
	c.replaced++
	c.lastUnresponsive = time.Now()
	c.mu.Unlock()
	c.probeIdle(time.Now())
	c.pool.probeAll()
}

// probeIdle probes the idle connections whose last answer is not after the given
// time. They are not used until they have answered.
func (c *workerConns) probeIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, pc := range c.idle {
		if pc.lastAnswer.After(before) {
			kept = append(kept, pc)
			continue
		}
		go c.probe(pc)
	}
	clear(c.idle[len(kept):])
	c.idle = kept
}

func (c *workerConns) probe(pc *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), c.pool.options.ProbeTimeout)
	defer cancel()
	if _, err := pc.conn.Probe(ctx); err != nil {
		c.replace(pc)
		return
	}
	c.release(pc)
}

// idleTrimDelay is the time without new connections after which surplus idle
// ones are closed.
const idleTrimDelay = 10 * time.Second

// trim closes idle connections beyond MaxIdlePerWorker if no new connection was
// needed for idleTrimDelay.
func (c *workerConns) trim(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > c.pool.options.MaxIdlePerWorker && now.Sub(c.lastGrown) > idleTrimDelay {
		c.closeLocked(c.removeIdle(0))
	}
}
