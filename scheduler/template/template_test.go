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

// inForce is the stated time within which an accepted change is in force.
const inForce = 6 * time.Second

// running waits for the catalogues that poll in the current scenario.
var running *sync.WaitGroup

func poll(ctx context.Context, c *Catalogue) {
	running.Go(func() { _ = c.Run(ctx) })
}

// scenario runs f with virtual time inside a Convey block.
func scenario(t *testing.T, name string, f func(ctx context.Context, p *memory.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			running = &sync.WaitGroup{}
			ctx, cancel := context.WithCancel(context.Background())
			defer running.Wait()
			defer cancel()
			f(ctx, memory.New(memory.Config{Seed: 7}))
		})
	})
}

func create(table platform.Table) *Catalogue { return New(table, nil, DefaultOptions()) }

func planned(name string) *schema.Template {
	return &schema.Template{Name: name, Class: schema.Class_CLASS_PLANNED, Shape: &schema.Shape{Workers: 1, Accelerators: 1}}
}

func newTeam(name string, edits ...func(*schema.Team)) *schema.Team {
	team := &schema.Team{Name: name, Weight: 1}
	for _, edit := range edits {
		edit(team)
	}
	return team
}

// Guards against an operator's change that overwrites another one unseen.
func TestCompareAndSet(t *testing.T) {
	scenario(t, "Two operators change a team", func(ctx context.Context, p *memory.Platform) {
		a, b := create(p.View().Table), create(p.View().Table)
		_, err := a.PutTemplate(ctx, planned("route"), 0)
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

// Guards against values that no machine or formula can hold being stored.
func TestValidation(t *testing.T) {
	guarantee := func(workers, accelerators, count int32) func(*schema.Team) {
		return func(t *schema.Team) {
			shape := &schema.Shape{Workers: workers, Accelerators: accelerators}
			t.Guarantees = []*schema.Guarantee{{Centre: "a", Shape: shape, Count: count}}
		}
	}
	scenario(t, "Unusable fields are named", func(ctx context.Context, p *memory.Platform) {
		c := create(p.Table)
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
			template := planned("route")
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

// Guards against two changes of guarantees that fit one at a time but not
// together, accepted through two instances at once.
func TestFeasibilityIsSerialized(t *testing.T) {
	scenario(t, "Seven operators ask for a guarantee, four fit", func(ctx context.Context, p *memory.Platform) {
		fits := func(teams []*schema.Team) error {
			if len(teams) > 4 {
				return errors.New("more than four")
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

// lagging answers reads with the state at their beginning, after a delay.
type lagging struct {
	platform.Table
	delay time.Duration
}

func (l lagging) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := l.Table.Read(ctx, keys...)
	time.Sleep(l.delay)
	return rows, err
}

// Guards against a change that takes longer than 6 s to reach an instance when
// hints are lost and the table is slow before or after the effect; also when
// polls wait for each other, which is too slow.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after time.Duration
		polls         int
		late          bool
	}{
		{"a fast table", 0, 0, 0, false},
		{"3.5 s before the effect", 3500 * time.Millisecond, 0, 0, false},
		{"3.5 s after the effect", 0, 3500 * time.Millisecond, 0, false},
		{"1.7 s before and after", 1700 * time.Millisecond, 1700 * time.Millisecond, 0, false},
		{"3.5 s after the effect, one poll at a time", 0, 3500 * time.Millisecond, 1, true},
	} {
		scenario(t, "With "+c.name, func(ctx context.Context, p *memory.Platform) {
			all := make([]*Catalogue, 7)
			for i := range all {
				v := p.View()
				v.Table.SetFaults(memory.Faults{Delay: c.before})
				all[i] = create(lagging{v.Table, c.after})
				if c.polls > 0 {
					all[i].polls = c.polls
				}
				time.Sleep(300 * time.Millisecond)
				poll(ctx, all[i])
			}
			operator := create(p.View().Table)
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
			t.Logf("%s: in force after at most %v", c.name, worst)
			So(worst > inForce, ShouldEqual, c.late)
		})
	}
}

// stale answers some reads with rows as they were at an earlier read.
type stale struct {
	platform.Table
	random *rand.Rand
	mu     sync.Mutex
	past   map[string][]platform.Row
}

func (s *stale) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := s.Table.Read(ctx, keys...)
	return s.age(rows), err
}

func (s *stale) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := s.Table.Scan(ctx, prefix, after, limit)
	return s.age(rows), err
}

func (s *stale) age(rows []platform.Row) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, row := range rows {
		s.past[row.Key] = append(s.past[row.Key], row)
		if s.random.IntN(2) == 0 {
			rows[i] = s.past[row.Key][s.random.IntN(len(s.past[row.Key]))]
		}
	}
	return rows
}

// reverts counts the times that a lower version replaced a higher one, or that
// a team was not in the state that the version of the configuration had.
func reverts(seed uint64, lower bool) int {
	p := memory.New(memory.Config{Seed: seed})
	running = &sync.WaitGroup{}
	ctx, cancel := context.WithCancel(context.Background())
	defer running.Wait()
	defer cancel()
	reader := create(&stale{Table: p.Table, random: rand.New(rand.NewPCG(seed, 0)), past: map[string][]platform.Row{}})
	reader.lower = lower
	snapshots, stop := reader.Subscribe()
	defer stop()
	poll(ctx, reader)
	operator := create(p.View().Table)
	count := 0
	var last int64
	for change := range int64(4 * changesMax) {
		_, _ = operator.PutTeam(ctx, newTeam("pumps", func(t *schema.Team) { t.Priority = int32(change) }), change)
		// The reader misses more changes than the row "config" carries, once.
		if change < changesMax+10 && change > 5 {
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

// Guards against a stale read that takes an accepted change back, which
// happens when lower versions are adopted.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) {
			if n := reverts(seed, false); n > 0 {
				rt.Errorf("%d snapshots went back", n)
			}
		})
	})
	count := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(*testing.T) { count += reverts(seed, true) })
	}
	if count == 0 {
		t.Error("no snapshot went back although lower versions were adopted")
	}
	t.Logf("%d snapshots went back in 100 runs that adopted lower versions", count)
}

// Guards against an instance that starts without the table having no
// configuration, or taking an older one later.
func TestRestartWithoutTable(t *testing.T) {
	scenario(t, "An instance restarts while the table is down", func(ctx context.Context, p *memory.Platform) {
		peer := create(p.View().Table)
		for change := range int64(3) {
			_, err := peer.PutTeam(ctx, newTeam("pumps"), change)
			So(err, ShouldBeNil)
		}
		So(peer.Freshness().Confirmed.IsZero(), ShouldBeFalse)
		encoded, err := peer.Snapshot().Encode()
		So(err, ShouldBeNil)

		p.Table.SetFaults(memory.Faults{Outage: true})
		restarted := create(p.Table)
		poll(ctx, restarted)
		So(restarted.Import([]byte{0xff}), ShouldNotBeNil)
		So(restarted.Import(encoded), ShouldBeNil)
		So(restarted.Freshness(), ShouldResemble, Freshness{Version: 3})
		time.Sleep(time.Hour)
		So(restarted.Freshness(), ShouldResemble, Freshness{Version: 3})
		p.Table.SetFaults(memory.Faults{})
		time.Sleep(inForce)
		So(time.Since(restarted.Freshness().Confirmed), ShouldBeLessThan, inForce)
	})
}

// Guards against a change that is refused although it is in effect, as a blind
// repeat does, or reported with a certainty that is not there:
// (fault, blind, what the operator is told).
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		faults memory.Faults
		blind  bool
		want   any
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
		scenario(t, fmt.Sprintf("Faults %+v, blind %v", c.faults, c.blind), func(ctx context.Context, p *memory.Platform) {
			v := p.View()
			operator := create(v.Table)
			operator.blind = c.blind
			_, err := operator.PutTeam(ctx, newTeam("pumps"), 0)
			So(err, ShouldBeNil)
			v.Table.SetFaults(c.faults)
			limited, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			_, err = operator.PutTeam(limited, newTeam("pumps"), 1)
			So(fmt.Sprintf("%T", err), ShouldEqual, fmt.Sprintf("%T", c.want))
			So(create(p.Table).Refresh(ctx), ShouldBeNil)
		})
	}
}
