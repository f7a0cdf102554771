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
	outageTolerance    = time.Hour
	settlementInterval = 30 * time.Second
	reportLag          = 15 * time.Second // of usage reports, including reportInterval
	reportInterval     = 10 * time.Second // between usage reports
	accelerators       = 64               // accelerators in use in each data centre
)

// site is one data centre with one worker and the account of its planner.
type site struct {
	name          string
	view          *memory.Platform
	account       *Account
	stop          context.CancelFunc
	wantedRunning int
	running       int
	// used is the true usage, unreported the part of it not reported yet.
	used, unreported float64
	reports          []platform.UsageReport
	// refusedAt is when Admit first refused, leftAtRefusal the true balance
	// left then.
	refusedAt     time.Time
	leftAtRefusal float64
}

// simulation runs the work of one team in several data centres. It needs
// virtual time.
type simulation struct {
	p         *memory.Platform
	options   Options
	prepaid   float64
	configure func(*Account)
	sites     []*site
	// duplicateReports also sends every report, repeatedly, to a second account
	// that settles.
	duplicateReports bool
	secondAccounts   []*Account
}

func newSimulation(seed uint64, prepaid float64, configure func(*Account)) *simulation {
	sim := &simulation{p: memory.New(memory.Config{Seed: seed}), prepaid: prepaid, configure: configure}
	sim.options = DefaultOptions("")
	sim.options.OutageTolerance = outageTolerance
	sim.options.Interval = settlementInterval
	for _, name := range []string{"a", "b", "c"} {
		s := &site{name: name, view: sim.p.View(), wantedRunning: accelerators}
		s.account = sim.newAccount(s)
		sim.start(s)
		sim.sites = append(sim.sites, s)
		sim.secondAccounts = append(sim.secondAccounts, sim.newAccount(s))
	}
	return sim
}

func (sim *simulation) newAccount(s *site) *Account {
	o := sim.options
	o.Centre = s.name
	a := New(s.view.Table, o)
	if sim.configure != nil {
		sim.configure(a)
	}
	a.SetTeams([]Team{{Name: "pumps", Prepaid: sim.prepaid}})
	return a
}

func (sim *simulation) start(s *site) {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	a := s.account
	go func() { _ = a.Run(ctx) }()
}

// replace starts a new instance in place of the running one. If transfer is
// set, it imports the balances of the old instance.
func (sim *simulation) replace(s *site, transfer bool) {
	s.stop()
	old := s.account
	s.account = sim.newAccount(s)
	if transfer {
		encoded, _ := old.Export(time.Now())
		_ = s.account.Import(encoded, time.Now())
	}
	sim.start(s)
}

func (sim *simulation) used() float64 {
	sum := 0.0
	for _, s := range sim.sites {
		sum += s.used
	}
	return sum
}

// run advances the simulation by d in steps of a second.
func (sim *simulation) run(d time.Duration) {
	for range int(d / time.Second) {
		for i, s := range sim.sites {
			sim.step(i, s)
		}
		time.Sleep(time.Second)
	}
}

func (sim *simulation) step(i int, s *site) {
	now := time.Now()
	s.running = s.wantedRunning
	if s.account.Admit("pumps", 0, now) != nil {
		s.running = 0
		if s.refusedAt.IsZero() {
			s.refusedAt, s.leftAtRefusal = now, sim.prepaid-sim.used()
		}
	}
	s.account.SetRunning("pumps", s.running, now)
	s.used += float64(s.running)
	s.unreported += float64(s.running)
	if now.Unix()%int64(reportInterval/time.Second) == 0 {
		r := platform.UsageReport{Sequence: uint64(len(s.reports) + 1), Team: "pumps", Seconds: s.unreported, Until: now}
		s.reports = append(s.reports, r)
		s.unreported = 0
	}
	sim.deliver(s, s.account)
	if sim.duplicateReports {
		sim.deliver(s, sim.secondAccounts[i])
		if now.Unix()%7 == 0 {
			s.account.AddUsage("w-"+s.name, 0, s.visibleReports())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = sim.secondAccounts[i].Settle(ctx)
			cancel()
		}
	}
}

// visibleReports returns the reports that the worker shows after the report
// lag.
func (s *site) visibleReports() []platform.UsageReport {
	n := len(s.reports)
	for n > 0 && time.Since(s.reports[n-1].Until) < reportLag-reportInterval {
		n--
	}
	return s.reports[:n]
}

func (sim *simulation) deliver(s *site, a *Account) {
	after := a.LastSequence("w-" + s.name)
	visible := s.visibleReports()
	a.AddUsage("w-"+s.name, after, visible[min(int(after), len(visible)):])
}

