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

// enabledEnv is the environment variable that enables the measurements.
const enabledEnv = "DAISYLUG_CAPACITY"

// benchmarkTimeout limits the run time of one command.
const benchmarkTimeout = 3 * time.Minute

// slope describes a cost that grows with a size, and how to measure it. The
// regular expressions size and cost match lines that the command prints: the last
// group of size is the size, the first group of cost is the cost.
type slope struct {
	role      string
	mechanism string
	unit      string
	command   string
	size      string
	cost      string
	// designSize is the size that the system is designed for.
	designSize float64
}

// benchmarkSlope returns a slope over the sizes of a Go benchmark. In its output
// name precedes the size and metric follows the cost.
func benchmarkSlope(role, mechanism, pkg, flags, name, metric string, designSize float64) slope {
	bench, _, _ := strings.Cut(name, "/")
	return slope{
		role: role, mechanism: mechanism, unit: metric,
		command:    fmt.Sprintf("go test -run ^$ -bench ^Benchmark%s$ -count 3 -benchmem %s ./%s", bench, flags, pkg),
		size:       `^Benchmark` + name + `(\d+)`,
		cost:       `([0-9.e+]+) ` + regexp.QuoteMeta(metric) + `(?:\s|$)`,
		designSize: designSize,
	}
}

// shellSpecialWord matches the words of a command that need quotes in a shell.
var shellSpecialWord = regexp.MustCompile(`\^\S+`)

// renewalTrafficCommand prints the bytes of renewals without HTTP headers.
const renewalTrafficCommand = "go test -count 1 -v -run ^TestRenewalTraffic$ ./rack"

var slopes = []slope{
	benchmarkSlope("entry: quick requests", "quote.Router", "quote", "-benchtime 20000x -cpu 1", "Router/choices/", "ns/op", 650),
	benchmarkSlope("entry: quick requests", "quote.Router", "quote", "-benchtime 20000x -cpu 1", "Router/choices/", "B/op", 650),
	benchmarkSlope("entry: quick requests", "quote.Router, best of all", "quote", "-benchtime 20000x -cpu 1", "Router/best/", "ns/op", 650),
	benchmarkSlope("entry: jobs accepted", "ledger.Ledger", "ledger", "-benchtime 1x -cpu 1", "Job/jobs=", "ns/op", 1400),
	benchmarkSlope("entry: jobs accepted", "ledger.Ledger", "ledger", "-benchtime 1x -cpu 1", "Job/jobs=", "B/op", 1400),
	benchmarkSlope("entry: jobs accepted", "ledger.Ledger, stored", "ledger", "-benchtime 1x -cpu 1", "Record/jobs=", "stored-B/job", 1400),
	benchmarkSlope("rack owner", "rack.Owner, renewal", "rack", "-benchtime 3000x -cpu 1", "Renew/tasks=", "ns/op", 4),
	benchmarkSlope("rack owner", "rack.Owner, start and stop", "rack", "-benchtime 300x -cpu 1", "Start/members=", "ns/op", 8),
	{"rack owner", "rack.Owner, renewal bodies", "B/s", renewalTrafficCommand, `workers=8 tasks=(\d+)`, `(\d+) B/s`, 4},
	{"rack owner", "rack.Owner, renewals", "claims/s", renewalTrafficCommand, `workers=8 tasks=(\d+)`, `([0-9.]+) claims/s`, 4},
	benchmarkSlope("rack owner", "platform.Inventory, kept for a worker", "capacity", "-benchtime 1x -cpu 1", "InventoryHeap/tasks=", "heap-B", 4),
	benchmarkSlope("planner", "planner.Planner, round", "capacity", "-benchtime 20x -cpu 1", "Round/tasks=", "ns/op", 2600),
	benchmarkSlope("planner", "planner.Planner, round", "capacity", "-benchtime 20x -cpu 1", "Round/tasks=", "B/op", 2600),
	benchmarkSlope("planner", "planner.Planner, nothing fits", "capacity", "-benchtime 20x -cpu 1", "Backlog/jobs=", "ns/op", 1400),
	benchmarkSlope("planner", "schema.Job, queue.Queue", "capacity", "-benchtime 1x -cpu 1", "RecordHeap/jobs=", "heap-B", 4000),
	benchmarkSlope("planner", "guarantee.NewPlan", "guarantee", "-benchtime 100x -cpu 1", "NewPlan/workers=", "ns/op", 650),
	benchmarkSlope("planner", "gang.Place, empty racks", "gang", "-benchtime 5000x -cpu 1", "Place/workers=(?:)", "ns/op", 650),
	benchmarkSlope("planner", "queue.Queue, burst", "queue", "-benchtime 3x -cpu 1", "Burst/jobs=", "ns/op", 10000),
	benchmarkSlope("configuration", "template.Catalogue, change and refresh", "template", "-benchtime 20x -cpu 1", "Change/teams=", "ns/op", 190),
	benchmarkSlope("configuration", "template.Catalogue, change and refresh", "template", "-benchtime 20x -cpu 1", "Change/teams=", "B/op", 190),
	benchmarkSlope("configuration", "template.Catalogue, row config", "template", "-benchtime 20x -cpu 1", "Change/teams=", "config-B", 190),
	benchmarkSlope("balances", "balance.Account, settlement", "balance", "-benchtime 20x -cpu 1", "Settle/teams=", "ns/op", 190),
	benchmarkSlope("balances", "balance.Account, settlement", "balance", "-benchtime 20x -cpu 1", "Settle/teams=", "B/op", 190),
	benchmarkSlope("balances", "balance.Account, Admit", "balance", "-benchtime 200000x -cpu 1", "Admit/teams=", "ns/op", 190),
	benchmarkSlope("membership", "member.Owner", "member", "-benchtime 20000x -cpu 1", "Owner/members=", "ns/op", 7),
	heartbeatSlope("B/s", 7),
	heartbeatSlope("writes/s", 7),
	heartbeatSlope("%core", 7),
}

