package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// document is a JSON object from an instance or a file. It keeps fields that
// this version does not know.
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

// list returns the elements of a list field that are objects.
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

// without returns a copy of d that lacks the named fields.
func (d document) without(names ...string) document {
	c := maps.Clone(d)
	for _, name := range names {
		delete(c, name)
	}
	return c
}

// with returns a copy of d in which the fields of other are added or replaced.
func (d document) with(other document) document {
	c := make(document, len(d)+len(other))
	maps.Copy(c, d)
	maps.Copy(c, other)
	return c
}

// change is the old and the new value of a field.
type change struct {
	Field string `json:"field"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// differences returns the fields that differ, sorted by path.
func differences(from, to document) []change {
	before, after := map[string]any{}, map[string]any{}
	flatten(before, "", map[string]any(from))
	flatten(after, "", map[string]any(to))
	names := maps.Clone(before)
	maps.Copy(names, after)
	var list []change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !equalValues(before[name], after[name]) {
			list = append(list, change{Field: name, From: before[name], To: after[name]})
		}
	}
	return list
}

// flatten stores the nested scalar values by their paths. It omits zero values,
// because the stored records do not distinguish them from absent ones.
func flatten(into map[string]any, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for name, element := range v {
			flatten(into, joinPath(path, name), element)
		}
	case []any:
		for i, element := range v {
			flatten(into, fmt.Sprintf("%s[%d]", path, i), element)
		}
	default:
		if !isZero(v) {
			into[path] = v
		}
	}
}

func isZero(value any) bool {
	n, ok := value.(json.Number)
	return value == "" || value == false || ok && equalValues(n, json.Number("0"))
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// equalValues compares two scalars, and numbers by value, so that 1 equals 1.0.
func equalValues(a, b any) bool {
	x, xOK := a.(json.Number)
	y, yOK := b.(json.Number)
	if !xOK || !yOK {
		return a == b
	}
	xValue, xErr := x.Float64()
	yValue, yErr := y.Float64()
	return x == y || xErr == nil && yErr == nil && xValue == yValue
}

// DocumentError reports a file whose content is not valid.
type DocumentError struct {
	File   string
	Reason string
}

func (e *DocumentError) Error() string { return e.File + ": " + e.Reason }

// parseDocuments parses one object, a list of objects, or an object whose only
// field plural holds the list, which is the output of the list commands. Every
// object must have a unique name.
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
