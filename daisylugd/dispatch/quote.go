package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/quote"
	"daisylug.example/scheduler/schema"
)

const (
	// defaultQuoteTimeout applies to quick requests without a deadline.
	defaultQuoteTimeout = 5 * time.Second
	// maxQuoteTimeout limits the deadline of a quick request.
	maxQuoteTimeout = 5 * time.Minute
)

type quoteRequest struct {
	Team       string          `json:"team"`
	Template   string          `json:"template"`
	ID         string          `json:"id"`
	Class      string          `json:"class"`
	Deadline   *time.Time      `json:"deadline"`
	Idempotent *bool           `json:"idempotent"`
	Payload    json.RawMessage `json:"payload"`
}

type quoteReply struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	Content string `json:"content"`
}

// submitQuote runs a quick request and returns its answer in the response.
func (d *Daemon) submitQuote(ctx khttp.Context) error {
	now := time.Now()
	var r quoteRequest
	if err := d.decoder.decode(ctx.Request(), &r); err != nil {
		return err
	}
	q, err := d.buildQuote(r, now)
	if err != nil {
		return err
	}
	call, cancel := context.WithDeadline(requestContext(ctx), q.Deadline)
	defer cancel()
	if q.Idempotent {
		answer, err := d.router.Do(call, q)
		return d.writeQuote(ctx, r.ID, answer, err)
	}
	return d.quoteAtMostOnce(call, ctx, r, q)
}

// buildQuote validates a quick request.
func (d *Daemon) buildQuote(r quoteRequest, now time.Time) (quote.Request, error) {
	t, err := d.teamTemplate(r.Team, r.Template)
	if err != nil {
		return quote.Request{}, err
	}
	if r.ID == "" || len(r.ID) > maxKeyBytes {
		return quote.Request{}, NewFieldError("id", "must have 1 to 200 bytes")
	}
	q := quote.Request{
		ID:         r.Team + "/" + r.ID,
		Team:       r.Team,
		Template:   r.Template,
		Class:      quote.ClassQuick,
		Deadline:   now.Add(defaultQuoteTimeout),
		Idempotent: t.Idempotent,
		Payload:    r.Payload,
	}
	switch r.Class {
	case "", "quick":
	case "background":
		q.Class = quote.ClassBackground
	default:
		return quote.Request{}, NewFieldError("class", "must be quick or background")
	}
	if r.Deadline != nil {
		if !r.Deadline.After(now) {
			return quote.Request{}, NewFieldError("deadline", "has passed")
		}
		if r.Deadline.Sub(now) > maxQuoteTimeout {
			return quote.Request{}, NewFieldError("deadline", "must be within 5 minutes")
		}
		q.Deadline = *r.Deadline
	}
	if r.Idempotent != nil {
		q.Idempotent = *r.Idempotent
	}
	return q, d.checkBalance(r.Team)
}

// quoteAtMostOnce answers a request that must run at most once. It stores the
// answer before responding, so that a repeated request with the same id gets
// the same answer.
func (d *Daemon) quoteAtMostOnce(call context.Context, ctx khttp.Context, r quoteRequest, q quote.Request) error {
	sum := sha256.Sum256(r.Payload)
	claim, ok := d.claims.begin(q.ID, &schema.Request{Team: r.Team, Template: r.Template, Key: r.ID, Sum: sum[:]})
	if !ok {
		return NewAPIError(TypeOutcomeUnknown, "a request with this id is under way").WithExecution(ExecutionUnknown)
	}
	defer d.claims.end(q.ID)
	answer, err := d.router.Do(call, q)
	if err == nil {
		return d.storeAnswer(ctx, r.ID, claim, answer)
	}
	if claim.existing {
		return d.writeStoredAnswer(ctx, r.ID, claim.record)
	}
	return d.writeQuote(ctx, r.ID, answer, claimError(claim, err))
}

// claimError returns the error of the claim if it explains the failure,
// otherwise the error of the router.
func claimError(claim *requestClaim, err error) error {
	var conflict *ledger.IdempotencyConflictError
	if errors.As(claim.err, &conflict) {
		return NewAPIError(TypeConflict, conflict.Error()).WithCause(claim.err)
	}
	var claimed *ledger.ClaimedError
	if errors.As(claim.err, &claimed) {
		return NewAPIError(TypeOutcomeUnknown, claimed.Error()).WithExecution(ExecutionUnknown).WithCause(claim.err)
	}
	return err
}

// storeAnswer stores an answer and writes it as the response.
func (d *Daemon) storeAnswer(ctx khttp.Context, id string, claim *requestClaim, answer quote.Answer) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(requestContext(ctx)), ledgerTimeout)
	defer cancel()
	_, err := d.ledger.FinishRequest(call, claim.record.Id, claim.record.Claim, answer.Failed, answer.Content)
	if err != nil {
		d.log.Info(EventRetry, "what", "record of an answer", "request", claim.record.Id, "err", err)
	}
	return d.writeQuote(ctx, id, answer, nil)
}

// writeStoredAnswer responds with the stored answer of a request that ran
// before.
func (d *Daemon) writeStoredAnswer(ctx khttp.Context, id string, record *schema.Request) error {
	content, err := d.ledger.Answer(requestContext(ctx), record)
	if err != nil {
		return NewAPIError(TypeUnavailable, err.Error()).WithExecution(Executed).WithCause(err)
	}
	return d.writeQuote(ctx, id, quote.Answer{Failed: record.Failed, Content: content}, nil)
}

// writeQuote responds with an answer, or converts the error.
func (d *Daemon) writeQuote(ctx khttp.Context, id string, answer quote.Answer, err error) error {
	if err != nil {
		return quoteError(err)
	}
	if answer.Failed {
		return NewAPIError(TypeFailed, "the work failed on worker "+answer.Worker).WithExecution(Executed)
	}
	return writeJSON(ctx, http.StatusOK, quoteReply{
		ID:      id,
		Attempt: answer.Attempts,
		Worker:  answer.Worker,
		Content: string(answer.Content),
	})
}

// quoteError converts the error of a refused quick request.
func quoteError(err error) error {
	var refused *quote.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	apiErr := NewAPIError(quoteErrorType(refused), refused.Error()).WithCause(err)
	return apiErr.WithExecution(Execution(refused.Execution))
}

func quoteErrorType(refused *quote.RefusedError) string {
	if refused.Execution != quote.NotExecuted {
		return TypeOutcomeUnknown
	}
	switch refused.Reason {
	case quote.ReasonDraining:
		return TypeLeaving
	case quote.ReasonOverload, quote.ReasonBudget:
		return TypeOverload
	case quote.ReasonDeadline, quote.ReasonCancelled:
		return TypeDeadline
	case quote.ReasonDuplicate:
		return TypeConflict
	case quote.ReasonInvalid:
		return TypeField
	default:
		return TypeUnavailable
	}
}
