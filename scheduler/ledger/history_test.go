package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

// call is the input of one operation of a history.
type call struct {
	kind    string // accept, claim, requeue, finish, cancel or get
	attempt int32
	result  string
}

// reply is the output of one operation of a history.
type reply struct {
	written  string // as WriteStatus, or refused
	existing bool
	current  record // of get
}

// record is the state of one job in the model.
type record struct {
	state   schema.State
	attempt int32
	result  string
}

// apply returns the state after an operation and whether the operation is
// allowed.
func (r record) apply(c call) (next record, allowed bool) {
	running := r.state == stateClaimed
	switch c.kind {
	case "accept":
		if r.state == 0 {
			return record{state: stateQueued}, true
		}
		return r, true
	case "claim":
		return record{state: stateClaimed, attempt: c.attempt}, r.state == stateQueued && c.attempt == r.attempt+1
	case "finish":
		return record{state: stateDone, attempt: r.attempt, result: c.result}, running && c.attempt == r.attempt
	case "requeue":
		return record{state: stateQueued, attempt: r.attempt}, running && c.attempt == r.attempt
	case "cancel":
		return record{state: stateCancelled, attempt: r.attempt}, r.state == stateQueued || running || r.state == stateCancelled
	default:
		return r, true
	}
}

// step returns the possible states after an operation with the given reply.
func (r record) step(c call, out reply) []any {
	next, allowed := r.apply(c)
	switch {
	case c.kind == "get":
		return ifPossible(r, out.current == r)
	case out.written == "unknown" && allowed:
		return []any{r, next}
	case out.written == "unknown", out.written == "no":
		return []any{r}
	case out.written == "refused":
		return ifPossible(r, !allowed)
	case c.kind == "accept":
		return ifPossible(next, out.existing == (r.state != 0))
	default:
		return ifPossible(next, allowed)
	}
}

func ifPossible(r record, possible bool) []any {
	if !possible {
		return nil
	}
	return []any{r}
}

func newModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{record{}} },
		Step: func(state, in, out any) []any { return state.(record).step(in.(call), out.(reply)) },
		Equal: func(a, b any) bool {
			return a == b
		},
	}
	return m.ToModel()
}

// history records the operations of several clients on one job.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

// do runs c on l and records it. An operation with an unknown outcome may take
// effect at any later time.
func (h *history) do(client int, l *Ledger, key string, c call) {
	ctx, cancel := timeoutContext(4 * time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: c, Call: h.clock.Add(1)}
	out := c.run(ctx, l, key)
	op.Return = h.clock.Add(1)
	if out.written == "unknown" {
		op.Return = math.MaxInt64
	}
	op.Output = out
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.kind == "get" && out.written != "yes" {
		return
	}
	h.operations = append(h.operations, op)
}

func (c call) run(ctx context.Context, l *Ledger, key string) reply {
	var out reply
	var err error
	id := ID("pumps", key)
	switch c.kind {
	case "accept":
		_, out.existing, err = l.Accept(ctx, testJob(key))
	case "claim":
		_, err = l.Claim(ctx, id, c.attempt, "r", "a")
	case "finish":
		_, err = l.Finish(ctx, id, c.attempt, Outcome{}, [][]byte{[]byte(c.result)})
	case "requeue":
		_, err = l.Requeue(ctx, id, c.attempt, Lost{})
	case "cancel":
		err = l.Cancel(ctx, id)[0].Err
	default:
		var job *schema.Job
		job, err = l.Get(ctx, id)
		out.current = record{state: job.GetState(), attempt: job.GetAttempt()}
		if results := job.GetResults(); len(results) > 0 {
			out.current.result = string(results[0])
		}
	}
	var unwritten *NotWrittenError
	out.written = WriteStatus(err)
	if out.written == "no" && !errors.As(err, &unwritten) {
		out.written = "refused"
	}
	return out
}

// randomHistory runs random operations of several clients on one key, each
// through its own ledger and under changing faults. It requires virtual time.
func randomHistory(seed uint64, blindRetry bool) *history {
	p := memory.New(memory.Config{Seed: seed})
	h := &history{}
	var wg sync.WaitGroup
	var all []*Ledger
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		v := p.View()
		l := New(v.Table, v.Objects, DefaultOptions())
		l.committer.blindRetry = blindRetry
		all = append(all, l)
		wg.Go(func() {
			for i := range 6 {
				v.Table.SetFaults(randomFaults(random))
				h.do(client, l, "k", randomCall(random, fmt.Sprint(client, i)))
				time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, l := range all {
		for !l.committer.idle() {
			time.Sleep(time.Second)
		}
	}
	return h
}

func randomFaults(r *rand.Rand) memory.Faults {
	return []memory.Faults{
		{},
		{DropNextResponses: 1},
		{DropNextRequests: 1},
		{ResponseLossRate: 0.5, RequestLossRate: 0.2},
		{Delay: time.Duration(r.IntN(6000)) * time.Millisecond},
		{Outage: r.IntN(2) == 0, Delay: time.Second},
	}[r.IntN(6)]
}

func randomCall(r *rand.Rand, result string) call {
	kinds := []string{"accept", "accept", "claim", "claim", "claim", "requeue", "requeue", "finish", "cancel", "get", "get"}
	return call{kind: kinds[r.IntN(len(kinds))], attempt: 1 + int32(r.IntN(2)), result: result}
}

// Guards against histories of concurrent operations that are not linearizable:
// two claims of one attempt, an error for an operation that took effect, a
// result that changes, a cancelled job that is claimed.
func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) {
			if h := randomHistory(seed, false); !porcupine.CheckOperations(newModel(), h.operations) {
				rt.Errorf("history is not linearizable: %+v", h.operations)
			}
		})
	})
}

// Guards against a checker that accepts every history: with blind retries some
// history must not be linearizable.
func TestBlindRepeatBreaksHistory(t *testing.T) {
	broken := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(*testing.T) {
			if h := randomHistory(seed, true); !porcupine.CheckOperations(newModel(), h.operations) {
				broken++
			}
		})
	}
	if broken == 0 {
		t.Error("every history with blind retries is linearizable")
	}
	t.Logf("%d of 100 histories with blind retries are not linearizable", broken)
}

// Guards against two different submissions with the same ID, and one submission
// with two IDs.
func TestIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := [2]string{rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key")}
		b := [2]string{rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key")}
		if (ID(a[0], a[1]) == ID(b[0], b[1])) != (a == b) {
			t.Fatalf("IDs of %q and %q are equal although the inputs differ, or differ although the inputs are equal", a, b)
		}
		if len(a[1]) > 0 && ID(a[0], a[1]) == ID(a[0]+a[1][:1], a[1][1:]) {
			t.Fatalf("ID of %q does not depend on where the team ends and the key begins", a)
		}
	})
}
