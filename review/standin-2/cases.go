package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func cores(n float64) int64 { return int64(n * 1000) }

// oversized plays 20 s of usual traffic, into which a requester hands in one job that
// can never be done: its steps name images so long that the job does not fit into one
// row of the platform's store.
func oversized(w *world) (bool, error) {
	const (
		steps       = 60
		imageLength = 1200
	)
	return w.usualTraffic(func() {
		var all []step
		for n := range steps {
			s := step{room: room{cores(1), 1000, 0}, Count: 1, Estimate: 1000, length: time.Second, Image: strings.Repeat("image-name.", imageLength/11)}
			if n > 0 {
				s.After = []int{n - 1}
			}
			all = append(all, s)
		}
		note("script", "disruption: a job that can never be done is sent (poison)")
		w.clients.submit("poison", quickQuote, all...)
	})
}

// usualTraffic plays 20 s of traffic, with the trouble after 6 s, and applies the rule
// LOST to it.
func (w *world) usualTraffic(trouble func()) (bool, error) {
	const (
		trafficTime = 20 * time.Second
		// 20 quick-quotes come in 3 s, the time for which a share of them may be poison.
		quickInterval = 150 * time.Millisecond
		routeInterval = 600 * time.Millisecond
		troubleAt     = 6 * time.Second
	)
	quick := step{room: room{cores(7.5), 11000, 1}, Count: 2, Estimate: 2500, length: 2500 * time.Millisecond}
	first := step{room: room{cores(5.6), 11000, 1}, Count: 4, Estimate: 4000, length: 4 * time.Second}
	second := first
	second.After = []int{0}
	begin, sent := time.Now(), false
	for i := 0; time.Since(begin) < trafficTime; i++ {
		w.clients.submit("quick-quote", quickQuote, quick)
		if i%int(routeInterval/quickInterval) == 0 {
			w.clients.submit("route-fit", routeFit, first, second)
		}
		if !sent && time.Since(begin) >= troubleAt {
			sent = true
			if n := w.clients.accepted(); 2*n < i {
				return false, fmt.Errorf("only %d jobs were accepted before the disruption", n)
			}
			if w.trouble {
				trouble()
			}
		}
		time.Sleep(quickInterval)
	}
	broken := w.checkLost(time.Now())
	w.store.mu.Lock()
	note("script", "transactions that the store has answered with 400: %d", w.store.rejected)
	w.store.mu.Unlock()
	return broken, nil
}

// emptyWorkers returns n workers that run nothing.
func (w *world) emptyWorkers(n int) []*worker {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	var found []*worker
	for _, v := range w.fleet.workers {
		if len(v.running) == 0 && len(found) < n {
			found = append(found, v)
		}
	}
	return found
}

// starved plays a service that is 42 % in use when a large gang and a small job are
// handed in. With the trouble, 4 of the 48 workers have been emptied and taken away
// before, so that the gang has to wait.
func starved(w *world) (bool, error) {
	large := room{cores(26), 38000, 8}
	w.clients.submit("background", routeFit, step{room: large, Count: 20, LongRunning: true, Estimate: 1000})
	w.clients.busy.Wait()
	time.Sleep(3 * time.Second)
	if used := w.fleet.observe().used; used != (room{}).plus(large, 20) {
		return false, fmt.Errorf("the service is not in use as meant: %+v", used)
	}
	if w.trouble {
		note("script", "disruption: 4 workers are emptied and taken away (scale_in)")
		for _, v := range w.emptyWorkers(4) {
			go v.drain()
		}
	}
	time.Sleep(drainTime + lingerTime + 3*time.Second)
	w.clients.submit("gang", slotPlan, step{room: large, Count: 27, Gang: true, Estimate: 8500, length: 8500 * time.Millisecond})
	time.Sleep(time.Second)
	w.clients.submit("small job", routeFit, step{room: room{cores(5.6), 11000, 1}, Count: 4, Estimate: 4000, length: 4 * time.Second})
	broken := w.checkLost(time.Now())
	return broken, w.clients.allAccepted()
}

