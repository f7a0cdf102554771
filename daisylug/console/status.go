package console

import (
	"maps"
	"net/url"
	"slices"
)

// statusSections are the lists in the status of an instance, with their columns.
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
	resp, err := s.client.get(s.ctx, "/v1/status", query)
	if err != nil {
		return err
	}
	var d document
	if err := resp.decode(&d); err != nil {
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
	summary := d
	for _, section := range statusSections {
		summary = summary.without(section.name)
	}
	summary, nested := splitLists(summary)
	t.fields(summary, "instance", "centre", "config", "queue", "quotes")
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
	t.blankLine()
	t.row(name)
	t.grid(rows, columns...)
}

// splitLists moves the lists inside the objects of d, which are too long for one
// line, to a separate document, with the path of each list as its name.
func splitLists(d document) (short, lists document) {
	short, lists = document{}, document{}
	for name, value := range d {
		short[name] = value
		fields, ok := value.(map[string]any)
		if !ok {
			continue
		}
		scalars := document(fields)
		for field, element := range fields {
			if values, ok := element.([]any); ok {
				lists[name+" "+field] = values
				scalars = scalars.without(field)
			}
		}
		short[name] = map[string]any(scalars)
	}
	return short, lists
}

var allColumns = []string{"instance", "centre", "ready", "draining", "planner", "config", "confirmed", "fresh", "queue"}

// drawAll adds one line for each instance that answered, and the names of those
// that did not.
func drawAll(t *table, d document) {
	var rows []document
	for _, status := range d.list("instances") {
		config := status.object("config")
		rows = append(rows, status.with(document{
			"config":    config["version"],
			"confirmed": config["confirmed"],
			"fresh":     config["fresh"],
		}))
	}
	t.grid(selectFields(rows, allColumns), allColumns...)
	if silent := cell(d["silent"]); silent != "-" {
		t.blankLine()
		t.row("silent", silent)
	}
}
