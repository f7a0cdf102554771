package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

// changeTimeout limits a change of a team or template. Like submitTimeout, it
// is below the 10 s timeout of the command line client.
const changeTimeout = 8 * time.Second

type (
	shapeBody    = template.ShapeBody
	teamBody     = template.TeamBody
	templateBody = template.Body
)

type teamsReply struct {
	Teams []teamBody `json:"teams"`
}

type templatesReply struct {
	Templates []templateBody `json:"templates"`
}

func (d *Daemon) listTeams(ctx khttp.Context) error {
	snapshot := d.catalogue.Snapshot()
	reply := teamsReply{Teams: []teamBody{}}
	for _, t := range snapshot.Teams() {
		_, version := snapshot.Team(t.Name)
		reply.Teams = append(reply.Teams, template.TeamBodyOf(t, version, snapshot.Version()))
	}
	return writeJSON(ctx, http.StatusOK, reply)
}

func (d *Daemon) getTeam(ctx khttp.Context) error {
	snapshot := d.catalogue.Snapshot()
	name := pathVar(ctx, "name")
	t, version := snapshot.Team(name)
	if t == nil {
		return NewAPIError(TypeNotFound, "team "+name+" not found")
	}
	ctx.Response().Header().Set("ETag", etag(version))
	return writeJSON(ctx, http.StatusOK, template.TeamBodyOf(t, version, snapshot.Version()))
}

func (d *Daemon) putTeam(ctx khttp.Context) error {
	var body teamBody
	version, err := d.decodeChange(ctx, &body, func() string { return body.Name })
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(requestContext(ctx), changeTimeout)
	defer cancel()
	written, err := d.catalogue.PutTeam(call, body.Record(), version)
	if err != nil {
		return catalogueError(err)
	}
	body.Version, body.Config = written.Row, written.Config
	ctx.Response().Header().Set("ETag", etag(written.Row))
	return writeJSON(ctx, http.StatusOK, body)
}

func (d *Daemon) listTemplates(ctx khttp.Context) error {
	snapshot := d.catalogue.Snapshot()
	reply := templatesReply{Templates: []templateBody{}}
	for _, t := range snapshot.Templates() {
		_, version := snapshot.Template(t.Name)
		reply.Templates = append(reply.Templates, template.BodyOf(t, version, snapshot.Version()))
	}
	return writeJSON(ctx, http.StatusOK, reply)
}

func (d *Daemon) getTemplate(ctx khttp.Context) error {
	snapshot := d.catalogue.Snapshot()
	name := pathVar(ctx, "name")
	t, version := snapshot.Template(name)
	if t == nil {
		return NewAPIError(TypeNotFound, "template "+name+" not found")
	}
	ctx.Response().Header().Set("ETag", etag(version))
	return writeJSON(ctx, http.StatusOK, template.BodyOf(t, version, snapshot.Version()))
}

func (d *Daemon) putTemplate(ctx khttp.Context) error {
	var body templateBody
	version, err := d.decodeChange(ctx, &body, func() string { return body.Name })
	if err != nil {
		return err
	}
	record, err := body.Record()
	if err != nil {
		return catalogueError(err)
	}
	call, cancel := context.WithTimeout(requestContext(ctx), changeTimeout)
	defer cancel()
	written, err := d.catalogue.PutTemplate(call, record, version)
	if err != nil {
		return catalogueError(err)
	}
	body.Version, body.Config = written.Row, written.Config
	ctx.Response().Header().Set("ETag", etag(written.Row))
	return writeJSON(ctx, http.StatusOK, body)
}

// decodeChange reads the body of a change and the version that it is based on.
func (d *Daemon) decodeChange(ctx khttp.Context, body any, name func() string) (int64, error) {
	if err := d.decoder.decode(ctx.Request(), body); err != nil {
		return 0, err
	}
	if name() != pathVar(ctx, "name") {
		return 0, NewFieldError("name", "differs from the name in the path")
	}
	return matchVersion(ctx.Request())
}

func catalogueError(err error) error {
	var field *template.FieldError
	var conflict *template.ConflictError
	var infeasible *template.InfeasibleError
	var notWritten *template.NotWrittenError
	switch {
	case errors.As(err, &field):
		return NewFieldError(field.Field, field.Cause)
	case errors.As(err, &conflict):
		return NewAPIError(TypeConflict, conflict.Error()).WithVersion(conflict.Version).WithCause(err)
	case errors.As(err, &infeasible):
		return NewAPIError(TypeGuarantee, infeasible.Error()).WithCause(err)
	case errors.As(err, &notWritten):
		return NewAPIError(TypeUnavailable, err.Error()).WithCause(err)
	default:
		return NewAPIError(TypeOutcomeUnknown, err.Error()).WithExecution(ExecutionUnknown).WithCause(err)
	}
}

// checkGuarantees returns an error if the workers cannot hold the guarantees of
// all teams.
func checkGuarantees(teams []*schema.Team, workers []platform.WorkerInfo) error {
	centres := make(map[string]bool)
	for _, t := range teams {
		for _, g := range t.Guarantees {
			centres[g.Centre] = true
		}
	}
	for centre := range centres {
		if err := guarantee.Check(rackLayout(workers, centre), centreGuarantees(teams, centre)); err != nil {
			return err
		}
	}
	return nil
}

// plans caches the guarantee plan of each data centre and recomputes it when
// its inputs change.
type plans struct {
	mu    sync.Mutex
	cache map[string]*planCache
}

func newPlans() *plans { return &plans{cache: make(map[string]*planCache)} }

func (p *plans) get(centre string, s *template.Snapshot, listing platform.Listing) guarantee.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cache[centre]
	if !ok {
		c = new(planCache)
		p.cache[centre] = c
	}
	c.update(centre, s, listing)
	return c.plan
}
