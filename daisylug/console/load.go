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

// refusalDelay is the delay of a closed-loop caller after a failed request. It
// keeps a caller whose requests are refused at once from sending in a tight loop.
const refusalDelay = 10 * time.Millisecond

// loadGenerator sends requests for a fixed time and counts their outcomes.
type loadGenerator struct {
	flags  *loadFlags
	target sender
	mix    mix
	stats  *statsSet
	// prefix makes the request ids unique across runs.
	prefix string
	sent   atomic.Uint64
	// window is the time span during which requests arrived.
	window time.Duration
}

func newLoadGenerator(f *loadFlags, target sender) *loadGenerator {
	return &loadGenerator{
		flags:  f,
		target: target,
		mix:    newMix(f.Mix),
		stats:  newStatsSet(),
		prefix: "bench-" + uuid.NewString() + "-",
	}
}

// run sends requests until the duration has passed or ctx ends, and then waits
// for the outstanding ones.
func (l *loadGenerator) run(ctx context.Context) {
	started := time.Now()
	if l.flags.Rate > 0 {
		l.runOpenLoop(ctx, started)
		return
	}
	l.runClosedLoop(ctx, started)
}

// rand returns the seeded random number generator of one stream of requests.
func (l *loadGenerator) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(l.flags.Seed, stream))
}

// runOpenLoop sends a request at each arrival, independent of the answers to
// earlier ones. Arrivals above the limit of requests in flight are not sent.
func (l *loadGenerator) runOpenLoop(ctx context.Context, started time.Time) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.flags.InFlight)
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
		case slots <- struct{}{}:
			wg.Go(func() {
				l.sendOne(ctx, entry, started.Add(after))
				<-slots
			})
		default:
			l.stats.forEntry(entry).recordRefusal(typeNotSent, ranNo)
		}
	}
	wg.Wait()
}

// runClosedLoop runs a fixed number of callers, each of which sends its next
// request after the previous one has ended.
func (l *loadGenerator) runClosedLoop(ctx context.Context, started time.Time) {
	var wg sync.WaitGroup
	for caller := range l.flags.Callers {
		wg.Go(func() {
			random := l.rand(uint64(caller))
			for ctx.Err() == nil && time.Since(started) < l.flags.Duration {
				if !l.sendOne(ctx, l.mix.sample(random), time.Now()) {
					_ = sleep(ctx, refusalDelay)
				}
			}
		})
	}
	wg.Wait()
	l.window = time.Since(started)
}

// sendOne sends a request that arrived at the given time, counts its outcome and
// reports whether it succeeded.
func (l *loadGenerator) sendOne(ctx context.Context, entry mixEntry, arrived time.Time) bool {
	req := benchRequest{
		mixEntry: entry,
		id:       l.prefix + strconv.FormatUint(l.sent.Add(1), 10),
		deadline: arrived.Add(l.flags.Deadline),
	}
	err := l.target.send(ctx, req)
	latency := time.Since(arrived)
	stats := l.stats.forEntry(entry)
	if err != nil {
		body := failureBody(err)
		stats.recordRefusal(body.Type, body.Execution)
		return false
	}
	stats.recordSuccess(latency, latency <= l.flags.Deadline)
	return true
}

func (l *loadGenerator) mode() string {
	if l.flags.Rate > 0 {
		return fmt.Sprintf("open loop, %g arrivals/s", l.flags.Rate)
	}
	return fmt.Sprintf("closed loop, %d callers", l.flags.Callers)
}

// arrivals generates a Poisson process. The same seed yields the same arrivals.
type arrivals struct {
	random  *rand.Rand
	rate    float64
	mix     mix
	elapsed time.Duration
}

func newArrivals(random *rand.Rand, rate float64, m mix) *arrivals {
	return &arrivals{random: random, rate: rate, mix: m}
}

// next returns the time of the next arrival, relative to the start, and its entry.
func (a *arrivals) next() (time.Duration, mixEntry) {
	a.elapsed += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.elapsed, a.mix.sample(a.random)
}
