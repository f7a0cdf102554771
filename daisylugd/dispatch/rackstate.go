package dispatch

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/rack"
	"daisylug.example/scheduler/schema"
)

// rackKeyPrefix is the key prefix of the published values that hold rack
// states.
const rackKeyPrefix = "rack/"

// encodeRack encodes a rack summary for publication.
func encodeRack(s rack.Summary) ([]byte, error) {
	m := &schema.Rack{Name: s.Rack, Generation: s.Generation.Number}
	positions := make(map[string]int32, len(s.Workers))
	for i, w := range s.Workers {
		positions[w.Name] = int32(i)
		m.Places = append(m.Places, &schema.Place{
			Worker:       w.Name,
			Accelerators: int32(w.Accelerators),
			Free:         int32(w.Free),
			Leaving:      w.Leaving,
			Reachable:    w.Reachable,
		})
	}
	for _, r := range s.Running {
		m.Gangs = append(m.Gangs, encodeGang(r, positions))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func encodeGang(r rack.RunningGang, positions map[string]int32) *schema.Gang {
	g := &schema.Gang{
		Job:      r.Job,
		Attempt:  int32(r.Attempt),
		Team:     r.Team,
		Template: r.Template,
		Borrowed: r.Borrowed,
	}
	if !r.Started.IsZero() {
		g.Started = timestamppb.New(r.Started)
	}
	for worker, n := range r.Accelerators {
		g.Members = append(g.Members, positions[worker])
		g.Accelerators = int32(n)
	}
	slices.Sort(g.Members)
	return g
}

// publishedRacks holds the published state of each rack of the data centre.
type publishedRacks struct {
	mu    sync.RWMutex
	racks map[string]publishedRack
}

// publishedRack is the state of a rack as published by its owner.
type publishedRack struct {
	owner   string
	encoded []byte
	rack    *schema.Rack
}

func newPublishedRacks() *publishedRacks {
	return &publishedRacks{racks: make(map[string]publishedRack)}
}

// store stores the state that owner published, unless the known state has a
// higher generation, and reports whether the stored state has changed.
func (b *publishedRacks) store(name, owner string, content []byte) (changed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.racks[name]
	if ok && old.owner == owner && bytes.Equal(old.encoded, content) {
		return false, nil
	}
	m := new(schema.Rack)
	if err := proto.Unmarshal(content, m); err != nil {
		return false, &MessageError{Kind: "rack", Cause: err}
	}
	if ok && old.rack.Generation > m.Generation {
		return false, nil
	}
	b.racks[name] = publishedRack{owner: owner, encoded: content, rack: m}
	return true, nil
}

// get returns the published state of a rack.
func (b *publishedRacks) get(name string) (publishedRack, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	p, ok := b.racks[name]
	return p, ok
}

// all returns the published state of every rack, ordered by name.
func (b *publishedRacks) all() []publishedRack {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]publishedRack, 0, len(b.racks))
	for _, p := range b.racks {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y publishedRack) int { return cmp.Compare(x.rack.Name, y.rack.Name) })
	return list
}

// rackLayout returns the racks of a data centre with all their workers and no
// accelerators in use. Workers that are leaving are marked down.
func rackLayout(workers []platform.WorkerInfo, centre string) []gang.Rack {
	byRack := make(map[string][]gang.Worker)
	for _, w := range workers {
		if w.DataCentre != centre {
			continue
		}
		byRack[w.Rack] = append(byRack[w.Rack], gang.Worker{
			Name:         w.Name,
			Accelerators: w.Accelerators,
			Free:         w.Accelerators,
			Down:         w.State == platform.StateLeaving,
		})
	}
	racks := make([]gang.Rack, 0, len(byRack))
	for name, members := range byRack {
		racks = append(racks, gang.NewRack(name, members...))
	}
	slices.SortFunc(racks, func(x, y gang.Rack) int { return cmp.Compare(x.Name(), y.Name()) })
	return racks
}