// lasting plays a service that is over half in use by work that lasts, beside which an
// urgent job runs for a while. With the trouble, a worker with a member of a gang that
// lasts is emptied and taken away then.
func lasting(w *world) (bool, error) {
	large := room{cores(26), 38000, 8}
	background := w.clients.submit("background", routeFit, step{room: large, Count: 25, LongRunning: true, Estimate: 1000})
	gang := w.clients.submit("lasting gang", routeFit, step{room: large, Count: 2, Gang: true, LongRunning: true, Estimate: 1000})
	w.clients.busy.Wait()
	time.Sleep(3 * time.Second)
	leaving := w.workerOf(gang)
	if leaving == nil {
		return false, errors.New("the gang does not run")
	}
	w.clients.submit("quick-quote", quickQuote, step{room: room{cores(7.5), 11000, 8}, Count: 21, Estimate: 4000, length: 4 * time.Second})
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		note("script", "disruption: worker %s is emptied and taken away (scale_in)", leaving.id)
		go leaving.drain()
	}
	time.Sleep(drainTime + lingerTime)
	// The rule counts from 6 s after the last run on, with calm for 4 s before.
	time.Sleep(max(lastingTime, calmTime))
	longest, who := w.idleLongest([]*job{background, gang}, idleTime+time.Second)
	if longest >= idleTime {
		note("script", "LOST: %s (job %s, accepted) had nothing running for %v from %v after its last run on, with capacity for it twice over", who.name, who.id, longest.Round(time.Millisecond), lastingTime)
		return true, nil
	}
	return false, nil
}

// workerOf returns a worker that runs a work unit of the job, or nil.
func (w *world) workerOf(j *job) *worker {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, v := range w.fleet.workers {
		for _, r := range v.running {
			if jobOf(r.task) == j.id {
				return v
			}
		}
	}
	return nil
}

// leader returns the machine that leads.
func (w *world) leader() (*node, error) {
	for _, n := range w.nodes {
		if n.leads() {
			return n, nil
		}
	}
	return nil, errors.New("no machine leads")
}

// failover takes a worker with a work unit that lasts away. With the trouble, the
// machine that leads loses power at the same time.
func failover(w *world) (bool, error) {
	lone := w.clients.submit("lasting", routeFit, step{room: room{cores(26), 38000, 8}, Count: 1, LongRunning: true, Estimate: 1000})
	w.clients.busy.Wait()
	time.Sleep(3 * time.Second)
	leaving := w.workerOf(lone)
	leader, err := w.leader()
	if err != nil || leaving == nil {
		return false, errors.Join(err, errors.New("no worker runs the job"))
	}
	note("script", "disruption: worker %s is emptied and taken away (scale_in)", leaving.id)
	go leaving.drain()
	time.Sleep(drainTime + lingerTime - 200*time.Millisecond)
	if w.trouble {
		note("script", "disruption: %s, which leads, loses power for 3.5 s (node_kill)", leader.name)
		go func() { _ = leader.restart(3500 * time.Millisecond) }()
	}
	time.Sleep(200*time.Millisecond + lastingTime)
	longest, _ := w.idleLongest([]*job{lone}, 2*lastingTime)
	note("script", "from %v after its last run on the work unit was away for %v", lastingTime, longest.Round(time.Millisecond))
	return longest >= idleTime, nil
}

// timed plays a job of 8 occurrences, each of two steps. With the trouble, all
// processes are killed twice while occurrences are due.
func timed(w *world) (bool, error) {
	const repetitions = 8
	first := step{
		room: room{cores(5.6), 11000, 1}, Count: 3, Estimate: 2000, length: 2 * time.Second,
		startAt: time.Now().Add(3 * time.Second), interval: 2500 * time.Millisecond, repetitions: repetitions,
	}
	second := first
	second.After, second.Count, second.Gang = []int{0}, 2, true
	j := w.clients.submit("timed", routeFit, first, second)
	w.clients.busy.Wait()
	for _, at := range []time.Duration{6 * time.Second, 13 * time.Second} {
		time.Sleep(time.Until(first.startAt.Add(at)))
		if w.trouble {
			note("script", "disruption: all processes are killed (herd_kill)")
			for _, n := range w.nodes {
				go func() { _ = n.restart(1500 * time.Millisecond) }()
			}
		}
	}
	time.Sleep(time.Until(first.startAt.Add(repetitions*first.interval + 20*time.Second)))
	w.fleet.mu.Lock()
	finished, twice, early := 0, w.fleet.twice, w.fleet.early
	for task := range w.fleet.finished {
		if jobOf(task) == j.id {
			finished++
		}
	}
	w.fleet.mu.Unlock()
	state, ok := w.clients.state(j)
	note("script", "%d of %d work units are done, %d starts twice, %d early, state %q (%v)", finished, repetitions*5, twice, early, state, ok)
	return twice > 0 || early > 0 || finished < repetitions*5 || state != "completed", nil
}

