package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/remote"
)

const (
	// atRest is the time over which a process is measured.
	atRest = 20 * time.Second
	// settle is the time between readiness and the measurement, which lets
	// connections open and the polls after a start thin out.
	settle = 6 * time.Second
	// polled is the time after starts until the polls of new gangs are no more
	// frequent than renewals.
	polled = 26 * time.Second
	// tick is the unit of processor time in /proc/PID/stat.
	tick = 10 * time.Millisecond
	// tasksPerWorker is that of the design size, 2,600 tasks on 650 workers.
	tasksPerWorker = 4
)

// centre is one data centre: a stand-in for the platform and its instances.
type centre struct {
	t       *testing.T
	number  int
	standin string
	daemons []*daemon
}

// daemon is a running instance.
type daemon struct {
	name, api string
	pid       int
	relays    []*relay
}

// TestDaemon measures whole daemons as processes, at rest and with four tasks
// on each worker, and prints a row for each size.
func TestDaemon(t *testing.T) {
	if os.Getenv(enabled) == "" {
		t.Skip(enabled + " is not set")
	}
	fmt.Println("| workers | instances | state | CPU of a core | resident | B/s | B/s with the platform and workers | calls/s | load |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	number := 0
	for _, workers := range []int{16, 48, 144} {
		for _, instances := range []int{1, 3} {
			number++
			number := number
			t.Run(fmt.Sprintf("%d/%d", workers, instances), func(t *testing.T) {
				t.Parallel()
				c := newCentre(t, number, workers, instances)
				time.Sleep(settle)
				c.measure(workers, "at rest")
				c.fill(workers * tasksPerWorker)
				time.Sleep(polled)
				c.measure(workers, "4 tasks a worker")
			})
		}
	}
}

// address returns a loopback address of this test process.
func (c *centre) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, 100+c.number, 1+host, port)
}

func newCentre(t *testing.T, number, workers, instances int) *centre {
	c := &centre{t: t, number: number}
	c.standin = c.address(0, 7600)
	var listed []platform.Instance
	for i := range instances {
		listed = append(listed, platform.Instance{
			Name: fmt.Sprint("entry-", i), Region: "south", DataCentre: "a",
			API: c.address(1+i, 7610), Peer: c.address(1+i, 7630), Weight: 1, State: platform.StateLive,
		})
	}
	list, _ := json.Marshal(listed)
	c.start("standin", "--listen", c.standin, "--region", "south", "--data-centres", "a",
		"--workers", strconv.Itoa(workers), "--shared", "--instances", string(list))
	c.await("http://" + c.standin + "/control/table")
	for i, instance := range listed {
		c.startDaemon(i, instance)
	}
	for _, d := range c.daemons {
		c.await("http://" + d.api + "/readyz")
	}
	return c
}

// startDaemon starts an instance whose calls to the platform and the workers
// pass through relays.
func (c *centre) startDaemon(i int, self platform.Instance) {
	main := newRelay(c.t, c.address(20+i, 7600), c.standin)
	list := newRelay(c.t, c.address(40+i, 7600), c.directory(main.address()))
	d := &daemon{name: self.Name, api: self.API, relays: []*relay{main, list}}
	url := "http://" + main.address()
	d.pid = c.start("daisylugd", "--name", self.Name, "--region", self.Region, "--centre", self.DataCentre,
		"--api", self.API, "--peer", self.Peer, "--table", url, "--objects", url,
		"--directory", "http://"+list.address(), "--drain", "100ms")
	c.daemons = append(c.daemons, d)
}

// directory serves the stand-in's list with the relay in the addresses of the
// workers, and returns its address.
func (c *centre) directory(relay string) string {
	o := remote.Options{}
	url := "http://" + c.standin
	source := remote.NewDirectory(url, o)
	s := httptest.NewServer(remote.Handler(platform.Platform{
		Table: remote.NewTable(url, o), Objects: remote.NewObjects(url, o),
		Directory: relocated{source, c.standin, relay}, Fleet: remote.NewFleet(source, o),
	}))
	c.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// relocated is a directory whose workers are at another address.
type relocated struct {
	platform.Directory
	from, to string
}

// List implements platform.Directory.
func (r relocated) List(ctx context.Context) (platform.Listing, error) {
	l, err := r.Directory.List(ctx)
	l.Workers = slices.Clone(l.Workers)
	for i := range l.Workers {
		l.Workers[i].Address = strings.Replace(l.Workers[i].Address, r.from, r.to, 1)
	}
	return l, err
}

// start starts a built program, ended with the test, and returns its id.
func (c *centre) start(program string, arguments ...string) int {
	c.t.Helper()
	cmd := exec.Command(filepath.Join("..", "..", "bin", program), arguments...)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		c.t.Fatalf("%s: %v; run \"make build\" first", program, err)
	}
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if c.t.Failed() {
			text := log.String()
			c.t.Logf("%s:\n%s", program, text[max(0, len(text)-2000):])
		}
	})
	return cmd.Process.Pid
}

