package template

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

// maxActivationDelay is the documented time within which an accepted change is
// active.
const maxActivationDelay = 6 * time.Second

// runningPolls waits for the catalogues that poll in the current scenario.
var runningPolls *sync.WaitGroup

func startPolling(ctx context.Context, c *Catalogue) {
	runningPolls.Go(func() { _ = c.Run(ctx) })
}

// scenario runs f with virtual time inside a Convey block.
func scenario(t *testing.T, name string, f func(ctx context.Context, p *memory.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			runningPolls = &sync.WaitGroup{}
			ctx, cancel := context.WithCancel(context.Background())
			defer runningPolls.Wait()
			defer cancel()
			f(ctx, memory.New(memory.Config{Seed: 7}))
		})
	})
}

func newCatalogue(table platform.Table) *Catalogue { return New(table, nil, DefaultOptions()) }

func plannedTemplate(name string) *schema.Template {
	return &schema.Template{Name: name, Class: schema.Class_CLASS_PLANNED, Shape: &schema.Shape{Workers: 1, Accelerators: 1}}
}

func newTeam(name string, edits ...func(*schema.Team)) *schema.Team {
	team := &schema.Team{Name: name, Weight: 1}
	for _, edit := range edits {
		edit(team)
	}
	return team
}

// Guards against one operator's change silently overwriting another's.
func TestCompareAndSet(t *testing.T) {
	scenario(t, "Two operators change a team", func(ctx context.Context, p *memory.Platform) {
		a, b := newCatalogue(p.View().Table), newCatalogue(p.View().Table)
		_, err := a.PutTemplate(ctx, plannedTemplate("route"), 0)
		So(err, ShouldBeNil)
		v, err := a.PutTeam(ctx, newTeam("pumps", func(t *schema.Team) { t.Templates = []string{"route"} }), 0)
		So(err, ShouldBeNil)
		So(v, ShouldResemble, Versions{Row: 1, Config: 2})
		v, err = b.PutTeam(ctx, newTeam("pumps", func(t *schema.Team) { t.Priority = 2 }), 1)
		So(err, ShouldBeNil)
		So(v, ShouldResemble, Versions{Row: 2, Config: 3})
		_, err = a.PutTeam(ctx, newTeam("pumps"), 1)
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Version, ShouldEqual, 2)
		team, version := a.Snapshot().Team("pumps")
		So(version, ShouldEqual, 2)
		So(team.Priority, ShouldEqual, 2)
	})
}

// Guards against storing values that no machine can satisfy or that break
// calculations.
func TestValidation(t *testing.T) {
	guarantee := func(workers, accelerators, count int32) func(*schema.Team) {
		return func(t *schema.Team) {
			shape := &schema.Shape{Workers: workers, Accelerators: accelerators}
			t.Guarantees = []*schema.Guarantee{{Centre: "a", Shape: shape, Count: count}}
		}
	}
	scenario(t, "Errors name the invalid field", func(ctx context.Context, p *memory.Platform) {
		c := newCatalogue(p.Table)
		for field, team := range map[string]*schema.Team{
			"name":                             newTeam("Not/aName"),
			"priority":                         newTeam("t", func(t *schema.Team) { t.Priority = -1 }),
			"weight":                           newTeam("t", func(t *schema.Team) { t.Weight = 0 }),
			"prepaid":                          newTeam("t", func(t *schema.Team) { t.Prepaid = math.NaN() }),
			"templates[0]":                     newTeam("t", func(t *schema.Team) { t.Templates = []string{"none"} }),
			"guarantees[0].shape.workers":      newTeam("t", guarantee(9, 8, 1)),
			"guarantees[0].shape.accelerators": newTeam("t", guarantee(1, 0, 1)),
			"guarantees[0].count":              newTeam("t", guarantee(1, 1, -1)),
			"guarantees[0].centre": newTeam("t", func(t *schema.Team) {
				t.Guarantees = []*schema.Guarantee{{Centre: "\xff"}}
			}),
		} {
			_, err := c.PutTeam(ctx, team, 0)
			So(fieldOf(err), ShouldEqual, field)
		}
		for field, edit := range map[string]func(*schema.Template){
			"class":    func(t *schema.Template) { t.Class = 9 },
			"estimate": func(t *schema.Template) { t.Estimate = -1 },
			"shape":    func(t *schema.Template) { t.Shape = nil },
			"limit": func(t *schema.Template) {
				t.Shape.Workers, t.Limit = 2, &schema.Shape{Workers: 1, Accelerators: 1}
			},
		} {
			template := plannedTemplate("route")
			edit(template)
			_, err := c.PutTemplate(ctx, template, 0)
			So(fieldOf(err), ShouldEqual, field)
		}
		So(c.Snapshot().Version(), ShouldEqual, 0)
	})
}

func fieldOf(err error) string {
	var field *FieldError
	if !errors.As(err, &field) {
		return fmt.Sprint(err)
	}
	return field.Field
}

