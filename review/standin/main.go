// Command standin plays a case of the review: it starts stand-ins for the platform's
// store, its workers and its adviser, and the program of the deploy file as separate
// processes, and checks what requesters and workers see.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	serviceName = "booking"
	zoneName    = "vantaa"
	host        = "nony24.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
)

// record is what was sent, answered and run.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *record) write(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line)
}

// nextHost counts the loopback hosts that were handed out.
var nextHost = struct {
	sync.Mutex
	n int
}{}

// loopbackHost returns an address of 127/8 of its own for an instance, whose metrics
// have a fixed port.
func loopbackHost() string {
	nextHost.Lock()
	defer nextHost.Unlock()
	nextHost.n++
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%250, nextHost.n)
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddresses sets the addresses to ones of the host that nothing listens at. All
// are held until each has one, so that they differ.
func freeAddresses(ip string, addresses ...*string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*a = l.Addr().String()
	}
	return nil
}

// instance is a process of the program.
type instance struct {
	name, ip, front, ready, peer string
	settings                     string
	process                      *exec.Cmd
	exited                       chan struct{}
}

// deployment is a small deployment.
type deployment struct {
	rec       *record
	folder    string
	store     *store
	world     *world
	storeAddr string
	adviser   *adviser
	instances []*instance
}

func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, store: newStore()}
	d.world = newWorld(rec, d.store)
	l, err := listen()
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, d.store.handler()) }()
	if d.adviser, err = newAdviser(d.world); err != nil {
		return nil, err
	}
	go func() {
		for now := range time.Tick(20 * time.Millisecond) {
			d.world.tick(now)
		}
	}()
	go func() {
		for range time.Tick(beat) {
			d.world.mu.Lock()
			workers := append([]*worker(nil), d.world.workers...)
			d.world.mu.Unlock()
			for _, w := range workers {
				w.checkIn()
			}
		}
	}()
	return d, nil
}

// startInstances starts n instances and waits until they are ready.
func (d *deployment) startInstances(n int) error {
	var seeds []string
	for i := range n {
		ip := loopbackHost()
		x := &instance{name: fmt.Sprintf("frontend-vantaa-%d", i+1), ip: ip, settings: filepath.Join(d.folder, fmt.Sprintf("settings-%d.conf", i+1))}
		if err := freeAddresses(ip, &x.front, &x.ready, &x.peer); err != nil {
			return err
		}
		seeds = append(seeds, x.peer)
		d.instances = append(d.instances, x)
	}
	for _, x := range d.instances {
		if err := d.writeSettings(x, seeds); err != nil {
			return err
		}
		if err := d.startProcess(x); err != nil {
			return err
		}
	}
	return d.awaitReady(20 * time.Second)
}

func (d *deployment) startProcess(x *instance) error {
	x.process = exec.Command("target/daisylug-entry")
	x.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAISYLUG_BOOT=" + x.settings}
	x.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(d.folder, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.process.Stdout, x.process.Stderr = log, log
	if err := x.process.Start(); err != nil {
		return err
	}
	d.rec.write("started", "instance", x.name)
	x.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan<- struct{}) {
		_ = process.Wait()
		close(exited)
	}(x.process, x.exited)
	return nil
}

// restart stops an instance with SIGTERM, kills it if it has not ended after the grace
// period, and starts it again.
func (d *deployment) restart(x *instance, grace time.Duration) error {
	d.rec.write("stop signal", "instance", x.name)
	if err := x.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-x.exited:
	case <-time.After(grace):
		if err := x.process.Process.Kill(); err != nil {
			return err
		}
		<-x.exited
	}
	return d.startProcess(x)
}

func (d *deployment) writeSettings(x *instance, seeds []string) error {
	lines := []string{
		"node_name=" + x.name, "role=entry", "machine_class=frontend", "serves=frontend,control_plane", "ip_address=" + x.ip,
		"zone=" + zoneName, "region=fi-south", "zones." + zoneName + "=fi-south",
		"listen_addresses.frontend=" + x.front, "listen_addresses.ready=" + x.ready, "listen_addresses.control_plane=" + x.peer,
		"internal_port_range=7000,7015", "seed_nodes=" + strings.Join(seeds, ","), "bootstrap=true",
		"limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100", "limits.link_speed_mbps=1000.0",
		"heartbeat_interval_ms=1500", "contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
		"bounds.config_apply_ms=2000", "bounds.grace_period_s=6", "bounds.max_hold_ms=6000", "bounds.stop_timeout_ms=900",
		"bounds.gang_timeout_ms=3000", "bounds.status_s=120", "bounds.checkpoint_interval_s=0.5", "bounds.restore_ms=600",
		"bounds.reclaim_ms=3400", "bounds.contact_timeout_ms=3000", "bounds.cancel_ms=3000", "orders=call",
		"recommendation=" + d.adviser.address, "platform.address=" + d.storeAddr, "platform.form=table",
	}
	next := x.settings + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(next, x.settings)
}

