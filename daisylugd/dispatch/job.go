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
	keyBytesMax  = 200
	estimateMax  = 366 * 24 * time.Hour
	listMax      = 500
	listFallback = 100
	cancelIDsMax = 10000
	waitMax      = time.Minute
	// submitWait is below the 10 s that the command line waits, so that a caller
	// learns that nothing was written instead of giving up.
	submitWait    = 8 * time.Second
	cancelWait    = 60 * time.Second
	waitPollFirst = 100 * time.Millisecond
	waitPollMost  = time.Second
)

type shapeBody struct {
	Workers      int32 `json:"workers"`
	Accelerators int32 `json:"accelerators"`
}

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

// submitJob accepts a job durably.
func (d *Daemon) submitJob(ctx khttp.Context) error {
	var r submitRequest
	if err := (decoder{int64(d.settings.BodyBytes)}).decode(ctx.Request(), &r); err != nil {
		return err
	}
	job, err := d.jobOf(r, time.Now())
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(callContext(ctx), submitWait)
	defer cancel()
	record, existing, err := d.ledger.Accept(call, job)
	if err != nil {
		return acceptFailure(err)
	}
	d.metrics.accepted(record.Team, className(record.Class), existing)
	status := http.StatusOK
	if !existing {
		d.log.V(1).Info(EventAccept, "job", record.Id, "team", record.Team, "centre", record.Centre)
		status = http.StatusCreated
		d.offer(record.Centre, record)
	}
	return d.writeJob(ctx, status, record)
}

// jobOf checks a submission against the configuration and the machines.
func (d *Daemon) jobOf(r submitRequest, now time.Time) (*schema.Job, error) {
	t, err := d.templateOf(r.Team, r.Template)
	if err != nil {
		return nil, err
	}
	if r.Key == "" || len(r.Key) > keyBytesMax {
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
	if err := applySubmit(job, r, t, now); err != nil {
		return nil, err
	}
	if err := d.balanceLeft(r.Team); err != nil {
		return nil, err
	}
	return job, d.place(job, now)
}

// templateOf returns a template of a team.
func (d *Daemon) templateOf(team, name string) (*schema.Template, error) {
	snapshot := d.catalogue.Snapshot()
	if team == "" {
		return nil, NewFieldError("team", "is required")
	}
	if name == "" {
		return nil, NewFieldError("template", "is required")
	}
	tm, _ := snapshot.Team(team)
	if tm == nil {
		return nil, NewFieldError("team", "is not known")
	}
	for _, one := range tm.Templates {
		if one != name {
			continue
		}
		if t, _ := snapshot.Template(name); t != nil {
			return t, nil
		}
	}
	return nil, NewFieldError("template", "is not one of the team's templates")
}

// applySubmit applies the optional fields of a submission.
func applySubmit(job *schema.Job, r submitRequest, t *schema.Template, now time.Time) error {
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
	if r.Estimate < 0 || r.Estimate > estimateMax.Seconds() {
		return NewFieldError("estimate", "must be from 0 to 366 days, in seconds")
	}
	if r.Estimate > 0 {
		job.Estimate = r.Estimate
	}
	return nil
}

// checkShape checks a shape against the sizes of a rack and a template's limit.
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

// place sets the job's data centre: the requested one, the own one, or another
// one if only that could ever run the job.
func (d *Daemon) place(job *schema.Job, now time.Time) error {
	listing, ok := d.group.Listing()
	if !ok {
		return NewAPIError(TypeUnavailable, "the list of workers is not known yet")
	}
	centres := []string{job.Centre}
	if job.Centre == "" {
		centres = centresOf(listing, d.self.DataCentre)
	}
	var refused error
	for _, centre := range centres {
		err := d.canRun(job, centre, listing, now)
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

// centresOf returns the data centres with workers, the own one first.
func centresOf(listing platform.Listing, own string) []string {
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

// canRun returns an error if the job can never run in the data centre.
func (d *Daemon) canRun(job *schema.Job, centre string, listing platform.Listing, now time.Time) error {
	racks := layout(listing.Workers, centre)
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

// balanceLeft refuses work of a team whose balance is spent. The account of a
// team that was created a moment ago may not be known yet; its work is accepted
// and waits for the account.
func (d *Daemon) balanceLeft(team string) error {
	err := d.account.Admit(team, 0, time.Now())
	var spent *balance.ExhaustedError
	if errors.As(err, &spent) {
		return NewAPIError(TypeBalance, err.Error()).WithCause(err)
	}
	return nil
}

func acceptFailure(err error) error {
	var content *ledger.IdempotencyConflictError
	if errors.As(err, &content) {
		return NewAPIError(TypeConflict, content.Error()).WithCause(err)
	}
	return storeFailure(err)
}

// storeFailure returns the failure of a write to the table.
func storeFailure(err error) error {
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

// getJob returns a job, at once or when it has ended.
func (d *Daemon) getJob(ctx khttp.Context) error {
	id := pathName(ctx, "id")
	wait, err := waitOf(ctx.Query().Get("wait"))
	if err != nil {
		return err
	}
	until := time.Now().Add(wait)
	pause := waitPollFirst
	for {
		job, err := d.ledger.Get(callContext(ctx), id)
		if err != nil {
			return readFailure(err)
		}
		left := time.Until(until)
		if ended(job.State) || left <= 0 || d.draining.Load() {
			return d.writeJob(ctx, http.StatusOK, job)
		}
		select {
		case <-callContext(ctx).Done():
			return callContext(ctx).Err()
		case <-time.After(min(pause, left)):
		}
		pause = min(2*pause, waitPollMost)
	}
}

func waitOf(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > waitMax {
		return 0, NewFieldError("wait", "must be a duration from 0s to 60s")
	}
	return wait, nil
}

func readFailure(err error) error {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return NewAPIError(TypeNotFound, missing.Error()).WithCause(err)
	}
	return NewAPIError(TypeUnavailable, err.Error()).WithCause(err)
}

// listJobs returns a page of jobs.
func (d *Daemon) listJobs(ctx khttp.Context) error {
	limit, err := queryCount(ctx, "limit", listFallback, listMax)
	if err != nil {
		return err
	}
	state, err := stateOf(ctx.Query().Get("state"))
	if err != nil {
		return err
	}
	filter := ledger.Filter{Team: ctx.Query().Get("team"), State: state}
	jobs, next, err := d.ledger.List(callContext(ctx), filter, ctx.Query().Get("after"), limit)
	if err != nil {
		return readFailure(err)
	}
	reply := listReply{Jobs: make([]jobReply, 0, len(jobs)), Next: next}
	for _, job := range jobs {
		reply.Jobs = append(reply.Jobs, jobBody(job))
	}
	return writeJSON(ctx, http.StatusOK, reply)
}
