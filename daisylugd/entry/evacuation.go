package entry

import (
	"sync"
	"time"

	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/platform"
)

// valueEvacuations is the key of the heartbeat value that holds the evacuations
// that an instance has read from the store.
const valueEvacuations = "evacuations"

const (
	// evacuationRefreshInterval is how often what the peers announce is read again.
	evacuationRefreshInterval = 100 * time.Millisecond
	// evacuationMargin is the part of Settings.EvacuationTimeout that is left for a
	// start that has just been sent.
	evacuationMargin = 1 * time.Second
)

// evacuationView is what an instance knows of the evacuations.
type evacuationView struct {
	mu sync.Mutex
	// own is what this instance has read, newest the newest set of all instances,
	// as of refreshedAt.
	own, newest evacuation.Set
	refreshedAt time.Time
}

// applyEvacuations takes over what the source has read, and announces it to the
// other instances if it has changed.
func (e *Server) applyEvacuations(set evacuation.Set) {
	v := &e.evacuations
	v.mu.Lock()
	if set.Version() < v.own.Version() || set.Version() == 0 {
		v.mu.Unlock()
		return
	}
	changed := !set.SameDataCentres(v.own)
	v.own, v.refreshedAt = set, time.Time{}
	v.mu.Unlock()
	if !changed {
		return
	}
	e.log.Info("evacuations changed", "datacentres", set.DataCentres(), "version", set.Version())
	content, err := set.Encode()
	if err != nil {
		e.log.Error(err, "evacuations cannot be encoded")
		return
	}
	e.group.SetValue(valueEvacuations, content)
	if p := e.planner.Load(); p != nil {
		p.Wake()
	}
}

// newestEvacuations returns the newest evacuations that this instance or a peer
// has read from the store.
func (e *Server) newestEvacuations() evacuation.Set {
	v := &e.evacuations
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.refreshedAt) < evacuationRefreshInterval {
		return v.newest
	}
	v.refreshedAt = time.Now()
	newest := evacuation.Newest(v.newest, v.own)
	for _, p := range e.group.Peers() {
		content, ok := p.Values[valueEvacuations]
		if !ok {
			continue
		}
		set, err := evacuation.Decode(content)
		if err != nil {
			e.log.Error(err, "evacuations of a peer cannot be decoded", "instance", p.Instance.Name)
			continue
		}
		newest = evacuation.Newest(newest, set)
	}
	v.newest = newest
	return newest
}

// knownEvacuations returns the newest evacuations, and false if a request may have
// been made that no instance has told this one about: before the first reading,
// and while the store has not confirmed the reading for almost the time within
// which requests must be honoured.
func (e *Server) knownEvacuations() (evacuation.Set, bool) {
	known := e.Snapshot() != nil
	if limit := e.settings.EvacuationTimeout; limit > 0 && e.ConfigAge() > limit-evacuationMargin {
		known = false
	}
	return e.newestEvacuations(), known
}

// checkRelayedStart returns an *platform.EvacuatedError if the data centre of this
// instance, to whose workers it relays calls, is being evacuated.
func (e *Server) checkRelayedStart() error {
	if e.newestEvacuations().Contains(e.settings.DataCentre) {
		return &platform.EvacuatedError{DataCentre: e.settings.DataCentre}
	}
	return nil
}
