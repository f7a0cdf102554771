package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/interference"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/throttle"
)

// kindOf returns the kind of the tasks of a step. A step that names no image has
// none, because nothing says that two of them run the same program.
func kindOf(j *job, s *batch.Step) (interference.Kind, bool) {
	return interference.NewKind(j.spec.Queue, s.Image, s.Need), s.Image != ""
}

// presenceWeight returns how much of a task the run is for its neighbours: its
// share if it is throttled.
func (pl *placement) presenceWeight() float64 {
	if pl.throttled() {
		return max(float64(pl.appliedShare), 0) / throttle.Full
	}
	return 1
}

// throttled reports whether the run gets, or may get, less than its full share.
func (pl *placement) throttled() bool {
	return pl.step.BestEffort && pl.appliedShare != throttle.Full
}

// setPresence sets the weight of a run in the presence of its worker; 0 removes it.
// The caller holds the lock.
func (p *Planner) setPresence(pl *placement, weight float64, now time.Time) {
	kind, ok := kindOf(pl.job, pl.step)
	if !ok || weight == pl.presence {
		return
	}
	pl.worker.presence = pl.worker.presence.With(kind, weight-pl.presence, now)
	pl.presence = weight
}

// sampleInterference compares the pace of a run with its own pace beside other
// neighbours. Of a gang, whose members progress together, the first member is
// sampled. While the worker is cold, the run is throttled or resumes from a
// checkpoint, its pace says nothing about its neighbours. The caller holds the lock.
func (p *Planner) sampleInterference(pl *placement, progress float64, now time.Time) {
	kind, ok := kindOf(pl.job, pl.step)
	if !ok || pl.phase != phaseRunning || pl.step.Gang && pl.id.Index != 0 {
		return
	}
	s := interference.Sample{Kind: kind, Worker: pl.worker.info.ID, At: now, Progress: progress}
	if pl.step.LongRunning {
		if pl.tailLatency <= 0 || pl.step.TargetLatency <= 0 {
			return
		}
		s.Latency = pl.tailLatency
	}
	resuming := pl.job.progress.Task(pl.job.spec, pl.id).Checkpoint != "" && pl.runTime(now) < p.timing().restartTime()
	if pl.worker.cold(now) || pl.throttled() || resuming {
		pl.observed = interference.Run{}
		return
	}
	if !pl.step.Gang {
		s.Presences = []interference.Presence{pl.worker.presence}
	} else {
		members := p.gangMembers(pl)
		for _, m := range members {
			if m.worker.cold(now) {
				pl.observed = interference.Run{}
				return
			}
			s.Presences = append(s.Presences, m.worker.presence)
		}
	}
	pl.observed = p.interference.Observe(pl.observed, s)
	p.logInterferenceChanges()
}

// logInterferenceChanges logs the pairs that have become known or are known no
// longer.
func (p *Planner) logInterferenceChanges() {
	changes := p.interference.TakeChanges()
	for _, c := range changes {
		p.Log.Info("interference changed", "known", c.Known, "queue", c.Kind.Queue, "image", c.Kind.Image, "need", c.Kind.Need,
			"neighbourqueue", c.Neighbour.Queue, "neighbourimage", c.Neighbour.Image, "neighbourneed", c.Neighbour.Need,
			"factor", c.Factor(), "runs", c.Runs)
	}
	if len(changes) > 0 {
		p.instruments.interferencePairs(len(p.interference.Pairs()))
	}
}

// applyInterference sets the expected slowdown of the groups of a view. The caller
// holds the lock.
func (p *Planner) applyInterference(v *decisionView, _ time.Time) {
	if !p.interference.Known() {
		return
	}
	table := p.interference.Table()
	var neighbours [][]interference.Neighbour
	slowdowns := map[int][]float64{}
	for i := range v.input.Groups {
		g, j := &v.input.Groups[i], v.jobs[i]
		kind, ok := kindOf(j, &j.spec.Steps[g.Step])
		if !ok {
			continue
		}
		index, ok := table.Index(kind)
		if !ok {
			continue
		}
		if neighbours == nil {
			neighbours = v.interferingTasks(table)
		}
		slowdown, ok := slowdowns[index]
		if !ok {
			slowdown = table.Slowdown(index, neighbours)
			slowdowns[index] = slowdown
		}
		g.Slowdown = slowdown
	}
}

