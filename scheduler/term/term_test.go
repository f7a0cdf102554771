package term

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

func singleRow(value string) []platform.StoredRow {
	return []platform.StoredRow{{RowKey: platform.RowKey{Table: "t", Part: Part, Key: "k"}, Value: []byte(value)}}
}

func acquireTerm(t *testing.T, s platform.Store, name string) *Term {
	t.Helper()
	e := New(s, name, 1)
	leader, err := e.Leader(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	term, err := e.Acquire(t.Context(), leader, 0)
	if err != nil {
		t.Fatal(err)
	}
	return term
}

func readValue(t *testing.T, s platform.Store) string {
	t.Helper()
	page, err := s.List(t.Context(), platform.Range{Table: "t", Part: Part})
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Rows) == 0 {
		return ""
	}
	return string(page.Rows[0].Value)
}

func TestCommitUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults memory.Faults
		// after replaces the faults after 4 s.
		after *memory.Faults
	}{
		{name: "none"},
		{name: "one response lost", faults: memory.Faults{DropNextResponses: 1}},
		{name: "two responses lost", faults: memory.Faults{DropNextResponses: 2}},
		{name: "one request lost", faults: memory.Faults{DropNextRequests: 1}},
		{name: "store outage", faults: memory.Faults{Outage: true}, after: &memory.Faults{}},
		{name: "store does not respond", faults: memory.Faults{Silent: true}, after: &memory.Faults{}},
		{name: "half of the responses lost", faults: memory.Faults{ResponseLossRate: 0.5}},
		{name: "requests executed late", faults: memory.Faults{Delay: 3 * time.Second}, after: &memory.Faults{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(1)
				term := acquireTerm(t, store, "a")
				store.SetFaults(tt.faults)
				if tt.after != nil {
					time.AfterFunc(4*time.Second, func() { store.SetFaults(*tt.after) })
				}
				for _, v := range []string{"1", "2", "3"} {
					if err := term.Commit(t.Context(), singleRow(v), nil); err != nil {
						t.Fatal(err)
					}
				}
				store.SetFaults(memory.Faults{})
				time.Sleep(10 * time.Second)
				if got := readValue(t, store); got != "3" {
					t.Errorf("value %q", got)
				}
			})
		})
	}
}

// TestLateCommitIsVoid checks that a transaction that the store executes late,
// after another instance has taken over, has no effect.
func TestLateCommitIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(1)
		other := store.View(2)
		old := acquireTerm(t, store, "a")
		store.SetFaults(memory.Faults{Delay: 5 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := old.Commit(ctx, singleRow("old"), nil); err == nil {
			t.Fatal("the delayed commit succeeded")
		}
		next := acquireTerm(t, other, "b")
		if err := next.Commit(t.Context(), singleRow("new"), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := readValue(t, other); got != "new" {
			t.Errorf("value %q", got)
		}
		store.SetFaults(memory.Faults{})
		var superseded *SupersededError
		if err := old.Commit(t.Context(), singleRow("old"), nil); !errors.As(err, &superseded) || superseded.By.Name != "b" {
			t.Errorf("error %v", err)
		}
	})
}

// TestOneWinner runs concurrent candidates while responses and requests are
// lost and checks that exactly one acquires the term.
func TestOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(1)
		var mu sync.Mutex
		var winners []*Term
		var group sync.WaitGroup
		for i := range 8 {
			view := store.View(uint64(i))
			view.SetFaults(memory.Faults{ResponseLossRate: 0.5, RequestLossRate: 0.2})
			e := New(view, string(rune('a'+i)), uint64(i))
			group.Go(func() {
				if term, err := e.Acquire(t.Context(), Leader{}, 0); err == nil {
					mu.Lock()
					winners = append(winners, term)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if len(winners) != 1 {
			t.Errorf("%d winners", len(winners))
		}
	})
}

func TestResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(1)
		first := acquireTerm(t, store, "a")
		var resigned *ResignedError
		if err := first.Resign(t.Context(), nil); !errors.As(err, &resigned) {
			t.Fatal(err)
		}
		leader, err := New(store, "b", 1).Leader(t.Context())
		if err != nil || leader.Name != "" || leader.Generation != TokensPerTerm {
			t.Errorf("leader %+v, error %v", leader, err)
		}
		if second := acquireTerm(t, store, "b"); second.Generation() != 2*TokensPerTerm {
			t.Errorf("generation %d", second.Generation())
		}
	})
}

// TestTermIsKeptWhileItsStateIsRead checks that RunWithRenewal keeps the term
// while its function runs for longer than a lease, and cancels the function
// when another instance takes over.
func TestTermIsKeptWhileItsStateIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memory.NewStore(1)
		term := acquireTerm(t, rows, "a")
		elector := New(rows, "b", 1)
		previous, err := elector.Leader(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		read := func(ctx context.Context) error {
			for range 10 {
				time.Sleep(LeaseDuration)
				current, err := elector.Leader(ctx)
				if err != nil || current.Version == previous.Version {
					t.Errorf("the row was not renewed, error %v", err)
				}
				previous = current
			}
			return ctx.Err()
		}
		if err := term.RunWithRenewal(t.Context(), read); err != nil {
			t.Fatal(err)
		}
		if err := term.Commit(t.Context(), singleRow("x"), nil); err != nil {
			t.Errorf("first transaction after the renewals: %v", err)
		}

		// Another instance takes over meanwhile.
		var superseded *SupersededError
		err = term.RunWithRenewal(t.Context(), func(ctx context.Context) error {
			acquireTerm(t, rows, "b")
			<-ctx.Done()
			return ctx.Err()
		})
		if !errors.As(err, &superseded) || superseded.By.Name != "b" {
			t.Errorf("error %v", err)
		}
	})
}

// TestRejectedBatch guards against a transaction that is repeated for ever although the
// store rejects it for its content, and against a term that ends by it.
func TestRejectedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.NewStore(1)
		term := acquireTerm(t, s, "a")
		s.LimitValues(100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var rejected *platform.RejectedBatchError
		if err := term.Commit(ctx, singleRow(strings.Repeat("x", 101)), nil); !errors.As(err, &rejected) {
			t.Errorf("error %v", err)
		}
		if err := term.Commit(ctx, singleRow("short"), nil); err != nil || readValue(t, s) != "short" {
			t.Errorf("the next transaction: error %v, value %q", err, readValue(t, s))
		}
		var resigned *ResignedError
		if err := term.Resign(ctx, singleRow(strings.Repeat("x", 101))); !errors.As(err, &resigned) {
			t.Errorf("resigning: error %v", err)
		}
	})
}
