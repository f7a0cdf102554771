package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

// Over returns the document that is in force once d has been applied: fields that
// an entry of d leaves out keep the values of inForce, which may be nil. The
// positions are those of d.
func (d *Document) Over(inForce *Document) *Document {
	merged := &Document{lines: d.lines, duplicates: d.duplicates}
	for _, e := range d.Entries {
		if old := inForce.Find(e.Kind, e.Name); old != nil {
			fields := maps.Clone(old.fields)
			delete(fields, "version")
			delete(fields, "config")
			maps.Copy(fields, e.fields)
			e = &Entry{Kind: e.Kind, Name: e.Name, path: e.path, fields: fields}
		}
		merged.Entries = append(merged.Entries, e)
	}
	return merged
}

// Check returns the faults of a document that is applied to the configuration in
// force, which is nil if it is not known, sorted by line.
func Check(d, inForce *Document, options template.Options) []Finding {
	c := &checker{document: d.Over(inForce), inForceKnown: inForce != nil, options: options, teams: map[string]*schema.Team{}, templates: map[string]*schema.Template{}}
	c.addInForce(inForce)
	for _, path := range d.duplicates {
		c.add(SeverityWarning, path, "is given twice, which an instance accepts; only one value takes effect, normally the last")
	}
	c.checkNames()
	for _, e := range c.document.Entries {
		if old := inForce.Find(e.Kind, e.Name); old != nil && e.Version() > 0 && old.Version() > 0 && e.Version() != old.Version() {
			c.add(SeverityError, joinPath(e.path, "version"), fmt.Sprintf("is %d, but version %d is in force", e.Version(), old.Version()))
		}
		c.checkEntry(e)
	}
	for _, e := range c.document.Entries {
		if t := c.teams[e.Name]; e.Kind == KindTeam && t != nil {
			c.checkTeam(e.path, t)
		}
	}
	c.checkUnused()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return c.findings
}

// checker collects the findings of a document.
type checker struct {
	document *Document
	// inForceKnown tells whether the configuration in force is known. Without it, a
	// template that the document lacks may exist.
	inForceKnown bool
	options      template.Options
	teams        map[string]*schema.Team
	templates    map[string]*schema.Template
	findings     []Finding
}

func (c *checker) add(severity Severity, path, message string) {
	c.findings = append(c.findings, Finding{severity, c.document.line(path), path, message})
}

// addInForce adds the entries in force. The daemon has accepted them, so that
// those that cannot be read are from a later version and skipped.
func (c *checker) addInForce(inForce *Document) {
	if inForce == nil {
		return
	}
	for _, e := range inForce.Entries {
		var team template.TeamBody
		var body template.Body
		switch e.Kind {
		case KindTeam:
			if json.Unmarshal(e.Fields(), &team) == nil {
				c.teams[e.Name] = team.Record()
			}
		case KindTemplate:
			if json.Unmarshal(e.Fields(), &body) == nil {
				if t, err := body.Record(); err == nil {
					c.templates[e.Name] = t
				}
			}
		}
	}
}

func (c *checker) checkNames() {
	seen := map[[2]string]bool{}
	for _, e := range c.document.Entries {
		key := [2]string{e.Kind, e.Name}
		if e.Name != "" && seen[key] {
			c.add(SeverityError, joinPath(e.path, "name"), fmt.Sprintf("%s %q is given twice", e.Kind, e.Name))
		}
		seen[key] = true
	}
}

// checkEntry checks an entry by itself. An entry with a fault counts as absent in
// the checks that follow, except that its name is known.
func (c *checker) checkEntry(e *Entry) {
	var err error
	// The zero values stand for an entry that cannot be read.
	if e.Kind == KindTeam {
		var body template.TeamBody
		c.teams[e.Name] = nil
		if c.decode(e, &body) {
			team := body.Record()
			if err = c.options.ValidateTeam(team); err == nil {
				c.teams[e.Name] = team
			}
		}
	} else {
		var body template.Body
		var record *schema.Template
		c.templates[e.Name] = nil
		if c.decode(e, &body) {
			if record, err = body.Record(); err == nil {
				err = c.options.ValidateTemplate(record)
			}
			if err == nil {
				c.templates[e.Name] = record
				c.checkShapeWithinLimit(e.path, record)
			}
		}
	}
	var field *template.FieldError
	if errors.As(err, &field) {
		c.add(SeverityError, joinPath(e.path, field.Field), field.Cause)
	}
}

// decode decodes an entry as the daemon does and reports whether that succeeded.
func (c *checker) decode(e *Entry, body any) bool {
	text, _ := json.Marshal(e.fields)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return true
	case errors.As(err, &wrongType):
		c.add(SeverityError, c.findPath(e.path, wrongType.Field), "cannot be "+wrongType.Value)
	default:
		name, _ := strings.CutPrefix(err.Error(), "json: unknown field ")
		c.add(SeverityError, c.findPath(e.path, strings.Trim(name, `"`)), "is not a known field")
	}
	return false
}

