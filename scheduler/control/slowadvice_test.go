package control

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/adviser"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

// slowAdviser takes the time of its figures. Its tickets name when they end.
type slowAdviser struct {
	adviser.Figures
	// fromStart is set if tickets are valid from the start of the call.
	fromStart bool
	mu        sync.Mutex
	calls     int
}

func (a *slowAdviser) Configured() bool { return true }

func (a *slowAdviser) Advise(ctx context.Context, _ batch.TaskID, workers []string) (platform.Advice, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	validFrom := time.Now()
	select {
	case <-ctx.Done():
		return platform.Advice{}, ctx.Err()
	case <-time.After(a.Decision + time.Duration(len(workers))*a.Period):
	}
	if !a.fromStart {
		validFrom = time.Now()
	}
	answer := platform.Advice{Tickets: map[string]string{}, Validity: a.Validity}
	for i, w := range workers {
		// One worker in five is rejected.
		if n, _ := strconv.Atoi(w[1:]); n%5 != 4 {
			answer.Tickets[workers[i]] = strconv.FormatInt(validFrom.Add(a.Validity).UnixNano(), 10)
		}
	}
	return answer, nil
}

// expiringTickets is a worker that accepts tickets until they end.
type expiringTickets struct {
	platform.Runner
	refused *int
}

func (r *expiringTickets) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if end, err := strconv.ParseInt(request.Ticket, 10, 64); err != nil || time.Now().UnixNano() > end {
		*r.refused++
		return 0, &platform.TicketError{}
	}
	return r.Runner.Start(ctx, request)
}

// TestSlowAdviser guards against jobs that never start because calls to the adviser take
// most of the validity of its tickets.
func TestSlowAdviser(t *testing.T) {
	const ms = time.Millisecond
	single := batch.Step{Tasks: 16, Need: batch.Resources{MilliCPU: 5600, MemoryMB: 11000, Accelerators: 1}}
	spread := single
	spread.MaxPerWorker = 1
	wide := gang(6, 8)
	wide.Adjacent = false
	for _, c := range []struct {
		name    string
		figures adviser.Figures
		step    batch.Step
		// fromStart is set if the tickets may be valid from the start of a call: the
		// figures allow calls that are short enough.
		fromStart bool
		// within bounds the time to the end of the job, a second after its start. Without
		// figures the planner first learns how long calls take.
		within, unknownWithin time.Duration
	}{
		{"quick", adviser.Figures{Decision: 60 * ms, Period: 5 * ms, Validity: 3000 * ms}, single, true, 3 * time.Second, 6 * time.Second},
		{"2.6 s for 30 workers", adviser.Figures{Decision: 200 * ms, Period: 80 * ms, Validity: 3000 * ms}, single, true, 6 * time.Second, 12 * time.Second},
		{"spread", adviser.Figures{Decision: 200 * ms, Period: 80 * ms, Validity: 3000 * ms}, spread, true, 10 * time.Second, 20 * time.Second},
		{"gang", adviser.Figures{Decision: 200 * ms, Period: 80 * ms, Validity: 3000 * ms}, wide, true, 10 * time.Second, 20 * time.Second},
		{"5.5 s for 30 workers", adviser.Figures{Decision: 1000 * ms, Period: 150 * ms, Validity: 3000 * ms}, single, true, 13 * time.Second, 26 * time.Second},
		{"short validity", adviser.Figures{Decision: 100 * ms, Period: 40 * ms, Validity: 1500 * ms}, single, true, 6 * time.Second, 12 * time.Second},
		{"gang, calls as long as the validity", adviser.Figures{Decision: 1000 * ms, Period: 150 * ms, Validity: 3000 * ms}, wide, false, 15 * time.Second, 30 * time.Second},
		{"one worker takes longer than the validity", adviser.Figures{Decision: 2500 * ms, Period: 500 * ms, Validity: 2500 * ms}, single, false, 20 * time.Second, 50 * time.Second},
	} {
		for _, known := range []bool{true, false} {
			for _, fromStart := range []bool{false, true} {
				if fromStart && !c.fromStart {
					continue
				}
				t.Run(fmt.Sprintf("%s, known %v, from start %v", c.name, known, fromStart), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newTestCluster(t, 40)
						q := Queue{Name: "advised", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Advised: true}
						if known {
							q.Adviser = c.figures
						}
						f.config.Queues["advised"] = q
						f.adviser = &slowAdviser{Figures: c.figures, fromStart: fromStart}
						refused := 0
						f.wrapRunner = func(r platform.Runner) platform.Runner { return &expiringTickets{r, &refused} }
						p, stop := f.startPlanner()
						defer stop()
						time.Sleep(settleTime)
						f.submit(p, batchJob("j", "advised", "a", "1s", c.step))
						if known {
							time.Sleep(c.within)
						} else {
							time.Sleep(c.unknownWithin)
						}
						f.expectState(p, "advised", "j", batch.JobDone)
						if refused > 0 {
							t.Errorf("%d starts refused", refused)
						}
					})
				})
			}
		}
	}
}
