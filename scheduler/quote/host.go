package quote

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// link is a connection in the pool.
type link struct {
	conn Conn
	// proven is when the last answer arrived on it.
	proven time.Time
}

// host holds the connections to one worker.
type host struct {
	pool *Pool

	mu    sync.Mutex
	info  platform.WorkerInfo
	limit int
	// open counts all connections, including those being opened or closed.
	open    int
	closing int
	// runs counts the connections that carry requests.
	runs int
	// idle connections, the last used at the end.
	idle []*link
	// suspect is when a connection was last found silent. Idle connections
	// that were proven before are not used until they are probed.
	suspect  time.Time
	replaced int
	// used is when a connection was last opened for lack of an idle one.
	used time.Time
	// freed signals that a connection was returned or closed.
	freed chan struct{}
}

func newHost(p *Pool) *host {
	return &host{pool: p, freed: make(chan struct{}, 1)}
}

func (h *host) worker() platform.WorkerInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.info
}

func (h *host) configure(info platform.WorkerInfo, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.info = info
	h.limit = limit
	for h.excess() && len(h.idle) > 0 {
		h.discard(h.pop(0))
	}
}

// pop removes an idle connection.
func (h *host) pop(i int) *link {
	l := h.idle[i]
	h.idle = slices.Delete(h.idle, i, i+1)
	return l
}

// discard closes a connection that is not idle. The caller holds the lock. The
// connection counts until it is closed.
func (h *host) discard(l *link) {
	h.closing++
	go func() {
		_ = l.conn.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closing--
		h.open--
		h.signal()
	}()
}

// excess tells whether there are more connections than the limit allows.
func (h *host) excess() bool { return h.open-h.closing > h.limit }

func (h *host) signal() {
	select {
	case h.freed <- struct{}{}:
	default:
	}
}

// beginRun reserves a place for a request. One connection is kept free to ask
// what became of the others.
func (h *host) beginRun() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := h.limit - 1
	if h.limit == 1 {
		most = 1
	}
	if h.runs >= most {
		return &platform.BusyError{Worker: h.info.Name}
	}
	h.runs++
	return nil
}

func (h *host) endRun() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs--
}

// take returns a connection: an idle one that is not suspect, unless a fresh
// one is asked for, or else a new one. It waits while the limit is reached.
func (h *host) take(ctx context.Context, fresh bool) (*link, error) {
	for {
		l, room := h.grab(fresh)
		if l != nil || room {
			// One signal may stand for several free connections.
			h.signal()
		}
		if l != nil {
			return l, nil
		}
		if room {
			return h.dial(ctx)
		}
		select {
		case <-h.freed:
		case <-ctx.Done():
			return nil, &platform.UnavailableError{Service: "connections", Cause: ctx.Err()}
		}
	}
}

// grab returns an idle connection, or true if there is room for a new one.
func (h *host) grab(fresh bool) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.idle) - 1
	if !fresh && last >= 0 && h.idle[last].proven.After(h.suspect) {
		return h.pop(last), false
	}
	if h.open-h.closing >= h.limit && last >= 0 {
		h.discard(h.pop(0))
	}
	if h.open >= h.limit {
		return nil, false
	}
	h.open++
	h.used = time.Now()
	return nil, true
}

// dial opens a connection for which there is room.
func (h *host) dial(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.options.DialTimeout)
	defer cancel()
	conn, err := h.pool.dialer.Dial(ctx, h.worker())
	if err != nil {
		h.mu.Lock()
		h.open--
		h.signal()
		h.mu.Unlock()
		return nil, &platform.UnavailableError{Service: "connection to worker", Cause: err}
	}
	return &link{conn: conn, proven: time.Now()}, nil
}

// put returns a connection on which an answer has arrived.
func (h *host) put(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.excess() {
		h.discard(l)
		return
	}
	l.proven = time.Now()
	h.idle = append(h.idle, l)
	h.signal()
}

// drop closes a connection whose state is not known.
func (h *host) drop(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.discard(l)
}

// replace closes a connection that went silent and has the others probed.
func (h *host) replace(l *link) {
	h.mu.Lock()
	h.discard(l)
	h.replaced++
	h.suspect = time.Now()
	h.mu.Unlock()
	h.probeIdle(time.Now())
	h.pool.alarm()
}

// probeIdle probes the idle connections that were last proven before the given
// time. They are not used meanwhile.
func (h *host) probeIdle(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, l := range h.idle {
		if l.proven.After(before) {
			kept = append(kept, l)
			continue
		}
		go h.probe(l)
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

func (h *host) probe(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), h.pool.options.ProbeTimeout)
	defer cancel()
	if _, err := l.conn.Probe(ctx); err != nil {
		h.replace(l)
		return
	}
	h.put(l)
}

// trimAfter is the idle time after which surplus connections are closed.
const trimAfter = 10 * time.Second

// trim closes idle connections beyond the number to keep, if none was needed
// for a while.
func (h *host) trim(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > h.pool.options.MaxIdlePerWorker && now.Sub(h.used) > trimAfter {
		h.discard(h.pop(0))
	}
}