// findPath returns the first path below an entry that ends with the field. The
// decoder names a field in a list without its position.
func (c *checker) findPath(entry, field string) string {
	plain := func(path string) string {
		var b strings.Builder
		for part := range strings.SplitSeq(path, "[") {
			_, rest, found := strings.Cut(part, "]")
			if !found {
				rest = part
			}
			b.WriteString(rest)
		}
		return strings.TrimPrefix(b.String(), ".")
	}
	for _, path := range slices.Sorted(maps.Keys(c.document.lines)) {
		below, ok := strings.CutPrefix(path, entry)
		if p := plain(below); ok && (p == field || strings.HasSuffix(p, "."+field)) {
			return path
		}
	}
	return joinPath(entry, field)
}

// checkShapeWithinLimit reports a template whose own shape is above its limit, so
// that a job that names no shape is refused.
func (c *checker) checkShapeWithinLimit(path string, t *schema.Template) {
	if t.Limit != nil && !within(t.Shape, t.Limit) {
		c.add(SeverityWarning, joinPath(path, "limit"), "is below the shape, so that every job that names no shape is refused")
	}
}

func within(s, limit *schema.Shape) bool {
	return limit == nil || s.GetWorkers() <= limit.GetWorkers() && s.GetAccelerators() <= limit.GetAccelerators()
}

// checkTeam checks a team against the templates and its guarantees against each
// other.
func (c *checker) checkTeam(path string, team *schema.Team) {
	if len(team.Templates) == 0 {
		c.add(SeverityWarning, joinPath(path, "templates"), "is empty, so that everything that the team submits is refused")
	}
	var usable []*schema.Template
	complete := true
	for i, name := range team.Templates {
		at := fmt.Sprintf("%s[%d]", joinPath(path, "templates"), i)
		t, known := c.templates[name]
		switch {
		case slices.Index(team.Templates, name) < i:
			c.add(SeverityError, at, fmt.Sprintf("repeats %q", name))
		case known:
		case !c.inForceKnown || len(c.templates) == 0:
			c.add(SeverityWarning, at, fmt.Sprintf("names %q, which cannot be checked without the templates in force", name))
		default:
			c.add(SeverityError, at, fmt.Sprintf("names the unknown template %q", name))
		}
		complete = complete && t != nil
		if t != nil && t.Class != schema.Class_CLASS_QUICK {
			usable = append(usable, t)
		}
	}
	for i, g := range team.Guarantees {
		at := fmt.Sprintf("%s[%d]", joinPath(path, "guarantees"), i)
		same := func(o *schema.Guarantee) bool {
			return o.Centre == g.Centre && o.Shape.Workers == g.Shape.Workers && o.Shape.Accelerators == g.Shape.Accelerators
		}
		if first := slices.IndexFunc(team.Guarantees, same); first < i {
			c.add(SeverityWarning, at, fmt.Sprintf("has the centre and shape of guarantees[%d]; one entry with the sum of the counts says the same", first))
		}
		if complete && len(team.Templates) > 0 {
			c.checkGuarantee(joinPath(at, "shape"), g.Shape, usable)
		}
	}
}

// checkGuarantee reports a guaranteed shape that no job of the team can have, or
// only one that asks for less than its template.
func (c *checker) checkGuarantee(path string, s *schema.Shape, usable []*schema.Template) {
	allowed := func(t *schema.Template) bool { return within(s, t.Limit) }
	notBelow := func(t *schema.Template) bool { return s.Workers*s.Accelerators >= t.Shape.Workers*t.Shape.Accelerators }
	switch {
	case !slices.ContainsFunc(usable, allowed):
		c.add(SeverityWarning, path, "is above the limit of every template of the team, so that no job can use the guarantee")
	case !slices.ContainsFunc(usable, notBelow):
		c.add(SeverityWarning, path, "is smaller than the shape of every template of the team, so that only a job that asks for less can use the guarantee")
	}
}

// checkUnused reports templates that no team has, if the teams are known.
func (c *checker) checkUnused() {
	used := map[string]bool{}
	for _, t := range c.teams {
		for _, name := range t.GetTemplates() {
			used[name] = true
		}
	}
	if len(c.teams) == 0 || slices.Contains(slices.Collect(maps.Values(c.teams)), nil) {
		return
	}
	for _, e := range c.document.Entries {
		if e.Kind == KindTemplate && e.Name != "" && !used[e.Name] {
			c.add(SeverityWarning, joinPath(e.path, "name"), "no team has the template, so that it is never used")
		}
	}
}
