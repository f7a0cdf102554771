package overload

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

// cores returns an amount of processor.
func cores(n float64) Amount { return Amount{CPU: n} }

func TestPressure(t *testing.T) {
	// due returns waiting work that is due after some seconds.
	due := func(after, work float64) Waiting {
		return Waiting{Work: cores(work), Due: now.Add(seconds(after))}
	}
	ends := func(after, need float64) Running { return Running{Need: cores(need), Ends: now.Add(seconds(after))} }
	tests := []struct {
		name    string
		free    float64
		waiting []Waiting
		running []Running
		want    float64
	}{
		{"nothing waits", 0, nil, []Running{ends(9, 10)}, 0},
		{"half of the free capacity", 10, []Waiting{due(10, 50)}, nil, 0.5},
		{"capacity that becomes free in time counts", 0, []Waiting{due(10, 50)}, []Running{ends(5, 10)}, 1},
		{"capacity that becomes free later does not", 10, []Waiting{due(10, 50)}, []Running{ends(11, 10)}, 0.5},
		{"the first due time that cannot be met counts", 10, []Waiting{due(100, 10), due(1, 20)}, nil, 2},
		{"work due earlier comes first", 10, []Waiting{due(2, 20), due(4, 40)}, nil, 1.5},
		{"an overdue run counts as free now", 0, []Waiting{due(10, 100)}, []Running{ends(-1, 10)}, 1},
		{"a short wait for a stopped run", 0, []Waiting{due(1, 1)}, nil, 0.2},
		{"much work while nothing is free", 0, []Waiting{due(1, 100)}, nil, 20},
	}
	for _, tt := range tests {
		if got := Pressure(now, cores(10), cores(tt.free), tt.waiting, tt.running); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestOccupied guards against an overload that goes unnoticed because tasks leave
// parts of each worker that none of them can use.
func TestOccupied(t *testing.T) {
	worker := Amount{CPU: 128, Memory: 256, Accelerators: 8}
	tests := []struct{ need, want Amount }{
		{Amount{CPU: 52, Memory: 140}, Amount{CPU: 52, Memory: 256}},
		{Amount{CPU: 5, Memory: 10, Accelerators: 1}, Amount{CPU: 5, Memory: 10, Accelerators: 1}},
		{Amount{CPU: 5, Memory: 10, Accelerators: 3}, Amount{CPU: 5, Memory: 10, Accelerators: 4}},
		{Amount{CPU: 200}, Amount{CPU: 200}},
		{Amount{}, Amount{}},
	}
	for _, tt := range tests {
		if got := tt.need.Occupied(worker); got != tt.want {
			t.Errorf("%+v occupies %+v, want %+v", tt.need, got, tt.want)
		}
	}
	w := Waiting{Work: cores(50), Occupied: cores(120), Due: now.Add(10 * time.Second)}
	if got := Pressure(now, cores(10), cores(10), []Waiting{w}, nil); got != 1.2 {
		t.Errorf("pressure %v, want 1.2", got)
	}
}

// TestHysteresis guards against an order that changes with each job of a service
// that is just full.
func TestHysteresis(t *testing.T) {
	d, at := Detector{}, now
	for i, step := range []struct {
		pressure float64
		lasts    time.Duration
		want     bool
	}{
		{0.99, time.Minute, false},
		{1.5, enterDelay - tick, false},
		{0.9, tick, false},
		{1.5, enterDelay - tick, false},
		{1.5, 2 * tick, true},
		{0.9, time.Minute, true},
		{0.5, leaveDelay - tick, true},
		{0.9, tick, true},
		{0.5, leaveDelay - tick, true},
		{0.5, 2 * tick, false},
	} {
		for end := at.Add(step.lasts); at.Before(end); at = at.Add(tick) {
			d = d.WithPressure(step.pressure, at)
		}
		if d.Overloaded() != step.want {
			t.Errorf("step %d: overloaded %t, want %t", i, d.Overloaded(), step.want)
		}
	}
}

const tick = 100 * time.Millisecond

func TestClasses(t *testing.T) {
	var sizes []float64
	for i := range 10 {
		sizes = append(sizes, float64(10-i))
	}
	c := NewClasses(sizes)
	for size, want := range map[float64]Class{1: ClassRest, 7: ClassRest, 8: ClassLarge, 9: ClassLarge, 10: ClassLargest} {
		if got := c.Of(size); got != want {
			t.Errorf("size %v has class %d, want %d", size, got, want)
		}
	}
	if got := NewClasses([]float64{5, 5, 5}).Of(5); got != ClassRest {
		t.Errorf("jobs of one size have class %d, want none apart", got)
	}
	if got := NewClasses(nil).Of(5); got != ClassRest {
		t.Errorf("without jobs the class is %d", got)
	}
}

func TestShares(t *testing.T) {
	total := Amount{CPU: 100, Memory: 100, Accelerators: 100}
	claim := func(team string, age int, need float64) Claim {
		return Claim{Team: team, Accepted: now.Add(-time.Duration(age) * time.Second), Need: cores(need)}
	}
	with := func(c Claim, change func(*Claim)) Claim {
		change(&c)
		return c
	}
	tests := []struct {
		name   string
		claims []Claim
		usages []Usage
		want   []float64
	}{
		{"teams take turns", []Claim{claim("a", 9, 10), claim("a", 8, 10), claim("b", 1, 10)}, nil, []float64{0, 0.1, 0}},
		{"what runs counts", []Claim{claim("a", 9, 10), claim("b", 1, 10)}, []Usage{{Team: "a", Used: cores(30)}}, []float64{0.3, 0}},
		{"the dominant resource counts", []Claim{claim("a", 9, 10), claim("b", 1, 10)},
			[]Usage{{Team: "a", Used: cores(30)}, {Team: "b", Used: Amount{CPU: 10, Memory: 40}}}, []float64{0.3, 0.4}},
		{"a large claim has its turn", []Claim{claim("a", 9, 90), claim("b", 8, 1), claim("b", 7, 1)}, nil, []float64{0, 0, 0.01}},
		{"other priorities do not count", []Claim{claim("a", 9, 10)}, []Usage{{Team: "a", Priority: 1, Used: cores(30)}}, []float64{0}},
		{"a job that has begun is completed first",
			[]Claim{claim("a", 9, 10), with(claim("a", 8, 10), func(c *Claim) { c.Used, c.Unit = cores(30), cores(30) })},
			[]Usage{{Team: "a", Used: cores(30)}}, []float64{0.4, 0}},
		{"a team with one wide job does not starve another",
			[]Claim{with(claim("a", 9, 50), func(c *Claim) { c.Used, c.Unit = cores(90), cores(1) }), claim("b", 1, 10)},
			[]Usage{{Team: "a", Used: cores(90)}, {Team: "b", Used: cores(10)}}, []float64{0.89, 0.1}},
		{"claims that can be on time come first", []Claim{with(claim("a", 9, 10), func(c *Claim) { c.Tier = 1 }), claim("a", 8, 10)}, nil, []float64{0.1, 0}},
		{"the class that is served least comes first",
			[]Claim{claim("a", 9, 10), with(claim("a", 1, 10), func(c *Claim) { c.Class = ClassLargest })},
			[]Usage{{Team: "a", Used: cores(20)}}, []float64{0.3, 0.2}},
	}
	for _, tt := range tests {
		got := Shares(tt.claims, tt.usages, total)
		for i := range got {
			if diff := got[i] - tt.want[i]; diff > 1e-9 || diff < -1e-9 {
				t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
				break
			}
		}
	}
}

func TestForecast(t *testing.T) {
	waiting := func(team string, priority int, work float64) Waiting {
		return Waiting{Team: team, Priority: priority, Work: cores(work)}
	}
	doubtful := waiting("b", 1, 9000)
	doubtful.Doubt = 2
	late := waiting("b", 1, 3000)
	late.Late = true
	// The job is useful for 30 s; 100 cores do 100 core-seconds in 1 s.
	job := Job{Team: "a", Priority: 1, Work: cores(3000), Duration: 2 * time.Second, Allowed: 10 * time.Second, Useful: 30 * time.Second}
	small := job
	small.Work = cores(100)
	tests := []struct {
		name    string
		waiting []Waiting
		job     Job
		change  func(*Job)
		useful  bool
	}{
		{"no backlog", nil, small, nil, true},
		{"a long backlog", []Waiting{waiting("a", 1, 5000)}, job, nil, false},
		{"a backlog within the margin", []Waiting{waiting("a", 1, 3400)}, small, nil, true},
		{"a backlog of less urgent work", []Waiting{waiting("a", 2, 5000)}, small, nil, true},
		{"a backlog of more urgent work", []Waiting{waiting("b", 0, 5000)}, small, nil, false},
		{"the backlog of another team", []Waiting{waiting("b", 1, 5000)}, small, nil, true},
		{"the backlog of another team and of the own", []Waiting{waiting("b", 1, 5000), waiting("a", 1, 2500)}, small, nil, false},
		{"a late backlog that the job overtakes", []Waiting{late}, job, func(j *Job) { j.Work = cores(500) }, true},
		{"uncertain run time of the job", []Waiting{waiting("a", 1, 5000)}, job, func(j *Job) { j.Doubt = 1.1 }, true},
		{"uncertain run times of most of the backlog", []Waiting{doubtful, waiting("a", 1, 1000)}, job, func(j *Job) { j.Priority = 2 }, true},
		{"moderate doubt", []Waiting{waiting("a", 1, 5000)}, job, func(j *Job) { j.Doubt = 0.9 }, true},
		{"no objective", []Waiting{waiting("a", 1, 5000)}, job, func(j *Job) { j.Allowed, j.Useful = 0, 0 }, true},
		{"later work does not hold up a job that is on time", []Waiting{waiting("a", 1, 200)}, small, func(j *Job) { j.Later.BeforeLate = cores(100) }, true},
		{"later work holds up a late job", []Waiting{waiting("a", 1, 1500)}, small, func(j *Job) { j.Later.BeforeLate = cores(100) }, false},
		{"a late job without later work", []Waiting{waiting("a", 1, 1500)}, small, nil, true},
	}
	for _, tt := range tests {
		j := tt.job
		if tt.change != nil {
			tt.change(&j)
		}
		f := NewLoad(now, cores(100), nil, tt.waiting).Forecast(j)
		if f.Useful != tt.useful || !f.Useful && f.Return <= 0 {
			t.Errorf("%s: %+v, want useful %t", tt.name, f, tt.useful)
		}
	}
	if f := (Load{}).Forecast(job); !f.Useful {
		t.Error("a job was refused while no worker is known")
	}
	before := NewLoad(now, cores(100), nil, nil)
	before.With(waiting("a", 1, 5000))
	if f := before.Forecast(small); f.Wait > time.Second {
		t.Errorf("a load was changed by With: %+v", f)
	}
}

// TestForecastWithLongRuns guards against a refusal because of runs that hold only a
// part of the capacity, or a resource that the job does not need.
func TestForecastWithLongRuns(t *testing.T) {
	half := []Running{{Need: cores(50), Ends: now.Add(time.Hour)}}
	for i := range 10 {
		half = append(half, Running{Need: cores(5), Ends: now.Add(time.Duration(i) * tick)})
	}
	all := []Running{{Need: cores(100), Ends: now.Add(time.Minute)}}
	waiting := []Waiting{{Team: "a", Priority: 1, Work: cores(100)}}
	accelerators := Waiting{Team: "a", Priority: 1, Work: Amount{Accelerators: 1}}
	job := Job{Team: "a", Priority: 1, Work: cores(5), Duration: 5 * time.Second, Allowed: 15 * time.Second, Useful: 45 * time.Second}
	tests := []struct {
		name     string
		running  []Running
		waiting  []Waiting
		min, max time.Duration
		useful   bool
	}{
		{"half held by a long run", half, waiting, 1900 * time.Millisecond, 2100 * time.Millisecond, true},
		{"all held by a run of a minute", all, waiting, 48 * time.Second, 49 * time.Second, false},
		{"work for a resource that is not there", nil, []Waiting{accelerators}, 0, 0, true},
	}
	for _, tt := range tests {
		f := NewLoad(now, cores(100), tt.running, tt.waiting).Forecast(job)
		if f.Wait < tt.min || f.Wait > tt.max || f.Useful != tt.useful {
			t.Errorf("%s: %+v, want a wait of %v to %v, useful %t", tt.name, f, tt.min, tt.max, tt.useful)
		}
	}
}

func TestInflow(t *testing.T) {
	f := Inflow{}
	at := now
	for range 600 {
		at = at.Add(tick)
		f = f.With(1, "a", cores(5), at).With(1, "b", cores(1), at).With(0, "c", cores(2), at)
	}
	near := func(a Amount, want float64) bool { return a.CPU > 0.97*want && a.CPU < 1.03*want }
	// The rates are 50, 10 and 20 cores.
	if l := f.Later(1, "a", at); !near(l.BeforeLate, 80) || !near(l.BeforeOnTime, 30) {
		t.Errorf("before the team with most work: %+v", l)
	}
	if l := f.Later(1, "b", at); !near(l.BeforeOnTime, 30) {
		t.Errorf("before the team with less work: %+v", l)
	}
	if l := f.Later(0, "c", at); !near(l.BeforeLate, 20) || l.BeforeOnTime != (Amount{}) {
		t.Errorf("before the most urgent work: %+v", l)
	}
	if l := f.Later(1, "a", at.Add(10*inflowTime)); l.BeforeLate.CPU > 1 {
		t.Errorf("long after the burst: %+v", l)
	}
}

// TestReturns guards against refused callers that return all at once, or those
// refused last before those refused first.
func TestReturns(t *testing.T) {
	s, last := Schedule{}, time.Duration(0)
	for i := range 20 {
		var wait time.Duration
		s, wait = s.WithRefusal(now, 2*time.Second, 500*time.Millisecond, 15*time.Second)
		if wait <= last || wait > 15*time.Second {
			t.Errorf("refusal %d returns after %v, the one before after %v", i, wait, last)
		}
		last = wait
	}
	for _, tt := range []struct{ after, limit, want time.Duration }{
		{0, time.Minute, minRetry},
		{time.Hour, 15 * time.Second, 15 * time.Second},
		{time.Hour, time.Hour, maxRetry},
	} {
		if _, wait := (Schedule{}).WithRefusal(now, tt.after, time.Second, tt.limit); wait != tt.want {
			t.Errorf("%+v: %v", tt, wait)
		}
	}
}

// TestBudget guards against wrong forecasts that turn most callers away.
func TestBudget(t *testing.T) {
	b, at := Budget{}, now
	for period := range 3 {
		refused := 0
		for range 100 {
			refuse := b.Allows(at)
			b = b.With(refuse, at)
			if refuse {
				refused++
			}
		}
		if refused != 75 {
			t.Errorf("period %d: %d of 100 refused, want 75", period, refused)
		}
		at = at.Add(budgetPeriod)
	}
	if (Budget{}).Allows(now) {
		t.Error("the only submission of a period may be refused")
	}
}

func BenchmarkForecast(b *testing.B) {
	var waiting []Waiting
	for i := range 40 {
		waiting = append(waiting, Waiting{Team: fmt.Sprint(i / 3), Priority: i % 3, Work: cores(100)})
	}
	l := NewLoad(now, cores(100), []Running{{Need: cores(10), Ends: now.Add(time.Second)}}, waiting)
	j := Job{Team: "5", Priority: 2, Work: cores(10), Duration: time.Second, Allowed: time.Second, Useful: 3 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		l.Forecast(j)
		l.With(waiting[0])
	}
}

// BenchmarkPressure measures a large deployment under overload.
func BenchmarkPressure(b *testing.B) {
	var waiting []Waiting
	var running []Running
	for i := range 300 {
		waiting = append(waiting, Waiting{Work: cores(100), Due: now.Add(time.Duration(i*7919%10000) * time.Millisecond)})
	}
	for i := range 2800 {
		running = append(running, Running{Need: cores(10), Ends: now.Add(time.Duration(i*7919%7000) * time.Millisecond)})
	}
	b.ReportAllocs()
	for b.Loop() {
		Pressure(now, cores(10000), cores(100), waiting, running)
	}
}
