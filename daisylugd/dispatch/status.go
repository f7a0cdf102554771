package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/quote"
	"daisylug.example/scheduler/schema"
)

// statusTimeout limits the status calls to other instances.
const statusTimeout = 2 * time.Second

type statusReply struct {
	Instance  string           `json:"instance"`
	Centre    string           `json:"centre"`
	Ready     bool             `json:"ready"`
	Draining  bool             `json:"draining"`
	Planner   bool             `json:"planner"`
	Config    configStatus     `json:"config"`
	Instances []instanceStatus `json:"instances"`
	Racks     []rackStatus     `json:"racks"`
	Workers   []workerStatus   `json:"workers"`
	Balances  []balanceStatus  `json:"balances"`
	Queue     queueStatus      `json:"queue"`
	Quotes    quote.Status     `json:"quotes"`
}

type configStatus struct {
	Version   int64      `json:"version"`
	Confirmed *time.Time `json:"confirmed,omitempty"`
	Fresh     bool       `json:"fresh"`
}

type instanceStatus struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	State  string `json:"state"`
	Config uint64 `json:"config"`
}

type rackStatus struct {
	Name       string `json:"name"`
	Owner      string `json:"owner"`
	Generation uint64 `json:"generation"`
	Free       int32  `json:"free"`
	Running    int    `json:"running"`
}

type workerStatus struct {
	Name       string `json:"name"`
	Rack       string `json:"rack"`
	State      string `json:"state"`
	Quarantine string `json:"quarantine,omitempty"`
}

type balanceStatus struct {
	Team      string     `json:"team"`
	Remaining float64    `json:"remaining"`
	Local     float64    `json:"local"`
	Confirmed *time.Time `json:"confirmed,omitempty"`
}

type queueStatus struct {
	Waiting      int `json:"waiting"`
	Unpaid       int `json:"unpaid"`
	Starting     int `json:"starting"`
	Reservations int `json:"holds"`
}

type statusesReply struct {
	Instances []json.RawMessage `json:"instances"`
	Silent    []string          `json:"silent,omitempty"`
}

// maxConfigAge is the age up to which a confirmed configuration counts as
// fresh. It equals the maximum time until a change is in force.
const maxConfigAge = 6 * time.Second

// getStatus returns the status of this instance, or of all instances.
func (d *Daemon) getStatus(ctx khttp.Context) error {
	switch ctx.Query().Get("scope") {
	case "":
		return writeJSON(ctx, http.StatusOK, d.status(time.Now()))
	case "all":
		return writeJSON(ctx, http.StatusOK, d.statuses(requestContext(ctx)))
	default:
		return NewFieldError("scope", "must be all or absent")
	}
}

// statuses requests the status of every known instance.
func (d *Daemon) statuses(ctx context.Context) statusesReply {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	own, err := json.Marshal(d.status(time.Now()))
	if err != nil {
		return statusesReply{Silent: []string{d.self.Name}}
	}
	reply := statusesReply{Instances: []json.RawMessage{own}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range d.group.Peers() {
		calls.Go(func() {
			body := new(schema.Body)
			err := d.group.Call(ctx, p.Instance.Name, MethodStatus, &schema.Empty{}, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reply.Silent = append(reply.Silent, p.Instance.Name)
				return
			}
			reply.Instances = append(reply.Instances, body.Json)
		})
	}
	calls.Wait()
	return reply
}

// status returns the status of this instance.
func (d *Daemon) status(now time.Time) statusReply {
	return statusReply{
		Instance:  d.self.Name,
		Centre:    d.self.DataCentre,
		Ready:     d.isReady(),
		Draining:  d.draining.Load(),
		Planner:   d.scheduler.isActive(),
		Config:    d.configStatus(now),
		Instances: d.instanceStatus(),
		Racks:     d.rackStatus(),
		Workers:   d.workerStatus(now),
		Balances:  d.balanceStatus(),
		Queue:     d.scheduler.status(),
		Quotes:    d.router.Status(),
	}
}

func (d *Daemon) configStatus(now time.Time) configStatus {
	f := d.catalogue.Freshness()
	s := configStatus{Version: f.Version}
	if !f.Confirmed.IsZero() {
		s.Confirmed = &f.Confirmed
		s.Fresh = now.Sub(f.Confirmed) <= maxConfigAge
	}
	return s
}

func (d *Daemon) instanceStatus() []instanceStatus {
	self := d.group.Self()
	list := []instanceStatus{{
		Name:   self.Name,
		Centre: self.DataCentre,
		State:  string(self.State),
		Config: uint64(d.catalogue.Freshness().Version),
	}}
	for _, p := range d.group.Peers() {
		state := string(p.Health)
		if p.Instance.State == "leaving" {
			state = "leaving"
		}
		list = append(list, instanceStatus{Name: p.Instance.Name, Centre: p.Instance.DataCentre, State: state, Config: p.ConfigVersion})
	}
	return list
}

func (d *Daemon) rackStatus() []rackStatus {
	list := []rackStatus{}
	for _, p := range d.publishedRacks.all() {
		s := rackStatus{Name: p.rack.Name, Owner: p.owner, Generation: p.rack.Generation, Running: len(p.rack.Gangs)}
		for _, place := range p.rack.Places {
			s.Free += place.Free
		}
		list = append(list, s)
	}
	return list
}

func (d *Daemon) workerStatus(now time.Time) []workerStatus {
	listing, _ := d.group.Listing()
	list := []workerStatus{}
	for _, w := range listing.Workers {
		if w.DataCentre != d.self.DataCentre {
			continue
		}
		s := workerStatus{Name: w.Name, Rack: w.Rack, State: string(w.State)}
		if q := d.scheduler.quarantineOf(w.Name, now); q != quarantine.StateHealthy {
			s.Quarantine = string(q)
		}
		list = append(list, s)
	}
	return list
}

func (d *Daemon) balanceStatus() []balanceStatus {
	list := []balanceStatus{}
	for _, t := range d.catalogue.Snapshot().Teams() {
		r, err := d.account.Remaining(t.Name)
		if err != nil {
			continue
		}
		s := balanceStatus{Team: t.Name, Remaining: r.Total, Local: r.Local}
		if !r.Confirmed.IsZero() {
			s.Confirmed = &r.Confirmed
		}
		list = append(list, s)
	}
	return list
}

// isActive reports whether this instance is the planner.
func (s *scheduler) isActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *scheduler) status() queueStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return queueStatus{
		Waiting:      s.pending.Len(),
		Unpaid:       len(s.unpaid),
		Starting:     len(s.pendingStarts),
		Reservations: len(s.reservations),
	}
}

func (s *scheduler) quarantineOf(worker string, now time.Time) quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantineTracker.WorkerState(worker, now)
}
