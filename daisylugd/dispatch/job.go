package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/balance"
	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
)

const (
	maxKeyBytes      = 200
	maxEstimate      = 366 * 24 * time.Hour
	maxListLimit     = 500
	defaultListLimit = 100
	maxCancelIDs     = 10000
	maxPollTimeout   = time.Minute
	// submitTimeout is below the 10 s timeout of the command line client, so
	// that the client is told that nothing was written instead of timing out.
	submitTimeout       = 8 * time.Second
	cancelTimeout       = 60 * time.Second
	initialPollInterval = 100 * time.Millisecond
	maxPollInterval     = time.Second
)

type submitRequest struct {
	Team       string          `json:"team"`
	Template   string          `json:"template"`
	Key        string          `json:"key"`
	Shape      *shapeBody      `json:"shape"`
	Class      string          `json:"class"`
	Deadline   *time.Time      `json:"deadline"`
	Idempotent *bool           `json:"idempotent"`
	Estimate   float64         `json:"estimate"`
	Centre     string          `json:"centre"`
	Payload    json.RawMessage `json:"payload"`
}

// submitJob stores a job durably and offers it to the planner.
func (d *Daemon) submitJob(ctx khttp.Context) error {
	var r submitRequest
	if err := d.decoder.decode(ctx.Request(), &r); err != nil {
		return err
	}
	job, err := d.buildJob(r, time.Now())
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(requestContext(ctx), submitTimeout)
	defer cancel()
	record, existing, err := d.ledger.Accept(call, job)
	if err != nil {
		return acceptError(err)
	}
	d.metrics.countAccepted(record.Team, className(record.Class), existing)
	status := http.StatusOK
	if !existing {
		d.log.V(1).Info(EventAccept, "job", record.Id, "team", record.Team, "centre", record.Centre)
		status = http.StatusCreated
		d.offer(record.Centre, record)
	}
	return d.writeJob(ctx, status, record)
}

// buildJob validates a submission against the configuration and the workers.
func (d *Daemon) buildJob(r submitRequest, now time.Time) (*schema.Job, error) {
	t, err := d.teamTemplate(r.Team, r.Template)
	if err != nil {
		return nil, err
	}
	if r.Key == "" || len(r.Key) > maxKeyBytes {
		return nil, NewFieldError("key", "must have 1 to 200 bytes")
	}
	job := &schema.Job{
		Team:       r.Team,
		Template:   r.Template,
		Key:        r.Key,
		Class:      t.Class,
		Shape:      t.Shape,
		Idempotent: t.Idempotent,
		Estimate:   t.Estimate,
		Payload:    r.Payload,
		Centre:     r.Centre,
		Accepted:   timestamppb.New(now),
	}
	if err := applyOptions(job, r, t, now); err != nil {
		return nil, err
	}
	if err := d.checkBalance(r.Team); err != nil {
		return nil, err
	}
	return job, d.assignCentre(job, now)
}

// teamTemplate returns a template that the team may use.
func (d *Daemon) teamTemplate(team, name string) (*schema.Template, error) {
	snapshot := d.catalogue.Snapshot()
	if team == "" {
		return nil, NewFieldError("team", "is required")
	}
	if name == "" {
		return nil, NewFieldError("template", "is required")
	}
	teamRecord, _ := snapshot.Team(team)
	if teamRecord == nil {
		return nil, NewFieldError("team", "is not known")
	}
	for _, allowed := range teamRecord.Templates {
		if allowed != name {
			continue
		}
		if t, _ := snapshot.Template(name); t != nil {
			return t, nil
		}
	}
	return nil, NewFieldError("template", "is not one of the team's templates")
}

// applyOptions applies the optional fields of a submission.
func applyOptions(job *schema.Job, r submitRequest, t *schema.Template, now time.Time) error {
	if r.Shape != nil {
		job.Shape = &schema.Shape{Workers: r.Shape.Workers, Accelerators: r.Shape.Accelerators}
	}
	if err := checkShape(job.Shape, t.Limit); err != nil {
		return err
	}
	switch r.Class {
	case "":
	case "planned":
		job.Class = schema.Class_CLASS_PLANNED
	case "background":
		job.Class = schema.Class_CLASS_BACKGROUND
	default:
		return NewFieldError("class", "must be planned or background")
	}
	if r.Deadline != nil {
		if !r.Deadline.After(now) {
			return NewFieldError("deadline", "has passed")
		}
		job.Deadline = timestamppb.New(*r.Deadline)
	}
	if r.Idempotent != nil {
		job.Idempotent = *r.Idempotent
	}
	if r.Estimate < 0 || r.Estimate > maxEstimate.Seconds() {
		return NewFieldError("estimate", "must be from 0 to 366 days, in seconds")
	}
	if r.Estimate > 0 {
		job.Estimate = r.Estimate
	}
	return nil
}

// checkShape validates a shape against the template's limit and the size of a
// rack.
func checkShape(s, limit *schema.Shape) error {
	if s.GetWorkers() < 1 {
		return NewFieldError("shape.workers", "must be at least 1")
	}
	if s.GetAccelerators() < 1 {
		return NewFieldError("shape.accelerators", "must be at least 1")
	}
	if limit != nil && s.Workers > limit.Workers {
		return NewFieldError("shape.workers", "is above the limit of the template")
	}
	if limit != nil && s.Accelerators > limit.Accelerators {
		return NewFieldError("shape.accelerators", "is above the limit of the template")
	}
	if err := shapeOf(s).Validate(); err != nil {
		return NewAPIError(TypeImpossible, err.Error()).WithCause(err)
	}
	return nil
}

