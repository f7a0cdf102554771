package main

import (
	"fmt"
	"time"
)

const (
	// finishTime is bounds.finish_s. idleTime is how long a job may have nothing
	// running, and calmTime how long nothing was disrupted before, by the rule LOST.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	calmTime   = 4 * time.Second
	// lastingTime is how long after its last run the rule counts for a work unit
	// that lasts.
	lastingTime   = 6 * time.Second
	observeTime   = 5 * time.Second
	observePeriod = 50 * time.Millisecond
)

// turn returns the first step of the job of which a work unit waits for its end and
// whose turn has come, and whether there is one.
func (w *world) turn(j *job) (step, bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	done := make([]bool, len(j.steps))
	for n, s := range j.steps {
		count := 0
		for i := range s.Count {
			if w.fleet.finished[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)] {
				count++
			}
		}
		done[n] = count == s.Count || s.Gang && count > 0
		come := true
		for _, a := range s.After {
			come = come && done[a]
		}
		if come && !done[n] {
			return s, true
		}
	}
	return step{}, false
}

// idleLongest observes the accepted jobs for a while and returns the longest time
// for which one had nothing running though its turn had come, there was capacity for
// it twice over and, unless its work lasts, less than half of the capacity was used.
func (w *world) idleLongest(jobs []*job, period time.Duration) (longest time.Duration, who *job) {
	since := map[*job]time.Time{}
	for end := time.Now().Add(period); time.Now().Before(end) && w.ctx.Err() == nil; time.Sleep(observePeriod) {
		u, now := w.fleet.observe(), time.Now()
		for _, j := range jobs {
			s, come := w.turn(j)
			if !j.isAccepted() || !come || u.running[j.id] > 0 || !u.holdsTwice(s) || !s.LongRunning && !u.underHalf() {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = now
			}
			if idle := now.Sub(since[j]); idle > longest {
				longest, who = idle, j
			}
		}
	}
	return longest, who
}

// checkLost applies the rule LOST once the traffic has ended at the given time.
func (w *world) checkLost(trafficEnd time.Time) bool {
	w.clients.busy.Wait()
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	broken := false
	u := w.fleet.observe()
	note("script", "%v after the end of the traffic: in use %+v of %+v", finishTime, u.used, u.capacity)
	if longest, who := w.idleLongest(w.clients.all, observeTime); longest >= idleTime {
		broken = true
		note("script", "LOST: %s (job %s, accepted) had nothing running for %v, with capacity for it twice over and under half of the service's capacity in use", who.name, who.id, longest.Round(time.Millisecond))
	}
	for _, j := range w.clients.all {
		if !j.isAccepted() {
			note("script", "%s (job %s) was not accepted: %v", j.name, j.id, j.answers)
			continue
		}
		state, ok := w.clients.state(j)
		note("script", "%s (job %s, accepted) is shown as %q, answered: %v", j.name, j.id, state, ok)
		if !ok || state == "410" || state == "failed" || state == "cancelled" {
			broken = true
			note("script", "LOST: %s (job %s)", j.name, j.id)
		}
	}
	return broken
}
