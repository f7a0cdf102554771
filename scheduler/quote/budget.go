package quote

import (
	"math/rand/v2"
	"time"
)

const (
	// maxTeamTokens and maxInstanceTokens bound the retries saved up in quiet
	// times, so that an outage does not start with a burst of them.
	maxTeamTokens     = 20
	maxInstanceTokens = 100
	// firstTeamTokens lets a team with little traffic retry at all. The
	// instance's bucket starts empty and keeps the sum within the share.
	firstTeamTokens = 1

	backoffBase  = 5 * time.Millisecond
	backoffLimit = 100 * time.Millisecond
)

// budget bounds the retries of each team and of the instance to a share of
// their first attempts (token buckets).
type budget struct {
	share    float64
	instance float64
	teams    map[string]float64
}

func newBudget(share float64) budget {
	return budget{share: share, teams: map[string]float64{}}
}

// deposit records a first attempt.
func (b *budget) deposit(team string) {
	b.instance = min(b.instance+b.share, maxInstanceTokens)
	b.teams[team] = min(b.tokens(team)+b.share, maxTeamTokens)
}

// take spends one retry, or returns false if the team or the instance has none.
func (b *budget) take(team string) bool {
	own := b.tokens(team)
	if own < 1 || b.instance < 1 {
		return false
	}
	b.teams[team] = own - 1
	b.instance--
	return true
}

// refund returns a retry that was not sent.
func (b *budget) refund(team string) {
	b.instance = min(b.instance+1, maxInstanceTokens)
	b.teams[team] = min(b.tokens(team)+1, maxTeamTokens)
}

func (b *budget) tokens(team string) float64 {
	if t, ok := b.teams[team]; ok {
		return t
	}
	return firstTeamTokens
}

// backoff returns the delay before the given retry, counted from 1: random up
// to a bound that doubles ("full jitter"). The backoff library draws from the
// global random source, which would make runs unrepeatable.
func backoff(retry int, random *rand.Rand) time.Duration {
	bound := min(backoffBase<<min(retry-1, 10), backoffLimit)
	return time.Duration(random.Int64N(int64(bound)) + 1)
}
