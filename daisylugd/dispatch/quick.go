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
	// quoteDeadline applies to quick requests without a deadline.
	quoteDeadline = 5 * time.Second
	// quoteDeadlineMax bounds the deadline of a quick request.
	quoteDeadlineMax = 5 * time.Minute
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

// quote answers a quick request within the call.
func (d *Daemon) quote(ctx khttp.Context) error {
	now := time.Now()
	var r quoteRequest
	if err := (decoder{int64(d.settings.BodyBytes)}).decode(ctx.Request(), &r); err != nil {
		return err
	}
	q, err := d.quoteOf(r, now)
	if err != nil {
		return err
	}
	call, cancel := context.WithDeadline(callContext(ctx), q.Deadline)
	defer cancel()
	if q.Idempotent {
		answer, err := d.router.Do(call, q)
		return d.writeQuote(ctx, r.ID, answer, err)
	}
	return d.quoteOnce(call, ctx, r, q)
}

// quoteOf checks a quick request.
func (d *Daemon) quoteOf(r quoteRequest, now time.Time) (quote.Request, error) {
	t, err := d.templateOf(r.Team, r.Template)
	if err != nil {
		return quote.Request{}, err
	}
	if r.ID == "" || len(r.ID) > keyBytesMax {
		return quote.Request{}, NewFieldError("id", "must have 1 to 200 bytes")
	}
	q := quote.Request{
		ID:         r.Team + "/" + r.ID,
		Team:       r.Team,
		Template:   r.Template,
		Class:      quote.ClassQuick,
		Deadline:   now.Add(quoteDeadline),
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
		if r.Deadline.Sub(now) > quoteDeadlineMax {
			return quote.Request{}, NewFieldError("deadline", "must be within 5 minutes")
		}
		q.Deadline = *r.Deadline
	}
	if r.Idempotent != nil {
		q.Idempotent = *r.Idempotent
	}
	return q, d.balanceLeft(r.Team)
}

// quoteOnce answers a request that must run at most once. Its answer is stored
// before it is given, so that the same id gets the same answer again.
func (d *Daemon) quoteOnce(call context.Context, ctx khttp.Context, r quoteRequest, q quote.Request) error {
	sum := sha256.Sum256(r.Payload)
	one, ok := d.claims.begin(q.ID, &schema.Request{Team: r.Team, Template: r.Template, Key: r.ID, Sum: sum[:]})
	if !ok {
		return NewAPIError(TypeOutcomeUnknown, "a request with this id is under way").WithExecution(ExecutionUnknown)
	}
	defer d.claims.end(q.ID)
	answer, err := d.router.Do(call, q)
	if err == nil {
		return d.storeAnswer(ctx, r.ID, one, answer)
	}
	if one.existing {
		return d.repeatAnswer(ctx, r.ID, one.record)
	}
	return d.writeQuote(ctx, r.ID, answer, claimFailure(one, err))
}

// claimFailure prefers what the claim found over the router's refusal.
func claimFailure(one *claim, err error) error {
	var content *ledger.IdempotencyConflictError
	if errors.As(one.err, &content) {
		return NewAPIError(TypeConflict, content.Error()).WithCause(one.err)
	}
	var claimed *ledger.ClaimedError
	if errors.As(one.err, &claimed) {
		return NewAPIError(TypeOutcomeUnknown, claimed.Error()).WithExecution(ExecutionUnknown).WithCause(one.err)
	}
	return err
}

// storeAnswer stores an answer and gives it.
func (d *Daemon) storeAnswer(ctx khttp.Context, id string, one *claim, answer quote.Answer) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(callContext(ctx)), recordWait)
	defer cancel()
	_, err := d.ledger.FinishRequest(call, one.record.Id, one.record.Claim, answer.Failed, answer.Content)
	if err != nil {
		d.log.Info(EventRetry, "what", "record of an answer", "request", one.record.Id, "err", err)
	}
	return d.writeQuote(ctx, id, answer, nil)
}

// repeatAnswer gives the stored answer of a request that ran before.
func (d *Daemon) repeatAnswer(ctx khttp.Context, id string, record *schema.Request) error {
	content, err := d.ledger.Answer(callContext(ctx), record)
	if err != nil {
		return NewAPIError(TypeUnavailable, err.Error()).WithExecution(Executed).WithCause(err)
	}
	return d.writeQuote(ctx, id, quote.Answer{Failed: record.Failed, Content: content}, nil)
}

// writeQuote gives an answer or the refusal.
func (d *Daemon) writeQuote(ctx khttp.Context, id string, answer quote.Answer, err error) error {
	if err != nil {
		return quoteFailure(err)
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

// quoteFailure returns the failure of a refused quick request.
func quoteFailure(err error) error {
	var refused *quote.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	f := NewAPIError(quoteFailureType(refused), refused.Error()).WithCause(err)
	return f.WithExecution(Execution(refused.Execution))
}

func quoteFailureType(refused *quote.RefusedError) string {
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
