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

// rackValue is the prefix of the application value that holds a rack's state.
const rackValue = "rack/"

// encodeRack returns the published form of a rack's summary.
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

// board holds the published state of the racks of the data centre.
type board struct {
	mu    sync.RWMutex
	racks map[string]posted
}

// posted is the state of a rack as its owner published it.
type posted struct {
	owner   string
	content []byte
	rack    *schema.Rack
}

func newBoard() *board {
	return &board{racks: make(map[string]posted)}
}

// post stores the state that owner published, unless a later owner's state is
// already known, and reports whether it differs from the last one.
func (b *board) post(name, owner string, content []byte) (changed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.racks[name]
	if ok && old.owner == owner && bytes.Equal(old.content, content) {
		return false, nil
	}
	m := new(schema.Rack)
	if err := proto.Unmarshal(content, m); err != nil {
		return false, &MessageError{Kind: "rack", Cause: err}
	}
	if ok && old.rack.Generation > m.Generation {
		return false, nil
	}
	b.racks[name] = posted{owner: owner, content: content, rack: m}
	return true, nil
}

// get returns the state of a rack.
func (b *board) get(name string) (posted, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	p, ok := b.racks[name]
	return p, ok
}

// all returns the state of every rack, ordered by name.
func (b *board) all() []posted {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]posted, 0, len(b.racks))
	for _, p := range b.racks {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y posted) int { return cmp.Compare(x.rack.Name, y.rack.Name) })
	return list
}

// layout returns the racks of a data centre with all their workers, none in
// use. Workers that are leaving are down.
func layout(workers []platform.WorkerInfo, centre string) []gang.Rack {
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
