package replay

import "time"

// Run replays a workload on the given number of workers under a policy. clock
// measures the computing time of decisions; if it is nil, the time is not
// measured.
func Run(workload Workload, workers int, length time.Duration, seed uint64, p Policy, clock func() time.Duration) (Report, error) {
	if clock == nil {
		clock = func() time.Duration { return 0 }
	}
	e := newEngine(generate(workload, workers, length, seed), p, clock)
	if err := e.run(); err != nil {
		return Report{}, err
	}
	return e.meter.report(e), nil
}
