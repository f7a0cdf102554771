package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns how the rule was broken, or "".
var cases = map[string]func(d *deployment, trouble bool) (string, error){
	"adviser-moved":   adviserMoved,
	"advised-reclaim": advisedReclaim,
	"queue-removed":   queueRemoved,
	"data-rack-full":  dataRackFull,
	"planner-restart": plannerRestarted,
	"gang-blocked":    gangBlocked,
	"advised-apart":   advisedApart,
	"pending-wrong":   pendingWrong,
	"lasting-reclaim": lastingReclaim,
}

// whole is the capacity of a worker of the site.
var whole = room{64000, 131072, 8}

// setUp starts workers and instances with a desired state.
func (d *deployment) setUp(workers, guaranteed int, queues ...queue) error {
	const perRack = 4
	return d.setUpRacks(workers, perRack, guaranteed, queues...)
}

// setUpRacks is like setUp with a number of workers in each rack.
func (d *deployment) setUpRacks(workers, perRack, guaranteed int, queues ...queue) error {
	d.configure(7, guaranteed, queues...)
	for i := range workers {
		if _, err := d.world.addWorker(fmt.Sprintf("i-7f3a91%02x", i), fmt.Sprintf("r1-%d", i/perRack), whole); err != nil {
			return err
		}
	}
	if err := d.startInstances(4); err != nil {
		return err
	}
	// The planner has read the registry and has polled the workers.
	time.Sleep(3 * time.Second)
	return nil
}

// adviserMoved moves the adviser to another address: the settings files change, and
// a machine gets SIGHUP.
func adviserMoved(d *deployment, trouble bool) (string, error) {
	if err := d.setUp(6, 0, queue{"plan", 1, true}); err != nil {
		return "", err
	}
	unit := step{room: room{4000, 8000, 1}, Count: 2, Estimate: 1000, Work: time.Second, Advised: true}
	if err := d.submit("plan", "00000000000000a1", unit); err != nil {
		return "", err
	}
	if !d.awaitState("plan", "00000000000000a1", "completed", 15*time.Second) {
		return "", fmt.Errorf("the first job did not end")
	}
	if trouble {
		former := d.adviser
		next, err := newAdviser(d.world)
		if err != nil {
			return "", err
		}
		d.adviser = next
		if err := d.rewriteSettings(); err != nil {
			return "", err
		}
		former.close()
		leader := d.leader()
		if leader == nil {
			return "", fmt.Errorf("no planner")
		}
		d.rec.write("settings changed", "recommendation", next.address, "sighup", leader.name)
		if err := leader.process.Process.Signal(syscall.SIGHUP); err != nil {
			return "", err
		}
	}
	// The span for which a machine counts as in touch again, and the interval at which
	// files without a signal are read.
	time.Sleep(8 * time.Second)
	if err := d.submit("plan", "00000000000000a2", unit); err != nil {
		return "", err
	}
	if took, ok := d.awaitRunning("00000000000000a2", 1, 40*time.Second); !ok {
		return fmt.Sprintf("LOST: accepted job 00000000000000a2 has nothing running for %v, with all workers free; it is shown as %s",
			took, d.state("plan", "00000000000000a2")), nil
	}
	if !d.awaitState("plan", "00000000000000a2", "completed", 15*time.Second) {
		return "LOST: the second job did not end", nil
	}
	return "", nil
}