// Guards against accepting two changes of guarantees through two instances at
// once that are feasible one at a time but not together.
func TestFeasibilityIsSerialized(t *testing.T) {
	scenario(t, "Seven operators request a guarantee and four are feasible", func(ctx context.Context, p *memory.Platform) {
		fits := func(teams []*schema.Team) error {
			if len(teams) > 4 {
				return errors.New("more than four teams")
			}
			return nil
		}
		var wg sync.WaitGroup
		errs := make([]error, 7)
		for i := range errs {
			c := New(p.View().Table, fits, DefaultOptions())
			wg.Go(func() { _, errs[i] = c.PutTeam(ctx, newTeam(fmt.Sprintf("t%d", i)), 0) })
		}
		wg.Wait()
		refused := 0
		for _, err := range errs {
			var infeasible *InfeasibleError
			if errors.As(err, &infeasible) {
				refused++
				continue
			}
			So(err, ShouldBeNil)
		}
		So(refused, ShouldEqual, 3)
	})
}

// delayedTable returns read results after a delay, with the state at the start
// of the read.
type delayedTable struct {
	platform.Table
	delay time.Duration
}

func (l delayedTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := l.Table.Read(ctx, keys...)
	time.Sleep(l.delay)
	return rows, err
}

// Guards against a change that takes longer than 6 s to reach an instance when
// hints are lost and the table is slow before or after executing a request.
// With one poll at a time, instances must exceed the limit.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, after      time.Duration
		maxConcurrentPolls int
		tooSlow            bool
	}{
		{"a fast table", 0, 0, 0, false},
		{"3.5 s before execution", 3500 * time.Millisecond, 0, 0, false},
		{"3.5 s after execution", 0, 3500 * time.Millisecond, 0, false},
		{"1.7 s before and after", 1700 * time.Millisecond, 1700 * time.Millisecond, 0, false},
		{"3.5 s after execution, one poll at a time", 0, 3500 * time.Millisecond, 1, true},
	} {
		scenario(t, "With "+c.name, func(ctx context.Context, p *memory.Platform) {
			all := make([]*Catalogue, 7)
			for i := range all {
				v := p.View()
				v.Table.SetFaults(memory.Faults{Delay: c.before})
				all[i] = newCatalogue(delayedTable{v.Table, c.after})
				if c.maxConcurrentPolls > 0 {
					all[i].maxConcurrentPolls = c.maxConcurrentPolls
				}
				time.Sleep(300 * time.Millisecond)
				startPolling(ctx, all[i])
			}
			operator := newCatalogue(p.View().Table)
			var worst time.Duration
			for change := range int64(40) {
				time.Sleep(time.Duration(change) * 97 * time.Millisecond)
				v, err := operator.PutTeam(ctx, newTeam("pumps"), change)
				So(err, ShouldBeNil)
				all[0].Hint(v.Config)
				began := time.Now()
				for _, catalogue := range all {
					for catalogue.Snapshot().Version() < v.Config {
						time.Sleep(10 * time.Millisecond)
					}
				}
				worst = max(worst, time.Since(began))
			}
			t.Logf("%s: active after at most %v", c.name, worst)
			So(worst > maxActivationDelay, ShouldEqual, c.tooSlow)
		})
	}
}

// staleTable answers some reads with rows from an earlier read.
type staleTable struct {
	platform.Table
	random  *rand.Rand
	mu      sync.Mutex
	history map[string][]platform.Row
}

func (s *staleTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := s.Table.Read(ctx, keys...)
	return s.replaceWithPast(rows), err
}

func (s *staleTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := s.Table.Scan(ctx, prefix, after, limit)
	return s.replaceWithPast(rows), err
}

func (s *staleTable) replaceWithPast(rows []platform.Row) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, row := range rows {
		s.history[row.Key] = append(s.history[row.Key], row)
		if s.random.IntN(2) == 0 {
			rows[i] = s.history[row.Key][s.random.IntN(len(s.history[row.Key]))]
		}
	}
	return rows
}

// countReverts counts the snapshots with a lower version than an earlier one,
// and those in which a team does not have the state of the snapshot's version.
func countReverts(seed uint64, allowDowngrade bool) int {
	p := memory.New(memory.Config{Seed: seed})
	runningPolls = &sync.WaitGroup{}
	ctx, cancel := context.WithCancel(context.Background())
	defer runningPolls.Wait()
	defer cancel()
	reader := newCatalogue(&staleTable{Table: p.Table, random: rand.New(rand.NewPCG(seed, 0)), history: map[string][]platform.Row{}})
	reader.allowDowngrade = allowDowngrade
	snapshots, stop := reader.Subscribe()
	defer stop()
	startPolling(ctx, reader)
	operator := newCatalogue(p.View().Table)
	count := 0
	var last int64
	for change := range int64(4 * maxConfigChanges) {
		_, _ = operator.PutTeam(ctx, newTeam("pumps", func(t *schema.Team) { t.Priority = int32(change) }), change)
		// The reader misses more changes than the row "config" carries, once.
		if change < maxConfigChanges+10 && change > 5 {
			continue
		}
		time.Sleep(1500 * time.Millisecond)
		select {
		case s := <-snapshots:
			team, _ := s.Team("pumps")
			if s.Version() < last || int64(team.GetPriority()) != s.Version()-1 {
				count++
			}
			last = s.Version()
		default:
		}
	}
	return count
}

