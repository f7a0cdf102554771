package control

import "slices"

const (
	// maxDemandSamples is the number of samples of urgent demand that are kept,
	// one for each tick: the latest 15 s.
	maxDemandSamples = 150
	// demandQuantile is the quantile of urgent demand for which capacity is
	// reserved.
	demandQuantile = 0.9
)

// demand tracks how many accelerators urgent work needed recently.
type demand struct {
	samples []int64
	next    int
	// quantile is the demand that the share demandQuantile of the samples does
	// not exceed.
	quantile int64
}

// add records the demand at one tick.
func (d *demand) add(n int64) {
	if len(d.samples) < maxDemandSamples {
		d.samples = append(d.samples, n)
	} else {
		d.samples[d.next] = n
		d.next = (d.next + 1) % maxDemandSamples
	}
	sorted := slices.Clone(d.samples)
	slices.Sort(sorted)
	d.quantile = sorted[int(demandQuantile*float64(len(sorted)-1))]
}

// reserve returns how many accelerators to keep free for urgent work in addition
// to the current demand.
func (d *demand) reserve(current int64) int64 { return max(d.quantile-current, 0) }

// urgentAccelerators returns the number of accelerators that the unfinished
// jobs of priority 0 need, except recurring ones.
func (p *Planner) urgentAccelerators() int64 {
	n := int64(0)
	for _, j := range p.live {
		if j.queue.Priority == 0 && j.spec.Occurrences == 0 {
			n += j.peakAccelerators()
		}
	}
	return n
}
