package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/trust"
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

func (a *fakeAdviser) Configured() bool { return true }

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
				if refused > 0 || a.calls > c.maxCalls || a.maxWorkers > assignment.MaxAdviceWorkers {
					t.Errorf("%d starts refused, %d calls for up to %d workers; want 0, at most %d and %d",
						refused, a.calls, a.maxWorkers, c.maxCalls, assignment.MaxAdviceWorkers)
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

// TestAdviceBeyondTrial guards against tasks that wait for a worker on trial while no
// advice is requested on free workers, and against a spared worker without advice.
func TestAdviceBeyondTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	newWorker := func(id string) *worker {
		w := &worker{listed: true, incarnation: 1}
		w.info.ID, w.info.Service, w.info.Incarnation = id, "s", 1
		w.info.Capacity = batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
		return w
	}
	onTrial, free, spared := newWorker("a"), newWorker("b"), newWorker("c")
	onTrial.trust = trust.State{}.WithSuspicion(now, now)
	started := now.Add(-time.Second)
	for range 4 {
		spared.trust = spared.trust.WithFailure(trust.Failure{Started: started, At: started.Add(time.Millisecond)})
		started = started.Add(10 * time.Millisecond)
	}
	p := &Planner{
		workers: map[string]*worker{"a": onTrial, "b": free, "c": spared}, adviceRequests: make(chan adviceRequest, 1),
		trust: trustState{spared: map[*worker]bool{spared: true}},
	}
	p.Config = func() *Config { return nil }
	j := &job{spec: &batch.Job{ID: "j"}, advice: map[stepRef]*advice{{}: {
		verdicts: map[workerIncarnation]bool{}, tickets: map[string]adviserTicket{"a": {value: "t", incarnation: 1, expiresAt: now.Add(time.Minute)}},
	}}}
	g := assignment.Group{Job: "j", Service: "s", Indexes: []int{0, 1, 2, 3}, Need: batch.Resources{Accelerators: 1}, Priority: 1, Trial: true}
	p.applyAdvice(j, &g, now)
	v := &decisionView{input: assignment.View{Now: now, Groups: []assignment.Group{g}}, jobs: []*job{j}}
	for _, w := range []*worker{onTrial, free, spared} {
		v.workers = append(v.workers, w)
		v.input.Workers = append(v.input.Workers, assignment.Worker{
			ID: w.info.ID, Service: w.info.Service, Capacity: w.info.Capacity, Free: w.info.Capacity, Speed: 1, SpeedKnown: true,
			AcceptsTasks: w.schedulable(now), Trust: p.workerTrust(w, now),
		})
	}
	p.queueAdvice(v, assignment.Decide(v.input).Advice)
	if len(p.adviceRequests) != 1 {
		t.Fatal("no advice requested")
	}
	if r := <-p.adviceRequests; len(r.workers) != 2 || r.workers[0].worker != "b" || r.workers[1].worker != "c" {
		t.Errorf("advice on %v, want b and c", r.workers)
	}
}
