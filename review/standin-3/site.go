package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
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
	checkInInterval = 1500 * time.Millisecond
	service         = "huvo11a"
	host            = "nony24.example"
	entryProgram    = "target/daisylug-entry"
	startTimeout    = 20 * time.Second
)

var zones = []string{"vantaa", "espoo", "tampere"}

// route is a queue of the site.
type route struct {
	name, prefix          string
	priority, maxAttempts int
	stretch               float64
	target                int
}

var (
	urgent  = route{"r-zzyyjsg", "/pufi791/", 0, 4, 1.5, 250}
	planned = route{"r-ce7ejsm", "/lohu930/", 1, 2, 3, 1000}
	batch   = route{"r-3ajwyy7", "/pule252/", 2, 4, 3, 3000}
)

// tenant is a tenant of the site.
type tenant struct {
	name, key  string
	guaranteed int
}

// site is a small deployment: a store, workers and entry instances on loopback
// addresses.
type site struct {
	dir, folder string
	record      *os.File
	begin       time.Time
	store       string
	tenants     []tenant
	entries     []*instance
	workers     []*workerProcess
	version     int
	// network is the beginning of the loopback addresses of this site. Other sites, which
	// may run at the same time, have other ones.
	network string
	// front, if set, puts something before a new worker.
	front func(*workerProcess) error

	mu        sync.Mutex
	processes map[*exec.Cmd]bool
	closed    bool
}

// instance is an entry instance.
type instance struct {
	name, ip, frontend, ready, peer, zone, settings string
	cmd                                             *exec.Cmd
}

// workerProcess is a worker.
type workerProcess struct {
	id, address, zone, rack, logPath string
	// announced is the address in the registry, if it is not that of the process.
	announced string
	cmd       *exec.Cmd
}

// trouble reports whether the case brings about its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// newSite returns a site whose record is written into the folder of the case.
func newSite(folder string) (*site, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, folder: folder, record: record, begin: time.Now(), processes: map[*exec.Cmd]bool{}}
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-told
		s.close()
		os.Exit(exitNotRun)
	}()
	return s, nil
}

// note writes a line into the record.
func (s *site) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// since returns when something with a Unix time in milliseconds happened.
func (s *site) since(ms int64) float64 { return float64(ms-s.begin.UnixMilli()) / 1000 }

// spawn starts a process whose output goes into a file of the temporary folder.
func (s *site) spawn(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return nil, errClosed
	}
	s.processes[cmd] = true
	return cmd, nil
}

