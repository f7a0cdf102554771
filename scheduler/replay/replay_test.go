package replay

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"daisylug.example/scheduler/planner"
)

var fullReplay = flag.Bool("full", false, "replay all sizes and seeds, which takes minutes")

// maxQuickDelay is the documented target for the start of quick jobs.
const maxQuickDelay = 4800 * time.Millisecond

// maxConcurrentReplays is the number of replays that run at a time.
const maxConcurrentReplays = 4

// policyNames are the policies in the order of the table.
var policyNames = []string{"fifo", "bestfit", "backfill", "planner"}

// replayCase is one workload, size and seed under every policy.
type replayCase struct {
	workload Workload
	workers  int
	seed     uint64
	reports  map[string]Report
}

// bestBaseline returns the lowest value of a measure among the baselines.
func (c *replayCase) bestBaseline(f func(Report) float64) float64 {
	least := math.Inf(1)
	for _, n := range policyNames[:3] {
		least = min(least, f(c.reports[n]))
	}
	return least
}

// compareWithGoal returns the planner's value relative to the best baseline's,
// and whether it is at most 0.5.
func (c *replayCase) compareWithGoal(f func(Report) float64) string {
	ratio := f(c.reports["planner"]) / c.bestBaseline(f)
	if ratio <= 0.5 {
		return fmt.Sprintf("%.2f met", ratio)
	}
	return fmt.Sprintf("%.2f missed", ratio)
}

// Guards against decisions that cannot be carried out, guarantees that cannot
// be reclaimed, and quick jobs that start late. It prints the measurements
// compared with the baselines, and the goals for slowdown and stranded
// accelerators.
func TestReplay(t *testing.T) {
	sizes, seeds := []int{50}, []uint64{1}
	if *fullReplay {
		sizes, seeds = []int{50, 650}, []uint64{1, 2, 3}
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	var cases []*replayCase
	var group errgroup.Group
	group.SetLimit(maxConcurrentReplays)
	for _, workers := range sizes {
		for _, s := range Workloads() {
			for _, seed := range seeds {
				if workers > 50 && seed > 1 {
					continue
				}
				c := &replayCase{workload: s, workers: workers, seed: seed, reports: map[string]Report{}}
				cases = append(cases, c)
				group.Go(func() error { return c.run(clock) })
			}
		}
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	print(cases)
	for _, c := range cases {
		r := c.reports["planner"]
		if r.QuickDelayMax > maxQuickDelay || r.Blocked > 0 || r.Unfinished > 0 {
			t.Errorf("%s, %d workers, seed %d: quick jobs started after up to %v, %d rounds with a blocked guarantee, %d jobs unfinished",
				c.workload.Name, c.workers, c.seed, r.QuickDelayMax, r.Blocked, r.Unfinished)
		}
	}
}

// arrivalPeriod is the time over which jobs arrive. It is short enough that the
// replays of the small size end within 20 s, and all replays within some
// minutes.
func (c *replayCase) arrivalPeriod() time.Duration {
	switch {
	case c.workers > 50:
		return 12 * time.Hour
	case *fullReplay:
		return 24 * time.Hour
	default:
		return 12 * time.Hour
	}
}

func (c *replayCase) run(clock func() time.Duration) error {
	policies := Baselines()
	policies["planner"] = planner.New(planner.DefaultOptions(c.workload.Weights))
	for _, n := range policyNames {
		r, err := Run(c.workload, c.workers, c.arrivalPeriod(), c.seed, policies[n], clock)
		if err != nil {
			return err
		}
		c.reports[n] = r
	}
	return nil
}

func print(cases []*replayCase) {
	w := &bytes.Buffer{}
	fmt.Fprintln(w, "workers\tstream\tseed\tpolicy\tjobs\tleft\tmean\tp95\tlarge p95\turgent p95\tmax\tstranded\treclaim p95\tmax\tevicted\tlost\tfailed\tblocked\tround\tdecision")
	for _, c := range cases {
		for _, n := range policyNames {
			r := c.reports[n]
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1fs\t%.1fs\t%.3f\t%.1fs\t%.1fs\t%d\t%.4f\t%d\t%d\t%v\t%v\n",
				c.workers, c.workload.Name, c.seed, n, r.Jobs, r.Unfinished, r.Mean, r.P95, r.LargeP95,
				r.QuickDelayP95.Seconds(), r.QuickDelayMax.Seconds(), r.Stranded, r.ReclaimP95.Seconds(), r.ReclaimMax.Seconds(),
				r.Evictions, r.Lost, r.Failures, r.Blocked, r.PerRound.Round(time.Microsecond), r.PerDecision.Round(time.Microsecond))
		}
		p95 := c.compareWithGoal(func(r Report) float64 { return r.P95 })
		stranded := c.compareWithGoal(func(r Report) float64 { return r.Stranded })
		fmt.Fprintf(w, "%d\t%s\t%d\tgoal 0.5\t\t\t\t%s\t\t\t\t%s\n", c.workers, c.workload.Name, c.seed, p95, stranded)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = w.WriteTo(table)
	_ = table.Flush()
}
