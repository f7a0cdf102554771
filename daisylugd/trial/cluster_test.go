package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binDir is the folder with the compiled programs.
var binDir string

func TestMain(m *testing.M) {
	if err := buildPrograms(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(binDir)
	os.Exit(code)
}

func buildPrograms() error {
	var err error
	if binDir, err = os.MkdirTemp("", "trial"); err != nil {
		return err
	}
	for _, name := range []string{"daisylugd", "standin"} {
		c := exec.Command("go", "build", "-o", binDir, "./"+name)
		c.Dir = filepath.Join("..", "..")
		if out, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("building %s: %w\n%s", name, err, out)
		}
	}
	return nil
}

// process is one program of the cluster and its command line.
type process struct {
	name    string
	command []string
	api     string
	// environment is added to that of the test.
	environment []string
	// descriptors limits the open files of the process; 0 leaves the limit as it is.
	descriptors int
	cmd         *exec.Cmd
	logFile     *os.File
}

// cluster is a stand-in platform with instances in three data centres.
type cluster struct {
	t               *testing.T
	logDir          string
	platformAddress string
	standin         *process
	instances       []*process
	// relays forward the connections of each instance to the platform's
	// services.
	relays []*relay
	http   *http.Client
}

// instanceCentres holds the data centre of each instance.
var instanceCentres = []string{"a", "a", "a", "b", "b", "c", "c"}

// clusterCount counts the clusters of this test process.
var clusterCount atomic.Int32

// loopbackAddress returns the loopback address of a process. Each cluster has
// loopback addresses of its own, because an outgoing connection may take a port
// of 127.0.0.1 after it was found to be free.
func loopbackAddress(cluster int32, process, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, cluster, 1+process, port)
}

func newCluster(t *testing.T) *cluster {
	return newClusterWith(t, func(*process) {})
}

// newClusterWith is like newCluster and lets adapt change each instance before it
// starts.
func newClusterWith(t *testing.T, adapt func(*process)) *cluster {
	number := clusterCount.Add(1)
	// The folder is created before the cleanup is registered, so that the logs
	// still exist when the cleanup runs.
	c := &cluster{t: t, logDir: t.TempDir(), platformAddress: loopbackAddress(number, 0, 7400), http: newHTTPClient()}
	t.Cleanup(c.stop)
	var listed []map[string]any
	for i, centre := range instanceCentres {
		api, peer := loopbackAddress(number, 1+i, 7410), loopbackAddress(number, 1+i, 7430)
		r := newRelay(t, c.platformAddress)
		url := "http://" + r.address()
		name := fmt.Sprintf("entry-%d", i)
		listed = append(listed, map[string]any{
			"name": name, "region": "south", "centre": centre,
			"api": api, "peer": peer, "weight": 1, "state": "live",
		})
		c.relays = append(c.relays, r)
		c.instances = append(c.instances, &process{name: name, api: api, command: []string{
			"daisylugd", "--name", name, "--region", "south", "--centre", centre, "--api", api, "--peer", peer,
			"--table", url, "--objects", url, "--directory", url, "--drain", "300ms", "--grace", "1s", "--settle", "3s", "--verbosity", "2",
		}})
	}
	list, _ := json.Marshal(listed)
	c.standin = &process{name: "standin", command: []string{
		"standin", "--listen", c.platformAddress, "--region", "south", "--data-centres", "a,b,c",
		"--workers", "16", "--spread", "2", "--usage-lag", "1s", "--usage-every", "1s", "--instances", string(list),
	}}
	c.start(c.standin)
	c.awaitOK("http://" + c.platformAddress + "/control/table")
	for _, p := range c.instances {
		adapt(p)
		c.start(p)
	}
	for _, p := range c.instances {
		c.awaitOK("http://" + p.api + "/readyz")
	}
	return c
}

// newHTTPClient returns a client that keeps connections alive, as a load
// balancer does.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

