package entry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
)

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := metrics.NewSet()
		s := stuck{make(chan struct{})}
		l := NewLogWriter(s, set)
		for range 2 * lineQueue {
			if _, err := l.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if n := l.dropped.Get(); n < lineQueue-1 {
			t.Errorf("%d lines dropped", n)
		}
		l.Close()
		close(s.release)
	})
}

func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLogWriter(&out, metrics.NewSet())
		for range 3 * lineBurst {
			_, _ = l.Write([]byte("line\n"))
			synctest.Wait()
		}
		l.Close()
		if n := strings.Count(out.String(), "\n"); n != lineBurst {
			t.Errorf("%d lines", n)
		}
		if n := l.dropped.Get(); n != 2*lineBurst {
			t.Errorf("%d lines dropped", n)
		}
	})
}
