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

// call is one operation of a history.
type call struct {
	kind    string // accept, claim, requeue, finish, cancel or get
	attempt int32
	result  string
}

// reply is its outcome.
type reply struct {
	written  string // as Written
	existing bool
	now      record // of get
}

// record is the model's state of one job.
type record struct {
	state   schema.State
	attempt int32
	result  string
}

// apply returns the state after an operation and whether it is allowed.
func (r record) apply(c call) (next record, allowed bool) {
	running := r.state == claimedAs
	switch c.kind {
	case "accept":
		if r.state == 0 {
			return record{state: queued}, true
		}
		return r, true
	case "claim":
		return record{state: claimedAs, attempt: c.attempt}, r.state == queued && c.attempt == r.attempt+1
	case "finish":
		return record{state: done, attempt: r.attempt, result: c.result}, running && c.attempt == r.attempt
	case "requeue":
		return record{state: queued, attempt: r.attempt}, running && c.attempt == r.attempt
	case "cancel":
		return record{state: cancelled, attempt: r.attempt}, r.state == queued || running || r.state == cancelled
	default:
		return r, true
	}
}

// step returns the states that may follow.
func (r record) step(c call, out reply) []any {
	next, allowed := r.apply(c)
	switch {
	case c.kind == "get":
		return only(r, out.now == r)
	case out.written == "unknown" && allowed:
		return []any{r, next}
	case out.written == "unknown", out.written == "no":
		return []any{r}
	case out.written == "refused":
		return only(r, !allowed)
	case c.kind == "accept":
		return only(next, out.existing == (r.state != 0))
	default:
		return only(next, allowed)
	}
}

func only(r record, possible bool) []any {
	if !possible {
		return nil
	}
	return []any{r}
}

func model() porcupine.Model {
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

// do carries out c on l and records it. An operation of unknown outcome may
// take effect at any later time.
func (h *history) do(client int, l *Ledger, key string, c call) {
	ctx, cancel := within(4 * time.Second)
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
		_, out.existing, err = l.Accept(ctx, sample(key))
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
		out.now = record{state: job.GetState(), attempt: job.GetAttempt()}
		if results := job.GetResults(); len(results) > 0 {
			out.now.result = string(results[0])
		}
	}
	var unwritten *NotWrittenError
	out.written = WriteStatus(err)
	if out.written == "no" && !errors.As(err, &unwritten) {
		out.written = "refused"
	}
	return out
}

// randomHistory runs random operations of clients on one key through several ledgers
// under faults that change. It must run with virtual time.
func randomHistory(seed uint64, blind bool) *history {
	p := memory.New(memory.Config{Seed: seed})
	h := &history{}
	var wg sync.WaitGroup
	var all []*Ledger
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		v := p.View()
		l := New(v.Table, v.Objects, DefaultOptions())
		l.group.blind = blind
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
		for !l.group.idle() {
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

// Guards against histories of concurrent operations that no order explains:
// two claims of one attempt, a refusal of what is in effect, a result that
// changes, a cancelled job that is claimed.
func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) {
			if h := randomHistory(seed, false); !porcupine.CheckOperations(model(), h.operations) {
				rt.Errorf("no order explains the history %+v", h.operations)
			}
		})
	})
}

// Guards against a checker that accepts everything: with blind repeats some
// history must have no explanation.
func TestBlindRepeatBreaksHistory(t *testing.T) {
	broken := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(*testing.T) {
			if h := randomHistory(seed, true); !porcupine.CheckOperations(model(), h.operations) {
				broken++
			}
		})
	}
	if broken == 0 {
		t.Error("every history with blind repeats was explained")
	}
	t.Logf("%d of 100 histories with blind repeats have no explanation", broken)
}

// Guards against two submissions that share an id although they differ, and
// one submission with two ids.
func TestIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := [2]string{rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key")}
		b := [2]string{rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key")}
		if (ID(a[0], a[1]) == ID(b[0], b[1])) != (a == b) {
			t.Fatalf("ids of %q and %q", a, b)
		}
		if len(a[1]) > 0 && ID(a[0], a[1]) == ID(a[0]+a[1][:1], a[1][1:]) {
			t.Fatalf("id of %q does not depend on where the key begins", a)
		}
	})
}
