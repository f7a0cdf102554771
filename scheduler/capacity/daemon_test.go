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
	// measureDuration is the duration of each measurement of a process.
	measureDuration = 20 * time.Second
	// settleDelay is the time between readiness and the measurement. Until then
	// connections are still being opened and polls are frequent after the start.
	settleDelay = 6 * time.Second
	// pollBackoffDelay is the time after task starts until new gangs are polled no
	// more often than leases are renewed.
	pollBackoffDelay = 26 * time.Second
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// tasksPerWorker is the ratio of the design size: 2,600 tasks on 650 workers.
	tasksPerWorker = 4
)

// dataCentre is a simulated data centre: a standin process, which serves the
// platform, and the daemons of its instances.
type dataCentre struct {
	t              *testing.T
	number         int
	standinAddress string
	daemons        []*daemon
}

// daemon is the daisylugd process of an instance.
type daemon struct {
	name, api string
	pid       int
	proxies   []*tcpProxy
}

// TestDaemon measures daemon processes without tasks and with four tasks on each
// worker. It prints a row for each instance and state.
func TestDaemon(t *testing.T) {
	if os.Getenv(enabledEnv) == "" {
		t.Skip(enabledEnv + " is not set")
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
				c := newDataCentre(t, number, workers, instances)
				time.Sleep(settleDelay)
				c.printUsage(workers, "at rest")
				c.startTasks(workers * tasksPerWorker)
				time.Sleep(pollBackoffDelay)
				c.printUsage(workers, "4 tasks a worker")
			})
		}
	}
}

// address returns a loopback address that depends on the test process and the
// data centre, so that parallel tests do not share addresses.
func (c *dataCentre) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, 100+c.number, 1+host, port)
}

func newDataCentre(t *testing.T, number, workers, instanceCount int) *dataCentre {
	c := &dataCentre{t: t, number: number}
	c.standinAddress = c.address(0, 7600)
	var instances []platform.Instance
	for i := range instanceCount {
		instances = append(instances, platform.Instance{
			Name: fmt.Sprint("entry-", i), Region: "south", DataCentre: "a",
			API: c.address(1+i, 7610), Peer: c.address(1+i, 7630), Weight: 1, State: platform.StateLive,
		})
	}
	list, _ := json.Marshal(instances)
	c.startProcess("standin", "--listen", c.standinAddress, "--region", "south", "--data-centres", "a",
		"--workers", strconv.Itoa(workers), "--shared", "--instances", string(list))
	c.waitReady("http://" + c.standinAddress + "/control/table")
	for i, instance := range instances {
		c.startDaemon(i, instance)
	}
	for _, d := range c.daemons {
		c.waitReady("http://" + d.api + "/readyz")
	}
	return c
}

// startDaemon starts an instance whose calls to the platform and the workers
// pass through proxies that count them.
func (c *dataCentre) startDaemon(i int, self platform.Instance) {
	platformProxy := newTCPProxy(c.t, c.address(20+i, 7600), c.standinAddress)
	directoryProxy := newTCPProxy(c.t, c.address(40+i, 7600), c.serveDirectory(platformProxy.address()))
	d := &daemon{name: self.Name, api: self.API, proxies: []*tcpProxy{platformProxy, directoryProxy}}
	url := "http://" + platformProxy.address()
	d.pid = c.startProcess("daisylugd", "--name", self.Name, "--region", self.Region, "--centre", self.DataCentre,
		"--api", self.API, "--peer", self.Peer, "--table", url, "--objects", url,
		"--directory", "http://"+directoryProxy.address(), "--drain", "100ms")
	c.daemons = append(c.daemons, d)
}

