package quote

import (
	"cmp"
	"slices"
	"time"
)

// Status is a snapshot of a router.
type Status struct {
	Draining bool `json:"draining"`
	// Slots is this instance's share of the workers' slots.
	Slots   int         `json:"slots"`
	Running int         `json:"running"`
	Queue   QueueStatus `json:"queue"`
	// Budget is the number of retries the instance may make now.
	Budget  float64        `json:"budget"`
	Teams   []TeamStatus   `json:"teams"`
	Workers []WorkerStatus `json:"workers"`
}

// QueueStatus is the state of the queue and its limits.
type QueueStatus struct {
	Length int `json:"length"`
	Limit  int `json:"limit"`
	// Overloaded is set while the queue has not been empty for longer than
	// Options.Interval.
	Overloaded bool `json:"overloaded"`
	// AgeLimit is the current limit on the time a request may be queued.
	AgeLimit time.Duration `json:"agelimit"`
	// Wait is the expected queueing delay of a new request.
	Wait time.Duration `json:"wait"`
}

// TeamStatus is the state of one team.
type TeamStatus struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	Budget  float64 `json:"budget"`
}

// WorkerStatus is the router's state of one worker.
type WorkerStatus struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	// Slowness is the service time relative to the templates' means.
	Slowness float64 `json:"slowness"`
	// Failures is the recent fraction of failed attempts.
	Failures float64 `json:"failures"`
	// Ejected is when an ejected worker is tried again.
	Ejected time.Time `json:"ejected,omitzero"`
	Leaving bool      `json:"leaving"`
}

// PoolStatus is a snapshot of a pool.
type PoolStatus struct {
	Open     int `json:"open"`
	Idle     int `json:"idle"`
	Replaced int `json:"replaced"`
}

// Status returns a snapshot of the queue, the teams and the workers.
func (r *Router) Status() Status {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := r.picker.slots(now)
	return Status{
		Draining: r.draining,
		Slots:    slots,
		Running:  r.running,
		Queue: QueueStatus{
			Length:     r.queue.length,
			Limit:      r.limit(slots),
			Overloaded: r.standingQueue.overloaded(r.queue.length, now),
			AgeLimit:   r.ageLimit(slots, now),
			Wait:       time.Duration(r.meanSlotTime.value * float64(r.queue.length) / float64(max(slots, 1))),
		},
		Budget:  r.budget.instanceTokens,
		Teams:   r.teamStatus(slots),
		Workers: r.workerStatus(now),
	}
}

func (r *Router) teamStatus(slots int) []TeamStatus {
	var list []TeamStatus
	for name, f := range r.queue.flows {
		list = append(list, TeamStatus{
			Name:    name,
			Share:   r.queue.share(f, slots),
			Queued:  f.queued,
			Running: f.running,
			Budget:  r.budget.tokens(name),
		})
	}
	slices.SortFunc(list, func(a, b TeamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (r *Router) workerStatus(now time.Time) []WorkerStatus {
	var list []WorkerStatus
	for _, w := range r.picker.workers {
		list = append(list, WorkerStatus{
			Name:     w.name,
			Slots:    w.slots,
			Running:  w.running,
			Slowness: w.slownessAt(now),
			Failures: w.failureRate,
			Ejected:  w.ejectedUntil,
			Leaving:  w.isLeaving(now),
		})
	}
	slices.SortFunc(list, func(a, b WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
