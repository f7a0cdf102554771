package balance

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

const (
	outage       = time.Hour
	interval     = 30 * time.Second
	lag          = 15 * time.Second // of usage reports, including their interval
	every        = 10 * time.Second // between reports
	accelerators = 64               // accelerators in use in each data centre
)

// site is one data centre with one worker and the account of its planner.
type site struct {
	name    string
	view    *memory.Platform
	account *Account
	stop    context.CancelFunc
	want    int
	running int
	// used is the true use, due the part of it not reported yet.
	used, due float64
	reports   []platform.UsageReport
	// refused is when Admit first refused, with the true use of all by then.
	refused time.Time
	left    float64
}

// simulation is a team's work in several data centres. It needs virtual time.
type simulation struct {
	p       *memory.Platform
	options Options
	prepaid float64
	edit    func(*Account)
	sites   []*site
	// doubled sends every report to a second settler as well, repeatedly.
	doubled bool
	second  []*Account
}

func newSimulation(seed uint64, prepaid float64, edit func(*Account)) *simulation {
	w := &simulation{p: memory.New(memory.Config{Seed: seed}), prepaid: prepaid, edit: edit}
	w.options = DefaultOptions("")
	w.options.OutageTolerance = outage
	w.options.Interval = interval
	for _, name := range []string{"a", "b", "c"} {
		s := &site{name: name, view: w.p.View(), want: accelerators}
		s.account = w.account(s)
		w.start(s)
		w.sites = append(w.sites, s)
		w.second = append(w.second, w.account(s))
	}
	return w
}

func (w *simulation) account(s *site) *Account {
	o := w.options
	o.Centre = s.name
	a := New(s.view.Table, o)
	if w.edit != nil {
		w.edit(a)
	}
	a.SetTeams([]Team{{Name: "pumps", Prepaid: w.prepaid}})
	return a
}

func (w *simulation) start(s *site) {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	a := s.account
	go func() { _ = a.Run(ctx) }()
}

// replace lets a new instance take over, with the balances of its peers if
// transfer is set.
func (w *simulation) replace(s *site, transfer bool) {
	s.stop()
	old := s.account
	s.account = w.account(s)
	if transfer {
		encoded, _ := old.Export(time.Now())
		_ = s.account.Import(encoded, time.Now())
	}
	w.start(s)
}

func (w *simulation) used() float64 {
	sum := 0.0
	for _, s := range w.sites {
		sum += s.used
	}
	return sum
}

// run lets d pass in steps of a second.
func (w *simulation) run(d time.Duration) {
	for range int(d / time.Second) {
		for i, s := range w.sites {
			w.step(i, s)
		}
		time.Sleep(time.Second)
	}
}

func (w *simulation) step(i int, s *site) {
	now := time.Now()
	s.running = s.want
	if s.account.Admit("pumps", 0, now) != nil {
		s.running = 0
		if s.refused.IsZero() {
			s.refused, s.left = now, w.prepaid-w.used()
		}
	}
	s.account.SetRunning("pumps", s.running, now)
	s.used += float64(s.running)
	s.due += float64(s.running)
	if now.Unix()%int64(every/time.Second) == 0 {
		r := platform.UsageReport{Sequence: uint64(len(s.reports) + 1), Team: "pumps", Seconds: s.due, Until: now}
		s.reports = append(s.reports, r)
		s.due = 0
	}
	w.deliver(s, s.account)
	if w.doubled {
		w.deliver(s, w.second[i])
		if now.Unix()%7 == 0 {
			s.account.AddUsage("w-"+s.name, 0, s.visible())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = w.second[i].Settle(ctx)
			cancel()
		}
	}
}

// visible returns the reports that the worker shows.
func (s *site) visible() []platform.UsageReport {
	n := len(s.reports)
	for n > 0 && time.Since(s.reports[n-1].Until) < lag-every {
		n--
	}
	return s.reports[:n]
}

func (w *simulation) deliver(s *site, a *Account) {
	after := a.LastSequence("w-" + s.name)
	visible := s.visible()
	a.AddUsage("w-"+s.name, after, visible[min(int(after), len(visible)):])
}

// end lets all use be reported and charged, and returns the sum of the
// charges.
func (w *simulation) end() float64 {
	for _, s := range w.sites {
		s.view.Table.SetFaults(memory.Faults{})
		s.want = 0
	}
	w.run(5 * time.Minute)
	for _, s := range w.sites {
		s.stop()
	}
	synctest.Wait()
	sum := 0.0
	for _, a := range w.record().Allowances {
		sum += a.Spent
	}
	return sum
}

