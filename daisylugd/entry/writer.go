package entry

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/meter"
)

const (
	// maxLinesPerSecond and maxLineBurst limit the sustained and the burst rate of
	// the log.
	maxLinesPerSecond = 400
	maxLineBurst      = 4000
	// maxQueuedLines is the maximum number of lines that wait for a slow reader.
	maxQueuedLines = 1024
)

// LogWriter writes log lines without ever blocking on their reader. It drops and
// counts lines that exceed the rate limit or do not fit in the queue.
type LogWriter struct {
	lines   chan []byte
	dropped *metrics.Counter
	done    chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	closed     bool
}

var _ io.Writer = (*LogWriter)(nil)

// NewLogWriter returns a LogWriter that writes to w in the background. Close
// flushes the queue.
func NewLogWriter(w io.Writer, set *meter.Set) *LogWriter {
	l := &LogWriter{
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: maxLineBurst, refilledAt: time.Now(),
		dropped: set.Counter("daisylug_log_lines_dropped_total"),
	}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			// A failure to write the log cannot be logged.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write implements io.Writer. It never fails, also if the line is dropped.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.takeToken() {
		l.dropped.Inc()
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Inc()
	}
	return len(line), nil
}

// takeToken takes a token of the rate limiter and reports whether there was one.
// The caller holds l.mu.
func (l *LogWriter) takeToken() bool {
	now := time.Now()
	l.tokens = min(l.tokens+maxLinesPerSecond*now.Sub(l.refilledAt).Seconds(), maxLineBurst)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Close flushes the queued lines and drops later ones. It waits at most
// closeTimeout for a reader that does not read.
func (l *LogWriter) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	const closeTimeout = 200 * time.Millisecond
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
