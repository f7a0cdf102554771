package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/rack"
	"daisylug.example/scheduler/schema"
)

func acceptedJob(t *testing.T, l *ledger.Ledger, idempotent bool) *schema.Job {
	t.Helper()
	job, _, err := l.Accept(t.Context(), &schema.Job{
		Team: "north", Template: "map", Key: "k", Class: schema.Class_CLASS_PLANNED, Centre: "a",
		Shape: &schema.Shape{Workers: 1, Accelerators: 1}, Idempotent: idempotent,
	})
	if err != nil {
		t.Fatal(err)
	}
	return job
}

// Guards against a planner that counts an attempt as used although its claim
// was never written: every later claim was then rejected, and the job stayed
// queued forever.
func TestClaimWithFaults(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		fault      memory.Faults
		// starts tells whether the attempt starts; attempt and stale are the
		// expected fields of the refusal.
		starts  bool
		attempt int32
		stale   bool
	}{
		{"no fault", false, memory.Faults{}, true, 0, false},
		{"table down, not idempotent", false, memory.Faults{Outage: true}, false, 0, false},
		{"table down, idempotent", true, memory.Faults{Outage: true}, true, 0, false},
		// The read before the write never returns, so nothing is written.
		{"table silent, not idempotent", false, memory.Faults{Silent: true}, false, 0, false},
		// The write is in flight when the timeout expires, and takes effect
		// later.
		{"table slow, not idempotent", false, memory.Faults{Delay: 3 * time.Second}, false, 0, true},
		{"one answer lost after the write", false, memory.Faults{DropNextResponses: 1}, true, 0, false},
		{"one call lost before the write", false, memory.Faults{DropNextRequests: 1}, true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := memory.New(memory.Config{})
				l := ledger.New(p.Table, p.Objects, ledger.DefaultOptions())
				job := acceptedJob(t, l, c.idempotent)
				launcher := newLauncher(platform.Instance{DataCentre: "a"}, l, nil, nil, newInstanceMetrics(), klog.Background())
				p.Table.SetFaults(c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), launchTimeout)
				defer cancel()
				refused := launcher.claim(ctx, &schema.Launch{Job: job, Rack: "a-r00"}, 1)
				p.Table.SetFaults(memory.Faults{})
				if (refused == nil) != c.starts {
					t.Fatalf("claim returned %v", refused)
				}
				if refused != nil && !refused.Stale && refused.Attempt != c.attempt {
					t.Errorf("refusal reports attempt %d, want %d", refused.Attempt, c.attempt)
				}
				if refused.GetStale() != c.stale {
					t.Errorf("refusal has stale %v", refused.GetStale())
				}
				time.Sleep(2 * ledgerTimeout)
				record, err := l.Get(t.Context(), job.Id)
				if err != nil {
					t.Fatal(err)
				}
				if refused != nil && record.State != schema.State_STATE_QUEUED {
					t.Errorf("job is %v after a refused attempt, want queued", record.State)
				}
			})
		})
	}
}

// Guards against a result that is dropped because earlier attempts were started
// and evicted while the table was unavailable.
func TestOutcomeAfterUnrecordedAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		claimed int32
		attempt int
		want    schema.State
	}{
		{"first attempt unclaimed", 0, 1, schema.State_STATE_DONE},
		{"second after a claimed one", 1, 2, schema.State_STATE_DONE},
		{"third after none", 0, 3, schema.State_STATE_DONE},
		{"old attempt", 2, 1, schema.State_STATE_CLAIMED},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := memory.New(memory.Config{})
				l := ledger.New(p.Table, p.Objects, ledger.DefaultOptions())
				job := acceptedJob(t, l, true)
				for n := int32(1); n <= c.claimed; n++ {
					if n > 1 {
						_, _ = l.Requeue(t.Context(), job.Id, n-1, ledger.Lost{})
					}
					if _, err := l.Claim(t.Context(), job.Id, n, "a-r00", "a"); err != nil {
						t.Fatal(err)
					}
				}
				launcher := newLauncher(platform.Instance{DataCentre: "a"}, l, nil, func(*schema.Ended) {}, newInstanceMetrics(), klog.Background())
				o := rack.Outcome{Rack: "a-r00", Job: job.Id, Attempt: c.attempt, Team: "north", Kind: rack.OutcomeDone, Results: [][]byte{[]byte("x")}, Member: -1, Ended: time.Now()}
				if err := launcher.HandleOutcome(t.Context(), o); err != nil {
					t.Fatal(err)
				}
				record, err := l.Get(t.Context(), job.Id)
				if err != nil {
					t.Fatal(err)
				}
				if record.State != c.want {
					t.Errorf("job is %v, want %v", record.State, c.want)
				}
			})
		})
	}
}

// Guards against an outcome that is dropped because its attempt was started
// while the table was unavailable and so was never claimed, and against the
// outcome of an old attempt that replaces a newer one.
func TestOutcomeOfUnclaimedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Config{})
		l := ledger.New(p.Table, p.Objects, ledger.DefaultOptions())
		job := acceptedJob(t, l, true)
		var notified []*schema.Ended
		launcher := newLauncher(platform.Instance{DataCentre: "a"}, l, nil, func(m *schema.Ended) { notified = append(notified, m) }, newInstanceMetrics(), klog.Background())
		outcome := rack.Outcome{Rack: "a-r00", Job: job.Id, Attempt: 1, Team: "north", Kind: rack.OutcomeDone, Results: [][]byte{[]byte("x")}, Member: -1, Ended: time.Now()}
		if err := launcher.HandleOutcome(t.Context(), outcome); err != nil {
			t.Fatal(err)
		}
		record, err := l.Get(t.Context(), job.Id)
		if err != nil {
			t.Fatal(err)
		}
		if record.State != schema.State_STATE_DONE || len(notified) != 1 {
			t.Fatalf("job is %v, planner was notified %d times", record.State, len(notified))
		}
		late := outcome
		late.Kind = rack.OutcomeFailed
		if err := launcher.HandleOutcome(t.Context(), late); err != nil {
			t.Fatalf("a late outcome must be acknowledged, got %v", err)
		}
		record, _ = l.Get(t.Context(), job.Id)
		if record.State != schema.State_STATE_DONE {
			t.Errorf("a late outcome changed the job to %v", record.State)
		}
	})
}
