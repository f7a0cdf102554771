package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

// fakeAdviser approves some workers for a limited time.
type fakeAdviser struct {
	approved   map[string]bool
	validity   time.Duration
	calls      int
	maxWorkers int
	// rejections is the number of calls that are rejected first.
	rejections int
}

func (a *fakeAdviser) Advise(_ context.Context, _ batch.TaskID, workers []string) (platform.Advice, error) {
	a.calls++
	a.maxWorkers = max(a.maxWorkers, len(workers))
	if a.rejections > 0 {
		a.rejections--
		return platform.Advice{}, &platform.UnhealthyError{Status: 429}
	}
	time.Sleep(50*time.Millisecond + 5*time.Millisecond*time.Duration(len(workers)))
	answer := platform.Advice{Tickets: map[string]string{}, Validity: a.validity}
	for _, w := range workers {
		if a.approved[w] {
			answer.Tickets[w] = "ticket " + w
		}
	}
	return answer, nil
}

// ticketRunner is a worker that requires a ticket.
type ticketRunner struct {
	platform.Runner
	id      string
	refused *int
}

func (r *ticketRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if request.Ticket != "ticket "+r.id {
		*r.refused++
		return 0, &platform.TicketError{}
	}
	return r.Runner.Start(ctx, request)
}

func TestAdvice(t *testing.T) {
	tests := []struct {
		name       string
		step       batch.Step
		queue      string
		rejections int
		// maxCalls bounds the number of calls.
		maxCalls int
	}{
		{"a few tasks", batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}, "advised", 0, 4},
		{"a gang", gang(2, 8), "advised", 0, 6},
		{"the adviser is busy", batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}, "advised", 3, 8},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 16)
				f.config.Queues[c.queue] = Queue{
					Name: c.queue, Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Advised: true,
				}
				a := &fakeAdviser{
					approved: map[string]bool{"w03": true, "w07": true, "w05": true}, validity: 3 * time.Second, rejections: c.rejections,
				}
				f.adviser = a
				refused := 0
				f.wrapRunner = func(r platform.Runner) platform.Runner {
					return &ticketRunner{r, r.(interface{ Info() platform.RunnerInfo }).Info().ID, &refused}
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", c.queue, "a", "500ms", c.step))
				time.Sleep(10 * time.Second)
				f.expectState(p, c.queue, "j", batch.JobDone)
				if refused > 0 || a.calls > c.maxCalls || a.maxWorkers > maxAdviceWorkers {
					t.Errorf("%d starts refused, %d calls for up to %d workers; want 0, at most %d and %d",
						refused, a.calls, a.maxWorkers, c.maxCalls, maxAdviceWorkers)
				}
				// The tickets have expired and are requested again.
				f.submit(p, batchJob("k", c.queue, "a", "500ms", c.step))
				time.Sleep(10 * time.Second)
				f.expectState(p, c.queue, "k", batch.JobDone)
				if refused > 0 {
					t.Errorf("%d starts refused", refused)
				}
			})
		})
	}
}