// finish stops the work, waits until all usage is reported and charged, and
// returns the sum of the charges.
func (sim *simulation) finish() float64 {
	for _, s := range sim.sites {
		s.view.Table.SetFaults(memory.Faults{})
		s.wantedRunning = 0
	}
	sim.run(5 * time.Minute)
	for _, s := range sim.sites {
		s.stop()
	}
	synctest.Wait()
	sum := 0.0
	for _, a := range sim.balanceRecord().Allowances {
		sum += a.Spent
	}
	return sum
}

func (sim *simulation) balanceRecord() *schema.Balance {
	rows, _ := sim.p.Table.Read(context.Background(), "balance/pumps")
	b := new(schema.Balance)
	if len(rows) > 0 {
		_ = proto.Unmarshal(rows[0].Value, b)
	}
	return b
}

// maxOverspending is the documented bound for this simulation, plus one step of
// a second.
func (sim *simulation) maxOverspending() float64 {
	return float64(len(sim.sites)) * accelerators * (reportLag + 4*settlementInterval + time.Second).Seconds()
}

// maxLeftAtRefusal is the documented bound on the balance left when a connected
// data centre refuses: the allowances of the others, plus the error of the
// estimates, which is at most the bound on overspending.
func (sim *simulation) maxLeftAtRefusal() float64 {
	return float64(len(sim.sites)-1)*accelerators*(outageTolerance+2*settlementInterval).Seconds() + sim.maxOverspending()
}

// Guards against overspending and early refusal beyond the documented bounds,
// and against reports that are lost or charged twice. Each fault gives the
// kind, when it begins and ends, and how many data centres it affects.
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
		faults           []fault
		duplicateReports bool
		replace          time.Duration
		// spendsAll is set if the balance must be spent although a data centre
		// is cut off, since its allowance lasts that long.
		spendsAll bool
	}{
		{faults: []fault{none}, spendsAll: true},
		{faults: []fault{none}, duplicateReports: true, spendsAll: true},
		{faults: []fault{{"down", memory.Faults{Outage: true}, 30 * time.Minute, 85 * time.Minute, 3}}, spendsAll: true},
		{faults: []fault{{"down until the end", memory.Faults{Outage: true}, 70 * time.Minute, 4 * time.Hour, 3}}, spendsAll: true},
		{faults: []fault{{"one cut off", memory.Faults{Silent: true}, 70 * time.Minute, 4 * time.Hour, 1}}, spendsAll: true},
		{faults: []fault{{"slow", memory.Faults{Delay: 4 * time.Second}, 0, 4 * time.Hour, 3}}, spendsAll: true},
		{faults: []fault{{"responses and requests lost", memory.Faults{ResponseLossRate: 0.4, RequestLossRate: 0.2}, 0, 4 * time.Hour, 3}}, duplicateReports: true, spendsAll: true},
		{
			faults: []fault{
				{"down", memory.Faults{Outage: true}, 20 * time.Minute, 70 * time.Minute, 3},
				{"one cut off", memory.Faults{Silent: true}, 75 * time.Minute, 4 * time.Hour, 1},
			},
			replace: 7 * time.Minute, spendsAll: true,
		},
		{faults: []fault{{"responses lost", memory.Faults{ResponseLossRate: 0.4}, 0, 4 * time.Hour, 3}}, replace: 97 * time.Second, spendsAll: true},
	} {
		name := fmt.Sprintf("%s, duplicate reports %v, instances replaced every %v", c.faults[0].name, c.duplicateReports, c.replace)
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				sim := newSimulation(3, prepaid, nil)
				sim.duplicateReports = c.duplicateReports
				for passed := time.Duration(0); passed < 3*time.Hour; passed += time.Minute {
					for _, f := range c.faults {
						for _, s := range sim.sites[:f.sites] {
							if passed == f.from {
								s.view.Table.SetFaults(f.faults)
							}
							if passed == f.to {
								s.view.Table.SetFaults(memory.Faults{})
							}
						}
					}
					if c.replace > 0 && passed%c.replace < time.Minute {
						sim.replace(sim.sites[int(passed/c.replace)%3], true)
					}
					sim.run(time.Minute)
				}
				used := sim.used()
				charged := sim.finish()
				t.Logf("%s: used %.4f of the balance, at the first refusal %.4f", name, used/prepaid, 1-sim.sites[0].leftAtRefusal/prepaid)
				So(used-prepaid, ShouldBeLessThanOrEqualTo, sim.maxOverspending())
				if c.spendsAll {
					So(prepaid-used, ShouldBeLessThanOrEqualTo, sim.maxOverspending())
				}
				for _, s := range sim.sites {
					So(s.leftAtRefusal, ShouldBeLessThanOrEqualTo, sim.maxLeftAtRefusal())
				}
				So(math.Abs(charged-sim.used()), ShouldBeLessThan, 1e-3)
			})
		})
	}
}