// advisedReclaim fills all workers with the long-running tasks of others, and then
// asks for the guaranteed accelerators in an advised queue.
func advisedReclaim(d *deployment, trouble bool) (string, error) {
	const reclaim = 3400 * time.Millisecond
	// CONTROL=1 shows that the guarantee holds for a queue that is not advised.
	advised := os.Getenv("CONTROL") == ""
	if err := d.setUp(4, 8, queue{"bulk", 2, false}, queue{"quick", 0, advised}); err != nil {
		return "", err
	}
	fillers := 4
	if !trouble {
		fillers = 2
	}
	for i := range fillers {
		id := fmt.Sprintf("00000000000000b%x", i)
		if err := d.submit("bulk", id, step{room: room{8000, 16000, 8}, Count: 1, LongRunning: true}); err != nil {
			return "", err
		}
		if _, ok := d.awaitRunning(id, 1, 10*time.Second); !ok {
			return "", fmt.Errorf("the bulk job did not start")
		}
	}
	time.Sleep(4 * time.Second)
	if err := d.submit("quick", "00000000000000c1", step{room: room{8000, 16000, 8}, Count: 1, Estimate: 2500, Work: 2500 * time.Millisecond, Advised: advised}); err != nil {
		return "", err
	}
	if _, ok := d.awaitRunning("00000000000000c1", 1, reclaim); ok {
		return "", nil
	}
	took, ok := d.awaitRunning("00000000000000c1", 1, 40*time.Second)
	if ok {
		return fmt.Sprintf("RECLAIM: a guaranteed job began only %v after its confirmation", reclaim+took), nil
	}
	return fmt.Sprintf("RECLAIM: a guaranteed job had begun nothing %v after its confirmation", reclaim+took), nil
}

