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
	// RefreshInterval is the interval at which the view is read.
	RefreshInterval time.Duration
	// QueuePerSlot bounds the queue, in requests per slot of this instance.
	QueuePerSlot int
	// MaxQueueTime bounds the time in the queue.
	MaxQueueTime time.Duration
	// Target is the queueing delay above which the queue counts as standing.
	Target time.Duration
	// Interval is how long the queue may stand before the age bound drops to
	// Target.
	Interval time.Duration
	// MaxAttempts bounds the times a request is sent.
	MaxAttempts int
	// RetryRatio is the number of retries per first attempt.
	RetryRatio float64
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
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
	o.RefreshInterval = orDefault(o.RefreshInterval, defaultRefresh)
	o.QueuePerSlot = orDefault(o.QueuePerSlot, defaultQueuePerSlot)
	o.MaxQueueTime = orDefault(o.MaxQueueTime, defaultMaxAge)
	o.Target = orDefault(o.Target, defaultTarget)
	o.Interval = orDefault(o.Interval, defaultInterval)
	o.MaxAttempts = orDefault(o.MaxAttempts, defaultMaxAttempts)
	o.RetryRatio = orDefault(o.RetryRatio, defaultRetryShare)
	o.ClaimTimeout = orDefault(o.ClaimTimeout, defaultClaimWait)
	o.Estimate = orDefault(o.Estimate, defaultEstimate)
	return o
}

// PoolOptions tune a pool. The zero value of a field means its default.
type PoolOptions struct {
	// ProbeInterval is the interval at which idle connections are probed.
	ProbeInterval time.Duration
	// ProbeTimeout bounds the wait for the answer to a probe or revocation.
	ProbeTimeout time.Duration
	// StallAfter is how long a call may last before another connection asks
	// the worker what became of it.
	StallAfter time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdlePerWorker bounds the idle connections kept to one worker.
	MaxIdlePerWorker int
}

const (
	defaultProbeEvery = 2 * time.Second
	defaultProbeWait  = 200 * time.Millisecond
	defaultStallAfter = 250 * time.Millisecond
	defaultDialWait   = 500 * time.Millisecond
	defaultIdle       = 2
)

func (o PoolOptions) withDefaults() PoolOptions {
	o.ProbeInterval = orDefault(o.ProbeInterval, defaultProbeEvery)
	o.ProbeTimeout = orDefault(o.ProbeTimeout, defaultProbeWait)
	o.StallAfter = orDefault(o.StallAfter, defaultStallAfter)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialWait)
	o.MaxIdlePerWorker = orDefault(o.MaxIdlePerWorker, defaultIdle)
	return o
}
