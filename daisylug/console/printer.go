package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// printer writes answers in the chosen format.
type printer struct {
	out    io.Writer
	format string
}

func newPrinter(out io.Writer, format string) *printer {
	return &printer{out: out, format: format}
}

// print writes value as JSON, or the table that draw fills.
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

// table aligns columns of text.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
}

// row adds one line. Control characters are escaped, so that a text from a
// server can neither break the table nor control the terminal.
func (t *table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = printable(cell)
	}
	line := strings.TrimRight(strings.Join(cells, "\t"), "\t")
	if _, err := fmt.Fprintln(t.writer, line); err != nil && t.err == nil {
		t.err = err
	}
}

// gap starts a new group of columns after an empty line.
func (t *table) gap() { t.row("") }

func (t *table) flush() error {
	return errors.Join(t.err, t.writer.Flush())
}

// printFailure writes err as one line of text or as a JSON error.
func printFailure(w io.Writer, format string, err error) {
	if format != OutputJSON {
		_, _ = fmt.Fprintln(w, "daisylug: "+printable(err.Error()))
		return
	}
	_ = writeJSON(w, map[string]any{"error": failureBody(err)})
}

func failureBody(err error) *ServerError {
	var body *ServerError
	if errors.As(err, &body) {
		return body
	}
	var f failure
	if errors.As(err, &f) {
		return &ServerError{Type: f.kind(), Message: err.Error(), Ran: f.ran()}
	}
	return &ServerError{Type: typeInternal, Message: err.Error(), Ran: ranUnknown}
}

func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return ' '
		}
		return r
	}, s)
}
