package console

import (
	"maps"
	"net/url"
	"slices"
)

// statusSections are the lists of an instance's status with their columns.
var statusSections = []struct {
	name    string
	columns []string
}{
	{"instances", []string{"name", "centre", "state", "config"}},
	{"racks", []string{"name", "owner", "generation", "free", "running"}},
	{"workers", []string{"name", "rack", "state", "quarantine"}},
	{"balances", []string{"team", "remaining"}},
}

type statusCommand struct {
	All bool `help:"Ask every reachable instance instead of one."`
}

// Run prints the status of one instance or of all.
func (c *statusCommand) Run(s *session) error {
	query := url.Values{}
	if c.All {
		query.Set("scope", "all")
	}
	a, err := s.client.get(s.ctx, "/v1/status", query)
	if err != nil {
		return err
	}
	var d document
	if err := a.decode(&d); err != nil {
		return err
	}
	return s.printer.print(d, func(t *table) {
		if c.All {
			drawAll(t, d)
			return
		}
		drawStatus(t, d)
	})
}

func drawStatus(t *table, d document) {
	top := d
	for _, section := range statusSections {
		top = top.without(section.name)
	}
	top, nested := split(top)
	t.fields(top, "instance", "centre", "config", "queue", "quotes")
	for _, section := range statusSections {
		drawSection(t, section.name, d.list(section.name), section.columns...)
	}
	for _, name := range slices.Sorted(maps.Keys(nested)) {
		drawSection(t, name, nested.list(name), "name")
	}
}

func drawSection(t *table, name string, rows []document, columns ...string) {
	if len(rows) == 0 {
		return
	}
	t.gap()
	t.row(name)
	t.grid(rows, columns...)
}

// split moves lists within the objects of d, which are too long for one line,
// to a document of their own.
func split(d document) (short, lists document) {
	short, lists = document{}, document{}
	for name, value := range d {
		short[name] = value
		fields, ok := value.(map[string]any)
		if !ok {
			continue
		}
		rest := document(fields)
		for field, one := range fields {
			if values, ok := one.([]any); ok {
				lists[name+" "+field] = values
				rest = rest.without(field)
			}
		}
		short[name] = map[string]any(rest)
	}
	return short, lists
}

var allColumns = []string{"instance", "centre", "ready", "draining", "planner", "config", "confirmed", "fresh", "queue"}

// drawAll adds one line for each instance, and the names of those that did not
// answer.
func drawAll(t *table, d document) {
	var rows []document
	for _, one := range d.list("instances") {
		config := one.object("config")
		rows = append(rows, one.with(document{
			"config":    config["version"],
			"confirmed": config["confirmed"],
			"fresh":     config["fresh"],
		}))
	}
	t.grid(rowsOf(rows, allColumns), allColumns...)
	if silent := cell(d["silent"]); silent != "-" {
		t.gap()
		t.row("silent", silent)
	}
}
