package trust

import (
	"slices"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func taskID(i int) batch.TaskID { return batch.TaskID{Job: "j", Index: i} }

// event changes a state.
type event func(State) State

// failed is a run of a task that lasted from started to ended.
func failed(task int, started, ended time.Duration) event {
	return func(s State) State {
		return s.WithFailure(Failure{Task: taskID(task), Started: at(started), At: at(ended)})
	}
}

func good(started, now time.Duration) event {
	return func(s State) State { return s.WithGoodRun(at(started), at(now)) }
}

func long(started, now time.Duration) event {
	return func(s State) State { return s.WithLongRun(at(started), at(now)) }
}

func restarted(now time.Duration) event {
	return func(s State) State { return s.WithRestart(at(now)) }
}

func silent(now time.Duration) event {
	return func(s State) State { return s.WithSilence(at(now)) }
}

// unlimited stands for no limit in TestState.
const unlimited = -1

// TestState guards against a full load on a worker that fails everything, and
// against a healthy worker that stays limited.
func TestState(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	// excluded is a worker that two tasks left excluded from 0 to 0.5 s.
	excluded := []event{failed(1, -s, 0), failed(2, -s, 0)}
	tests := []struct {
		name       string
		events     []event
		at         time.Duration
		inProgress int
		level      Level
		limit      int
		unproven   bool
	}{
		{"no events", nil, 0, 3, LevelTrusted, unlimited, false},
		{"good runs", []event{good(0, s), good(0, 2*s)}, 2 * s, 3, LevelTrusted, unlimited, false},
		{"one failure", []event{failed(1, 0, s)}, s, 0, LevelTrusted, unlimited, true},
		{"one failure and a good run that started before", []event{failed(1, 0, s), good(0, s)}, s, 0, LevelTrusted, unlimited, false},
		{"failures apart", []event{failed(1, 0, s), good(0, s), failed(2, s, 2*s)}, 2 * s, 0, LevelTrusted, unlimited, true},
		{"two failures", excluded, 499 * ms, 0, LevelExcluded, 0, true},
		{"exclusion ends", excluded, 500 * ms, 0, LevelTrial, 1, true},
		{"trial in progress", excluded, 600 * ms, 1, LevelTrial, 0, true},
		{"failures of the same burst", append(excluded, failed(3, -s, 20*ms), failed(4, -s, 30*ms)), 500 * ms, 0, LevelTrial, 1, true},
		{"a trial fails", append(excluded, failed(3, 600*ms, 700*ms)), 1699 * ms, 0, LevelExcluded, 0, true},
		{"a doubled exclusion ends", append(excluded, failed(3, 600*ms, 700*ms)), 1700 * ms, 0, LevelTrial, 1, true},
		{"a trial ends well", append(excluded, good(600*ms, s)), s, 0, LevelRecovering, 2, false},
		{"one of two in progress", append(excluded, good(600*ms, s)), s, 1, LevelRecovering, 1, false},
		{"a run of before ends well", append(excluded, good(-s, s)), s, 0, LevelTrial, 1, true},
		{"second good run", append(excluded, good(600*ms, s), good(s, 2*s)), 2 * s, 0, LevelRecovering, 4, false},
		{"third good run", append(excluded, good(600*ms, s), good(s, 2*s), good(s, 2*s)), 2 * s, 9, LevelTrusted, unlimited, false},
		{"a failure while recovering", append(excluded, good(600*ms, s), failed(3, 1100*ms, 1200*ms)), 1300 * ms, 0, LevelExcluded, 0, true},
		{"a trial takes long", append(excluded, long(600*ms, 2600*ms)), 2600 * ms, 1, LevelRecovering, 1, false},
		{"a long run between failures", []event{failed(1, 0, 3*s), long(0, 3*s), failed(2, 0, 3*s)}, 3 * s, 0, LevelExcluded, 0, true},
		{"no trial is found", excluded, 4500 * ms, 0, LevelTrial, unlimited, true},
		{"a late trial is in progress", excluded, 4500 * ms, 1, LevelTrial, 0, true},
		{"immediate failure after a restart", []event{restarted(0), failed(1, s, 1100*ms)}, 1200 * ms, 0, LevelExcluded, 0, true},
		{"immediate failure after a silence", []event{silent(0), failed(1, s, 1100*ms)}, 1200 * ms, 0, LevelExcluded, 0, true},
		{"later failure after a restart", []event{restarted(0), failed(1, s, 3*s)}, 3 * s, 0, LevelTrusted, unlimited, true},
		{"immediate failure long after a restart", []event{restarted(0), failed(1, 9*s, 9100*ms)}, 9200 * ms, 0, LevelTrusted, unlimited, true},
		{"an excluded worker restarts", append(excluded, restarted(100*ms)), 200 * ms, 0, LevelTrial, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			state := State{}
			for _, e := range tt.events {
				state = e(state)
			}
			limit, limited := state.Limits(at(tt.at), tt.inProgress)
			if !limited {
				limit = unlimited
			}
			if level := state.Level(at(tt.at)); level != tt.level || limit != tt.limit || state.Unproven() != tt.unproven {
				t.Errorf("%s, limit %d, unproven %v; want %s, %d, %v", level, limit, state.Unproven(), tt.level, tt.limit, tt.unproven)
			}
		})
	}
}

