package quote

import (
	"math/rand/v2"
	"time"
)

const (
	// maxTeamTokens and maxInstanceTokens limit the tokens that accumulate
	// under low load, so that an outage does not start with a burst of retries.
	maxTeamTokens     = 20
	maxInstanceTokens = 100
	// initialTeamTokens lets a team with little traffic retry at all. The
	// instance's bucket starts empty and keeps the total within the ratio.
	initialTeamTokens = 1

	backoffBase = 5 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
)

// retryBudget limits the retries of each team and of the instance to a ratio of
// their first attempts. It uses token buckets.
type retryBudget struct {
	ratio          float64
	instanceTokens float64
	teamTokens     map[string]float64
}

func newRetryBudget(ratio float64) retryBudget {
	return retryBudget{ratio: ratio, teamTokens: map[string]float64{}}
}

// deposit adds the tokens earned by a first attempt.
func (b *retryBudget) deposit(team string) {
	b.instanceTokens = min(b.instanceTokens+b.ratio, maxInstanceTokens)
	b.teamTokens[team] = min(b.tokens(team)+b.ratio, maxTeamTokens)
}

// take spends a token for one retry. It returns false if the team or the
// instance has none left.
func (b *retryBudget) take(team string) bool {
	own := b.tokens(team)
	if own < 1 || b.instanceTokens < 1 {
		return false
	}
	b.teamTokens[team] = own - 1
	b.instanceTokens--
	return true
}

// refund gives back the token of a retry that was not sent.
func (b *retryBudget) refund(team string) {
	b.instanceTokens = min(b.instanceTokens+1, maxInstanceTokens)
	b.teamTokens[team] = min(b.tokens(team)+1, maxTeamTokens)
}

func (b *retryBudget) tokens(team string) float64 {
	if t, ok := b.teamTokens[team]; ok {
		return t
	}
	return initialTeamTokens
}

// backoff returns the delay before the given retry, counted from 1: exponential
// backoff with full jitter. The backoff library draws from the global random
// source, which would make runs non-reproducible.
func backoff(retry int, random *rand.Rand) time.Duration {
	bound := min(backoffBase<<min(retry-1, 10), maxBackoff)
	return time.Duration(random.Int64N(int64(bound)) + 1)
}
