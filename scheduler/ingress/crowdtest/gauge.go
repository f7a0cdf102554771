package crowdtest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 50 * time.Millisecond

// Peak is the most that a process has held.
type Peak struct {
	// Bytes are those of its memory and those that have been received and not yet
	// read.
	Bytes int64
	// Sockets is the number of its open sockets.
	Sockets int
}

// Gauge measures a process of the server.
type Gauge struct {
	pid  int
	host string
	done chan struct{}

	mu    sync.Mutex
	peak  Peak
	ended bool
	group sync.WaitGroup
}

// Measure measures the process, which listens on the host, until the test ends.
func Measure(t *testing.T, pid int, host string) *Gauge {
	t.Helper()
	g := &Gauge{pid: pid, host: host, done: make(chan struct{})}
	g.group.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			g.sample()
			select {
			case <-g.done:
				return
			case <-ticker.C:
			}
		}
	})
	t.Cleanup(func() {
		close(g.done)
		g.group.Wait()
	})
	return g
}

// Peak returns the most that the process has held so far.
func (g *Gauge) Peak() Peak {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// Ended reports whether the process has ended.
func (g *Gauge) Ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// Check reports a process that has ended or has held more than the bounds.
func (g *Gauge) Check(t *testing.T, bound Peak) {
	t.Helper()
	g.sample()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("peak: %.1f MB, %d sockets", float64(g.peak.Bytes)/(1<<20), g.peak.Sockets)
	if g.ended {
		t.Error("the process has ended")
	}
	if g.peak.Bytes > bound.Bytes {
		t.Errorf("the process has held %d bytes, want at most %d", g.peak.Bytes, bound.Bytes)
	}
	if g.peak.Sockets > bound.Sockets {
		t.Errorf("the process has held %d sockets, want at most %d", g.peak.Sockets, bound.Sockets)
	}
}

func (g *Gauge) sample() {
	resident, err := statusBytes(g.pid, "VmRSS:")
	highest, _ := statusBytes(g.pid, "VmHWM:")
	sockets := countSockets(g.pid)
	unread := unreadBytes(g.host)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil || resident == 0 {
		g.ended = true
		return
	}
	g.peak.Bytes = max(g.peak.Bytes, resident+unread, highest)
	g.peak.Sockets = max(g.peak.Sockets, sockets)
}

// statusBytes returns a size of the process from its status. A process that has
// ended and was not waited for has none.
func statusBytes(pid int, field string) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, nil
}

// HighestBytes returns the most memory that a process has had, or 0 if it has ended.
func HighestBytes(pid int) int64 {
	n, err := statusBytes(pid, "VmHWM:")
	if err != nil {
		return 0
	}
	return n
}

func countSockets(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	sockets := 0
	for _, e := range entries {
		if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// unreadBytes returns the bytes that the kernel holds for connections of the host.
func unreadBytes(host string) int64 {
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return 0
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		const localColumn, stateColumn, queueColumn = 1, 3, 4
		columns := strings.Fields(lines.Text())
		if len(columns) <= queueColumn || !strings.HasPrefix(columns[localColumn], local) || columns[stateColumn] == "0A" {
			continue
		}
		_, received, _ := strings.Cut(columns[queueColumn], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}
