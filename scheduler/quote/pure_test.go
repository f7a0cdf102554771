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

// TestShare guards against shares that exceed a worker's slots in sum, and
// against instances that get less than their part over all workers.
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
				t.Fatalf("shares add up to %d of %d", sum, capacity)
			}
		}
		for i := range weights {
			exact := float64(capacity) * part(self(i), instances)
			// Roundings are random; 0.25 is 7 standard deviations of their mean.
			if mean := float64(got[i]) / workers; mean < exact-0.25 || mean > exact+0.25 {
				t.Fatalf("instance %d has %.2f of %.2f", i, mean, exact)
			}
		}
	})
}

// TestBudget guards against more retries than the share of what was sent, for
// the instance, and for a team beyond its first one.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(0.1)
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
				t.Fatalf("%g retries of %g sent, team %g", retried, sent, teams[team])
			}
		}
	})
}

// TestAdmit guards the order in which requests are shed.
func TestAdmit(t *testing.T) {
	busy := conditions{usable: true, queued: 10, limit: 40, slots: 10, holding: 100 * time.Millisecond}
	with := func(edit func(*conditions)) conditions {
		c := busy
		edit(&c)
		return c
	}
	quick := applicant{class: ClassQuick, share: 5, remaining: time.Second, service: 100 * time.Millisecond}
	of := func(edit func(*applicant)) applicant {
		a := quick
		edit(&a)
		return a
	}
	background := of(func(a *applicant) { a.class = ClassBackground })
	planned := of(func(a *applicant) { a.class = ClassPlanned })
	within := of(func(a *applicant) { a.within = true })
	tight := of(func(a *applicant) { a.remaining, a.ahead = 150*time.Millisecond, 10 })
	trial := of(func(a *applicant) { a.remaining, a.trial = 50*time.Millisecond, true })
	full := with(func(c *conditions) { c.queued = 40 })
	table := []struct {
		name string
		c    conditions
		a    applicant
		want Reason
	}{
		{"quick in a short queue", busy, quick, ""},
		{"no worker", with(func(c *conditions) { c.usable = false }), quick, ReasonNoWorkers},
		{"too late for the queue", busy, tight, ReasonDeadline},
		{"in time without a queue", with(func(c *conditions) { c.idle = true }), tight, ""},
		{"one request corrects the estimate", busy, trial, ""},
		{"background at a quarter", busy, background, ReasonOverload},
		{"background in a standing queue", with(func(c *conditions) { c.queued, c.overloaded = 1, true }), background, ReasonOverload},
		{"planned at half", with(func(c *conditions) { c.queued = 20 }), planned, ReasonOverload},
		{"quick at half", with(func(c *conditions) { c.queued = 20 }), quick, ""},
		{"quick when full", full, quick, ReasonOverload},
		{"within its share when full", full, within, ""},
	}
	for _, c := range table {
		if got := admit(c.c, c.a); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestFairQueue guards against teams that take the slots of others.
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
		t.Errorf("displaced %s of %s, want background of b", v.class, v.team)
	}
	served := map[string]int{}
	for i := range 22 {
		w := q.next()
		q.serve(w)
		q.flow(w.team).running++
		served[w.team]++
		if i < 2 && w.team != "c" {
			t.Errorf("%s was served before the guaranteed team", w.team)
		}
	}
	if served["a"] != 5 || served["b"] != 15 {
		t.Errorf("served %v, want 5 of a and 15 of b", served)
	}
	q.configure(nil, 1, 0)
	for q.length > 0 {
		q.remove(q.next())
	}
	if w := q.victim(10); w != nil {
		t.Error("an empty queue has no one to displace")
	}
}

// TestPick guards against traffic to workers that are slow, fail or leave.
func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	table := []struct {
		name    string
		prepare func(w *worker, s *speeds)
		// least and most bound the worker's part of 400 picks among 4 workers.
		least, most int
	}{
		{"alike", func(*worker, *speeds) {}, 40, 200},
		{"10x slow", func(w *worker, s *speeds) { s.learn(w, "p", 10*time.Second, now) }, 0, 0},
		{"fails fast", func(w *worker, s *speeds) {
			s.learn(w, "p", time.Millisecond, now)
			for range ejectStreak {
				w.fail(0, now)
			}
		}, 0, 0},
		{"fails like all others", func(w *worker, _ *speeds) {
			for range ejectStreak {
				w.fail(0.5, now)
			}
			w.failures = 0
		}, 40, 200},
		{"leaving", func(w *worker, _ *speeds) { w.report(platform.Load{Leaving: true}, now) }, 0, 0},
		{"full of others' requests", func(w *worker, _ *speeds) { w.report(platform.Load{Busy: 8}, now) }, 0, 0},
		{"was full long ago", func(w *worker, _ *speeds) {
			w.report(platform.Load{Busy: 8}, now.Add(-time.Minute))
		}, 40, 200},
	}
	for _, c := range table {
		for _, policy := range []Policy{PolicyChoices, PolicyBest} {
			p := &picker{speeds: newSpeeds(time.Second), random: rand.New(rand.NewPCG(1, 1))}
			for i := range 4 {
				w := newWorker(platform.WorkerInfo{Name: self(i), Slots: 8})
				w.slots, w.listed = 8, true
				p.workers = append(p.workers, w)
				p.speeds.learn(w, "p", time.Second, now)
			}
			target := p.workers[0]
			c.prepare(target, &p.speeds)
			picked := 0
			for range 400 {
				if p.pick(choice{policy: policy, size: 2, template: "p", now: now, remaining: time.Hour}) == target {
					picked++
				}
			}
			if picked > c.most || (policy == PolicyChoices && picked < c.least) {
				t.Errorf("%s, %s: picked %d times", c.name, policy, picked)
			}
		}
	}
}

// TestResize guards against a grown share that is used before the others have
// given it up.
func TestResize(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorker(platform.WorkerInfo{})
	steps := []struct {
		after time.Duration
		share int
		want  int
	}{{0, 2, 2}, {0, 4, 2}, {shareHold - 1, 4, 2}, {shareHold, 4, 4}, {shareHold, 1, 1}}
	for i, s := range steps {
		w.resize(s.share, i == 0, now.Add(s.after))
		if w.slots != s.want {
			t.Errorf("step %d: %d slots, want %d", i, w.slots, s.want)
		}
	}
}

// FuzzCheck guards against an answer to another request, and against a part of
// an answer that passes for the whole.
func FuzzCheck(f *testing.F) {
	f.Add("q", 1, "q", 1, []byte("answer"), 6, uint8(6))
	f.Fuzz(func(t *testing.T, id string, attempt int, gotID string, gotAttempt int, content []byte, length int, cut uint8) {
		a := platform.Answer{
			Ref:     platform.RequestRef{ID: gotID, Attempt: gotAttempt},
			Content: content, Length: length, Sum: xxhash.Sum64(content),
		}
		whole := min(int(cut), len(content)) == len(content)
		a.Content = content[:min(int(cut), len(content))]
		err := check(platform.RequestRef{ID: id, Attempt: attempt}, a)
		right := id == gotID && attempt == gotAttempt && whole && length == len(content)
		if right != (err == nil) {
			t.Errorf("right is %t, error is %v", right, err)
		}
	})
}