func (w *simulation) record() *schema.Balance {
	rows, _ := w.p.Table.Read(context.Background(), "balance/pumps")
	b := new(schema.Balance)
	if len(rows) > 0 {
		_ = proto.Unmarshal(rows[0].Value, b)
	}
	return b
}

// overspending is the stated bound for this simulation, with one step of a second.
func (w *simulation) overspending() float64 {
	return float64(len(w.sites)) * accelerators * (lag + 4*interval + time.Second).Seconds()
}

// refusal is the stated bound on the balance left when a connected data centre
// refuses: what the others hold, and as the estimates may be off by the same
// amount as for overspending, that amount.
func (w *simulation) refusal() float64 {
	return float64(len(w.sites)-1)*accelerators*(outage+2*interval).Seconds() + w.overspending()
}

// Guards against overspending and early refusal beyond the stated bounds, and
// against reports that are lost or charged twice:
// (fault, when it begins and ends, who has it).
func TestBounds(t *testing.T) {
	const prepaid = 3 * accelerators * 2 * 3600 // lasts 2 hours
	type fault struct {
		name     string
		faults   memory.Faults
		from, to time.Duration
		sites    int
	}
	none := fault{name: "no fault"}
	for _, c := range []struct {
		faults  []fault
		doubled bool
		replace time.Duration
		// continues is set if the balance must be spent although a data centre
		// is cut off, since its allowance lasts that long.
		continues bool
	}{
		{faults: []fault{none}, continues: true},
		{faults: []fault{none}, doubled: true, continues: true},
		{faults: []fault{{"down", memory.Faults{Outage: true}, 30 * time.Minute, 85 * time.Minute, 3}}, continues: true},
		{faults: []fault{{"down to the end", memory.Faults{Outage: true}, 70 * time.Minute, 4 * time.Hour, 3}}, continues: true},
		{faults: []fault{{"one cut off", memory.Faults{Silent: true}, 70 * time.Minute, 4 * time.Hour, 1}}, continues: true},
		{faults: []fault{{"slow", memory.Faults{Delay: 4 * time.Second}, 0, 4 * time.Hour, 3}}, continues: true},
		{faults: []fault{{"answers lost", memory.Faults{ResponseLossRate: 0.4, RequestLossRate: 0.2}, 0, 4 * time.Hour, 3}}, doubled: true, continues: true},
		{
			faults: []fault{
				{"down", memory.Faults{Outage: true}, 20 * time.Minute, 70 * time.Minute, 3},
				{"one cut off", memory.Faults{Silent: true}, 75 * time.Minute, 4 * time.Hour, 1},
			},
			replace: 7 * time.Minute, continues: true,
		},
		{faults: []fault{{"answers lost", memory.Faults{ResponseLossRate: 0.4}, 0, 4 * time.Hour, 3}}, replace: 97 * time.Second, continues: true},
	} {
		name := fmt.Sprintf("%s, doubled %v, replaced every %v", c.faults[0].name, c.doubled, c.replace)
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				w := newSimulation(3, prepaid, nil)
				w.doubled = c.doubled
				for passed := time.Duration(0); passed < 3*time.Hour; passed += time.Minute {
					for _, f := range c.faults {
						for _, s := range w.sites[:f.sites] {
							if passed == f.from {
								s.view.Table.SetFaults(f.faults)
							}
							if passed == f.to {
								s.view.Table.SetFaults(memory.Faults{})
							}
						}
					}
					if c.replace > 0 && passed%c.replace < time.Minute {
						w.replace(w.sites[int(passed/c.replace)%3], true)
					}
					w.run(time.Minute)
				}
				used := w.used()
				charged := w.end()
				t.Logf("%s: used %.4f of the balance, at the first refusal %.4f", name, used/prepaid, 1-w.sites[0].left/prepaid)
				So(used-prepaid, ShouldBeLessThanOrEqualTo, w.overspending())
				if c.continues {
					So(prepaid-used, ShouldBeLessThanOrEqualTo, w.overspending())
				}
				for _, s := range w.sites {
					So(s.left, ShouldBeLessThanOrEqualTo, w.refusal())
				}
				So(math.Abs(charged-w.used()), ShouldBeLessThan, 1e-3)
			})
		})
	}
}

