package capacity

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// enabled names the variable that turns the measurements on.
const enabled = "DAISYLUG_CAPACITY"

// benchmarkWait bounds one command.
const benchmarkWait = 3 * time.Minute

// slope is a cost that grows with a size. The command prints lines on which
// size finds the size and cost the cost, each as its first group.
type slope struct {
	role      string
	mechanism string
	unit      string
	command   string
	size      string
	cost      string
	// design is the size at the design size of the system.
	design float64
}

// benchmark returns a slope over the sizes of a benchmark. The name is that
// before the size, the metric that after the cost.
func benchmark(role, mechanism, pkg, flags, name, metric string, design float64) slope {
	bench, _, _ := strings.Cut(name, "/")
	return slope{
		role: role, mechanism: mechanism, unit: metric,
		command: fmt.Sprintf("go test -run ^$ -bench ^Benchmark%s$ -count 3 -benchmem %s ./%s", bench, flags, pkg),
		size:    `^Benchmark` + name + `(\d+)`,
		cost:    `([0-9.e+]+) ` + regexp.QuoteMeta(metric) + `(?:\s|$)`,
		design:  design,
	}
}

// quoted finds the words of a command that a shell would change.
var quoted = regexp.MustCompile(`\^\S+`)

// renewalTraffic prints the bytes of renewals without the headers of HTTP.
const renewalTraffic = "go test -count 1 -v -run ^TestRenewalTraffic$ ./rack"

var slopes = []slope{
	benchmark("entry: quick requests", "quote.Router", "quote", "-benchtime 20000x -cpu 1", "Router/choices/", "ns/op", 650),
	benchmark("entry: quick requests", "quote.Router", "quote", "-benchtime 20000x -cpu 1", "Router/choices/", "B/op", 650),
	benchmark("entry: quick requests", "quote.Router, best of all", "quote", "-benchtime 20000x -cpu 1", "Router/best/", "ns/op", 650),
	benchmark("entry: jobs accepted", "ledger.Ledger", "ledger", "-benchtime 1x -cpu 1", "Job/jobs=", "ns/op", 1400),
	benchmark("entry: jobs accepted", "ledger.Ledger", "ledger", "-benchtime 1x -cpu 1", "Job/jobs=", "B/op", 1400),
	benchmark("entry: jobs accepted", "ledger.Ledger, stored", "ledger", "-benchtime 1x -cpu 1", "Record/jobs=", "stored-B/job", 1400),
	benchmark("rack owner", "rack.Owner, renewal", "rack", "-benchtime 3000x -cpu 1", "Renew/tasks=", "ns/op", 4),
	benchmark("rack owner", "rack.Owner, start and stop", "rack", "-benchtime 300x -cpu 1", "Start/members=", "ns/op", 8),
	{"rack owner", "rack.Owner, renewal bodies", "B/s", renewalTraffic, `workers=8 tasks=(\d+)`, `(\d+) B/s`, 4},
	{"rack owner", "rack.Owner, renewals", "claims/s", renewalTraffic, `workers=8 tasks=(\d+)`, `([0-9.]+) claims/s`, 4},
	benchmark("rack owner", "platform.Inventory, kept for a worker", "capacity", "-benchtime 1x -cpu 1", "InventoryHeap/tasks=", "heap-B", 4),
	benchmark("planner", "planner.Planner, round", "capacity", "-benchtime 20x -cpu 1", "Round/tasks=", "ns/op", 2600),
	benchmark("planner", "planner.Planner, round", "capacity", "-benchtime 20x -cpu 1", "Round/tasks=", "B/op", 2600),
	benchmark("planner", "planner.Planner, nothing fits", "capacity", "-benchtime 20x -cpu 1", "Backlog/jobs=", "ns/op", 1400),
	benchmark("planner", "schema.Job, queue.Queue", "capacity", "-benchtime 1x -cpu 1", "RecordHeap/jobs=", "heap-B", 4000),
	benchmark("planner", "guarantee.NewPlan", "guarantee", "-benchtime 100x -cpu 1", "NewPlan/workers=", "ns/op", 650),
	benchmark("planner", "gang.Place, empty racks", "gang", "-benchtime 5000x -cpu 1", "Place/workers=(?:)", "ns/op", 650),
	benchmark("planner", "queue.Queue, burst", "queue", "-benchtime 3x -cpu 1", "Burst/jobs=", "ns/op", 10000),
	benchmark("configuration", "template.Catalogue, change and refresh", "template", "-benchtime 20x -cpu 1", "Change/teams=", "ns/op", 190),
	benchmark("configuration", "template.Catalogue, change and refresh", "template", "-benchtime 20x -cpu 1", "Change/teams=", "B/op", 190),
	benchmark("configuration", "template.Catalogue, row config", "template", "-benchtime 20x -cpu 1", "Change/teams=", "config-B", 190),
	benchmark("balances", "balance.Account, settlement", "balance", "-benchtime 20x -cpu 1", "Settle/teams=", "ns/op", 190),
	benchmark("balances", "balance.Account, settlement", "balance", "-benchtime 20x -cpu 1", "Settle/teams=", "B/op", 190),
	benchmark("balances", "balance.Account, Admit", "balance", "-benchtime 200000x -cpu 1", "Admit/teams=", "ns/op", 190),
	benchmark("membership", "member.Owner", "member", "-benchtime 20000x -cpu 1", "Owner/members=", "ns/op", 7),
	heartbeats("B/s", 7),
	heartbeats("writes/s", 7),
	heartbeats("%core", 7),
}

