package entry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"daisylug.example/scheduler/meter"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := meter.NewSet()
		s := blockedWriter{make(chan struct{})}
		l := NewLogWriter(s, set)
		for range 2 * maxQueuedLines {
			if _, err := l.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if n := l.dropped.Get(); n < maxQueuedLines-1 {
			t.Errorf("%d lines dropped", n)
		}
		l.Close()
		close(s.release)
	})
}

func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLogWriter(&out, meter.NewSet())
		for range 3 * maxLineBurst {
			_, _ = l.Write([]byte("line\n"))
			synctest.Wait()
		}
		l.Close()
		if n := strings.Count(out.String(), "\n"); n != maxLineBurst {
			t.Errorf("%d lines written", n)
		}
		if n := l.dropped.Get(); n != 2*maxLineBurst {
			t.Errorf("%d lines dropped", n)
		}
	})
}