// TestExclusionDoubles guards against trials that follow each other at short
// intervals on a worker that stays faulty.
func TestExclusionDoubles(t *testing.T) {
	state, now := State{}.WithFailure(Failure{At: start}), start
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		want *= time.Millisecond
		now = now.Add(time.Millisecond)
		state = state.WithFailure(Failure{Started: now, At: now})
		if got := state.ExcludedUntil().Sub(now); got != want {
			t.Errorf("excluded for %v, want %v", got, want)
		}
		now = state.ExcludedUntil()
	}
}

// TestWithTrial guards against a spared worker that uses up one task after the
// other without a pause.
func TestWithTrial(t *testing.T) {
	state := State{}.WithFailure(Failure{At: start}).WithFailure(Failure{At: start})
	state = state.WithFailure(Failure{Started: at(time.Second), At: at(2 * time.Second)})
	if got := state.WithTrial().Level(at(2400 * time.Millisecond)); got != LevelExcluded {
		t.Errorf("%s shortly after the failure", got)
	}
	if got := state.WithTrial().Level(at(2500 * time.Millisecond)); got != LevelTrial {
		t.Errorf("%s after the shortest exclusion", got)
	}
	if got := state.Level(at(2500 * time.Millisecond)); got != LevelExcluded {
		t.Errorf("%s if it is not spared", got)
	}
}

// TestRefusal guards against refused starts that are repeated at once.
func TestRefusal(t *testing.T) {
	state, now := State{}, start
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		state = state.WithRefusal(now)
		if got := state.RefusedUntil().Sub(now); got != want*time.Millisecond {
			t.Errorf("refused for %v, want %v", got, want*time.Millisecond)
		}
	}
	if state = state.WithGoodRun(now, now).WithRefusal(now); state.RefusedUntil() != now.Add(MinExclusion) {
		t.Error("a good run does not reset the backoff")
	}
	if state.Level(now) != LevelTrusted || state.Unproven() {
		t.Error("a refused start is no failed run")
	}
}

// TestSuspicion guards against a wave that reaches workers that have proven
// themselves since it began.
func TestSuspicion(t *testing.T) {
	if got := (State{}).WithSuspicion(start, at(time.Second)).Level(at(time.Second)); got != LevelTrial {
		t.Errorf("%s, want a trial", got)
	}
	proven := State{}.WithGoodRun(start, at(time.Second))
	if got := proven.WithSuspicion(start, at(2*time.Second)); got != proven {
		t.Errorf("a proven worker got %s", got.Level(at(2*time.Second)))
	}
}

