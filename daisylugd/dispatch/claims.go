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
// quote.Claimer for the requests in flight.
type claims struct {
	ledger *ledger.Ledger

	mu       sync.Mutex
	inFlight map[string]*requestClaim
}

// requestClaim is the durable claim of a request in flight.
type requestClaim struct {
	// request is nil if another instance has written the claim.
	request *schema.Request
	// record is set once the claim is written, or found to exist.
	record   *schema.Request
	existing bool
	err      error
}

func newClaims(l *ledger.Ledger) *claims {
	return &claims{ledger: l, inFlight: make(map[string]*requestClaim)}
}

// begin registers a request before it is passed to the router. It returns false
// if the same request is already in flight.
func (c *claims) begin(id string, request *schema.Request) (*requestClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, busy := c.inFlight[id]; busy {
		return nil, false
	}
	claim := &requestClaim{request: request}
	c.inFlight[id] = claim
	return claim, true
}

// end removes a request.
func (c *claims) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, id)
}

func (c *claims) get(id string) *requestClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight[id]
}

// Claim implements quote.Claimer.
func (c *claims) Claim(ctx context.Context, id string) error {
	claim := c.get(id)
	if claim == nil {
		return &platform.NotFoundError{Kind: "claim", Name: id}
	}
	if claim.request == nil {
		return nil
	}
	claim.record, claim.existing, claim.err = c.ledger.ClaimRequest(ctx, claim.request)
	var claimed *ledger.ClaimedError
	if claim.existing || errors.As(claim.err, &claimed) {
		return &platform.ConflictError{Keys: []string{id}}
	}
	return claim.err
}

// Finish implements quote.Claimer. The HTTP handler stores the answer of a
// request that ran, because only the handler has it.
func (c *claims) Finish(ctx context.Context, id string, execution quote.Execution) error {
	claim := c.get(id)
	if claim == nil || claim.record == nil || claim.existing || execution != quote.NotExecuted {
		return nil
	}
	return c.ledger.ReleaseRequest(ctx, claim.record.Id, claim.record.Claim)
}
