package entry

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lineRate and lineBurst bound the log, in lines a second and at once.
	lineRate  = 400
	lineBurst = 4000
	// lineQueue is the number of lines that wait for a slow reader of the log.
	lineQueue = 1024
)

// LogWriter writes log lines without ever waiting for their reader: lines above
// the rate, and lines for which there is no room in the queue, are dropped and
// counted.
type LogWriter struct {
	lines   chan []byte
	dropped *metrics.Counter
	done    chan struct{}

	mu     sync.Mutex
	tokens float64
	filled time.Time
	closed bool
}

var _ io.Writer = (*LogWriter)(nil)

// NewLogWriter returns a writer to w. Close writes what is queued.
func NewLogWriter(w io.Writer, set *metrics.Set) *LogWriter {
	l := &LogWriter{
		lines: make(chan []byte, lineQueue), done: make(chan struct{}), tokens: lineBurst, filled: time.Now(),
		dropped: set.GetOrCreateCounter("daisylug_log_lines_dropped_total"),
	}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			// There is nowhere to report a log that cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write implements io.Writer. It always succeeds.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.take() {
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

// take reports whether the rate allows another line.
func (l *LogWriter) take() bool {
	now := time.Now()
	l.tokens = min(l.tokens+lineRate*now.Sub(l.filled).Seconds(), lineBurst)
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Close writes the queued lines and drops later ones. A reader that does not
// read is not waited for.
func (l *LogWriter) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	const patience = 200 * time.Millisecond
	select {
	case <-l.done:
	case <-time.After(patience):
	}
}
