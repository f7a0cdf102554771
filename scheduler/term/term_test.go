package term

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

func row1(value string) []platform.StoredRow {
	return []platform.StoredRow{{RowKey: platform.RowKey{Table: "t", Part: Part, Key: "k"}, Value: []byte(value)}}
}

func seize(t *testing.T, s platform.Store, name string) *Term {
	t.Helper()
	o := New(s, name, 1)
	h, err := o.Leader(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	term, err := o.Acquire(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	return term
}

func value(t *testing.T, s platform.Store) string {
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
		// after replaces the faults a moment later.
		after *memory.Faults
	}{
		{name: "none"},
		{name: "an answer is lost", faults: memory.Faults{DropNextResponses: 1}},
		{name: "two answers are lost", faults: memory.Faults{DropNextResponses: 2}},
		{name: "a call is lost", faults: memory.Faults{DropNextRequests: 1}},
		{name: "the store is away", faults: memory.Faults{Outage: true}, after: &memory.Faults{}},
		{name: "the store is silent", faults: memory.Faults{Silent: true}, after: &memory.Faults{}},
		{name: "half of the answers are lost", faults: memory.Faults{ResponseLossRate: 0.5}},
		{name: "calls are carried out late", faults: memory.Faults{Delay: 3 * time.Second}, after: &memory.Faults{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(1)
				term := seize(t, store, "a")
				store.SetFaults(tt.faults)
				if tt.after != nil {
					time.AfterFunc(4*time.Second, func() { store.SetFaults(*tt.after) })
				}
				for _, v := range []string{"1", "2", "3"} {
					if err := term.Commit(t.Context(), row1(v), nil); err != nil {
						t.Fatal(err)
					}
				}
				store.SetFaults(memory.Faults{})
				time.Sleep(10 * time.Second)
				if got := value(t, store); got != "3" {
					t.Errorf("value %q", got)
				}
			})
		})
	}
}

// TestLateCommitIsVoid shows that a transaction that is carried out late, after
// another instance has taken over, has no effect.
func TestLateCommitIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(1)
		other := store.View(2)
		old := seize(t, store, "a")
		store.SetFaults(memory.Faults{Delay: 5 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := old.Commit(ctx, row1("old"), nil); err == nil {
			t.Fatal("committed in time")
		}
		next := seize(t, other, "b")
		if err := next.Commit(t.Context(), row1("new"), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := value(t, other); got != "new" {
			t.Errorf("value %q", got)
		}
		store.SetFaults(memory.Faults{})
		var deposed *SupersededError
		if err := old.Commit(t.Context(), row1("old"), nil); !errors.As(err, &deposed) || deposed.By.Name != "b" {
			t.Errorf("error %v", err)
		}
	})
}

// TestOneWinner lets candidates take over at once, with lost answers.
func TestOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(1)
		var mu sync.Mutex
		var winners []*Term
		var group sync.WaitGroup
		for i := range 8 {
			view := store.View(uint64(i))
			view.SetFaults(memory.Faults{ResponseLossRate: 0.5, RequestLossRate: 0.2})
			o := New(view, string(rune('a'+i)), uint64(i))
			group.Go(func() {
				if term, err := o.Acquire(t.Context(), Leader{}); err == nil {
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
		first := seize(t, store, "a")
		var resigned *ResignedError
		if err := first.Resign(t.Context()); !errors.As(err, &resigned) {
			t.Fatal(err)
		}
		h, err := New(store, "b", 1).Leader(t.Context())
		if err != nil || h.Name != "" || h.Generation != 1 {
			t.Errorf("holder %+v, error %v", h, err)
		}
		if second := seize(t, store, "b"); second.Generation() != 2 {
			t.Errorf("generation %d", second.Generation())
		}
	})
}

// TestTermIsKeptWhileItsStateIsRead reads for longer than a lease.
func TestTermIsKeptWhileItsStateIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memory.NewStore(1)
		mine := seize(t, rows, "a")
		other := New(rows, "b", 1)
		seen, err := other.Leader(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		read := func(ctx context.Context) error {
			for range 10 {
				time.Sleep(LeaseDuration)
				now, err := other.Leader(ctx)
				if err != nil || now.Version == seen.Version {
					t.Errorf("the row stands still, error %v", err)
				}
				seen = now
			}
			return ctx.Err()
		}
		if err := mine.RunWithRenewal(t.Context(), read); err != nil {
			t.Fatal(err)
		}
		if err := mine.Commit(t.Context(), row1("x"), nil); err != nil {
			t.Errorf("the first transaction after that: %v", err)
		}

		// Another instance takes over meanwhile.
		var deposed *SupersededError
		err = mine.RunWithRenewal(t.Context(), func(ctx context.Context) error {
			seize(t, rows, "b")
			<-ctx.Done()
			return ctx.Err()
		})
		if !errors.As(err, &deposed) || deposed.By.Name != "b" {
			t.Errorf("error %v", err)
		}
	})
}
