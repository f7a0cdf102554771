package control

import (
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/interference"
)

// placement is a run that is, or may be, on a worker.
type placement struct {
	job    *job
	id     batch.TaskID
	step   *batch.Step
	run    int
	worker *worker
	phase  phase
	// confirmedAt is when the run was confirmed.
	confirmedAt time.Time
	// sampledAt is when the progress was last compared with that of other
	// tasks.
	sampledAt       time.Time
	sampledProgress float64
	// reportedProgress is the progress that the worker reported last.
	reportedProgress float64
	checkpoint       string
	// checkpointAt is when the checkpoint was saved, as far as reports tell, or
	// zero. reportedAt is when the run was last reported.
	checkpointAt time.Time
	reportedAt   time.Time
	// stoppedAt is when the run was ordered to stop.
	stoppedAt time.Time
	// ticket is the adviser's ticket, or empty.
	ticket string
	// respondedAt is when the latest command was answered. A poll that started
	// later shows its effect.
	respondedAt time.Time
	missedPolls int
	// startedAt is when the start request was first sent, or zero if an earlier
	// planner did that. progressedAt is when the reported progress last grew. good
	// and stalled are set once the run has counted for or against its worker.
	startedAt     time.Time
	progressedAt  time.Time
	good, stalled bool
	// unfinished is set if another member of the gang has ended without success.
	unfinished bool
	// sent is set once the start request was sent, outcomeUnknown if an attempt
	// got no response.
	sent, outcomeUnknown bool
	// tailLatency is the reported latency. appliedShare is the share that is in
	// effect, in percent, or -1 if it is unknown. throttling is set while a
	// throttle request is in progress.
	tailLatency  time.Duration
	appliedShare int
	throttling   bool
	// observed is the pace of the run so far, presence its weight in the presence of
	// its worker.
	observed interference.Run
	presence float64
}

// phase is the state of a placement.
type phase int

const (
	// phaseReserved means that the run is not stored yet.
	phaseReserved phase = iota
	// phaseInherited means that an earlier planner may have started the run.
	phaseInherited
	phaseStarting
	phaseRunning
	phaseStopping
)