// heartbeats returns a slope over the instances of one data centre.
func heartbeats(metric string, design float64) slope {
	s := benchmark("membership", "member.Group, heartbeats", "member", "-benchtime 1x", "Heartbeats/instances=", metric, design)
	s.command = strings.Replace(s.command, "Heartbeats$", "Heartbeats$/./centres=1$", 1)
	s.size = `^BenchmarkHeartbeats/instances=(\d+)/centres=1\b`
	return s
}

// TestSlopes measures the slopes of docs/CAPACITY.md and prints a table. It
// runs the benchmarks one after the other and takes the best of their runs.
func TestSlopes(t *testing.T) {
	if os.Getenv(enabled) == "" {
		t.Skip(enabled + " is not set")
	}
	outputs := make(map[string][]string)
	loads := make(map[string]string)
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, s := range slopes {
		if _, ok := outputs[s.command]; !ok {
			loads[s.command] = load()
			outputs[s.command] = execute(t, s.command)
		}
		points := s.points(t, outputs[s.command])
		if len(points) < 3 {
			t.Errorf("%s, %s: %d sizes, want at least 3", s.mechanism, s.unit, len(points))
			continue
		}
		s.print(points, loads[s.command])
	}
	for _, s := range slopes {
		if _, ok := outputs[s.command]; ok {
			delete(outputs, s.command)
			fmt.Printf("%s: `%s`\n", s.mechanism, quoted.ReplaceAllString(s.command, "'$0'"))
		}
	}
}

// load returns the load average over one minute.
func load() string {
	content, _ := os.ReadFile("/proc/loadavg")
	one, _, _ := strings.Cut(string(content), " ")
	return one
}

// execute runs a command in the library's folder and returns its lines.
func execute(t *testing.T, command string) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchmarkWait)
	defer cancel()
	words := strings.Fields(command)
	c := exec.CommandContext(ctx, words[0], words[1:]...)
	c.Dir = ".."
	out, err := c.CombinedOutput()
	if err != nil {
		t.Errorf("%s: %v\n%s", command, err, out)
	}
	return strings.Split(string(out), "\n")
}

// points returns the least cost for each size, ordered by size.
func (s slope) points(t *testing.T, lines []string) []point {
	t.Helper()
	size, cost := regexp.MustCompile(s.size), regexp.MustCompile(s.cost)
	best := make(map[float64]float64)
	for _, l := range lines {
		x, y := size.FindStringSubmatch(l), cost.FindStringSubmatch(l)
		if x == nil || y == nil {
			continue
		}
		at, _ := strconv.ParseFloat(x[len(x)-1], 64)
		value, err := strconv.ParseFloat(y[1], 64)
		if err != nil {
			t.Errorf("%q: %v", l, err)
		}
		if old, ok := best[at]; !ok || value < old {
			best[at] = value
		}
	}
	var points []point
	for x, y := range best {
		points = append(points, point{x, y})
	}
	slices.SortFunc(points, func(a, b point) int { return int(a.size - b.size) })
	return points
}

// print writes a row of the table.
func (s slope) print(points []point, load string) {
	var measured []string
	for _, p := range points {
		measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
	}
	l := fit(points)
	rms, share := residual(l, points)
	fmt.Printf("| %s | %s | %s | %s | %.4g + %.4g x | %.3g (%.0f %%) | %g: %.4g | %s |\n",
		s.role, s.mechanism, s.unit, strings.Join(measured, ", "), l.base, l.slope, rms, 100*share, s.design, l.at(s.design), load)
}
