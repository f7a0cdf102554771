package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
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

type guaranteeBody struct {
	Centre string    `json:"centre"`
	Shape  shapeBody `json:"shape"`
	Count  int32     `json:"count"`
}

type teamBody struct {
	Name       string          `json:"name"`
	Templates  []string        `json:"templates"`
	Priority   int32           `json:"priority"`
	Guarantees []guaranteeBody `json:"guarantees"`
	Prepaid    float64         `json:"prepaid"`
	Weight     int32           `json:"weight"`
	// Version and Config are set in responses and ignored in requests, so that
	// a response can be edited and sent back.
	Version int64 `json:"version,omitempty"`
	Config  int64 `json:"config,omitempty"`
}

type templateBody struct {
	Name       string     `json:"name"`
	Class      string     `json:"class"`
	Shape      shapeBody  `json:"shape"`
	Limit      *shapeBody `json:"limit,omitempty"`
	Estimate   float64    `json:"estimate"`
	Idempotent bool       `json:"idempotent"`
	Version    int64      `json:"version,omitempty"`
	Config     int64      `json:"config,omitempty"`
}

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
		reply.Teams = append(reply.Teams, teamBodyOf(t, version, snapshot.Version()))
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
	return writeJSON(ctx, http.StatusOK, teamBodyOf(t, version, snapshot.Version()))
}

func (d *Daemon) putTeam(ctx khttp.Context) error {
	var body teamBody
	version, err := d.decodeChange(ctx, &body, func() string { return body.Name })
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(requestContext(ctx), changeTimeout)
	defer cancel()
	written, err := d.catalogue.PutTeam(call, body.toSchema(), version)
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
		reply.Templates = append(reply.Templates, templateBodyOf(t, version, snapshot.Version()))
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
	return writeJSON(ctx, http.StatusOK, templateBodyOf(t, version, snapshot.Version()))
}

func (d *Daemon) putTemplate(ctx khttp.Context) error {
	var body templateBody
	version, err := d.decodeChange(ctx, &body, func() string { return body.Name })
	if err != nil {
		return err
	}
	record, err := body.toSchema()
	if err != nil {
		return err
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
	if err := (decoder{int64(d.settings.BodyBytes)}).decode(ctx.Request(), body); err != nil {
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

func teamBodyOf(t *schema.Team, version, config int64) teamBody {
	b := teamBody{
		Name:       t.Name,
		Templates:  append([]string{}, t.Templates...),
		Priority:   t.Priority,
		Guarantees: []guaranteeBody{},
		Prepaid:    t.Prepaid,
		Weight:     t.Weight,
		Version:    version,
		Config:     config,
	}
	for _, g := range t.Guarantees {
		b.Guarantees = append(b.Guarantees, guaranteeBody{Centre: g.Centre, Shape: shapeBodyOf(g.Shape), Count: g.Count})
	}
	return b
}

func shapeBodyOf(s *schema.Shape) shapeBody {
	return shapeBody{Workers: s.GetWorkers(), Accelerators: s.GetAccelerators()}
}

func (b shapeBody) toSchema() *schema.Shape {
	return &schema.Shape{Workers: b.Workers, Accelerators: b.Accelerators}
}

func (b teamBody) toSchema() *schema.Team {
	t := &schema.Team{
		Name:      b.Name,
		Templates: b.Templates,
		Priority:  b.Priority,
		Prepaid:   b.Prepaid,
		Weight:    b.Weight,
	}
	for _, g := range b.Guarantees {
		t.Guarantees = append(t.Guarantees, &schema.Guarantee{Centre: g.Centre, Shape: g.Shape.toSchema(), Count: g.Count})
	}
	return t
}

func templateBodyOf(t *schema.Template, version, config int64) templateBody {
	b := templateBody{
		Name:       t.Name,
		Class:      className(t.Class),
		Shape:      shapeBodyOf(t.Shape),
		Estimate:   t.Estimate,
		Idempotent: t.Idempotent,
		Version:    version,
		Config:     config,
	}
	if t.Limit != nil {
		limit := shapeBodyOf(t.Limit)
		b.Limit = &limit
	}
	return b
}

func (b templateBody) toSchema() (*schema.Template, error) {
	class, ok := schema.Class_value["CLASS_"+strings.ToUpper(b.Class)]
	if !ok || class == 0 {
		return nil, NewFieldError("class", "must be quick, planned or background")
	}
	t := &schema.Template{
		Name:       b.Name,
		Class:      schema.Class(class),
		Shape:      b.Shape.toSchema(),
		Estimate:   b.Estimate,
		Idempotent: b.Idempotent,
	}
	if b.Limit != nil {
		t.Limit = b.Limit.toSchema()
	}
	return t, nil
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