// kill ends a process at once.
func (s *site) kill(cmd *exec.Cmd) {
	s.mu.Lock()
	known := s.processes[cmd]
	delete(s.processes, cmd)
	s.mu.Unlock()
	if known {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	all := make([]*exec.Cmd, 0, len(s.processes))
	for cmd := range s.processes {
		all = append(all, cmd)
	}
	s.mu.Unlock()
	for _, cmd := range all {
		s.kill(cmd)
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// start starts a site with the given number of workers for each zone and entry
// instances, and waits until it is ready.
func (s *site) start(workersPerZone, entriesPerZone int, tenants []tenant) error {
	s.tenants = tenants
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if _, err := os.Stat(entryProgram); err != nil {
		return err
	}
	s.network = fmt.Sprintf("127.%d.%d", 1+rand.N(250), rand.N(250))
	if s.store, err = freeAddress(s.network + ".250"); err != nil {
		return err
	}
	if _, err := s.spawn("store", nil, self, "store", "--listen", s.store, "--beat", checkInInterval.String()); err != nil {
		return err
	}
	if err := s.await("store", func() bool { return s.configure() == nil }); err != nil {
		return err
	}
	for z, zone := range zones {
		for range workersPerZone {
			if _, err := s.addWorker(zone, fmt.Sprintf("r1-%d", z), "a"); err != nil {
				return err
			}
		}
	}
	// Each instance has an address of its own, because the port of the metrics is fixed.
	for z, zone := range zones {
		for n := range entriesPerZone {
			e := &instance{name: fmt.Sprintf("frontend-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d", s.network, 1+10*z+n), zone: zone}
			for _, a := range []*string{&e.frontend, &e.ready, &e.peer} {
				if *a, err = freeAddress(e.ip); err != nil {
					return err
				}
			}
			s.entries = append(s.entries, e)
		}
	}
	for _, e := range s.entries {
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	if err := s.await("entries", func() bool {
		return !slices.ContainsFunc(s.entries, func(e *instance) bool { return !e.isReady() })
	}); err != nil {
		return err
	}
	s.note("ready: %d entry instances, %d workers", len(s.entries), len(s.workers))
	return nil
}

// addWorker adds a worker of a kind.
func (s *site) addWorker(zone, rack, kind string) (*workerProcess, error) {
	address, err := freeAddress(s.network + ".251")
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	w := &workerProcess{id: id, address: address, zone: zone, rack: rack, logPath: filepath.Join(s.dir, id+".events")}
	s.workers = append(s.workers, w)
	if s.front != nil {
		if err := s.front(w); err != nil {
			return nil, err
		}
	}
	return w, s.startWorker(w, kind)
}

// startWorker starts the process of a worker, which has no memory of a former one.
func (s *site) startWorker(w *workerProcess, kind string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.cmd, err = s.spawn(w.id, nil, self, "worker", "--id", w.id, "--listen", w.address, "--announce", cmp.Or(w.announced, w.address), "--store", s.store, "--service", service,
		"--zone", w.zone, "--rack", w.rack, "--kind", kind, "--log", w.logPath, "--beat", checkInInterval.String())
	return err
}

// startEntry starts the program of the deploy file with the settings of an instance.
func (s *site) startEntry(e *instance) error {
	e.settings = filepath.Join(s.dir, e.name+".conf")
	seeds := make([]string, 0, len(s.entries))
	for _, o := range s.entries {
		seeds = append(seeds, o.peer)
	}
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=frontend
serves=frontend,control_plane
ip_address=%s
zone=%s
region=fi-south
zones.vantaa=fi-south
zones.espoo=fi-south
zones.tampere=fi-south
listen_addresses.frontend=%s
listen_addresses.ready=%s
listen_addresses.control_plane=%s
internal_port_range=7000,7015
seed_nodes=%s
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_speed_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=%d
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_timeout_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revocation=false
bounds.revocation_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_interval_s=0.5
bounds.restore_ms=600
bounds.notice_ms=4500
bounds.migration_s=1.5
bounds.maintenance_s=2
bounds.require_fencing=false
bounds.lease_duration_ms=3000
bounds.thaw_slack_ms=300
bounds.pacing_ms=100
bounds.interference_ms=4000
bounds.reclaim_ms=3400
orders=call
recommendation=
platform.address=%s
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.transaction_ms=5.0
platform.part_writes_per_s=200
platform.max_row_bytes=65536
platform.cross_shard=false
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_per_s=80.0
cloud_api.address=127.0.0.1:9
cloud_api.rate_per_s=60.0
cloud_api.duties=
cloud_api.duty_per_s=60.0
`, e.name, e.ip, e.zone, e.frontend, e.ready, e.peer, strings.Join(seeds[:min(len(seeds), 3)], ","), checkInInterval.Milliseconds(), s.store)
	if err := os.WriteFile(e.settings, []byte(text), 0o644); err != nil {
		return err
	}
	var err error
	e.cmd, err = s.spawn(e.name, []string{"DAISYLUG_BOOT=" + e.settings}, entryProgram)
	return err
}

// configure writes the next version of the configuration.
func (s *site) configure() error {
	s.version += 7
	var routes, tenants []any
	for _, r := range []route{urgent, planned, batch} {
		routes = append(routes, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": r.target,
			"priority": r.priority, "service": service, "max_attempts": r.maxAttempts, "stretch": r.stretch, "public": false,
		})
	}
	for _, t := range s.tenants {
		tenants = append(tenants, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "guaranteed_gpus": map[string]int{"gpu": t.guaranteed},
		})
	}
	return putRow(s.store, operatorTable, "config", map[string]any{
		"version": s.version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{
			"name": service, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (e *instance) isReady() bool {
	response, err := client.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var (
	errTimeout     = errors.New("timed out")
	errClosed      = errors.New("the site is closed")
	errNotAccepted = errors.New("the urgent job was not accepted")
	errNoTrouble   = errors.New("the condition of the case did not come about")
)

// await waits until a condition holds.
func (s *site) await(what string, holds func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waiting for %s: %w", what, errTimeout)
}

// newID returns an id for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job as submitted.
type step map[string]any

// with returns the step with a field set.
func (s step) with(name string, value any) step {
	c := maps.Clone(s)
	c[name] = value
	return c
}

// job returns the body of a job; specs tell the workers what its steps do.
func job(specs []stepSpec, steps ...step) map[string]any {
	text, _ := json.Marshal(specs)
	return map[string]any{"specification": string(text), "steps": steps}
}

// call makes one call about a job and records it. The status is 0 without an answer.
func (s *site) call(e *instance, method string, r route, t tenant, id string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = bytes.NewReader(encoded)
		s.note("%s %s%s at %s: %s", method, r.prefix, id, e.name, encoded)
	}
	request, err := http.NewRequest(method, "http://"+e.frontend+r.prefix+id, content)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Credential", t.key)
	request.Header.Set("X-Time-Remaining", "3000")
	response, err := client.Do(request)
	if err != nil {
		s.note("%s %s%s at %s: no answer: %v", method, r.prefix, id, e.name, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	answer := strings.TrimSpace(string(text))
	s.note("%s %s%s at %s: %d %s", method, r.prefix, id, e.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (s *site) submit(e *instance, r route, t tenant, body map[string]any) (string, error) {
	id := newID()
	return id, s.await("acceptance of job "+id, func() bool {
		status, _ := s.call(e, http.MethodPost, r, t, id, body)
		return status == http.StatusOK
	})
}

// events returns what all workers have seen, in order of time.
func (s *site) events() []event {
	var all []event
	for _, w := range s.workers {
		content, err := os.ReadFile(w.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			var e event
			if json.Unmarshal([]byte(line), &e) == nil {
				all = append(all, e)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b event) int { return int(a.At - b.At) })
	return all
}

// recordEvents writes what the workers have seen into the record.
func (s *site) recordEvents() {
	_, _ = fmt.Fprintln(s.record, "\nwhat the workers saw:")
	for _, e := range s.events() {
		_, _ = fmt.Fprintf(s.record, "%8.3f  %s  %s %s run %d %s\n", s.since(e.At), e.Worker, e.What, e.Task, e.Run, e.Detail)
	}
}

// running returns the worker on which each task of a job runs now, as the workers saw
// it.
func (s *site) running(id string) map[string]*workerProcess {
	at := map[string]*workerProcess{}
	for _, e := range s.events() {
		if !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		switch e.What {
		case "start":
			at[e.Task] = s.workers[slices.IndexFunc(s.workers, func(w *workerProcess) bool { return w.id == e.Worker })]
		case "end":
			if w := at[e.Task]; w != nil && w.id == e.Worker {
				delete(at, e.Task)
			}
		}
	}
	return at
}

// leader returns the instance that runs the planner, by the row of the term.
func (s *site) leader() *instance {
	for _, e := range s.entries {
		content, err := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
		if err != nil {
			continue
		}
		text := string(content)
		if strings.LastIndex(text, "planner term started") > strings.LastIndex(text, "planner term ended") {
			return e
		}
	}
	return nil
}

// finish writes the verdict and returns the exit code of the case.
func (s *site) finish(broken []string) int {
	s.recordEvents()
	if len(broken) == 0 {
		_, _ = fmt.Fprintln(s.record, "\nthe rule held")
		return exitHeld
	}
	for _, b := range broken {
		_, _ = fmt.Fprintln(s.record, "\nBROKEN:", b)
	}
	return exitBroken
}

// notRun reports a case that could not run.
func notRun(s *site, err error) int {
	if s != nil {
		s.recordEvents()
		s.note("the case could not run: %v", err)
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitNotRun
}
