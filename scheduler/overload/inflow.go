package overload

import (
	"maps"
	"math"
	"time"
)

// inflowTime is the time constant over which accepted work is averaged. Bursts last
// for tens of seconds; a fifth of that follows them without reacting to single jobs.
const inflowTime = 5 * time.Second

// Inflow is the work that was accepted recently, by priority and team. The zero value
// has seen none.
type Inflow struct{ rates map[teamKey]rate }

// rate is work per second, as of a time.
type rate struct {
	work Amount
	at   time.Time
}

func (r rate) decayed(now time.Time) Amount {
	return r.work.Times(math.Exp(-max(now.Sub(r.at), 0).Seconds() / inflowTime.Seconds()))
}

// With returns the inflow after a job with the given work was accepted.
func (f Inflow) With(priority int, team string, work Amount, now time.Time) Inflow {
	rates := maps.Clone(f.rates)
	if rates == nil {
		rates = map[teamKey]rate{}
	}
	key := teamKey{priority, team}
	rates[key] = rate{rates[key].decayed(now).Plus(work.Times(1 / inflowTime.Seconds())), now}
	return Inflow{rates}
}

// Later is the work per second that is expected to come in after a job and before
// it starts.
type Later struct {
	// BeforeOnTime comes before the job even while it can be on time: work of higher
	// priority, and of each other team at most as much as its own team submits.
	BeforeOnTime Amount
	// BeforeLate comes before the job once it is late: all work of its priority and
	// of higher ones.
	BeforeLate Amount
}

// Later returns the work that is expected to come in before a job of a team starts.
func (f Inflow) Later(priority int, team string, now time.Time) Later {
	own := f.rates[teamKey{priority, team}].decayed(now)
	later := Later{}
	for key, r := range f.rates {
		if key.priority > priority {
			continue
		}
		work := r.decayed(now)
		later.BeforeLate = later.BeforeLate.Plus(work)
		switch {
		case key.priority < priority:
			later.BeforeOnTime = later.BeforeOnTime.Plus(work)
		case key.team != team:
			later.BeforeOnTime = later.BeforeOnTime.Plus(work.Times(min(1, own.Dominant(work))))
		}
	}
	return later
}