// renamed cancels a job that runs. With the trouble, a new version of the desired
// state has removed the route of its queue before and added a route with another name
// at the same host and path prefix.
func renamed(w *world) (bool, error) {
	const (
		cancelTime = 3 * time.Second        // bounds.cancel_ms
		stopLimit  = 900 * time.Millisecond // bounds.stop_timeout_ms
		visibleFor = 3 * time.Second        // bounds.visible_ms
		applyTime  = 2 * time.Second        // bounds.config_apply_ms
		margin     = 2 * time.Second
	)
	work := step{room: room{cores(5.6), 11000, 1}, Count: 4, Estimate: 8000, length: 8 * time.Second}
	next := work
	next.After = []int{0}
	j := w.clients.submit("route-fit", routeFit, work, next)
	w.clients.busy.Wait()
	if !j.isAccepted() {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(time.Second)
	if w.trouble {
		state := config(60)
		state["version"] = 9
		for _, r := range state["routes"].([]map[string]any) {
			if r["name"] == routeFit.name {
				r["name"] = routeFit.name + "-2"
			}
		}
		note("script", "disruption: version 9 of the desired state removes route %s and adds %s-2 with the same host and path_prefix (config_change)", routeFit.name, routeFit.name)
		w.store.put("op", "config", state)
	}
	time.Sleep(max(applyTime, visibleFor) + time.Second)
	broken := false
	state, ok := w.clients.state(j)
	if !ok {
		return false, errors.New("a GET got no answer")
	}
	note("script", "GET of the job is answered %q (%v)", state, ok)
	if state == "410" {
		broken = true
		note("script", "LOST: the job was accepted, nobody has cancelled it, and a GET is answered 410")
	}
	status, _, _ := w.clients.call(http.MethodDelete, routeFit, j.key, j.id, nil)
	acknowledged := time.Now()
	note("client", "DELETE of the job is answered %s", statusText(status))
	if status != http.StatusOK && status != http.StatusGone {
		return broken, fmt.Errorf("the cancel was answered %d", status)
	}
	time.Sleep(time.Until(acknowledged.Add(cancelTime + stopLimit)))
	w.fleet.mu.Lock()
	before := w.fleet.starts[j.id]
	w.fleet.mu.Unlock()
	time.Sleep(margin)
	running := w.fleet.observe().running[j.id]
	note("script", "%v after that answer %d work units of the job run", cancelTime+stopLimit+margin, running)
	time.Sleep(margin)
	w.fleet.mu.Lock()
	after := w.fleet.starts[j.id]
	w.fleet.mu.Unlock()
	if running > 0 || after > before {
		broken = true
		note("script", "UNASKED: the cancelling was acknowledged; %d work units run on, and %d were started later than %v after that", running, after-before, cancelTime+stopLimit)
	}
	return broken, nil
}

// pending asks how many jobs of a queue have not begun while the service is full but
// for seven workers. With the trouble, these are unhealthy and refuse starts, and the
// machine that leads is stopped meanwhile.
func pending(w *world) (bool, error) {
	const (
		unhealthy   = 7                       // of 48, a share of 0.146
		unhealthyBy = 6500 * time.Millisecond // how long they refuse starts
		terminateAt = 2500 * time.Millisecond
		oldEnough   = 5 * time.Second // bounds.visible_ms and 2 s
	)
	large := room{cores(26), 38000, 8}
	w.clients.submit("background", slotPlan, step{room: large, Count: workerCount - unhealthy, LongRunning: true, Estimate: 1000})
	w.clients.busy.Wait()
	time.Sleep(3 * time.Second)
	leader, err := w.leader()
	if err != nil {
		return false, err
	}
	grey := w.emptyWorkers(unhealthy)
	setBusy := func(busy bool) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for _, v := range grey {
			v.busy = busy
		}
	}
	begin := time.Now()
	if w.trouble {
		note("script", "disruption: %d workers are unhealthy and answer starts with 503 (srv_grey)", len(grey))
		setBusy(true)
	}
	var jobs []*job
	for range unhealthy {
		jobs = append(jobs, w.clients.submit("route-fit", routeFit, step{room: large, Count: 1, Estimate: 4000, length: 4 * time.Second}))
	}
	w.clients.busy.Wait()
	accepted := time.Now()
	time.Sleep(time.Until(begin.Add(terminateAt)))
	if w.trouble {
		note("script", "disruption: SIGTERM to %s, which leads (roll_term)", leader.name)
		leader.terminate()
	}
	time.Sleep(time.Until(accepted.Add(oldEnough)) + 200*time.Millisecond)
	broken := false
	for _, n := range w.nodes {
		if n == leader {
			continue
		}
		notBegun := 0
		w.fleet.mu.Lock()
		for _, j := range jobs {
			if j.isAccepted() && w.fleet.starts[j.id] == 0 {
				notBegun++
			}
		}
		w.fleet.mu.Unlock()
		count, ok := w.clients.pending(n, routeFit)
		note("script", "%s, in touch, gives %d as pending (%v); %d jobs were accepted over %v before and have not begun", n.name, count, ok, notBegun, oldEnough)
		if ok && 2*count < notBegun {
			broken = true
			note("script", "MIXED: under half")
		}
	}
	time.Sleep(time.Until(begin.Add(unhealthyBy)))
	setBusy(false)
	return broken, nil
}