// Guards against a data centre that is cut off and refuses before its
// allowance is used, also when its use grows in the outage.
func TestAllowanceLastsTheOutage(t *testing.T) {
	for _, growth := range []int{1, 2, 10} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("Use grows %d times in the outage", growth), t, func() {
				w := newSimulation(3, 1e9, nil)
				w.run(10 * time.Minute)
				cut := time.Now()
				s := w.sites[0]
				s.view.Table.SetFaults(memory.Faults{Outage: true})
				s.want = growth * accelerators
				w.run(2 * time.Hour)
				So(s.refused.Sub(cut), ShouldBeGreaterThanOrEqualTo, outage/time.Duration(growth))
				So(s.account.Admit("pumps", 1, time.Now()), ShouldHaveSameTypeAs, &ExhaustedError{})
				So(w.sites[1].refused.IsZero(), ShouldBeTrue)
				w.end()
			})
		})
	}
}

// Guards against charges that are lost or counted twice when instances die
// between steps, reports are repeated, two settlers work on one worker and
// answers are lost; without cursor rows they are.
func TestChargesCountOnce(t *testing.T) {
	try := func(seed uint64, period int, f memory.Faults, uncounted bool) float64 {
		w := newSimulation(seed, 1e9, func(a *Account) { a.uncounted = uncounted })
		w.doubled = true
		for _, s := range w.sites {
			s.view.Table.SetFaults(f)
		}
		for i := range 10 {
			w.run(time.Duration(period) * time.Second)
			w.replace(w.sites[i%3], i%2 == 0)
		}
		return w.end() - w.used()
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		period := rapid.IntRange(1, 60).Draw(rt, "period")
		f := memory.Faults{
			ResponseLossRate: rapid.Float64Range(0, 0.7).Draw(rt, "after"),
			RequestLossRate:  rapid.Float64Range(0, 0.3).Draw(rt, "before"),
			Delay:            time.Duration(rapid.IntRange(0, 9000).Draw(rt, "delay")) * time.Millisecond,
		}
		synctest.Test(t, func(*testing.T) {
			if wrong := try(seed, period, f, false); math.Abs(wrong) > 1e-3 {
				rt.Errorf("charges are off by %v accelerator-seconds", wrong)
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		if wrong := try(1, 20, memory.Faults{}, true); wrong < accelerators {
			t.Errorf("without cursor rows charges were off by only %v", wrong)
		}
	})
}

// Guards against two data centres that draw the same balance; without the
// limit to what others have not drawn, both spend it while cut off.
func TestDrawsDoNotOverlap(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("All data centres are cut off near the end, limit off: %v", off), t, func() {
				w := newSimulation(3, 3*accelerators*1200, func(a *Account) { a.unbounded = off })
				w.run(2 * time.Minute)
				for _, s := range w.sites {
					s.view.Table.SetFaults(memory.Faults{Outage: true})
				}
				w.run(2 * time.Hour)
				over := w.used() - w.prepaid
				w.end()
				So(over > w.overspending(), ShouldEqual, off)
			})
		})
	}
}

// Guards against the first data centre that settles taking all of a balance
// that is smaller than the allowance wanted, so that the others refuse; this
// happens without the limit to a share of what is undrawn.
func TestFirstDrawLeavesAShare(t *testing.T) {
	for _, share := range []float64{drawShare, 1} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A draw takes up to %v of what is undrawn", share), t, func() {
				w := newSimulation(3, 3*accelerators*1200, func(a *Account) { a.share = share })
				w.run(30 * time.Minute)
				early := false
				for _, s := range w.sites {
					early = early || s.left > w.overspending()
				}
				So(early, ShouldEqual, share == 1)
				So(w.used()-w.prepaid, ShouldBeLessThanOrEqualTo, w.overspending())
				w.end()
			})
		})
	}
}

// Guards against an instance that starts without the table refusing all work,
// and against a transfer from another data centre.
func TestStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An instance starts while the table is down", t, func() {
			w := newSimulation(3, 1e9, nil)
			w.run(5 * time.Minute)
			s := w.sites[0]
			s.view.Table.SetFaults(memory.Faults{Outage: true})
			w.replace(s, false)
			So(s.account.Admit("pumps", 8, time.Now()), ShouldBeNil)
			known, err := s.account.Remaining("pumps")
			So(err, ShouldBeNil)
			So(known.Confirmed.IsZero(), ShouldBeTrue)
			encoded, _ := w.sites[1].account.Export(time.Now())
			var other *CentreError
			So(errors.As(s.account.Import(encoded, time.Now()), &other), ShouldBeTrue)
			var missing *platform.NotFoundError
			So(errors.As(s.account.Admit("none", 1, time.Now()), &missing), ShouldBeTrue)
			w.end()
		})
	})
}