// assignCentre sets the data centre of the job: the requested one, that of this
// instance, or another one if only that could ever run the job.
func (d *Daemon) assignCentre(job *schema.Job, now time.Time) error {
	listing, ok := d.group.Listing()
	if !ok {
		return NewAPIError(TypeUnavailable, "the list of workers is not known yet")
	}
	centres := []string{job.Centre}
	if job.Centre == "" {
		centres = candidateCentres(listing, d.self.DataCentre)
	}
	var refused error
	for _, centre := range centres {
		err := d.checkRunnable(job, centre, listing, now)
		if err == nil {
			job.Centre = centre
			return nil
		}
		if refused == nil {
			refused = err
		}
	}
	var reason *queue.RefusedError
	if errors.As(refused, &reason) {
		return NewAPIError(TypeImpossible, reason.Error()).WithCause(reason)
	}
	if refused != nil {
		return refused
	}
	return NewFieldError("centre", "has no workers")
}

// candidateCentres returns the own data centre, followed by the other data
// centres that have workers.
func candidateCentres(listing platform.Listing, own string) []string {
	centres := []string{own}
	seen := map[string]bool{own: true}
	for _, w := range listing.Workers {
		if !seen[w.DataCentre] {
			seen[w.DataCentre] = true
			centres = append(centres, w.DataCentre)
		}
	}
	return centres
}

// checkRunnable returns an error if the job can never run in the data centre.
func (d *Daemon) checkRunnable(job *schema.Job, centre string, listing platform.Listing, now time.Time) error {
	racks := rackLayout(listing.Workers, centre)
	if len(racks) == 0 {
		return NewFieldError("centre", "has no workers")
	}
	plan := d.plans.get(centre, d.catalogue.Snapshot(), listing)
	request := queue.Job{
		ID:             ledger.ID(job.Team, job.Key),
		Team:           job.Team,
		Shape:          shapeOf(job.Shape),
		NonPreemptible: !job.Idempotent,
	}
	return planner.Refuse(request, racks, plan, now)
}

// checkBalance returns an error if the balance of the team is spent. The
// account of a newly created team may not be known yet; its jobs are accepted
// and wait for the account.
func (d *Daemon) checkBalance(team string) error {
	err := d.account.Admit(team, 0, time.Now())
	var spent *balance.ExhaustedError
	if errors.As(err, &spent) {
		return NewAPIError(TypeBalance, err.Error()).WithCause(err)
	}
	return nil
}

func acceptError(err error) error {
	var conflict *ledger.IdempotencyConflictError
	if errors.As(err, &conflict) {
		return NewAPIError(TypeConflict, conflict.Error()).WithCause(err)
	}
	return storeError(err)
}

// storeError converts an error from a write to the table.
func storeError(err error) error {
	var full *ledger.FullError
	var field *ledger.FieldError
	switch {
	case errors.As(err, &field):
		return NewFieldError(field.Field, field.Cause)
	case errors.As(err, &full):
		return NewAPIError(TypeOverload, err.Error()).WithCause(err)
	case ledger.WriteStatus(err) == "no":
		return NewAPIError(TypeUnavailable, err.Error()).WithCause(err)
	default:
		return NewAPIError(TypeOutcomeUnknown, err.Error()).WithExecution(ExecutionUnknown).WithCause(err)
	}
}

// getJob returns a job, immediately or, with the wait parameter, once it has
// ended or the wait time has passed.
func (d *Daemon) getJob(ctx khttp.Context) error {
	id := pathVar(ctx, "id")
	wait, err := parseWait(ctx.Query().Get("wait"))
	if err != nil {
		return err
	}
	until := time.Now().Add(wait)
	pollInterval := initialPollInterval
	for {
		job, err := d.ledger.Get(requestContext(ctx), id)
		if err != nil {
			return readError(err)
		}
		remaining := time.Until(until)
		if isTerminal(job.State) || remaining <= 0 || d.draining.Load() {
			return d.writeJob(ctx, http.StatusOK, job)
		}
		select {
		case <-requestContext(ctx).Done():
			return requestContext(ctx).Err()
		case <-time.After(min(pollInterval, remaining)):
		}
		pollInterval = min(2*pollInterval, maxPollInterval)
	}
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxPollTimeout {
		return 0, NewFieldError("wait", "must be a duration from 0s to 60s")
	}
	return wait, nil
}

func readError(err error) error {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return NewAPIError(TypeNotFound, missing.Error()).WithCause(err)
	}
	return NewAPIError(TypeUnavailable, err.Error()).WithCause(err)
}

// listJobs returns one page of jobs.
func (d *Daemon) listJobs(ctx khttp.Context) error {
	limit, err := queryInt(ctx, "limit", defaultListLimit, maxListLimit)
	if err != nil {
		return err
	}
	state, err := parseState(ctx.Query().Get("state"))
	if err != nil {
		return err
	}
	filter := ledger.Filter{Team: ctx.Query().Get("team"), State: state}
	jobs, next, err := d.ledger.List(requestContext(ctx), filter, ctx.Query().Get("after"), limit)
	if err != nil {
		return readError(err)
	}
	reply := listReply{Jobs: make([]jobReply, 0, len(jobs)), Next: next}
	for _, job := range jobs {
		reply.Jobs = append(reply.Jobs, jobReplyOf(job))
	}
	return writeJSON(ctx, http.StatusOK, reply)
}
