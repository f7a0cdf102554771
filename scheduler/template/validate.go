package template

import (
	"fmt"
	"math"
	"regexp"
	"slices"

	"daisylug.example/scheduler/schema"
)

const (
	maxPriority        = 1000
	maxWeight          = 1000
	maxGuaranteeCount  = 100000
	maxTeamTemplates   = 64
	maxTeamGuarantees  = 64
	maxEstimateSeconds = 366 * 24 * 3600
)

// namePattern allows names that are safe in keys, URLs and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidateTeam returns a *FieldError for the first invalid field of team. It does
// not check fields that depend on other records.
func (o Options) ValidateTeam(team *schema.Team) error {
	if err := checkName("name", team.Name); err != nil {
		return err
	}
	if err := checkRange("priority", team.Priority, 0, maxPriority); err != nil {
		return err
	}
	if err := checkRange("weight", team.Weight, 1, maxWeight); err != nil {
		return err
	}
	if err := checkAmount("prepaid", team.Prepaid, math.MaxFloat64); err != nil {
		return err
	}
	if len(team.Templates) > maxTeamTemplates {
		return &FieldError{Field: "templates", Cause: fmt.Sprintf("has more than %d entries", maxTeamTemplates)}
	}
	if len(team.Guarantees) > maxTeamGuarantees {
		return &FieldError{Field: "guarantees", Cause: fmt.Sprintf("has more than %d entries", maxTeamGuarantees)}
	}
	for i, g := range team.Guarantees {
		if err := o.checkGuarantee(fmt.Sprintf("guarantees[%d]", i), g); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) checkGuarantee(field string, g *schema.Guarantee) error {
	if err := checkName(field+".centre", g.GetCentre()); err != nil {
		return err
	}
	if err := o.checkShape(field+".shape", g.Shape); err != nil {
		return err
	}
	return checkRange(field+".count", g.Count, 1, maxGuaranteeCount)
}

// checkTemplates verifies that the templates of team exist in s and are not
// repeated.
func checkTemplates(team *schema.Team, s *Snapshot) error {
	for i, name := range team.Templates {
		field := fmt.Sprintf("templates[%d]", i)
		if template, _ := s.Template(name); template == nil {
			return &FieldError{Field: field, Cause: fmt.Sprintf("names the unknown template %q", name)}
		}
		if slices.Index(team.Templates, name) < i {
			return &FieldError{Field: field, Cause: fmt.Sprintf("repeats %q", name)}
		}
	}
	return nil
}

// ValidateTemplate returns a *FieldError for the first invalid field of t.
func (o Options) ValidateTemplate(t *schema.Template) error {
	if err := checkName("name", t.Name); err != nil {
		return err
	}
	if _, known := schema.Class_name[int32(t.Class)]; !known || t.Class == schema.Class_CLASS_UNSPECIFIED {
		return &FieldError{Field: "class", Cause: "is not quick, planned or background"}
	}
	if err := checkAmount("estimate", t.Estimate, maxEstimateSeconds); err != nil {
		return err
	}
	// A quick request runs in one slot and needs no shape.
	if t.Class == schema.Class_CLASS_QUICK && t.Shape == nil && t.Limit == nil {
		return nil
	}
	if err := o.checkShape("shape", t.Shape); err != nil {
		return err
	}
	if t.Limit == nil {
		return nil
	}
	if err := o.checkShape("limit", t.Limit); err != nil {
		return err
	}
	if t.Limit.Workers*t.Limit.Accelerators < t.Shape.Workers*t.Shape.Accelerators {
		return &FieldError{Field: "limit", Cause: "is smaller than the shape"}
	}
	return nil
}

// checkShape rejects shapes that no rack can hold.
func (o Options) checkShape(field string, s *schema.Shape) error {
	if s == nil {
		return &FieldError{Field: field, Cause: "is missing"}
	}
	if err := checkRange(field+".workers", s.Workers, 1, o.MaxWorkersPerRack); err != nil {
		return err
	}
	return checkRange(field+".accelerators", s.Accelerators, 1, o.MaxAcceleratorsPerWorker)
}

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{Field: field, Cause: "is not 1 to 63 lower-case letters, digits, dots, dashes or underscores with a letter or digit at both ends"}
	}
	return nil
}

func checkRange(field string, value, low, high int32) error {
	if value < low || value > high {
		return &FieldError{Field: field, Cause: fmt.Sprintf("is %d, not between %d and %d", value, low, high)}
	}
	return nil
}

func checkAmount(field string, value, high float64) error {
	if !(value >= 0 && value <= high) {
		return &FieldError{Field: field, Cause: fmt.Sprintf("is %v, not between 0 and %v", value, high)}
	}
	return nil
}
