package console

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// columnPadding is the number of spaces between table columns.
const columnPadding = 2

// printer writes results in the selected output format.
type printer struct {
	out    io.Writer
	format string
}

func newPrinter(out io.Writer, format string) *printer {
	return &printer{out: out, format: format}
}

// print writes value as JSON, or as the table that draw fills.
func (p *printer) print(value any, draw func(*table)) error {
	if p.format == OutputJSON {
		return writeJSON(p.out, value)
	}
	t := newTable(p.out)
	draw(t)
	return t.flush()
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// table writes rows of cells in aligned columns.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
}

// row adds one line. Control characters are replaced by spaces, so that text from
// a server can neither break the table nor control the terminal.
func (t *table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = printable(cell)
	}
	line := strings.TrimRight(strings.Join(cells, "\t"), "\t")
	if _, err := fmt.Fprintln(t.writer, line); err != nil && t.err == nil {
		t.err = err
	}
}

// blankLine adds an empty line, after which columns are aligned independently.
func (t *table) blankLine() { t.row("") }

// fields adds one line for each field of d, in the order of names and then the
// remaining ones.
func (t *table) fields(d document, names ...string) {
	for _, name := range columnNames([]document{d}, names) {
		if value, ok := d[name]; ok {
			t.row(name, cell(value))
		}
	}
}

// grid adds a header and one line for each of rows. Fields that are not in names
// come last, so that fields of a newer daemon are shown as well.
func (t *table) grid(rows []document, names ...string) {
	names = columnNames(rows, names)
	heading := make([]string, len(names))
	for i, name := range names {
		heading[i] = strings.ToUpper(name)
	}
	t.row(heading...)
	for _, d := range rows {
		line := make([]string, len(names))
		for i, name := range names {
			line[i] = gridCell(name, d[name])
		}
		t.row(line...)
	}
}

// gridCell returns the text of a cell, with times truncated to seconds to save
// width.
func gridCell(name string, value any) string {
	text := cell(value)
	switch name {
	case "accepted", "started", "ended", "deadline", "confirmed":
		if at, err := time.Parse(time.RFC3339, text); err == nil {
			return at.Format(time.RFC3339)
		}
	}
	return text
}

func columnNames(rows []document, names []string) []string {
	all := slices.Clone(names)
	for _, d := range rows {
		for _, name := range slices.Sorted(maps.Keys(d)) {
			if !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	return all
}

// cell formats a JSON value as the text of a table cell.
func cell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		return cmp.Or(v, "-")
	case map[string]any:
		return objectCell(v)
	case []any:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = cell(element)
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

func objectCell(v map[string]any) string {
	if v["workers"] != nil && v["accelerators"] != nil && len(v) == 2 {
		return cell(v["workers"]) + "x" + cell(v["accelerators"])
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(v)) {
		parts = append(parts, name+"="+cell(v[name]))
	}
	return strings.Join(parts, " ")
}

func (t *table) flush() error {
	return errors.Join(t.err, t.writer.Flush())
}

// printFailure writes err as one line of text, or as a JSON error if the format is
// JSON.
func printFailure(w io.Writer, format string, err error) {
	if format != OutputJSON {
		_, _ = fmt.Fprintln(w, "daisylug: "+printable(err.Error()))
		return
	}
	_ = writeJSON(w, map[string]any{"error": failureBody(err)})
}

// failureBody returns the JSON error for err. Only the outermost failure counts,
// because an unknown outcome may wrap the refusal of a later attempt.
func failureBody(err error) *APIError {
	var f failure
	if !errors.As(err, &f) {
		return &APIError{Type: typeInternal, Message: err.Error(), Execution: ranUnknown}
	}
	if body, ok := f.(*APIError); ok {
		return body
	}
	return &APIError{Type: f.kind(), Message: err.Error(), Execution: f.ran()}
}

func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return ' '
		}
		return r
	}, s)
}
