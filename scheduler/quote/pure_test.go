package quote

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
)

// TestShare guards against shares that do not add up to a worker's slots, and
// against instances that get more or less than their fraction over all workers.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 9).Draw(t, "weights")
		capacity := rapid.IntRange(0, 60).Draw(t, "capacity")
		var instances []platform.Instance
		for i, w := range weights {
			instances = append(instances, platform.Instance{Name: self(i), Weight: w})
		}
		const workers = 200
		got := make([]int, len(weights))
		for n := range workers {
			sum := 0
			for i := range weights {
				share := Share(fmt.Sprintf("w%d", n), capacity, self(i), instances)
				got[i] += share
				sum += share
			}
			if sum != capacity {
				t.Fatalf("sum of shares is %d, capacity is %d", sum, capacity)
			}
		}
		for i := range weights {
			exact := float64(capacity) * weightFraction(self(i), instances)
			// Rounding is random; 0.25 is 7 standard deviations of its mean.
			if mean := float64(got[i]) / workers; mean < exact-0.25 || mean > exact+0.25 {
				t.Fatalf("instance %d has a mean share of %.2f, want %.2f", i, mean, exact)
			}
		}
	})
}

// TestBudget guards against more retries than the ratio allows, for the
// instance, and for a team apart from its initial token.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRetryBudget(0.1)
		sent, retried := 0.0, 0.0
		teams := map[string]float64{}
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			if rapid.Bool().Draw(t, "sent") {
				b.deposit(team)
				sent++
				teams[team]++
			} else if b.take(team) {
				retried++
				teams[team] -= 10
			}
			if retried > 0.1*sent+1e-9 || teams[team] < -10-1e-9 {
				t.Fatalf("%g retries of %g requests, balance of the team %g", retried, sent, teams[team])
			}
		}
	})
}

// TestAdmit guards the order in which requests are shed.
func TestAdmit(t *testing.T) {
	busy := queueState{hasWorkers: true, queued: 10, limit: 40, slots: 10, meanSlotTime: 100 * time.Millisecond}
	with := func(edit func(*queueState)) queueState {
		c := busy
		edit(&c)
		return c
	}
	quick := admissionRequest{class: ClassQuick, teamShare: 5, remaining: time.Second, service: 100 * time.Millisecond}
	of := func(edit func(*admissionRequest)) admissionRequest {
		a := quick
		edit(&a)
		return a
	}
	background := of(func(a *admissionRequest) { a.class = ClassBackground })
	planned := of(func(a *admissionRequest) { a.class = ClassPlanned })
	within := of(func(a *admissionRequest) { a.withinShare = true })
	tight := of(func(a *admissionRequest) { a.remaining, a.teamAhead = 150*time.Millisecond, 10 })
	trial := of(func(a *admissionRequest) { a.remaining, a.probesEstimate = 50*time.Millisecond, true })
	full := with(func(c *queueState) { c.queued = 40 })
	table := []struct {
		name string
		c    queueState
		a    admissionRequest
		want Reason
	}{
		{"quick request in a short queue", busy, quick, ""},
		{"no worker", with(func(c *queueState) { c.hasWorkers = false }), quick, ReasonNoWorkers},
		{"deadline before the end of the queueing delay", busy, tight, ReasonDeadline},
		{"same deadline with a free slot", with(func(c *queueState) { c.slotFree = true }), tight, ""},
		{"first request of a template with a high estimate", busy, trial, ""},
		{"background in a queue filled to a quarter", busy, background, ReasonOverload},
		{"background in a standing queue", with(func(c *queueState) { c.queued, c.overloaded = 1, true }), background, ReasonOverload},
		{"planned in a queue filled to a half", with(func(c *queueState) { c.queued = 20 }), planned, ReasonOverload},
		{"quick in a queue filled to a half", with(func(c *queueState) { c.queued = 20 }), quick, ""},
		{"quick in a full queue", full, quick, ReasonOverload},
		{"team within its share in a full queue", full, within, ""},
	}
	for _, c := range table {
		if got := admit(c.c, c.a); got != c.want {
			t.Errorf("%s: reason is %q, want %q", c.name, got, c.want)
		}
	}
}

