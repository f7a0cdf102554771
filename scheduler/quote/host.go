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

func (h *workerConns) workerInfo() platform.WorkerInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.info
}

func (h *workerConns) configure(info platform.WorkerInfo, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.info = info
	h.limit = limit
	for h.overLimit() && len(h.idle) > 0 {
		h.closeLocked(h.removeIdle(0))
	}
}

// removeIdle removes the idle connection at index i from the list and returns it.
func (h *workerConns) removeIdle(i int) *pooledConn {
	pc := h.idle[i]
	h.idle = slices.Delete(h.idle, i, i+1)
	return pc
}

// closeLocked closes a connection that is not in the idle list, in the
// background. The caller holds h.mu. The connection counts as open until it is
// closed.
func (h *workerConns) closeLocked(pc *pooledConn) {
	h.closing++
	go func() {
		_ = pc.conn.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closing--
		h.open--
		h.signal()
	}()
}

// overLimit reports whether there are more connections than the limit allows.
func (h *workerConns) overLimit() bool { return h.open-h.closing > h.limit }

func (h *workerConns) signal() {
	select {
	case h.freed <- struct{}{}:
	default:
	}
}

// beginRun reserves capacity for a request. One connection is kept free to query
// the outcome of requests on the others, unless it is the only one.
func (h *workerConns) beginRun() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	maxRuns := h.limit - 1
	if h.limit == 1 {
		maxRuns = 1
	}
	if h.runs >= maxRuns {
		return &platform.BusyError{Worker: h.info.Name}
	}
	h.runs++
	return nil
}

func (h *workerConns) endRun() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs--
}

// acquire returns an idle connection that has answered since one was last found
// unresponsive, or a new connection if there is none or fresh is set. It waits
// while the limit is reached.
func (h *workerConns) acquire(ctx context.Context, fresh bool) (*pooledConn, error) {
	for {
		pc, mayOpen := h.tryAcquire(fresh)
		if pc != nil || mayOpen {
			// One signal may stand for several freed connections, so another
			// caller may be able to continue.
			h.signal()
		}
		if pc != nil {
			return pc, nil
		}
		if mayOpen {
			return h.dial(ctx)
		}
		select {
		case <-h.freed:
		case <-ctx.Done():
			return nil, &platform.UnavailableError{Service: "connections", Cause: ctx.Err()}
		}
	}
}

// tryAcquire returns an idle connection, or true if the caller is to open a new
// one, which it has counted.
func (h *workerConns) tryAcquire(fresh bool) (*pooledConn, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.idle) - 1
	if !fresh && last >= 0 && h.idle[last].lastAnswer.After(h.lastUnresponsive) {
		return h.removeIdle(last), false
	}
	if h.open-h.closing >= h.limit && last >= 0 {
		h.closeLocked(h.removeIdle(0))
	}
	if h.open >= h.limit {
		return nil, false
	}
	h.open++
	h.lastGrown = time.Now()
	return nil, true
}

// dial opens a connection that tryAcquire has counted.
func (h *workerConns) dial(ctx context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.options.DialTimeout)
	defer cancel()
	conn, err := h.pool.dialer.Dial(ctx, h.workerInfo())
	if err != nil {
		h.mu.Lock()
		h.open--
		h.signal()
		h.mu.Unlock()
		return nil, &platform.UnavailableError{Service: "connection to worker", Cause: err}
	}
	return &pooledConn{conn: conn, lastAnswer: time.Now()}, nil
}

// release returns a connection to the pool after an answer has arrived on it.
func (h *workerConns) release(pc *pooledConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overLimit() {
		h.closeLocked(pc)
		return
	}
	pc.lastAnswer = time.Now()
	h.idle = append(h.idle, pc)
	h.signal()
}

// closeConn closes a connection whose state is unknown.
func (h *workerConns) closeConn(pc *pooledConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closeLocked(pc)
}

// replace closes an unresponsive connection and starts probes of the idle ones.
func (h *workerConns) replace(pc *pooledConn) {
	h.mu.Lock()
	h.closeLocked(pc)
	h.replaced++
	h.lastUnresponsive = time.Now()
	h.mu.Unlock()
	h.probeIdle(time.Now())
	h.pool.probeAll()
}

// probeIdle probes the idle connections whose last answer is not after the given
// time. They are not used until they have answered.
func (h *workerConns) probeIdle(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, pc := range h.idle {
		if pc.lastAnswer.After(before) {
			kept = append(kept, pc)
			continue
		}
		go h.probe(pc)
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

func (h *workerConns) probe(pc *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), h.pool.options.ProbeTimeout)
	defer cancel()
	if _, err := pc.conn.Probe(ctx); err != nil {
		h.replace(pc)
		return
	}
	h.release(pc)
}

// idleTrimDelay is the time without new connections after which surplus idle
// ones are closed.
const idleTrimDelay = 10 * time.Second

// trim closes idle connections beyond MaxIdlePerWorker if no new connection was
// needed for idleTrimDelay.
func (h *workerConns) trim(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > h.pool.options.MaxIdlePerWorker && now.Sub(h.lastGrown) > idleTrimDelay {
		h.closeLocked(h.removeIdle(0))
	}
}
