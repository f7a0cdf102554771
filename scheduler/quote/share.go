package quote

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// Share returns how many of a worker's slots or connections the instance self
// may use. The shares of all instances add up to capacity. On one worker a
// share is the instance's exact fraction rounded up or down; over many workers
// the rounding averages out. An instance that is not listed has no share; if no
// instance is listed, self has the whole capacity.
func Share(worker string, capacity int, self string, instances []platform.Instance) int {
	if len(instances) == 0 {
		return capacity
	}
	ordered := orderForWorker(worker, instances)
	total := 0
	for _, e := range ordered {
		total += e.weight
	}
	// Systematic rounding: the cumulative sum of the exact shares is rounded
	// down after adding a pseudo-random offset, which gives integers with the
	// right mean.
	offset := int(xxhash.Sum64String(worker) % uint64(total))
	sum := 0
	for _, e := range ordered {
		before := (capacity*sum + offset) / total
		sum += e.weight
		if e.name == self {
			return (capacity*sum+offset)/total - before
		}
	}
	return 0
}

type shareEntry struct {
	name   string
	weight int
	hash   uint64
}

// orderForWorker returns the instances in an order that depends on the worker,
// so that the same instance is not rounded up on every worker.
func orderForWorker(worker string, instances []platform.Instance) []shareEntry {
	entries := make([]shareEntry, 0, len(instances))
	for _, i := range instances {
		entries = append(entries, shareEntry{
			name:   i.Name,
			weight: max(i.Weight, 1),
			hash:   xxhash.Sum64String(worker + "/" + i.Name),
		})
	}
	slices.SortFunc(entries, func(a, b shareEntry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return entries
}

// weightFraction returns self's fraction of the total weight of the instances,
// from 0 to 1.
func weightFraction(self string, instances []platform.Instance) float64 {
	if len(instances) == 0 {
		return 1
	}
	own, total := 0, 0
	for _, i := range instances {
		total += max(i.Weight, 1)
		if i.Name == self {
			own = max(i.Weight, 1)
		}
	}
	return float64(own) / float64(total)
}
