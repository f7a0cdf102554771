package quote

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/platform"
)

// Policy selects how a worker is picked among those with a free slot.
type Policy string

// Policies.
const (
	// PolicyChoices picks the best of Options.Choices random workers by
	// expected completion.
	PolicyChoices Policy = "choices"
	// PolicyTwoChoices picks the better of two random workers by expected
	// completion.
	PolicyTwoChoices Policy = "two-choices"
	// PolicyBest picks the best of all workers by expected completion.
	PolicyBest Policy = "best"
	// PolicyRoundRobin picks workers in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding picks the worker with the fewest own requests.
	PolicyLeastOutstanding Policy = "least-outstanding"
)

// Dependencies are the services a router uses.
type Dependencies struct {
	// Self is the name of this instance.
	Self  string
	Fleet platform.Fleet
	View  View
	// Claimer may be nil; non-idempotent requests are then refused.
	Claimer Claimer
	// Forwarder may be nil; requests then stay in the data centre.
	Forwarder Forwarder
	// Metrics receives the router's metrics; nil means a private set.
	Metrics *metrics.Set
}

// Options tune a router. The zero value of a field means its default.
type Options struct {
	Policy Policy
	// Choices is the number of workers that PolicyChoices compares.
	Choices int
	// Refresh is the interval at which the view is read.
	Refresh time.Duration
	// QueuePerSlot bounds the queue, in requests per slot of this instance.
	QueuePerSlot int
	// MaxAge bounds the time in the queue.
	MaxAge time.Duration
	// Target is the queueing delay above which the queue counts as standing.
	Target time.Duration
	// Interval is how long the queue may stand before the age bound drops to
	// Target.
	Interval time.Duration
	// MaxAttempts bounds the times a request is sent.
	MaxAttempts int
	// RetryShare is the number of retries per first attempt.
	RetryShare float64
	// ClaimWait bounds the wait for a claim.
	ClaimWait time.Duration
	// Estimate is the service time assumed for a template never seen.
	Estimate time.Duration
	// Seed makes random choices repeatable; 0 means a random seed.
	Seed uint64

	off disabled
}

// disabled switches mechanisms off, for tests that show what they protect.
type disabled struct {
	admission bool
	budget    bool
	claim     bool
	ejection  bool
	fairness  bool
	revoke    bool
	share     bool
	verify    bool
}

// Defaults of Options.
const (
	defaultChoices      = 16
	defaultRefresh      = 250 * time.Millisecond
	defaultQueuePerSlot = 4
	defaultMaxAge       = time.Second
	defaultTarget       = 20 * time.Millisecond
	defaultInterval     = 500 * time.Millisecond
	defaultMaxAttempts  = 3
	defaultRetryShare   = 0.1
	defaultClaimWait    = 500 * time.Millisecond
	defaultEstimate     = 20 * time.Millisecond
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	o.Policy = orDefault(o.Policy, PolicyChoices)
	o.Choices = orDefault(o.Choices, defaultChoices)
	o.Refresh = orDefault(o.Refresh, defaultRefresh)
	o.QueuePerSlot = orDefault(o.QueuePerSlot, defaultQueuePerSlot)
	o.MaxAge = orDefault(o.MaxAge, defaultMaxAge)
	o.Target = orDefault(o.Target, defaultTarget)
	o.Interval = orDefault(o.Interval, defaultInterval)
	o.MaxAttempts = orDefault(o.MaxAttempts, defaultMaxAttempts)
	o.RetryShare = orDefault(o.RetryShare, defaultRetryShare)
	o.ClaimWait = orDefault(o.ClaimWait, defaultClaimWait)
	o.Estimate = orDefault(o.Estimate, defaultEstimate)
	return o
}

// PoolOptions tune a pool. The zero value of a field means its default.
type PoolOptions struct {
	// ProbeEvery is the interval at which idle connections are probed.
	ProbeEvery time.Duration
	// ProbeWait bounds the wait for the answer to a probe or revocation.
	ProbeWait time.Duration
	// StallAfter is how long a call may last before another connection asks
	// the worker what became of it.
	StallAfter time.Duration
	// DialWait bounds the time to open a connection.
	DialWait time.Duration
	// Idle bounds the idle connections kept to one worker.
	Idle int
}

const (
	defaultProbeEvery = 2 * time.Second
	defaultProbeWait  = 200 * time.Millisecond
	defaultStallAfter = 250 * time.Millisecond
	defaultDialWait   = 500 * time.Millisecond
	defaultIdle       = 2
)

func (o PoolOptions) withDefaults() PoolOptions {
	o.ProbeEvery = orDefault(o.ProbeEvery, defaultProbeEvery)
	o.ProbeWait = orDefault(o.ProbeWait, defaultProbeWait)
	o.StallAfter = orDefault(o.StallAfter, defaultStallAfter)
	o.DialWait = orDefault(o.DialWait, defaultDialWait)
	o.Idle = orDefault(o.Idle, defaultIdle)
	return o
}
