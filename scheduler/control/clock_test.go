package control

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// TestTimeOfDayJumps submits jobs through an instance whose wall clock is off
// and lets a planner whose wall clock is off take over.
func TestTimeOfDayJumps(t *testing.T) {
	for name, jump := range map[string]time.Duration{"ahead": 3 * time.Second, "back": -3 * time.Second, "hours": 5 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 2)
				p, stop := f.startPlanner()
				time.Sleep(settleTime)
				j := batchJob("j", "later", "a", "60s", gang(1, 8))
				j.AcceptedAt = j.AcceptedAt.Add(jump)
				f.submit(p, j)
				time.Sleep(time.Second)
				if n := f.countStarts("j"); n != 1 {
					t.Errorf("%d starts a second after the job was submitted", n)
				}
				stop()
				// The stored wall-clock time is off by the jump.
				row, err := readRow(t.Context(), f.store, jobKey("j"))
				if err != nil || row == nil {
					t.Fatalf("row %v, error %v", row, err)
				}
				m := &schema.Batch{}
				if err := proto.Unmarshal(row.Value, m); err != nil {
					t.Fatal(err)
				}
				m.Accepted += jump.Milliseconds()
				value, err := proto.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := f.store.Apply(t.Context(), platform.Batch{
					Writes: []platform.StoredRow{{RowKey: platform.RowKey{Table: jobTable, Part: term.Part, Key: "j"}, Value: value}},
				}); err != nil {
					t.Fatal(err)
				}
				p, stop = f.startPlanner()
				defer stop()
				p.mu.Lock()
				age := time.Since(p.jobs["j"].spec.AcceptedAt)
				p.mu.Unlock()
				if age < 900*time.Millisecond || age > 1500*time.Millisecond {
					t.Errorf("the job is %v old after a takeover", age)
				}
			})
		})
	}
}

// TestRetentionFollowsTheStoresClock lets a planner whose wall clock is off
// take over and checks that the job's retention does not depend on the wall
// clock.
func TestRetentionFollowsTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		f.submit(p, batchJob("j", "later", "a", "100ms", gang(1, 8)))
		time.Sleep(time.Second)
		stop()
		record := &schema.BatchProgress{}
		row, err := readRow(t.Context(), f.store, progressKey("j"))
		if err != nil || row == nil {
			t.Fatalf("row %v, error %v", row, err)
		}
		if err := proto.Unmarshal(row.Value, record); err != nil {
			t.Fatal(err)
		}
		record.Ended -= time.Hour.Milliseconds()
		value, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.Apply(t.Context(), platform.Batch{
			Writes: []platform.StoredRow{{RowKey: progressKey("j"), Value: value}},
		}); err != nil {
			t.Fatal(err)
		}
		p, stop = f.startPlanner()
		defer stop()
		time.Sleep(5 * time.Second)
		f.expectState(p, "later", "j", batch.JobDone)
	})
}

func TestStoreClock(t *testing.T) {
	var c storeClock
	if c.toStore(time.Now()) != 0 {
		t.Error("converted a time although the store's clock is unknown")
	}
	at := time.Now()
	c.set(10*time.Second, at, at)
	if got := c.toStore(at.Add(2 * time.Second)); got != 12000 {
		t.Errorf("stored %d", got)
	}
	if got := c.fromStore(7000); !got.Equal(at.Add(-3 * time.Second)) {
		t.Errorf("local %v", got)
	}
	// A slower call tells less and is ignored, a faster one would be used.
	c.set(11*time.Second, at, at.Add(time.Second))
	if got := c.fromStore(7000); !got.Equal(at.Add(-3 * time.Second)) {
		t.Errorf("local %v after a slow call", got)
	}
	var slow storeClock
	slow.set(10*time.Second, at.Add(-300*time.Millisecond), at.Add(200*time.Millisecond))
	if got := slow.latestToStore(at); got < 10300 || got > 10310 {
		t.Errorf("latest reading %d", got)
	}
	if first, last := slow.earliestFromStore(10000).Sub(at), slow.fromStore(10000).Sub(at); first > -300*time.Millisecond ||
		first < -310*time.Millisecond || last != 200*time.Millisecond {
		t.Errorf("local between %v and %v", first, last)
	}
	if c.toStore(time.Time{}) != 0 {
		t.Error("the zero time was converted")
	}
}
