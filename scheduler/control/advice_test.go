package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

// adviser approves some workers for a time.
type adviser struct {
	approved map[string]bool
	validity time.Duration
	calls    int
	most     int
	// busy is the number of calls that are turned away first.
	busy int
}

func (a *adviser) Advise(_ context.Context, _ batch.TaskID, workers []string) (platform.Advice, error) {
	a.calls++
	a.most = max(a.most, len(workers))
	if a.busy > 0 {
		a.busy--
		return platform.Advice{}, &platform.UnhealthyError{Status: 429}
	}
	time.Sleep(50*time.Millisecond + 5*time.Millisecond*time.Duration(len(workers)))
	said := platform.Advice{Tickets: map[string]string{}, Validity: a.validity}
	for _, w := range workers {
		if a.approved[w] {
			said.Tickets[w] = "ticket " + w
		}
	}
	return said, nil
}

// guard is a worker that demands a permit.
type guard struct {
	platform.Runner
	id      string
	refused *int
}

func (g *guard) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	if o.Ticket != "ticket "+g.id {
		*g.refused++
		return 0, &platform.TicketError{}
	}
	return g.Runner.Start(ctx, o)
}

func TestAdvice(t *testing.T) {
	tests := []struct {
		name  string
		step  batch.Step
		queue string
		busy  int
		// calls bounds the number of calls.
		calls int
	}{
		{"a few tasks", batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}, "advised", 0, 4},
		{"a gang", gang(2, 8), "advised", 0, 6},
		{"the adviser is busy", batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}, "advised", 3, 8},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 16)
				f.catalogue.Queues[c.queue] = Queue{
					Name: c.queue, Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Advised: true,
				}
				a := &adviser{
					approved: map[string]bool{"w03": true, "w07": true, "w05": true}, validity: 3 * time.Second, busy: c.busy,
				}
				f.adviser = a
				refused := 0
				f.wrap = func(r platform.Runner) platform.Runner {
					return &guard{r, r.(interface{ Info() platform.RunnerInfo }).Info().ID, &refused}
				}
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("j", c.queue, "a", "500ms", c.step))
				time.Sleep(10 * time.Second)
				f.expect(p, c.queue, "j", batch.JobDone)
				if refused > 0 || a.calls > c.calls || a.most > mostAsked {
					t.Errorf("%d starts refused, %d calls for up to %d workers; want 0, at most %d and %d",
						refused, a.calls, a.most, c.calls, mostAsked)
				}
				// After the validity the permits are asked for again.
				f.submit(p, batchJob("k", c.queue, "a", "500ms", c.step))
				time.Sleep(10 * time.Second)
				f.expect(p, c.queue, "k", batch.JobDone)
				if refused > 0 {
					t.Errorf("%d starts refused", refused)
				}
			})
		})
	}
}
