package quote

import (
	"time"

	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
)

// Policy selects a worker among those with a free slot.
type Policy string

// Values of Policy.
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
	// PolicyLeastOutstanding picks the worker that runs the fewest requests of
	// this instance.
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
	Metrics *meter.Set
}

// Options configure a router. The zero value of a field means its default.
type Options struct {
	Policy Policy
	// Choices is the number of workers that PolicyChoices compares.
	Choices int
	// RefreshInterval is the interval between reads of the view.
	RefreshInterval time.Duration
	// QueuePerSlot is the maximum queue length, in requests per slot of this
	// instance.
	QueuePerSlot int
	// MaxQueueTime is the maximum time a request may be queued.
	MaxQueueTime time.Duration
	// Target is the limit on the queueing time while the queue is overloaded.
	// The limit is higher if slots become free too rarely to meet it.
	Target time.Duration
	// Interval is how long the queue may be non-empty before it counts as
	// overloaded.
	Interval time.Duration
	// MaxAttempts is the maximum number of times a request is sent.
	MaxAttempts int
	// RetryRatio is the number of retries per first attempt.
	RetryRatio float64
	// ClaimTimeout is the timeout for recording a claim.
	ClaimTimeout time.Duration
	// InitialEstimate is the service time assumed for an unknown template.
	InitialEstimate time.Duration
	// Seed makes random choices reproducible; 0 means a random seed.
	Seed uint64

	disabled disabledMechanisms
}

// disabledMechanisms disables mechanisms in tests that show what each protects
// against.
type disabledMechanisms struct {
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
	defaultChoices         = 16
	defaultRefreshInterval = 250 * time.Millisecond
	defaultQueuePerSlot    = 4
	defaultMaxQueueTime    = time.Second
	defaultTarget          = 20 * time.Millisecond
	defaultInterval        = 500 * time.Millisecond
	defaultMaxAttempts     = 3
	defaultRetryRatio      = 0.1
	defaultClaimTimeout    = 500 * time.Millisecond
	defaultInitialEstimate = 20 * time.Millisecond
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
	o.RefreshInterval = orDefault(o.RefreshInterval, defaultRefreshInterval)
	o.QueuePerSlot = orDefault(o.QueuePerSlot, defaultQueuePerSlot)
	o.MaxQueueTime = orDefault(o.MaxQueueTime, defaultMaxQueueTime)
	o.Target = orDefault(o.Target, defaultTarget)
	o.Interval = orDefault(o.Interval, defaultInterval)
	o.MaxAttempts = orDefault(o.MaxAttempts, defaultMaxAttempts)
	o.RetryRatio = orDefault(o.RetryRatio, defaultRetryRatio)
	o.ClaimTimeout = orDefault(o.ClaimTimeout, defaultClaimTimeout)
	o.InitialEstimate = orDefault(o.InitialEstimate, defaultInitialEstimate)
	return o
}

// PoolOptions configure a pool. The zero value of a field means its default.
type PoolOptions struct {
	// ProbeInterval is the interval between probes of an idle connection.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a probe or revocation.
	ProbeTimeout time.Duration
	// StallTimeout is how long a request may run before the pool queries its
	// outcome over another connection. It is also the interval between queries.
	StallTimeout time.Duration
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// MaxIdlePerWorker is the number of idle connections to a worker above
	// which those not needed for some time are closed.
	MaxIdlePerWorker int
}

const (
	defaultProbeInterval    = 2 * time.Second
	defaultProbeTimeout     = 200 * time.Millisecond
	defaultStallTimeout     = 250 * time.Millisecond
	defaultDialTimeout      = 500 * time.Millisecond
	defaultMaxIdlePerWorker = 2
)

func (o PoolOptions) withDefaults() PoolOptions {
	o.ProbeInterval = orDefault(o.ProbeInterval, defaultProbeInterval)
	o.ProbeTimeout = orDefault(o.ProbeTimeout, defaultProbeTimeout)
	o.StallTimeout = orDefault(o.StallTimeout, defaultStallTimeout)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.MaxIdlePerWorker = orDefault(o.MaxIdlePerWorker, defaultMaxIdlePerWorker)
	return o
}
