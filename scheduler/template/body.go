package template

import (
	"strings"

	"daisylug.example/scheduler/schema"
)

// ShapeBody is the JSON form of a shape.
type ShapeBody struct {
	Workers      int32 `json:"workers"`
	Accelerators int32 `json:"accelerators"`
}

// GuaranteeBody is the JSON form of a guarantee.
type GuaranteeBody struct {
	Centre string    `json:"centre"`
	Shape  ShapeBody `json:"shape"`
	Count  int32     `json:"count"`
}

// TeamBody is the JSON form of a team, in requests, responses and files.
type TeamBody struct {
	Name       string          `json:"name"`
	Templates  []string        `json:"templates"`
	Priority   int32           `json:"priority"`
	Guarantees []GuaranteeBody `json:"guarantees"`
	Prepaid    float64         `json:"prepaid"`
	Weight     int32           `json:"weight"`
	// Version and Config are set in responses and ignored in requests, so that
	// a response can be edited and sent back.
	Version int64 `json:"version,omitempty"`
	Config  int64 `json:"config,omitempty"`
}

// Body is the JSON form of a template, in requests, responses and files.
type Body struct {
	Name       string     `json:"name"`
	Class      string     `json:"class"`
	Shape      ShapeBody  `json:"shape"`
	Limit      *ShapeBody `json:"limit,omitempty"`
	Estimate   float64    `json:"estimate"`
	Idempotent bool       `json:"idempotent"`
	Version    int64      `json:"version,omitempty"`
	Config     int64      `json:"config,omitempty"`
}

// TeamBodyOf returns the JSON form of a team at a version of its row and of the
// configuration.
func TeamBodyOf(t *schema.Team, version, config int64) TeamBody {
	b := TeamBody{
		Name:       t.Name,
		Templates:  append([]string{}, t.Templates...),
		Priority:   t.Priority,
		Guarantees: []GuaranteeBody{},
		Prepaid:    t.Prepaid,
		Weight:     t.Weight,
		Version:    version,
		Config:     config,
	}
	for _, g := range t.Guarantees {
		b.Guarantees = append(b.Guarantees, GuaranteeBody{Centre: g.Centre, Shape: shapeBodyOf(g.Shape), Count: g.Count})
	}
	return b
}

func shapeBodyOf(s *schema.Shape) ShapeBody {
	return ShapeBody{Workers: s.GetWorkers(), Accelerators: s.GetAccelerators()}
}

func (b ShapeBody) record() *schema.Shape {
	return &schema.Shape{Workers: b.Workers, Accelerators: b.Accelerators}
}

// Record returns the stored form of the team, without its version.
func (b TeamBody) Record() *schema.Team {
	t := &schema.Team{
		Name:      b.Name,
		Templates: b.Templates,
		Priority:  b.Priority,
		Prepaid:   b.Prepaid,
		Weight:    b.Weight,
	}
	for _, g := range b.Guarantees {
		t.Guarantees = append(t.Guarantees, &schema.Guarantee{Centre: g.Centre, Shape: g.Shape.record(), Count: g.Count})
	}
	return t
}

// classPrefix precedes the name of a class in the schema.
const classPrefix = "CLASS_"

// BodyOf returns the JSON form of a template at a version of its row and of
// the configuration.
func BodyOf(t *schema.Template, version, config int64) Body {
	b := Body{
		Name:       t.Name,
		Class:      strings.ToLower(strings.TrimPrefix(t.Class.String(), classPrefix)),
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

// Record returns the stored form of the template, without its version, or a
// *FieldError if the class is unknown.
func (b Body) Record() (*schema.Template, error) {
	class, ok := schema.Class_value[classPrefix+strings.ToUpper(b.Class)]
	if !ok || class == 0 {
		return nil, &FieldError{Field: "class", Cause: "must be quick, planned or background"}
	}
	t := &schema.Template{
		Name:       b.Name,
		Class:      schema.Class(class),
		Shape:      b.Shape.record(),
		Estimate:   b.Estimate,
		Idempotent: b.Idempotent,
	}
	if b.Limit != nil {
		t.Limit = b.Limit.record()
	}
	return t, nil
}