// Guards against a subscriber that never learns of the configuration, if that was read
// before the subscription and does not change any more.
func TestSubscriptionStartsWithTheCurrentSnapshot(t *testing.T) {
	for name, c := range map[string]struct{ teams, want int }{"none read": {0, 0}, "read before": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			catalogue := newCatalogue(memory.New(memory.Config{Seed: 1}).Table)
			for i := range c.teams {
				if _, err := catalogue.PutTeam(t.Context(), newTeam(fmt.Sprint("pumps", i), func(*schema.Team) {}), 0); err != nil {
					t.Fatal(err)
				}
			}
			snapshots, stop := catalogue.Subscribe()
			defer stop()
			got := 0
			select {
			case s := <-snapshots:
				got = len(s.Teams())
			default:
			}
			if got != c.want {
				t.Errorf("a snapshot of %d teams at once, want %d", got, c.want)
			}
		})
	}
}

// Guards against a stale read that reverts an accepted change, which happens if
// lower versions are activated.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) {
			if n := countReverts(seed, false); n > 0 {
				rt.Errorf("%d snapshots were reverts", n)
			}
		})
	})
	count := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(*testing.T) { count += countReverts(seed, true) })
	}
	if count == 0 {
		t.Error("no snapshot was a revert although lower versions were activated")
	}
	t.Logf("%d snapshots were reverts in 100 runs that activated lower versions", count)
}

// Guards against an instance that has no configuration because it starts while
// the table is down, or that activates an older one later.
func TestRestartWithoutTable(t *testing.T) {
	scenario(t, "An instance restarts while the table is down", func(ctx context.Context, p *memory.Platform) {
		peer := newCatalogue(p.View().Table)
		for change := range int64(3) {
			_, err := peer.PutTeam(ctx, newTeam("pumps"), change)
			So(err, ShouldBeNil)
		}
		So(peer.Freshness().Confirmed.IsZero(), ShouldBeFalse)
		encoded, err := peer.Snapshot().Encode()
		So(err, ShouldBeNil)

		p.Table.SetFaults(memory.Faults{Outage: true})
		restarted := newCatalogue(p.Table)
		startPolling(ctx, restarted)
		So(restarted.Import([]byte{0xff}), ShouldNotBeNil)
		So(restarted.Import(encoded), ShouldBeNil)
		So(restarted.Freshness(), ShouldResemble, Freshness{Version: 3})
		time.Sleep(time.Hour)
		So(restarted.Freshness(), ShouldResemble, Freshness{Version: 3})
		p.Table.SetFaults(memory.Faults{})
		time.Sleep(maxActivationDelay)
		So(time.Since(restarted.Freshness().Confirmed), ShouldBeLessThan, maxActivationDelay)
	})
}

// Guards against a change that is refused although it took effect, as a blind
// retry does, and against an error that reports more certainty than there is.
// Each row gives the faults, whether retries are blind, and the expected error.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		faults     memory.Faults
		blindRetry bool
		want       any
	}{
		{memory.Faults{DropNextResponses: 1}, false, nil},
		{memory.Faults{DropNextResponses: 1}, true, &ConflictError{}},
		{memory.Faults{DropNextRequests: 2}, false, nil},
		{memory.Faults{RequestLossRate: 0.5, ResponseLossRate: 0.5}, false, nil},
		{memory.Faults{Delay: 3 * time.Second}, false, nil},
		{memory.Faults{Delay: 11 * time.Second}, false, &NotWrittenError{}},
		{memory.Faults{Outage: true}, false, &NotWrittenError{}},
		{memory.Faults{ResponseLossRate: 1}, false, &NotWrittenError{}},
		{memory.Faults{DropNextRequests: 1000}, false, &UnknownOutcomeError{}},
	} {
		scenario(t, fmt.Sprintf("Faults %+v, blind retry %v", c.faults, c.blindRetry), func(ctx context.Context, p *memory.Platform) {
			v := p.View()
			operator := newCatalogue(v.Table)
			operator.blindRetry = c.blindRetry
			_, err := operator.PutTeam(ctx, newTeam("pumps"), 0)
			So(err, ShouldBeNil)
			v.Table.SetFaults(c.faults)
			limited, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			_, err = operator.PutTeam(limited, newTeam("pumps"), 1)
			So(fmt.Sprintf("%T", err), ShouldEqual, fmt.Sprintf("%T", c.want))
			So(newCatalogue(p.Table).Refresh(ctx), ShouldBeNil)
		})
	}
}
