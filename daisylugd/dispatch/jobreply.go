package dispatch

import (
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/schema"
)

type jobReply struct {
	ID         string     `json:"id"`
	Team       string     `json:"team"`
	Template   string     `json:"template"`
	Key        string     `json:"key"`
	Shape      shapeBody  `json:"shape"`
	Class      string     `json:"class"`
	Deadline   *time.Time `json:"deadline,omitempty"`
	Idempotent bool       `json:"idempotent"`
	Estimate   float64    `json:"estimate"`
	State      string     `json:"state"`
	Attempt    int32      `json:"attempt"`
	Centre     string     `json:"centre"`
	Rack       string     `json:"rack,omitempty"`
	Accepted   *time.Time `json:"accepted,omitempty"`
	Started    *time.Time `json:"started,omitempty"`
	Ended      *time.Time `json:"ended,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	Results    []string   `json:"results,omitempty"`
}

type listReply struct {
	Jobs []jobReply `json:"jobs"`
	Next string     `json:"next,omitempty"`
}

// writeJob responds with a job and, if it is done, its results.
func (d *Daemon) writeJob(ctx khttp.Context, status int, job *schema.Job) error {
	body := jobReplyOf(job)
	if job.State == schema.State_STATE_DONE {
		results, err := d.ledger.Results(requestContext(ctx), job)
		if err != nil {
			return NewAPIError(TypeUnavailable, err.Error()).WithExecution(Executed).WithCause(err)
		}
		for _, r := range results {
			body.Results = append(body.Results, string(r))
		}
	}
	return writeJSON(ctx, status, body)
}

func jobReplyOf(job *schema.Job) jobReply {
	return jobReply{
		ID:         job.Id,
		Team:       job.Team,
		Template:   job.Template,
		Key:        job.Key,
		Shape:      shapeBody{Workers: job.Shape.GetWorkers(), Accelerators: job.Shape.GetAccelerators()},
		Class:      className(job.Class),
		Deadline:   optionalTime(job.Deadline),
		Idempotent: job.Idempotent,
		Estimate:   job.Estimate,
		State:      stateName(job.State),
		Attempt:    job.Attempt,
		Centre:     job.Centre,
		Rack:       job.Rack,
		Accepted:   optionalTime(job.Accepted),
		Started:    optionalTime(job.Started),
		Ended:      optionalTime(job.Ended),
		Reason:     job.Reason,
	}
}

func optionalTime(t *timestamppb.Timestamp) *time.Time {
	if t == nil {
		return nil
	}
	v := t.AsTime()
	return &v
}

func className(c schema.Class) string {
	return strings.ToLower(strings.TrimPrefix(c.String(), "CLASS_"))
}

func stateName(s schema.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

// parseState returns the state with the given name; an empty name selects all
// states.
func parseState(name string) (schema.State, error) {
	if name == "" {
		return schema.State_STATE_UNSPECIFIED, nil
	}
	s, ok := schema.State_value["STATE_"+strings.ToUpper(name)]
	if !ok || s == 0 {
		return 0, NewFieldError("state", "is not a state of a job")
	}
	return schema.State(s), nil
}
