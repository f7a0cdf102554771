package trial

import (
	"net/http"
	"strings"
	"testing"
)

// checkInvariants compares the history with the starts that the workers
// recorded, and reports each violation.
func (w *workload) checkInvariants(t *testing.T) {
	all, duplicates := w.c.starts()
	byJob := make(map[string]map[int]int)
	byQuote := make(map[string]int)
	for _, s := range all {
		if s.Kind == "quick" {
			byQuote[s.ID]++
			continue
		}
		if byJob[s.ID] == nil {
			byJob[s.ID] = make(map[int]int)
		}
		byJob[s.ID][s.Member]++
	}
	for _, s := range duplicates {
		t.Errorf("attempt %d of %s %s was started twice", s.Attempt, s.Kind, s.ID)
	}
	unknown := w.checkJobs(t, byJob)
	answered, refused := w.checkQuotes(t, byQuote)
	t.Logf("jobs %d, of which unknown %d; quick requests %d: answered %d, refused %d; starts %d",
		len(w.jobs), unknown, len(w.quotes), answered, refused, len(all))
}

// checkJobs checks that no accepted job is lost, that no member of a
// non-idempotent job starts twice, and that each result is complete and belongs
// to its job.
func (w *workload) checkJobs(t *testing.T, starts map[string]map[int]int) (unknown int) {
	for _, j := range w.jobs {
		switch {
		case j.err != nil:
			t.Errorf("%s: %v", j.key, j.err)
		case j.id == "":
			t.Errorf("%s: submission not accepted within %v", j.key, acceptTimeout)
		case j.state == "done":
			checkResults(t, j)
		case j.state == "unknown" && !j.idempotent:
			unknown++
		default:
			t.Errorf("%s (%s): unexpected state %q", j.key, j.id, j.state)
		}
		for member, n := range starts[j.id] {
			if n > 1 && !j.idempotent {
				t.Errorf("%s is not idempotent, but member %d started %d times", j.key, member, n)
			}
		}
	}
	return unknown
}

func checkResults(t *testing.T, j *job) {
	members := 2
	if !j.idempotent {
		members = 1
	}
	if len(j.results) != members {
		t.Errorf("%s: %d results, want %d", j.key, len(j.results), members)
	}
	for _, r := range j.results {
		if text, _ := r.(string); !strings.HasPrefix(text, j.key) {
			t.Errorf("%s: result %q does not belong to this job", j.key, text)
		}
	}
}

// checkQuotes checks that each answer belongs to its request, that requests
// reported as not run did not start, and that non-idempotent requests start at
// most once.
func (w *workload) checkQuotes(t *testing.T, starts map[string]int) (answered, refused int) {
	for _, q := range w.quotes {
		started := starts["north/"+q.id]
		if q.err == nil && q.status == http.StatusOK {
			answered++
			if !strings.HasPrefix(q.content, q.id) {
				t.Errorf("request %s: answer %q does not belong to this request", q.id, q.content)
			}
		}
		if q.ran == "no" {
			refused++
			if started > 0 {
				t.Errorf("request %s was refused as not run (%s), but started %d times", q.id, q.kind, started)
			}
		}
		if !q.idempotent && started > 1 {
			t.Errorf("request %s is not idempotent, but started %d times", q.id, started)
		}
	}
	return answered, refused
}