// heartbeatSlope returns a slope over the number of instances in one data centre.
func heartbeatSlope(metric string, designSize float64) slope {
	s := benchmarkSlope("membership", "member.Group, heartbeats", "member", "-benchtime 1x", "Heartbeats/instances=", metric, designSize)
	s.command = strings.Replace(s.command, "Heartbeats$", "Heartbeats$/./centres=1$", 1)
	s.size = `^BenchmarkHeartbeats/instances=(\d+)/centres=1\b`
	return s
}

// TestSlopes measures the slopes of docs/CAPACITY.md and prints a table. It runs
// the benchmarks sequentially and takes the lowest cost of their runs.
func TestSlopes(t *testing.T) {
	if os.Getenv(enabledEnv) == "" {
		t.Skip(enabledEnv + " is not set")
	}
	outputs := make(map[string][]string)
	loads := make(map[string]string)
	fmt.Println("| role | mechanism | unit | measured (size: cost) | base + slope | residual | at design size | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, s := range slopes {
		if _, ok := outputs[s.command]; !ok {
			loads[s.command] = loadAverage()
			outputs[s.command] = runCommand(t, s.command)
		}
		points := s.points(t, outputs[s.command])
		if len(points) < 3 {
			t.Errorf("%s, %s: measured %d sizes, want at least 3", s.mechanism, s.unit, len(points))
			continue
		}
		s.print(points, loads[s.command])
	}
	for _, s := range slopes {
		if _, ok := outputs[s.command]; ok {
			delete(outputs, s.command)
			fmt.Printf("%s: `%s`\n", s.mechanism, shellSpecialWord.ReplaceAllString(s.command, "'$0'"))
		}
	}
}

// loadAverage returns the load average of the machine over one minute.
func loadAverage() string {
	content, _ := os.ReadFile("/proc/loadavg")
	oneMinute, _, _ := strings.Cut(string(content), " ")
	return oneMinute
}

// runCommand runs a command in the module's root directory and returns the lines
// of its output.
func runCommand(t *testing.T, command string) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchmarkTimeout)
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

// points returns the lowest cost for each size in lines, ordered by size.
func (s slope) points(t *testing.T, lines []string) []point {
	t.Helper()
	size, cost := regexp.MustCompile(s.size), regexp.MustCompile(s.cost)
	best := make(map[float64]float64)
	for _, l := range lines {
		x, y := size.FindStringSubmatch(l), cost.FindStringSubmatch(l)
		if x == nil || y == nil {
			continue
		}
		sizeValue, _ := strconv.ParseFloat(x[len(x)-1], 64)
		value, err := strconv.ParseFloat(y[1], 64)
		if err != nil {
			t.Errorf("%q: %v", l, err)
		}
		if old, ok := best[sizeValue]; !ok || value < old {
			best[sizeValue] = value
		}
	}
	var points []point
	for x, y := range best {
		points = append(points, point{x, y})
	}
	slices.SortFunc(points, func(a, b point) int { return int(a.size - b.size) })
	return points
}

// print prints the slope and its linear fit as a table row.
func (s slope) print(points []point, loadAvg string) {
	var measured []string
	for _, p := range points {
		measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
	}
	l := fit(points)
	rms, share := residual(l, points)
	fmt.Printf("| %s | %s | %s | %s | %.4g + %.4g x | %.3g (%.0f %%) | %g: %.4g | %s |\n",
		s.role, s.mechanism, s.unit, strings.Join(measured, ", "), l.base, l.slope, rms, 100*share, s.designSize, l.costAt(s.designSize), loadAvg)
}