// rewriteSettings writes the settings of all instances anew.
func (d *deployment) rewriteSettings() error {
	var seeds []string
	for _, x := range d.instances {
		seeds = append(seeds, x.peer)
	}
	for _, x := range d.instances {
		if err := d.writeSettings(x, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, x := range d.instances {
			if r, err := httpClient.Get("http://" + x.ready + "/readiness"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.instances) {
			return nil
		}
	}
	return errors.New("the instances did not become ready")
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, x := range d.instances {
		if x.process != nil && x.process.Process != nil {
			_ = x.process.Process.Signal(syscall.SIGCONT)
			_ = x.process.Process.Kill()
		}
	}
	for _, x := range d.instances {
		if x.exited == nil {
			continue
		}
		select {
		case <-x.exited:
		case <-time.After(time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}

var httpClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call of a requester and returns the status, or 0.
func (d *deployment) call(x *instance, method, path string, body any) (int, string) {
	content := ""
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = string(encoded)
	}
	r, err := http.NewRequest(method, "http://"+x.front+path, strings.NewReader(content))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("X-Credential", apiKey)
	r.Header.Set("X-Time-Remaining", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(r)
	if err != nil {
		d.rec.write("call", "method", method, "path", path, "to", x.name, "error", err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer)
	encoded, _ := json.Marshal(answer)
	d.rec.write("call", "method", method, "path", path, "to", x.name, "status", response.StatusCode, "answer", string(encoded))
	return response.StatusCode, string(encoded)
}

// submit hands a job in until it is accepted, as a requester does, at most five times.
func (d *deployment) submit(queue, id string, steps ...step) error {
	return d.submitAt(d.instances[0], queue, id, steps...)
}

// submitAt is like submit with the instance that is asked first.
func (d *deployment) submitAt(first *instance, queue, id string, steps ...step) error {
	d.world.mu.Lock()
	for i := range steps {
		d.world.jobs[id] = append(d.world.jobs[id], &steps[i])
	}
	d.world.mu.Unlock()
	for i := range 5 {
		next := d.instances[(slices.Index(d.instances, first)+i)%len(d.instances)]
		status, _ := d.call(next, http.MethodPost, "/"+queue+"/"+id, map[string]any{"specification": "work " + id, "steps": steps})
		if status/100 == 2 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errors.New("job " + id + " was not accepted")
}

// state returns the state of a job as shown to requesters.
func (d *deployment) state(queue, id string) string {
	_, answer := d.call(d.instances[0], http.MethodGet, "/"+queue+"/"+id, nil)
	return answer
}

// running returns the number of runs of a job on the workers.
func (d *deployment) running(id string) int {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	n := 0
	for _, w := range d.world.workers {
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
	}
	return n
}

// awaitRunning waits until runs of a job are on the workers, and returns how long
// that took, or the limit.
func (d *deployment) awaitRunning(id string, n int, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if d.running(id) >= n {
			return time.Since(start), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, false
}

// awaitState waits until a job is shown in a state.
func (d *deployment) awaitState(queue, id, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if strings.Contains(d.state(queue, id), `"`+state+`"`) {
			return true
		}
	}
	return false
}

// queue is a route of the desired state.
type queue struct {
	name     string
	priority int
	advised  bool
}

// configure sends a desired state with one tenant.
func (d *deployment) configure(version, guaranteed int, queues ...queue) {
	routes := []any{}
	for _, q := range queues {
		route := map[string]any{
			"name": "r-" + q.name, "host": host, "path_prefix": "/" + q.name + "/", "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 3000,
			"priority": q.priority, "service": serviceName, "max_attempts": 4, "stretch": 3.0, "public": false,
		}
		if q.advised {
			route["recommendation"] = map[string]any{"decision_ms": adviceDecision.Milliseconds(), "period_ms": advicePeriod.Milliseconds(), "validity_ms": adviceValidity.Milliseconds()}
		}
		routes = append(routes, route)
	}
	d.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed_gpus": map[string]any{"gpu": guaranteed}}},
	})
	d.rec.write("desired state", "version", version, "queues", fmt.Sprint(queues))
}

// leader returns the instance that last wrote to the store under a condition.
func (d *deployment) leader() *instance {
	d.store.mu.Lock()
	value := string(d.store.rows[rowKey{"term", "planner", "planner"}].Value)
	d.store.mu.Unlock()
	for _, x := range d.instances {
		if strings.Contains(value, x.peer) {
			return x
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	// The processes are killed when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := &record{started: time.Now(), file: file}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := c(d, os.Getenv("TROUBLE") != "0")
	d.world.mu.Lock()
	rec.write("starts rejected", "count", d.world.rejected)
	d.world.mu.Unlock()
	switch {
	case err != nil:
		rec.write("not run", "error", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		rec.write("rule broken", "how", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	rec.write("rule held")
	fmt.Println("rule held")
	return exitHeld
}