// TestFairQueue guards against teams that use the slots of others, and against
// the wrong order of shedding.
func TestFairQueue(t *testing.T) {
	q := newFairQueue()
	q.configure([]Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "c", Guarantee: 4}}, 0.5, 10)
	add := func(team string, class Class, n int) {
		for range n {
			q.push(&waiter{team: team, class: class, cost: 1})
		}
	}
	add("a", ClassQuick, 40)
	add("b", ClassPlanned, 20)
	add("b", ClassBackground, 20)
	add("c", ClassQuick, 2)
	if v := q.victim(10); v.team != "b" || v.class != ClassBackground {
		t.Errorf("victim is a %s request of team %s, want a background request of b", v.class, v.team)
	}
	served := map[string]int{}
	for i := range 22 {
		w := q.next()
		q.serve(w)
		q.flow(w.team).running++
		served[w.team]++
		if i < 2 && w.team != "c" {
			t.Errorf("team %s was served before the team with a guarantee", w.team)
		}
	}
	if served["a"] != 5 || served["b"] != 15 {
		t.Errorf("served %v, want 5 requests of a and 15 of b", served)
	}
	q.configure(nil, 1, 0)
	for q.length > 0 {
		q.remove(q.next())
	}
	if w := q.victim(10); w != nil {
		t.Error("victim of an empty queue is not nil")
	}
}

// TestPick guards against picking workers that are slow, failing, leaving or
// full.
func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	table := []struct {
		name    string
		prepare func(w *worker, s *serviceTimes)
		// least and most limit how often the worker is picked in 400 picks among
		// 4 workers.
		least, most int
	}{
		{"alike", func(*worker, *serviceTimes) {}, 40, 200},
		{"10 times slower", func(w *worker, s *serviceTimes) { s.record(w, "p", 10*time.Second, now) }, 0, 0},
		{"fast but failing", func(w *worker, s *serviceTimes) {
			s.record(w, "p", time.Millisecond, now)
			for range minEjectStreak {
				w.recordFailure(0, now)
			}
		}, 0, 0},
		{"failing like all others", func(w *worker, _ *serviceTimes) {
			for range minEjectStreak {
				w.recordFailure(0.5, now)
			}
			w.failureRate = 0
		}, 40, 200},
		{"leaving", func(w *worker, _ *serviceTimes) { w.recordLoad(platform.Load{Leaving: true}, now) }, 0, 0},
		{"full of requests of other instances", func(w *worker, _ *serviceTimes) { w.recordLoad(platform.Load{Busy: 8}, now) }, 0, 0},
		{"was full long ago", func(w *worker, _ *serviceTimes) {
			w.recordLoad(platform.Load{Busy: 8}, now.Add(-time.Minute))
		}, 40, 200},
	}
	for _, c := range table {
		for _, policy := range []Policy{PolicyChoices, PolicyBest} {
			p := &picker{serviceTimes: newServiceTimes(time.Second), random: rand.New(rand.NewPCG(1, 1))}
			for i := range 4 {
				w := newWorker(platform.WorkerInfo{Name: self(i), Slots: 8})
				w.slots, w.listed = 8, true
				p.workers = append(p.workers, w)
				p.serviceTimes.record(w, "p", time.Second, now)
			}
			target := p.workers[0]
			c.prepare(target, &p.serviceTimes)
			picked := 0
			for range 400 {
				if p.pick(pickParams{policy: policy, sampleSize: 2, template: "p", now: now, remaining: time.Hour}) == target {
					picked++
				}
			}
			if picked > c.most || (policy == PolicyChoices && picked < c.least) {
				t.Errorf("%s, %s: picked %d times", c.name, policy, picked)
			}
		}
	}
}

// TestResize guards against using a larger share before the other instances have
// reduced theirs.
func TestResize(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorker(platform.WorkerInfo{})
	steps := []struct {
		after time.Duration
		share int
		want  int
	}{{0, 2, 2}, {0, 4, 2}, {shareGrowthDelay - 1, 4, 2}, {shareGrowthDelay, 4, 4}, {shareGrowthDelay, 1, 1}}
	for i, s := range steps {
		w.resize(s.share, i == 0, now.Add(s.after))
		if w.slots != s.want {
			t.Errorf("step %d: %d slots, want %d", i, w.slots, s.want)
		}
	}
}

// FuzzCheck guards against accepting an answer to another request or attempt, or
// a truncated answer.
func FuzzCheck(f *testing.F) {
	f.Add("q", 1, "q", 1, []byte("answer"), 6, uint8(6))
	f.Fuzz(func(t *testing.T, id string, attempt int, gotID string, gotAttempt int, content []byte, length int, cut uint8) {
		a := platform.Answer{
			Ref:     platform.RequestRef{ID: gotID, Attempt: gotAttempt},
			Content: content, Length: length, Sum: xxhash.Sum64(content),
		}
		complete := min(int(cut), len(content)) == len(content)
		a.Content = content[:min(int(cut), len(content))]
		err := verifyAnswer(platform.RequestRef{ID: id, Attempt: attempt}, a)
		valid := id == gotID && attempt == gotAttempt && complete && length == len(content)
		if valid != (err == nil) {
			t.Errorf("answer is valid: %t, but error is %v", valid, err)
		}
	})
}