// Guards against a data centre that is cut off and refuses before its allowance
// is used, also when its usage grows during the outage.
func TestAllowanceLastsTheOutage(t *testing.T) {
	for _, growth := range []int{1, 2, 10} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("Usage grows %d times during the outage", growth), t, func() {
				sim := newSimulation(3, 1e9, nil)
				sim.run(10 * time.Minute)
				cut := time.Now()
				s := sim.sites[0]
				s.view.Table.SetFaults(memory.Faults{Outage: true})
				s.wantedRunning = growth * accelerators
				sim.run(2 * time.Hour)
				So(s.refusedAt.Sub(cut), ShouldBeGreaterThanOrEqualTo, outageTolerance/time.Duration(growth))
				So(s.account.Admit("pumps", 1, time.Now()), ShouldHaveSameTypeAs, &ExhaustedError{})
				So(sim.sites[1].refusedAt.IsZero(), ShouldBeTrue)
				sim.finish()
			})
		})
	}
}

// Guards against charges that are lost or counted twice when instances crash
// between steps, reports are repeated, two accounts settle the reports of one
// worker and responses are lost. Without cursor rows this happens.
func TestChargesCountOnce(t *testing.T) {
	chargeError := func(seed uint64, period int, f memory.Faults, ignoreCursors bool) float64 {
		sim := newSimulation(seed, 1e9, func(a *Account) { a.ignoreCursors = ignoreCursors })
		sim.duplicateReports = true
		for _, s := range sim.sites {
			s.view.Table.SetFaults(f)
		}
		for i := range 10 {
			sim.run(time.Duration(period) * time.Second)
			sim.replace(sim.sites[i%3], i%2 == 0)
		}
		return sim.finish() - sim.used()
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
			if difference := chargeError(seed, period, f, false); math.Abs(difference) > 1e-3 {
				rt.Errorf("charges are off by %v accelerator-seconds", difference)
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		if difference := chargeError(1, 20, memory.Faults{}, true); difference < accelerators {
			t.Errorf("without cursor rows, charges were off by only %v accelerator-seconds", difference)
		}
	})
}

// Guards against two data centres that draw the same balance. Without the limit
// to the balance that others have not drawn, both spend it while cut off.
func TestDrawsDoNotOverlap(t *testing.T) {
	for _, unlimitedDraws := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("All data centres are cut off near the end of the balance, unlimited draws: %v", unlimitedDraws), t, func() {
				sim := newSimulation(3, 3*accelerators*1200, func(a *Account) { a.unlimitedDraws = unlimitedDraws })
				sim.run(2 * time.Minute)
				for _, s := range sim.sites {
					s.view.Table.SetFaults(memory.Faults{Outage: true})
				}
				sim.run(2 * time.Hour)
				over := sim.used() - sim.prepaid
				sim.finish()
				So(over > sim.maxOverspending(), ShouldEqual, unlimitedDraws)
			})
		})
	}
}

// Guards against the first data centre that settles drawing all of a balance
// that is smaller than the desired allowance, so that the others refuse. This
// happens without the limit to a share of the undrawn balance.
func TestFirstDrawLeavesAShare(t *testing.T) {
	for _, share := range []float64{defaultMaxDrawShare, 1} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A draw takes up to %v of the undrawn balance", share), t, func() {
				sim := newSimulation(3, 3*accelerators*1200, func(a *Account) { a.maxDrawShare = share })
				sim.run(30 * time.Minute)
				refusedEarly := false
				for _, s := range sim.sites {
					refusedEarly = refusedEarly || s.leftAtRefusal > sim.maxOverspending()
				}
				So(refusedEarly, ShouldEqual, share == 1)
				So(sim.used()-sim.prepaid, ShouldBeLessThanOrEqualTo, sim.maxOverspending())
				sim.finish()
			})
		})
	}
}

// Guards against an instance that refuses all work because it starts while the
// table is down, and against importing balances from another data centre.
func TestStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An instance starts while the table is down", t, func() {
			sim := newSimulation(3, 1e9, nil)
			sim.run(5 * time.Minute)
			s := sim.sites[0]
			s.view.Table.SetFaults(memory.Faults{Outage: true})
			sim.replace(s, false)
			So(s.account.Admit("pumps", 8, time.Now()), ShouldBeNil)
			remaining, err := s.account.Remaining("pumps")
			So(err, ShouldBeNil)
			So(remaining.Confirmed.IsZero(), ShouldBeTrue)
			encoded, _ := sim.sites[1].account.Export(time.Now())
			var centreError *CentreError
			So(errors.As(s.account.Import(encoded, time.Now()), &centreError), ShouldBeTrue)
			var missing *platform.NotFoundError
			So(errors.As(s.account.Admit("none", 1, time.Now()), &missing), ShouldBeTrue)
			sim.finish()
		})
	})
}
