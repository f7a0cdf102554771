package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// document is a JSON object as an instance or a file gives it. Fields that
// this version does not know are kept.
type document map[string]any

func (d document) text(name string) string {
	s, _ := d[name].(string)
	return s
}

func (d document) number(name string) int64 {
	n, _ := d[name].(json.Number)
	v, _ := n.Int64()
	return v
}

func (d document) object(name string) document {
	v, _ := d[name].(map[string]any)
	return v
}

// list returns the objects of a list.
func (d document) list(name string) []document {
	values, _ := d[name].([]any)
	return objects(values)
}

func objects(values []any) []document {
	list := make([]document, 0, len(values))
	for _, value := range values {
		if v, ok := value.(map[string]any); ok {
			list = append(list, v)
		}
	}
	return list
}

// without returns a copy without the named fields.
func (d document) without(names ...string) document {
	c := maps.Clone(d)
	for _, name := range names {
		delete(c, name)
	}
	return c
}

// with returns a copy with the fields of other in place of its own.
func (d document) with(other document) document {
	c := make(document, len(d)+len(other))
	maps.Copy(c, d)
	maps.Copy(c, other)
	return c
}

// change is the difference of one field.
type change struct {
	Field string `json:"field"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// differences returns the fields that differ, in the order of their names.
func differences(from, to document) []change {
	before, after := map[string]any{}, map[string]any{}
	flatten(before, "", map[string]any(from))
	flatten(after, "", map[string]any(to))
	names := maps.Clone(before)
	maps.Copy(names, after)
	var list []change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !same(before[name], after[name]) {
			list = append(list, change{Field: name, From: before[name], To: after[name]})
		}
	}
	return list
}

// flatten puts the values of nested fields under their paths. Zero values are
// left out: the stored records do not tell them from absent ones.
func flatten(into map[string]any, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for name, one := range v {
			flatten(into, join(path, name), one)
		}
	case []any:
		for i, one := range v {
			flatten(into, fmt.Sprintf("%s[%d]", path, i), one)
		}
	default:
		if !zero(v) {
			into[path] = v
		}
	}
}

func zero(value any) bool {
	n, ok := value.(json.Number)
	return value == "" || value == false || ok && same(n, json.Number("0"))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// same compares numbers by value, so that 1 equals 1.0.
func same(a, b any) bool {
	x, ok := a.(json.Number)
	y, also := b.(json.Number)
	if !ok || !also {
		return a == b
	}
	p, errA := x.Float64()
	q, errB := y.Float64()
	return x == y || errA == nil && errB == nil && p == q
}

// DocumentError reports a file that does not hold what it should.
type DocumentError struct {
	File   string
	Reason string
}

func (e *DocumentError) Error() string { return e.File + ": " + e.Reason }

// parseDocuments reads one object, a list of objects, or an object whose only
// field plural holds the list, as the list commands print it.
func parseDocuments(file, plural string, content []byte) ([]document, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, usageError(&DocumentError{file, "is not valid JSON: " + err.Error()})
	}
	if decoder.More() {
		return nil, usageError(&DocumentError{file, "has data after the JSON value"})
	}
	if v, ok := value.(map[string]any); ok {
		value = []any{v}
		if list, wrapped := v[plural].([]any); wrapped && len(v) == 1 {
			value = list
		}
	}
	values, _ := value.([]any)
	list := objects(values)
	if len(list) == 0 || len(list) != len(values) {
		return nil, usageError(&DocumentError{file, "must hold one object or a list of objects"})
	}
	return list, checkNames(file, list)
}

func checkNames(file string, list []document) error {
	seen := map[string]bool{}
	for i, d := range list {
		name := d.text("name")
		if name == "" {
			return usageError(&DocumentError{file, fmt.Sprintf("entry %d has no name", i+1)})
		}
		if seen[name] {
			return usageError(&DocumentError{file, fmt.Sprintf("%q is given twice", name)})
		}
		seen[name] = true
	}
	return nil
}