// quoted adds a tenant to the desired state during usual traffic. Its name has
// quotation marks.
func quoted(w *world) (bool, error) {
	const (
		newKey    = "3hh2b9wu3fexd9dnn2ct"
		applyTime = 2 * time.Second // bounds.config_apply_ms
	)
	broken, err := w.usualTraffic(func() {
		state := config(60)
		state["version"] = 9
		state["tenants"] = append(state["tenants"].([]map[string]any), map[string]any{
			"name": `Lattia "Oy"`, "api_keys": []string{newKey}, "priority": 1, "guaranteed_gpus": map[string]any{"gpu": 8},
		})
		note("script", `disruption: version 9 of the desired state adds the tenant Lattia "Oy" (config_change)`)
		w.store.put("op", "config", state)
		time.Sleep(applyTime)
		w.clients.submitAs(newKey, "new tenant", routeFit, step{room: room{cores(5.6), 11000, 1}, Count: 2, Estimate: 4000, length: 4 * time.Second})
	})
	often := 0
	for _, n := range w.nodes {
		ended := n.endedBySelf()
		note("script", "processes of %s that ended by themselves: %d", n.name, ended)
		if ended >= 3 {
			often++
		}
	}
	if often >= 2 {
		broken = true
		note("script", "Fault: on %d of %d machines processes ended by themselves three times or more", often, len(w.nodes))
	}
	return broken, err
}

// usualTiming is a quick adviser, slowTiming one that takes 2.6 s for 30 workers.
var (
	usualTiming = timing{Decision: 60, Period: 5, Validity: 3000}
	slowTiming  = timing{Decision: 200, Period: 80, Validity: 3000}
)

// advised hands a job in to a queue with a recommendation. With the trouble, a new
// version of the desired state has given the queue a slower one before.
func advised(w *world) (bool, error) {
	const applyTime = 2 * time.Second // bounds.config_apply_ms
	set := func(version int, t timing) {
		state := config(60)
		state["version"] = version
		for _, r := range state["routes"].([]map[string]any) {
			if r["name"] == routeFit.name {
				r["recommendation"] = t
			}
		}
		w.adviser.set(t)
		w.store.put("op", "config", state)
	}
	set(8, usualTiming)
	time.Sleep(applyTime + time.Second)
	if w.trouble {
		note("script", "disruption: version 9 of the desired state gives the queue decision_ms %d and period_ms %d (config_change)", slowTiming.Decision, slowTiming.Period)
		set(9, slowTiming)
		time.Sleep(applyTime + time.Second)
	}
	w.clients.submit("route-fit", routeFit, step{room: room{cores(5.6), 11000, 1}, Count: 16, Estimate: 4000, length: 4 * time.Second, advised: true})
	broken := w.checkLost(time.Now())
	w.adviser.mu.Lock()
	note("script", "calls to the adviser: %d, tickets issued: %d", w.adviser.calls, w.adviser.issued)
	w.adviser.mu.Unlock()
	return broken, w.clients.allAccepted()
}