// await waits up to 30 s until url answers 200.
func (c *centre) await(url string) {
	c.t.Helper()
	c.until(url, 30*time.Second, func() bool {
		status, _ := c.call(http.MethodGet, url, nil)
		return status == http.StatusOK
	})
}

func (c *centre) until(what string, limit time.Duration, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

var caller = &http.Client{Timeout: 20 * time.Second}

func (c *centre) call(method, url string, body any) (int, []byte) {
	content, _ := json.Marshal(body)
	q, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		c.t.Fatal(err)
	}
	if method == http.MethodPut {
		q.Header.Set("If-None-Match", "*")
	}
	a, err := caller.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	raw, _ := io.ReadAll(a.Body)
	return a.StatusCode, raw
}

// fill starts a number of long tasks of two accelerators.
func (c *centre) fill(tasks int) {
	c.t.Helper()
	api := "http://" + c.daemons[0].api
	shape := map[string]any{"workers": 1, "accelerators": 2}
	c.put(api+"/v1/templates/map", map[string]any{"name": "map", "class": "planned", "shape": shape, "estimate": 3600, "idempotent": true})
	c.put(api+"/v1/teams/north", map[string]any{"name": "north", "templates": []string{"map"}, "priority": 5, "weight": 1, "prepaid": 1e12})
	for i := range tasks {
		body := map[string]any{"team": "north", "template": "map", "key": fmt.Sprint("job-", i), "payload": map[string]any{"seconds": 36000}}
		c.until("submission", 20*time.Second, func() bool {
			status, _ := c.call(http.MethodPost, api+"/v1/jobs", body)
			return status == http.StatusOK || status == http.StatusCreated
		})
	}
	c.until("start of all tasks", time.Minute, func() bool { return c.running(api) == tasks })
}

func (c *centre) put(url string, body map[string]any) {
	c.t.Helper()
	if status, raw := c.call(http.MethodPut, url, body); status != http.StatusOK {
		c.t.Fatalf("%s: %d %s", url, status, raw)
	}
}

// running returns the number of running tasks that an instance knows.
func (c *centre) running(api string) int {
	var status struct{ Racks []struct{ Running int } }
	_, raw := c.call(http.MethodGet, api+"/v1/status", nil)
	_ = json.Unmarshal(raw, &status)
	total := 0
	for _, r := range status.Racks {
		total += r.Running
	}
	return total
}

// sample is the use of a process so far.
type sample struct {
	at     time.Time
	cpu    time.Duration
	bytes  float64
	counts map[string]traffic
}

func (c *centre) sample(d *daemon) sample {
	counts := make(map[string]traffic)
	for _, r := range d.relays {
		for kind, n := range r.counts() {
			counts[kind] = n
		}
	}
	return sample{at: time.Now(), cpu: c.cpu(d.pid), bytes: c.field(d.pid, "io", "rchar") + c.field(d.pid, "io", "wchar"), counts: counts}
}

// cpu returns the processor time of a process.
func (c *centre) cpu(pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		c.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * tick
}

// field returns a number from a file of a process.
func (c *centre) field(pid int, file, name string) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		c.t.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == name+":" {
			v, _ := strconv.ParseFloat(words[1], 64)
			return v
		}
	}
	c.t.Fatalf("%s has no field %s", file, name)
	return 0
}

// measure prints the use of each instance over atRest.
func (c *centre) measure(workers int, state string) {
	var before []sample
	for _, d := range c.daemons {
		before = append(before, c.sample(d))
	}
	time.Sleep(atRest)
	for i, d := range c.daemons {
		c.report(d, before[i], c.sample(d), fmt.Sprintf("%d | %d (%s) | %s", workers, len(c.daemons), d.name, state))
	}
}

func (c *centre) report(d *daemon, a, b sample, label string) {
	seconds := b.at.Sub(a.at).Seconds()
	var kinds []string
	var total, calls int64
	for kind, n := range b.counts {
		delta := traffic{n.bytes - a.counts[kind].bytes, n.calls - a.counts[kind].calls}
		total += delta.bytes
		calls += delta.calls
		if delta.bytes > 0 {
			kinds = append(kinds, fmt.Sprintf("%s %.0f (%.1f/s)", kind, float64(delta.bytes)/seconds, float64(delta.calls)/seconds))
		}
	}
	slices.Sort(kinds)
	fmt.Printf("| %s | %.2f %% | %.0f MB | %.0f | %.0f: %s | %.1f | %s |\n", label,
		100*(b.cpu-a.cpu).Seconds()/seconds, c.field(d.pid, "status", "VmRSS")/1024, (b.bytes-a.bytes)/seconds,
		float64(total)/seconds, strings.Join(kinds, ", "), float64(calls)/seconds, load())
}
