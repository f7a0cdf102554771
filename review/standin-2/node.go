package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a frontend machine with one process of the system.
type node struct {
	name, zone, host string
	settings         string
	log              *os.File
	command          []string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// signalled is set once the script has sent a signal that ends the process, ended
	// counts the processes that ended by themselves.
	signalled bool
	ended     int
}

// Ports are the same on all machines.
const (
	frontendPort = 8521
	readyPort    = 8523
	controlPort  = 8526
	// metricsPort is where the deploy file says that metrics are served.
	metricsPort = 7010
)

// restartDelay is the delay after which the platform restarts a process.
const restartDelay = 300 * time.Millisecond

func (n *node) frontend() string { return fmt.Sprintf("%s:%d", n.host, frontendPort) }

// freeNetwork returns the first two numbers of loopback addresses that are unused.
func freeNetwork() (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+i)%90, (os.Getpid()/90+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", network, controlPort))
		if err != nil {
			continue
		}
		return network, l.Close()
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// newNodes prepares machines in three zones, as in the site kivi-daisylug.
func newNodes(s *store, adviserAddress, dir string, count int) ([]*node, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", network, i+1, controlPort))
	}
	var nodes []*node
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = server.Serve(l) }()
		n := &node{zone: zones[i%len(zones)], host: fmt.Sprintf("%s%d", network, i+1)}
		n.name = fmt.Sprintf("frontend-%s-%d", n.zone, i/len(zones)+1)
		n.settings = filepath.Join(dir, n.name+".conf")
		if err := os.WriteFile(n.settings, []byte(n.content(seeds, l.Addr().String(), adviserAddress)), 0o600); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// content returns the settings file of a machine of the site kivi-daisylug.
func (n *node) content(seeds []string, storeAddress, adviserAddress string) string {
	return strings.NewReplacer("NAME", n.name, "HOST", n.host, "ZONE", n.zone, "SEEDS", strings.Join(seeds, ","), "STORE", storeAddress, "ADVISER", adviserAddress).Replace(
		`node_name=NAME
role=entry
machine_class=frontend
serves=frontend,control_plane
ip_address=HOST
zone=ZONE
region=fi-south
zones.vantaa=fi-south
zones.espoo=fi-south
zones.tampere=fi-south
listen_addresses.frontend=HOST:8521
listen_addresses.ready=HOST:8523
listen_addresses.control_plane=HOST:8526
internal_port_range=7000,7015
seed_nodes=SEEDS
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
heartbeat_interval_ms=1500
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
recommendation=ADVISER
platform.address=STORE
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.transaction_ms=5.0
platform.part_writes_per_s=200
platform.max_row_bytes=65536
platform.cross_shard=false
platform.history_s=20
`)
}

// start runs the command of the deploy file in the repository's root. It starts nothing
// once the script has ended the machine's process.
func (n *node) start(command []string) error {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAISYLUG_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	exited := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.signalled {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.command, n.process, n.exited = command, cmd.Process, exited
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		bySelf := !n.signalled
		if bySelf {
			n.ended++
		}
		n.mu.Unlock()
		note("node", "process of %s has ended: %v", n.name, err)
		close(exited)
		if bySelf {
			// The platform restarts a process that ends by itself.
			time.Sleep(restartDelay)
			_ = n.start(command)
		}
	}()
	return nil
}

// signal ends the process, which is not started again.
func (n *node) signal(s syscall.Signal) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signalled = true
	if n.process == nil {
		return nil
	}
	_ = n.process.Signal(s)
	return n.exited
}

// restart kills the process and starts another one after a time.
func (n *node) restart(after time.Duration) error {
	<-n.signal(syscall.SIGKILL)
	time.Sleep(after)
	n.mu.Lock()
	n.signalled = false
	n.mu.Unlock()
	return n.start(n.command)
}

// endedBySelf returns how many processes of the machine ended by themselves.
func (n *node) endedBySelf() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// terminate sends SIGTERM, as the platform does to stop a machine.
func (n *node) terminate() { n.signal(syscall.SIGTERM) }

// leads asks the instance itself whether it runs the planner. The scripts use it only
// to choose the machine that the disruption strikes.
func (n *node) leads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/status", n.host, metricsPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Planning *struct{} `json:"planning"`
	}
	return json.NewDecoder(response.Body).Decode(&body) == nil && body.Planning != nil
}

// end kills the process, if it still runs, and waits for its end.
func (n *node) end() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// ready asks for the readiness of the machine.
func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", n.host, readyPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