// serveDirectory serves the directory of the standin process with the proxy's
// address in place of the workers' addresses, and returns the server's address.
func (c *dataCentre) serveDirectory(proxyAddress string) string {
	o := remote.Options{}
	url := "http://" + c.standinAddress
	source := remote.NewDirectory(url, o)
	s := httptest.NewServer(remote.Handler(platform.Platform{
		Table: remote.NewTable(url, o), Objects: remote.NewObjects(url, o),
		Directory: rewrittenDirectory{source, c.standinAddress, proxyAddress}, Fleet: remote.NewFleet(source, o),
	}))
	c.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// rewrittenDirectory is a directory that replaces oldAddress by newAddress in the
// addresses of the workers.
type rewrittenDirectory struct {
	platform.Directory
	oldAddress, newAddress string
}

// List implements platform.Directory.
func (r rewrittenDirectory) List(ctx context.Context) (platform.Listing, error) {
	l, err := r.Directory.List(ctx)
	l.Workers = slices.Clone(l.Workers)
	for i := range l.Workers {
		l.Workers[i].Address = strings.Replace(l.Workers[i].Address, r.oldAddress, r.newAddress, 1)
	}
	return l, err
}

// startProcess starts a program from the bin directory and returns its process
// ID. The process is killed when the test ends.
func (c *dataCentre) startProcess(program string, arguments ...string) int {
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

// waitReady waits up to 30 s until a GET of url returns status 200.
func (c *dataCentre) waitReady(url string) {
	c.t.Helper()
	c.waitUntil(url, 30*time.Second, func() bool {
		status, _ := c.call(http.MethodGet, url, nil)
		return status == http.StatusOK
	})
}

func (c *dataCentre) waitUntil(what string, timeout time.Duration, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !done(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: condition not met within %v", what, timeout)
		}
	}
}

var httpClient = &http.Client{Timeout: 20 * time.Second}

// call sends body as JSON and returns the status and body of the response, or
// status 0 if there is none.
func (c *dataCentre) call(method, url string, body any) (int, []byte) {
	content, _ := json.Marshal(body)
	request, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		c.t.Fatal(err)
	}
	if method == http.MethodPut {
		request.Header.Set("If-None-Match", "*")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, raw
}

// startTasks submits long jobs of two accelerators each and waits until all of
// them run.
func (c *dataCentre) startTasks(tasks int) {
	c.t.Helper()
	api := "http://" + c.daemons[0].api
	shape := map[string]any{"workers": 1, "accelerators": 2}
	c.put(api+"/v1/templates/map", map[string]any{"name": "map", "class": "planned", "shape": shape, "estimate": 3600, "idempotent": true})
	c.put(api+"/v1/teams/north", map[string]any{"name": "north", "templates": []string{"map"}, "priority": 5, "weight": 1, "prepaid": 1e12})
	for i := range tasks {
		body := map[string]any{"team": "north", "template": "map", "key": fmt.Sprint("job-", i), "payload": map[string]any{"seconds": 36000}}
		c.waitUntil("submission", 20*time.Second, func() bool {
			status, _ := c.call(http.MethodPost, api+"/v1/jobs", body)
			return status == http.StatusOK || status == http.StatusCreated
		})
	}
	c.waitUntil("start of all tasks", time.Minute, func() bool { return c.runningTasks(api) == tasks })
}

func (c *dataCentre) put(url string, body map[string]any) {
	c.t.Helper()
	if status, raw := c.call(http.MethodPut, url, body); status != http.StatusOK {
		c.t.Fatalf("PUT %s: status %d: %s", url, status, raw)
	}
}

// runningTasks returns the number of running tasks that an instance reports.
func (c *dataCentre) runningTasks(api string) int {
	var status struct{ Racks []struct{ Running int } }
	_, raw := c.call(http.MethodGet, api+"/v1/status", nil)
	_ = json.Unmarshal(raw, &status)
	total := 0
	for _, r := range status.Racks {
		total += r.Running
	}
	return total
}

// sample is the cumulative resource usage of a process at a point in time.
type sample struct {
	at  time.Time
	cpu time.Duration
	// ioBytes is the number of bytes that the process has read and written.
	ioBytes float64
	// counts is the traffic through the proxies of the daemon, by kind of call.
	counts map[string]traffic
}

func (c *dataCentre) sample(d *daemon) sample {
	counts := make(map[string]traffic)
	for _, proxy := range d.proxies {
		for kind, n := range proxy.counts() {
			counts[kind] = n
		}
	}
	return sample{at: time.Now(), cpu: c.cpuTime(d.pid), ioBytes: c.procField(d.pid, "io", "rchar") + c.procField(d.pid, "io", "wchar"), counts: counts}
}

// cpuTime returns the user and system CPU time of a process.
func (c *dataCentre) cpuTime(pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		c.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// procField returns a numeric field of a file in /proc/PID.
func (c *dataCentre) procField(pid int, file, name string) float64 {
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
	c.t.Fatalf("/proc file %s has no field %s", file, name)
	return 0
}

// printUsage measures each instance for measureDuration and prints its resource
// usage.
func (c *dataCentre) printUsage(workers int, state string) {
	var before []sample
	for _, d := range c.daemons {
		before = append(before, c.sample(d))
	}
	time.Sleep(measureDuration)
	for i, d := range c.daemons {
		c.printRow(d, before[i], c.sample(d), fmt.Sprintf("%d | %d (%s) | %s", workers, len(c.daemons), d.name, state))
	}
}

// printRow prints the usage of a daemon between two samples as a table row.
func (c *dataCentre) printRow(d *daemon, before, after sample, label string) {
	seconds := after.at.Sub(before.at).Seconds()
	var kinds []string
	var total, calls int64
	for kind, n := range after.counts {
		delta := traffic{n.bytes - before.counts[kind].bytes, n.calls - before.counts[kind].calls}
		total += delta.bytes
		calls += delta.calls
		if delta.bytes > 0 {
			kinds = append(kinds, fmt.Sprintf("%s %.0f (%.1f/s)", kind, float64(delta.bytes)/seconds, float64(delta.calls)/seconds))
		}
	}
	slices.Sort(kinds)
	fmt.Printf("| %s | %.2f %% | %.0f MB | %.0f | %.0f: %s | %.1f | %s |\n", label,
		100*(after.cpu-before.cpu).Seconds()/seconds, c.procField(d.pid, "status", "VmRSS")/1024, (after.ioBytes-before.ioBytes)/seconds,
		float64(total)/seconds, strings.Join(kinds, ", "), float64(calls)/seconds, loadAverage())
}
