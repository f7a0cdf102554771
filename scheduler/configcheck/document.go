// Package configcheck checks files of teams and templates without an instance: with
// the schema and the validation of the daemon, and for entries that are valid but
// can never have an effect. It reads no file, clock or network.
package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"daisylug.example/scheduler/template"
)

// Kinds of entries.
const (
	KindTeam     = "team"
	KindTemplate = "template"
)

// Severity tells whether the daemon would refuse an entry.
type Severity string

// Severities of findings.
const (
	// SeverityError is a fault for which the daemon refuses the entry.
	SeverityError Severity = "error"
	// SeverityWarning is something that the daemon accepts but that has no effect or
	// contradicts something else.
	SeverityWarning Severity = "warning"
)

// Finding is a fault of a file.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line is the line of the value, from 1.
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// SyntaxError reports a file that is not JSON of the expected form.
type SyntaxError struct {
	Line   int
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Entry is a team or template of a file.
type Entry struct {
	Kind string
	Name string
	// path is the path of the entry in its file.
	path   string
	fields map[string]json.RawMessage
}

// Fields returns the JSON of the entry without the versions, which are no part of
// the configuration.
func (e *Entry) Fields() []byte {
	fields := maps.Clone(e.fields)
	delete(fields, "version")
	delete(fields, "config")
	// The values come from a decoder, so that they can be encoded.
	text, _ := json.Marshal(fields)
	return text
}

// Version returns the version that the entry was made from, or 0.
func (e *Entry) Version() int64 {
	var version int64
	_ = json.Unmarshal(e.fields["version"], &version)
	return version
}

// Document is a parsed file.
type Document struct {
	Entries []*Entry
	// lines maps the path of each value to its line, duplicates the paths of fields
	// that occur twice in their object.
	lines      map[string]int
	duplicates []string
}

// Find returns an entry, or nil.
func (d *Document) Find(kind, name string) *Entry {
	if d == nil {
		return nil
	}
	for _, e := range d.Entries {
		if e.Kind == kind && e.Name == name {
			return e
		}
	}
	return nil
}

// Parse parses one team or template, a list of them, or an object with the fields
// teams and templates, which is also the output of the list commands. It returns a
// *SyntaxError if the content is none of these.
func Parse(content []byte) (*Document, error) {
	d := &Document{lines: map[string]int{}}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	w := walker{decoder: decoder, content: content, document: d}
	if err := w.value(""); err != nil {
		return nil, w.syntaxError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &SyntaxError{w.line(), "has data after the JSON value"}
	}
	return d, d.addEntries(content)
}

func (d *Document) addEntries(content []byte) error {
	var list []json.RawMessage
	if json.Unmarshal(content, &list) == nil {
		return d.addList("", "", list)
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(content, &object) != nil {
		return &SyntaxError{1, "must hold an object or a list of objects"}
	}
	found, single := false, false
	for field := range object {
		single = single || fieldName(field) == "name"
	}
	for _, c := range []struct{ field, kind string }{{"templates", KindTemplate}, {"teams", KindTeam}} {
		// A single team has a field templates as well, a list of names.
		if single || object[c.field] == nil {
			continue
		}
		found = true
		var list []json.RawMessage
		if json.Unmarshal(object[c.field], &list) != nil {
			return &SyntaxError{d.line(c.field), c.field + " must be a list"}
		}
		if err := d.addList(c.field, c.kind, list); err != nil {
			return err
		}
	}
	if !found {
		return d.add("", "", content)
	}
	for field := range object {
		if field != "teams" && field != "templates" {
			return &SyntaxError{d.line(fieldName(field)), fmt.Sprintf("%q is not a known field", field)}
		}
	}
	return nil
}

func (d *Document) addList(path, kind string, list []json.RawMessage) error {
	for i, content := range list {
		if err := d.add(fmt.Sprintf("%s[%d]", path, i), kind, content); err != nil {
			return err
		}
	}
	return nil
}

// add adds an entry. Without a kind, an entry with a field that only templates have
// is a template.
func (d *Document) add(path, kind string, content []byte) error {
	e := &Entry{Kind: kind, path: path}
	if json.Unmarshal(withFieldNames(content), &e.fields) != nil || e.fields == nil {
		return &SyntaxError{d.line(path), "an entry must be an object"}
	}
	if kind == "" {
		e.Kind = KindTeam
		for _, field := range []string{"class", "shape", "limit", "estimate", "idempotent"} {
			if e.fields[field] != nil {
				e.Kind = KindTemplate
			}
		}
	}
	_ = json.Unmarshal(e.fields["name"], &e.Name)
	d.Entries = append(d.Entries, e)
	return nil
}

// fieldNames are the names of all fields of teams and templates.
var fieldNames = jsonNames(reflect.TypeFor[template.TeamBody](), jsonNames(reflect.TypeFor[template.Body](), nil))

// jsonNames appends the names of the fields of a type and of the types within it.
func jsonNames(t reflect.Type, names []string) []string {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		return jsonNames(t.Elem(), names)
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names = jsonNames(t.Field(i).Type, append(names, name))
		}
	}
	return names
}

// fieldName returns the known name that the daemon takes a name for, which it
// matches regardless of case, or the name itself if there is none.
func fieldName(name string) string {
	if i := slices.IndexFunc(fieldNames, func(known string) bool { return strings.EqualFold(known, name) }); i >= 0 {
		return fieldNames[i]
	}
	return name
}

// withFieldNames returns valid JSON with the known names of all fields. Of a field
// that occurs twice, the last value remains.
func withFieldNames(content json.RawMessage) json.RawMessage {
	decoder := json.NewDecoder(bytes.NewReader(content))
	var value any
	switch token, _ := decoder.Token(); token {
	case json.Delim('{'):
		fields := map[string]json.RawMessage{}
		for decoder.More() {
			name, _ := decoder.Token()
			var field json.RawMessage
			_ = decoder.Decode(&field)
			fields[fieldName(fmt.Sprint(name))] = withFieldNames(field)
		}
		value = fields
	case json.Delim('['):
		list := []json.RawMessage{}
		for decoder.More() {
			var element json.RawMessage
			_ = decoder.Decode(&element)
			list = append(list, withFieldNames(element))
		}
		value = list
	default:
		return content
	}
	text, _ := json.Marshal(value)
	return text
}

// line returns the line of a path, or of the nearest value that contains it.
func (d *Document) line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

// walker records the line of each value.
type walker struct {
	decoder  *json.Decoder
	content  []byte
	document *Document
}

// line returns the line after the token that was read last.
func (w *walker) line() int { return lineAt(w.content, w.decoder.InputOffset()) }

func lineAt(content []byte, offset int64) int {
	return 1 + bytes.Count(content[:min(max(offset, 0), int64(len(content)))], []byte("\n"))
}

func (w *walker) syntaxError(err error) *SyntaxError {
	line := w.line()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line = lineAt(w.content, syntax.Offset)
	}
	return &SyntaxError{line, "is not valid JSON: " + err.Error()}
}

// value reads one value.
func (w *walker) value(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.document.lines[path] = w.line()
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			if err := w.value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
		_, err = w.decoder.Token()
	}
	return err
}

func (w *walker) object(path string) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		name = fieldName(name)
		field := joinPath(path, name)
		if seen[name] {
			w.document.duplicates = append(w.document.duplicates, field)
		}
		seen[name] = true
		if err := w.value(field); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
