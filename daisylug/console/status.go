package console

import "net/url"

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
			drawAll(t, d.list("instances"))
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
	t.fields(top, "instance", "centre", "config", "queue", "quotes")
	for _, section := range statusSections {
		rows := d.list(section.name)
		if len(rows) == 0 {
			continue
		}
		t.gap()
		t.row(section.name)
		t.grid(rows, section.columns...)
	}
}

// drawAll adds one line for each instance.
func drawAll(t *table, answers []document) {
	rows := make([]document, len(answers))
	for i, one := range answers {
		config := one.object("config")
		rows[i] = document{
			"instance":  one["instance"],
			"centre":    one["centre"],
			"config":    config["version"],
			"confirmed": config["confirmed"],
			"fresh":     config["fresh"],
			"queue":     one["queue"],
			"quotes":    one["quotes"],
		}
	}
	t.grid(rows, "instance", "centre", "config", "confirmed", "fresh", "queue", "quotes")
}