// TestTaskAtFault guards against workers that are excluded because of a faulty
// task, and against a faulty worker that blames the tasks.
func TestTaskAtFault(t *testing.T) {
	f := func(tasks ...int) State {
		s := State{}
		for _, i := range tasks {
			s = failed(i, 0, time.Second)(s)
		}
		return s
	}
	tests := []struct {
		name   string
		worker State
		other  []State
		want   bool
	}{
		{"first failure", f(), nil, false},
		{"also on a healthy worker", f(), []State{f(1)}, true},
		{"also on a worker that has proven itself", f(), []State{good(0, 2*time.Second)(f(1))}, true},
		{"also on a worker where another task failed", f(), []State{f(1, 2)}, false},
		{"another task failed here", f(2), []State{f(1)}, false},
		{"again here", f(1), []State{f(1)}, true},
		{"one of two others is healthy", f(), []State{f(1, 2), f(1)}, true},
	}
	for _, tt := range tests {
		if got := TaskAtFault(taskID(1), tt.worker, tt.other); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

func TestIsWave(t *testing.T) {
	for _, tt := range []struct {
		failed, all int
		want        bool
	}{{0, 0, false}, {2, 2, false}, {2, 8, false}, {3, 8, false}, {4, 8, true}, {3, 4, true}, {70, 350, false}} {
		if got := IsWave(tt.failed, tt.all); got != tt.want {
			t.Errorf("%d of %d: %v", tt.failed, tt.all, got)
		}
	}
}

func TestExcessExclusions(t *testing.T) {
	for _, tt := range []struct{ excluded, all, want int }{{0, 0, 0}, {2, 8, 0}, {3, 8, 1}, {8, 8, 6}, {42, 350, 0}, {1, 1, 0}, {2, 2, 1}} {
		if got := ExcessExclusions(tt.excluded, tt.all); got != tt.want {
			t.Errorf("%d of %d: %d, want %d", tt.excluded, tt.all, got, tt.want)
		}
	}
}

// TestProvenOnlyUntil guards against work that misses its objective or the time
// limit of guarantees because it waits for proven workers.
func TestProvenOnlyUntil(t *testing.T) {
	const s = time.Second
	for _, tt := range []struct {
		name       string
		objective  time.Duration
		guaranteed bool
		want       time.Time
	}{
		{"slack", 8 * s, false, at(3 * s)},
		{"guaranteed", 8 * s, true, at(s)},
		{"guaranteed with little slack", 3 * s, true, at(s / 2)},
		{"no slack", 2 * s, false, time.Time{}},
		{"late", 0, false, time.Time{}},
	} {
		if got := ProvenOnlyUntil(start, at(tt.objective), 2*s, tt.guaranteed); !got.Equal(tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestEarlierRunsDoNotLengthen guards against a long exclusion after a short fault:
// runs from before it that fail one after the other, also after its end.
func TestEarlierRunsDoNotLengthen(t *testing.T) {
	s := State{}
	for i := range 8 {
		s = failed(i, -time.Second, time.Duration(i)*600*time.Millisecond)(s)
	}
	if want := at(600*time.Millisecond + MinExclusion); !s.ExcludedUntil().Equal(want) {
		t.Errorf("excluded until %v, want %v", s.ExcludedUntil(), want)
	}
}

// TestForOthers guards against a job that fails wherever it runs and so keeps other jobs
// away from its workers.
func TestForOthers(t *testing.T) {
	const s = time.Second
	other := func(started, ended time.Duration) event {
		return func(state State) State {
			return state.WithFailure(Failure{Task: batch.TaskID{Job: "other"}, Started: at(started), At: at(ended)})
		}
	}
	twice := []event{failed(1, -s, 0), failed(2, -s, 0), failed(1, s, 2*s), failed(1, 4*s, 5*s)}
	for name, c := range map[string]struct {
		events []event
		job    string
		level  Level
	}{
		"no failure":          {nil, "", LevelTrusted},
		"one job":             {twice, "j", LevelTrial},
		"several jobs":        {append(slices.Clone(twice), other(6*s, 7*s)), "", LevelExcluded},
		"one job after a run": {[]event{other(-s, 0), good(0, s), failed(1, s, 2*s), failed(1, 2*s, 3*s), failed(1, 4*s, 5*s)}, "j", LevelTrial},
	} {
		state := State{}
		for _, e := range c.events {
			state = e(state)
		}
		others, job := state.ForOthers()
		if level := others.Level(state.LastFailure().Add(MinExclusion)); job != c.job || level != c.level {
			t.Errorf("%s: %s for all but job %q, want %s and %q", name, level, job, c.level, c.job)
		}
	}
}