// lastingReclaim fills all workers with work units that last, of which few may be
// unavailable at a time, and then asks for the guaranteed accelerators.
func lastingReclaim(d *deployment, trouble bool) (string, error) {
	const (
		reclaim = 3400 * time.Millisecond
		job     = "00000000000000c1"
		units   = 8
	)
	if err := d.setUp(4, 8, queue{"bulk", 2, false}, queue{"quick", 0, false}); err != nil {
		return "", err
	}
	away := 1
	if os.Getenv("CONTROL") != "" {
		// Without the limit the guarantee holds.
		away = 0
	}
	fillers := 4
	if !trouble {
		fillers = 2
	}
	for i := range fillers {
		if err := d.lasting(fmt.Sprintf("00000000000000b%x", i), step{room: room{1000, 2000, 1}, Count: units, MaxAway: away}); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	if err := d.submit("quick", job, step{room: room{8000, 16000, 8}, Count: 1, Estimate: 2500, Work: 2500 * time.Millisecond}); err != nil {
		return "", err
	}
	if _, ok := d.awaitRunning(job, 1, reclaim); ok {
		return "", nil
	}
	took, ok := d.awaitRunning(job, 1, 40*time.Second)
	if ok {
		return fmt.Sprintf("RECLAIM: a guaranteed job began only %v after its confirmation", reclaim+took), nil
	}
	return fmt.Sprintf("RECLAIM: a guaranteed job had begun nothing %v after its confirmation", reclaim+took), nil
}

// queueRemoved removes the route of an advised queue while an accepted job waits.
func queueRemoved(d *deployment, trouble bool) (string, error) {
	// CONTROL=1 shows that a job of a queue that is not advised goes on.
	advised := os.Getenv("CONTROL") == ""
	bulk, plan := queue{"bulk", 2, false}, queue{"plan", 2, advised}
	if err := d.setUp(2, 0, bulk, plan); err != nil {
		return "", err
	}
	for i := range 2 {
		id := fmt.Sprintf("00000000000000b%x", i)
		if err := d.submit("bulk", id, step{room: room{8000, 16000, 8}, Count: 1, Estimate: 8000, Work: 8 * time.Second}); err != nil {
			return "", err
		}
		if _, ok := d.awaitRunning(id, 1, 10*time.Second); !ok {
			return "", fmt.Errorf("the bulk job did not start")
		}
	}
	if err := d.submit("plan", "00000000000000a1", step{room: room{4000, 8000, 1}, Count: 1, Estimate: 1000, Work: time.Second, Advised: advised}); err != nil {
		return "", err
	}
	if trouble {
		d.configure(9, 0, bulk)
	}
	time.Sleep(12 * time.Second)
	d.world.mu.Lock()
	busy := 0
	for _, w := range d.world.workers {
		busy += len(w.running)
	}
	d.world.mu.Unlock()
	d.rec.write("workers", "runs", busy)
	if _, ok := d.awaitEnd("00000000000000a1", 25*time.Second); !ok {
		return "LOST: an accepted job whose queue was removed never runs, with all workers free", nil
	}
	return "", nil
}

// awaitEnd waits until a work unit of a job has ended done.
func (d *deployment) awaitEnd(id string, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		d.world.mu.Lock()
		done := d.world.done[id]
		d.world.mu.Unlock()
		if done > 0 {
			return time.Since(start), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, false
}

// Bounds of rule LOST for a work unit that lasts: again is the time after its last run
// from which it must run, idle how long it may not, and calm the time without
// disruption before that.
const (
	again = 6 * time.Second
	idle  = 3 * time.Second
	calm  = 4 * time.Second
)

// lasting starts a job whose work units last.
func (d *deployment) lasting(id string, s step) error { return d.lastingIn("bulk", id, s) }

// lastingIn is like lasting in a queue.
func (d *deployment) lastingIn(queue, id string, s step) error {
	s.LongRunning = true
	if err := d.submit(queue, id, s); err != nil {
		return err
	}
	if _, ok := d.awaitRunning(id, s.Count, 10*time.Second); !ok {
		return fmt.Errorf("job %s did not start", id)
	}
	return nil
}

// watchLasting watches a job with one work unit that lasts, and returns how rule LOST
// was broken, or "". The disruption ends at the given time.
func (d *deployment) watchLasting(id string, need room, disturbedUntil time.Time, span time.Duration) string {
	last, without, worst, away := time.Now(), time.Time{}, time.Duration(0), time.Duration(0)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		if d.running(id) > 0 {
			last, without = now, time.Time{}
			continue
		}
		away = max(away, now.Sub(last))
		if now.Sub(last) < again || now.Sub(disturbedUntil) < calm || d.freeSlots(need) < 2 {
			without = time.Time{}
			continue
		}
		if without.IsZero() {
			without = now
		}
		worst = max(worst, now.Sub(without))
	}
	d.rec.write("watched", "task", id, "away", away.Round(time.Millisecond), "counted", worst.Round(time.Millisecond))
	if worst < idle {
		return ""
	}
	return fmt.Sprintf("LOST: a work unit that lasts had nothing running for %v at a time that counts, with room for it twice over; it was away for %v",
		worst.Round(time.Millisecond), away.Round(time.Millisecond))
}

// plannerRestarted lets the worker of a work unit that lasts leave, and restarts the
// planner's machine as it is gone.
func plannerRestarted(d *deployment, trouble bool) (string, error) {
	const unit = "00000000000000d1"
	need := room{1000, 2000, 1}
	if err := d.setUp(12, 0, queue{"bulk", 2, false}); err != nil {
		return "", err
	}
	if err := d.lasting(unit, step{room: need, Count: 1}); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	disturbedUntil := time.Now()
	if trouble {
		w, leader := d.workerOf(unit), d.leader()
		if w == nil || leader == nil {
			return "", fmt.Errorf("no worker or no planner")
		}
		w.linger = 0
		w.drain()
		disturbedUntil = time.Now()
		// CONTROL=1 shows that the unit is back soon if the planner stays.
		if os.Getenv("CONTROL") == "" {
			// The time from the stop signal to the end of the restart is about that
			// of the drain; the rule counts from the end of both.
			const restart = 6 * time.Second
			disturbedUntil = disturbedUntil.Add(restart)
			go func() {
				if err := d.restart(leader, restart); err != nil {
					d.rec.write("restart failed", "error", err)
				}
			}()
		}
	}
	return d.watchLasting(unit, need, disturbedUntil, 30*time.Second), nil
}

// dataRackFull lets a worker leave on which a work unit that lasts runs near its data,
// while the other worker of that rack is full and more than half of the service is in
// use.
func dataRackFull(d *deployment, trouble bool) (string, error) {
	const unit = "00000000000000d1"
	need := room{1000, 2000, 1}
	if err := d.setUp(12, 0, queue{"bulk", 2, false}); err != nil {
		return "", err
	}
	// Three of the four workers of the rack are full, the fourth runs the unit.
	if err := d.lasting("00000000000000d2", step{room: room{1000, 2000, 8}, Count: 3, Rack: "r1-0"}); err != nil {
		return "", err
	}
	if err := d.lasting(unit, step{room: need, Count: 1, Rack: "r1-0"}); err != nil {
		return "", err
	}
	// Three of the eight workers of the other racks are full.
	if err := d.lasting("00000000000000d3", step{room: room{1000, 2000, 8}, Count: 3}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	disturbedUntil := time.Now()
	if trouble {
		w := d.workerOf(unit)
		if w == nil {
			return "", fmt.Errorf("the work unit is on no worker")
		}
		w.drain()
		disturbedUntil = time.Now()
	}
	d.rec.write("room", "units that fit", d.freeSlots(need))
	return d.watchLasting(unit, need, disturbedUntil, 40*time.Second), nil
}

// gangBlocked lets a worker leave on which a work unit that lasts runs, while a large
// gang waits for more workers than are free.
func gangBlocked(d *deployment, trouble bool) (string, error) {
	const unit = "00000000000000d1"
	need := room{1000, 2000, 1}
	if err := d.setUp(12, 0, queue{"bulk", 2, false}, queue{"plan", 1, false}); err != nil {
		return "", err
	}
	if err := d.lasting(unit, step{room: need, Count: 1}); err != nil {
		return "", err
	}
	if err := d.lasting("00000000000000d3", step{room: room{1000, 2000, 8}, Count: 6}); err != nil {
		return "", err
	}
	if err := d.submit("plan", "00000000000000e1", step{room: room{1000, 2000, 8}, Count: 6, Gang: true, Estimate: 60000, Work: 60 * time.Second}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	disturbedUntil := time.Now()
	if trouble {
		w := d.workerOf(unit)
		if w == nil {
			return "", fmt.Errorf("the work unit is on no worker")
		}
		w.drain()
		disturbedUntil = time.Now()
	}
	d.rec.write("room", "units that fit", d.freeSlots(need))
	return d.watchLasting(unit, need, disturbedUntil, 40*time.Second), nil
}

// advisedApart lets a worker leave on which one of several work units runs that last,
// are advised and must run on different workers.
func advisedApart(d *deployment, trouble bool) (string, error) {
	const (
		job     = "00000000000000d1"
		units   = 6
		perRack = 6
	)
	need := room{1000, 2000, 1}
	// CONTROL=1 shows that the unit runs again in a queue that is not advised.
	advised := os.Getenv("CONTROL") == ""
	if err := d.setUpRacks(2*perRack, perRack, 0, queue{"bulk", 2, false}, queue{"plan", 1, advised}); err != nil {
		return "", err
	}
	if err := d.lastingIn("plan", job, step{room: need, Count: units, Apart: 1, Advised: advised}); err != nil {
		return "", err
	}
	if err := d.lasting("00000000000000d2", step{room: room{1000, 2000, 4}, Count: perRack, Rack: "r1-1", Apart: 1}); err != nil {
		return "", err
	}
	// The tickets of the first start expire.
	time.Sleep(adviceValidity + time.Second)
	disturbedUntil := time.Now()
	if trouble {
		w := d.workerOf(job)
		if w == nil {
			return "", fmt.Errorf("the job is on no worker")
		}
		w.drain()
		disturbedUntil = time.Now()
	}
	d.rec.write("room", "units that fit on workers without one", d.slotsApart(job, need))
	return d.watchUnits(job, units, need, disturbedUntil, 40*time.Second), nil
}

// slotsApart returns the number of workers that run no work unit of a job and have
// room for one.
func (d *deployment) slotsApart(job string, need room) int {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	n := 0
	for _, w := range d.world.workers {
		used, hosts := need, false
		for task, r := range w.running {
			used = used.plus(r.step.room)
			hosts = hosts || strings.HasPrefix(task, job+".")
		}
		if !w.down && w.state == "ready" && !hosts && used.fitsInto(w.capacity) {
			n++
		}
	}
	return n
}

// watchUnits watches a job whose work units last and run on different workers, and
// returns how rule LOST was broken for one of them, or "". The disruption ends at the
// given time.
func (d *deployment) watchUnits(job string, units int, need room, disturbedUntil time.Time, span time.Duration) string {
	last, without, worst, away := time.Now(), time.Time{}, time.Duration(0), time.Duration(0)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		if d.running(job) >= units {
			last, without = now, time.Time{}
			continue
		}
		away = max(away, now.Sub(last))
		if now.Sub(last) < again || now.Sub(disturbedUntil) < calm || d.slotsApart(job, need) < 2 {
			without = time.Time{}
			continue
		}
		if without.IsZero() {
			without = now
		}
		worst = max(worst, now.Sub(without))
	}
	d.rec.write("watched", "job", job, "away", away.Round(time.Millisecond), "counted", worst.Round(time.Millisecond))
	if worst < idle {
		return ""
	}
	return fmt.Sprintf("LOST: a work unit that lasts had nothing running for %v at a time that counts, with room for it on %d workers; it was away for %v",
		worst.Round(time.Millisecond), d.slotsApart(job, need), away.Round(time.Millisecond))
}

// pendingWrong freezes the planner's machine as the answer to the transaction that
// stores a job is on its way, while urgent jobs come.
func pendingWrong(d *deployment, trouble bool) (string, error) {
	const (
		job     = "00000000000000a1"
		frozen  = 4 * time.Second
		visible = 3 * time.Second
	)
	all := room{8000, 16000, 8}
	if err := d.setUp(2, 0, queue{"bulk", 2, false}, queue{"plan", 2, false}, queue{"quick", 1, false}); err != nil {
		return "", err
	}
	if err := d.lasting("00000000000000d1", step{room: all, Count: 1}); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	leader := d.leader()
	if leader == nil {
		return "", fmt.Errorf("no planner")
	}
	if trouble {
		d.freezeAtJob(leader, job, frozen)
	}
	// A burst of urgent jobs, at all other machines in turn.
	var others []*instance
	for _, x := range d.instances {
		if x != leader {
			others = append(others, x)
		}
	}
	var burst sync.WaitGroup
	for i := range 10 {
		burst.Go(func() {
			time.Sleep(900*time.Millisecond + time.Duration(i)*170*time.Millisecond)
			_ = d.submitAt(others[i%len(others)], "quick", fmt.Sprintf("00000000000000c%x", i), step{room: all, Count: 1, Estimate: 25000, Work: 25 * time.Second})
		})
	}
	if err := d.submit("plan", job, step{room: all, Count: 1, Estimate: 8000, Work: 8 * time.Second}); err != nil {
		return "", err
	}
	confirmed := time.Now()
	burst.Wait()
	time.Sleep(time.Until(confirmed.Add(visible + 2*time.Second)))
	asked, wrong := 0, 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, x := range d.instances {
			if x == leader && trouble {
				continue
			}
			status, answer := d.call(x, http.MethodGet, "/plan/", nil)
			d.world.mu.Lock()
			begun := d.world.begun[job]
			d.world.mu.Unlock()
			if begun > 0 {
				d.rec.write("job has begun", "job", job)
				return "", nil
			}
			if status != http.StatusOK {
				continue
			}
			asked++
			if strings.Contains(answer, `"pending":0`) {
				wrong++
			}
		}
	}
	d.rec.write("asked", "answers", asked, "wrong", wrong)
	if wrong == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: %d of %d answers of machines in touch give 0 jobs as pending, and the one job of the queue has not begun", wrong, asked), nil
}

// freezeAtJob freezes an instance for a time, once, as the answer to the transaction
// that stores a job is on its way.
func (d *deployment) freezeAtJob(x *instance, job string, span time.Duration) {
	once := sync.Once{}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.onApply = func(writes []row) {
		for _, r := range writes {
			if r.Table != "job" || r.Key != job {
				continue
			}
			once.Do(func() {
				d.rec.write("freeze", "instance", x.name)
				_ = x.process.Process.Signal(syscall.SIGSTOP)
				time.AfterFunc(span, func() {
					d.rec.write("wake", "instance", x.name)
					_ = x.process.Process.Signal(syscall.SIGCONT)
				})
			})
		}
	}
}