// interferingTasks counts, for each worker of the view, the tasks of the kinds that
// are part of a known pair.
func (v *decisionView) interferingTasks(table *interference.Table) [][]interference.Neighbour {
	// Tens of thousands of runs belong to a few steps; looking their kinds up one by
	// one took most of the time.
	const none = -1
	indexes := map[*batch.Step]int{}
	all := make([][]interference.Neighbour, len(v.workers))
	for i, w := range v.workers {
		for _, pl := range w.placements {
			index, ok := indexes[pl.step]
			if !ok {
				index = none
				if kind, ok := kindOf(pl.job, pl.step); ok {
					if n, ok := table.Index(kind); ok {
						index = n
					}
				}
				indexes[pl.step] = index
			}
			if index != none {
				all[i] = append(all[i], interference.Neighbour{Index: index, Count: pl.presenceWeight()})
			}
		}
	}
	return all
}

// logSeparations logs and counts the groups that start on other workers than
// without the known interference.
func (p *Planner) logSeparations(v *decisionView, separations []assignment.Separation) {
	for _, s := range separations {
		g := &v.input.Groups[s.Group]
		p.instruments.separatedGroups().Inc()
		p.Log.Info("tasks kept apart", "job", g.Job, "occurrence", g.Occurrence, "step", g.Step, "slowdown", s.Slowdown, "avoided", s.Avoided)
	}
}

// maxInterferenceBytes bounds the pairs in the row of learned state. The speeds of
// workers are truncated to the space that the pairs and the run times leave.
const maxInterferenceBytes = 4 << 10

// storedInterference returns the known pairs to store, those with the largest
// slowdown first, as many as fit.
func (p *Planner) storedInterference() []*schema.InterferencePair {
	var stored []*schema.InterferencePair
	size := 0
	for _, pair := range interference.BySlowdown(p.interference.Pairs()) {
		m := &schema.InterferencePair{
			Kind: encodeKind(pair.Kind), Neighbour: encodeKind(pair.Neighbour), Slowdown: pair.Slowdown, Variance: pair.Variance, Runs: int32(pair.Runs),
		}
		if n := proto.Size(m); size+n <= maxInterferenceBytes {
			size += n
			stored = append(stored, m)
		}
	}
	return stored
}

// restoreInterference restores the pairs that an earlier planner has stored.
func (p *Planner) restoreInterference(stored []*schema.InterferencePair) {
	for _, m := range stored {
		p.interference.Restore(interference.Pair{
			Kind: decodeKind(m.GetKind()), Neighbour: decodeKind(m.GetNeighbour()), Slowdown: m.GetSlowdown(), Variance: m.GetVariance(), Runs: int(m.GetRuns()),
		})
	}
	p.instruments.interferencePairs(len(p.interference.Pairs()))
}

func encodeKind(k interference.Kind) *schema.TaskKind {
	return &schema.TaskKind{Queue: k.Queue, Image: k.Image, MilliCpu: k.Need.MilliCPU, MemoryMb: k.Need.MemoryMB, Accelerators: k.Need.Accelerators}
}

func decodeKind(m *schema.TaskKind) interference.Kind {
	return interference.NewKind(m.GetQueue(), m.GetImage(), batch.Resources{
		MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators(),
	})
}

// interferencePairs sets the number of known pairs.
func (m *instruments) interferencePairs(n int) {
	m.set.Gauge("daisylug_planner_interference_pairs").Set(float64(n))
}

// separatedGroups returns the counter of the groups that were kept apart from their
// neighbours.
func (m *instruments) separatedGroups() *metrics.Counter {
	return m.set.Counter("daisylug_planner_separated_groups_total")
}
