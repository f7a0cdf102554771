package console

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// refusedPause keeps a caller whose requests are refused at once from sending
// them in a tight loop.
const refusedPause = 10 * time.Millisecond

// load sends requests for a time and counts what becomes of them.
type load struct {
	flags  *loadFlags
	target sender
	mix    mix
	tally  *tally
	// prefix makes the ids of different runs differ.
	prefix string
	sent   atomic.Uint64
	// window is the time during which requests arrived.
	window time.Duration
}

func newLoad(f *loadFlags, target sender) *load {
	return &load{
		flags:  f,
		target: target,
		mix:    newMix(f.Mix),
		tally:  newTally(),
		prefix: "bench-" + uuid.NewString() + "-",
	}
}

// run sends requests until the duration has passed or ctx ends, and waits for
// the answers to the last ones.
func (l *load) run(ctx context.Context) {
	started := time.Now()
	if l.flags.Rate > 0 {
		l.open(ctx, started)
		return
	}
	l.closed(ctx, started)
}

// rand returns the source of randomness of one stream of requests.
func (l *load) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(l.flags.Seed, stream))
}

// open starts a request at each arrival, whatever became of the others.
func (l *load) open(ctx context.Context, started time.Time) {
	var group sync.WaitGroup
	room := make(chan struct{}, l.flags.InFlight)
	arrivals := newArrivals(l.rand(0), l.flags.Rate, l.mix)
	l.window = l.flags.Duration
	for {
		after, entry := arrivals.next()
		if after >= l.flags.Duration {
			break
		}
		if sleep(ctx, time.Until(started.Add(after))) != nil {
			l.window = time.Since(started)
			break
		}
		select {
		case room <- struct{}{}:
			group.Go(func() {
				l.one(ctx, entry, started.Add(after))
				<-room
			})
		default:
			l.tally.stats(entry).refuse(typeUnsent, ranNo)
		}
	}
	group.Wait()
}

// closed keeps a fixed number of callers busy.
func (l *load) closed(ctx context.Context, started time.Time) {
	var group sync.WaitGroup
	for caller := range l.flags.Callers {
		group.Go(func() {
			random := l.rand(uint64(caller))
			for ctx.Err() == nil && time.Since(started) < l.flags.Duration {
				if !l.one(ctx, l.mix.draw(random), time.Now()) {
					_ = sleep(ctx, refusedPause)
				}
			}
		})
	}
	group.Wait()
	l.window = time.Since(started)
}

// one sends a request that arrived at a time, counts its outcome and reports
// whether it succeeded.
func (l *load) one(ctx context.Context, entry mixEntry, arrived time.Time) bool {
	o := order{
		mixEntry: entry,
		id:       l.prefix + strconv.FormatUint(l.sent.Add(1), 10),
		deadline: arrived.Add(l.flags.Deadline),
	}
	err := l.target.send(ctx, o)
	took := time.Since(arrived)
	stats := l.tally.stats(entry)
	if err != nil {
		body := failureBody(err)
		stats.refuse(body.Type, body.Execution)
		return false
	}
	stats.succeed(took, took <= l.flags.Deadline)
	return true
}

func (l *load) mode() string {
	if l.flags.Rate > 0 {
		return fmt.Sprintf("open loop, %g arrivals/s", l.flags.Rate)
	}
	return fmt.Sprintf("closed loop, %d callers", l.flags.Callers)
}

// arrivals is a Poisson process. The same seed gives the same arrivals.
type arrivals struct {
	random *rand.Rand
	rate   float64
	mix    mix
	after  time.Duration
}

func newArrivals(random *rand.Rand, rate float64, m mix) *arrivals {
	return &arrivals{random: random, rate: rate, mix: m}
}

// next returns the time of the next arrival since the start, and its entry.
func (a *arrivals) next() (time.Duration, mixEntry) {
	a.after += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.after, a.mix.draw(a.random)
}