func (c *cluster) start(p *process) {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.logDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p.logFile = log
	p.cmd = exec.Command(filepath.Join(binDir, p.command[0]), p.command[1:]...)
	if p.descriptors > 0 {
		limited := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors), p.cmd.Path}
		p.cmd = exec.Command("sh", append(limited, p.command[1:]...)...)
	}
	p.cmd.Env = append(os.Environ(), p.environment...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// stop kills all processes and, after a failure, prints the end of their logs.
func (c *cluster) stop() {
	for _, p := range append(c.instances, c.standin) {
		if p == nil || p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if c.t.Failed() {
			content, _ := os.ReadFile(p.logFile.Name())
			lines := strings.Split(strings.TrimSpace(string(content)), "\n")
			c.t.Logf("%s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
		_ = p.logFile.Close()
	}
}

// awaitOK waits up to 30 s until url returns status 200.
func (c *cluster) awaitOK(url string) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		r, err := c.http.Get(url)
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s did not answer 200 within 30 s", url)
}

func (c *cluster) kill(i int) {
	_ = c.instances[i].cmd.Process.Kill()
	_ = c.instances[i].cmd.Wait()
}

func (c *cluster) signal(i int, s syscall.Signal) {
	_ = c.instances[i].cmd.Process.Signal(s)
}

// answer is an HTTP response with a JSON body.
type answer struct {
	status int
	body   map[string]any
	header http.Header
}

func (a answer) stringAt(path ...string) string {
	var v any = a.body
	for _, name := range path {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	s, _ := v.(string)
	return s
}

// call sends a request; the error covers transport and JSON encoding only.
func (c *cluster) call(ctx context.Context, method, url string, body any, header ...string) (answer, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return answer{}, err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return answer{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: response.StatusCode, header: response.Header}
	if err := json.Unmarshal(raw, &a.body); err != nil {
		return a, err
	}
	return a, nil
}

// isReady reports whether an instance accepts new requests.
func (c *cluster) isReady(i int) bool {
	r, err := c.http.Get(c.url(i, "/readyz"))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (c *cluster) url(i int, path string) string { return "http://" + c.instances[i].api + path }

// setTableFaults sets the faults that the table injects for all instances.
func (c *cluster) setTableFaults(body map[string]any) {
	c.t.Helper()
	body["service"] = "table"
	a, err := c.call(context.Background(), http.MethodPost, "http://"+c.platformAddress+"/control/faults", body)
	if err != nil || a.status != http.StatusOK {
		c.t.Fatalf("setting table faults: %v %v", a, err)
	}
}

// configure creates the templates and teams of most tests.
func (c *cluster) configure() {
	c.t.Helper()
	shape := func(w, a int) map[string]any { return map[string]any{"workers": w, "accelerators": a} }
	c.create("/v1/templates/map", map[string]any{"name": "map", "class": "planned", "shape": shape(2, 4), "estimate": 1, "idempotent": true})
	c.create("/v1/templates/booking", map[string]any{"name": "booking", "class": "planned", "shape": shape(1, 1), "estimate": 1, "idempotent": false})
	c.create("/v1/templates/quote", map[string]any{"name": "quote", "class": "quick", "shape": shape(1, 1), "estimate": 1, "idempotent": true})
	c.create("/v1/teams/north", map[string]any{
		"name": "north", "templates": []string{"map", "booking", "quote"}, "priority": 5, "weight": 1, "prepaid": 1e9,
		"guarantees": []any{map[string]any{"centre": "a", "shape": shape(2, 4), "count": 1}},
	})
	c.awaitConfig(4)
}

// create creates a team or template.
func (c *cluster) create(path string, body map[string]any) {
	c.t.Helper()
	a, err := c.call(context.Background(), http.MethodPut, c.url(0, path), body, "If-None-Match", "*")
	if err != nil || a.status != http.StatusOK {
		c.t.Fatalf("%s: %v %v", path, a.body, err)
	}
}

// awaitConfig waits until every instance has at least the configuration
// version.
func (c *cluster) awaitConfig(version float64) {
	c.t.Helper()
	for i := range c.instances {
		deadline := time.Now().Add(6 * time.Second)
		for !c.hasConfig(i, version) {
			if time.Now().After(deadline) {
				c.t.Fatalf("%s does not have configuration %v within 6 s", c.instances[i].name, version)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (c *cluster) hasConfig(i int, version float64) bool {
	a, err := c.call(context.Background(), http.MethodGet, c.url(i, "/v1/status"), nil)
	if err != nil {
		return false
	}
	config, _ := a.body["config"].(map[string]any)
	have, _ := config["version"].(float64)
	return have >= version
}

// startRecord records one start of work on a worker.
type startRecord struct {
	Kind    string    `json:"kind"`
	Worker  string    `json:"worker"`
	At      time.Time `json:"at"`
	ID      string    `json:"id"`
	Member  int       `json:"member"`
	Attempt int       `json:"attempt"`
}

// starts returns all starts that the workers recorded, and the repeated starts
// of an attempt.
func (c *cluster) starts() (all, duplicates []startRecord) {
	c.t.Helper()
	r, err := c.http.Get("http://" + c.platformAddress + "/control/starts?all")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	var body struct {
		Doubled []startRecord `json:"doubled"`
		Starts  []startRecord `json:"starts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		c.t.Fatal(err)
	}
	return body.Starts, body.Doubled
}
