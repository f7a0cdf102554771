package console

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// responseGracePeriod is the time past the deadline of a request for which its
// response is awaited, so that the instance's own response can still arrive.
const responseGracePeriod = time.Second

type quoteCommand struct {
	Team       string   `required:"" env:"DAISYLUG_TEAM" placeholder:"NAME" help:"Team that the request belongs to."`
	Template   string   `required:"" placeholder:"NAME" help:"One of the team's templates."`
	ID         string   `name:"id" placeholder:"TEXT" help:"Names the request in every attempt. Default: a new one."`
	Class      string   `enum:",quick,background" default:"" placeholder:"CLASS" help:"Class: quick or background. Default: quick."`
	Deadline   timeFlag `placeholder:"TIME" help:"Time, or duration from now, after which the answer is of no use. Default: 5s."`
	Idempotent *bool    `negatable:"" help:"Whether the request may run more than once; only then is it sent again after an attempt without an answer. Default: the template's."`
	Payload    string   `placeholder:"JSON" help:"JSON handed to the worker; @FILE reads a file and - the standard input."`
}

// quoteRequest is the body of a quick request.
type quoteRequest struct {
	Team       string          `json:"team"`
	Template   string          `json:"template"`
	ID         string          `json:"id"`
	Class      string          `json:"class,omitempty"`
	Deadline   time.Time       `json:"deadline,omitzero"`
	Idempotent *bool           `json:"idempotent,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Run sends the request and prints the response.
func (c *quoteCommand) Run(s *session) error {
	payload, err := readPayload(c.Payload, s.In)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	resp, err := s.client.do(s.ctx, quoteCall(quoteRequest{
		Team:       c.Team,
		Template:   c.Template,
		ID:         c.ID,
		Class:      c.Class,
		Deadline:   c.Deadline.Time,
		Idempotent: c.Idempotent,
		Payload:    payload,
	}))
	if err != nil {
		return err
	}
	var answer document
	if err := resp.decode(&answer); err != nil {
		return err
	}
	return s.printer.print(answer, func(t *table) { t.fields(answer, "id", "attempt", "worker", "content") })
}

// quoteCall returns the call that sends r. It is only repeatable if r says so,
// because the template's default is not known here.
func quoteCall(r quoteRequest) call {
	q := call{method: http.MethodPost, path: "/v1/quotes", body: r}
	q.repeatable = r.Idempotent != nil && *r.Idempotent
	if !r.Deadline.IsZero() {
		q.deadline = r.Deadline.Add(responseGracePeriod)
	}
	return q
}
