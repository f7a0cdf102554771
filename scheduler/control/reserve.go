package control

import "slices"

const (
	// demandSamples is the number of samples of urgent demand that are kept,
	// one for each tick: the latest 15 s.
	demandSamples = 150
	// demandShare is the quantile of urgent demand for which room is kept.
	demandShare = 0.9
)

// demand remembers how many accelerators urgent work needed lately.
type demand struct {
	samples []int64
	next    int
	// high is the quantile of the samples.
	high int64
}

// add records the demand of one tick.
func (d *demand) add(n int64) {
	if len(d.samples) < demandSamples {
		d.samples = append(d.samples, n)
	} else {
		d.samples[d.next] = n
		d.next = (d.next + 1) % demandSamples
	}
	sorted := slices.Clone(d.samples)
	slices.Sort(sorted)
	d.high = sorted[int(demandShare*float64(len(sorted)-1))]
}

// reserve returns how many accelerators are to be kept free while urgent work
// needs now of them.
func (d *demand) reserve(now int64) int64 { return max(d.high-now, 0) }

// urgent returns the number of accelerators that the unfinished jobs of
// priority 0 need.
func (p *Planner) urgent() int64 {
	n := int64(0)
	for _, j := range p.live {
		if j.queue.Priority == 0 && j.spec.Occurrences == 0 {
			n += j.accelerators()
		}
	}
	return n
}
