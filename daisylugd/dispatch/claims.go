package dispatch

import (
	"context"
	"errors"
	"sync"

	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quote"
	"daisylug.example/scheduler/schema"
)

// claims records non-idempotent quick requests in the ledger. It implements
// quote.Claimer for the requests that are in hand.
type claims struct {
	ledger *ledger.Ledger

	mu   sync.Mutex
	open map[string]*claim
}

// claim is the durable claim of one request in hand.
type claim struct {
	// request is nil if another instance has written the claim.
	request *schema.Request
	// record is set once the claim is written, or found to exist.
	record   *schema.Request
	existing bool
	err      error
}

func newClaims(l *ledger.Ledger) *claims {
	return &claims{ledger: l, open: make(map[string]*claim)}
}

// begin registers a request before it is handed to the router. It returns
// false if the same request is in hand already.
func (c *claims) begin(id string, request *schema.Request) (*claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, busy := c.open[id]; busy {
		return nil, false
	}
	one := &claim{request: request}
	c.open[id] = one
	return one, true
}

// end forgets a request.
func (c *claims) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

func (c *claims) get(id string) *claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}

// Claim implements quote.Claimer.
func (c *claims) Claim(ctx context.Context, id string) error {
	one := c.get(id)
	if one == nil {
		return &platform.NotFoundError{Kind: "claim", Name: id}
	}
	if one.request == nil {
		return nil
	}
	one.record, one.existing, one.err = c.ledger.ClaimRequest(ctx, one.request)
	var claimed *ledger.ClaimedError
	if one.existing || errors.As(one.err, &claimed) {
		return &platform.ConflictError{Keys: []string{id}}
	}
	return one.err
}

// Finish implements quote.Claimer. The answer of a request that ran is stored
// by the handler, which has it.
func (c *claims) Finish(ctx context.Context, id string, ran quote.Execution) error {
	one := c.get(id)
	if one == nil || one.record == nil || one.existing || ran != quote.NotExecuted {
		return nil
	}
	return c.ledger.ReleaseRequest(ctx, one.record.Id, one.record.Claim)
}
