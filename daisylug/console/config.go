package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"daisylug.example/scheduler/configcheck"
	"daisylug.example/scheduler/template"
)

type configCommand struct {
	Check configCheck `cmd:"" help:"Check a file of teams or templates without an instance: what would be refused, what can have no effect, and with --against what it changes. Not checked are guarantees against the capacity of the workers, labels and time limits, because the files name none of these."`
}

type configCheck struct {
	File    string `arg:"" help:"JSON file as for apply, or an object with the lists teams and templates; - reads the standard input."`
	Against string `placeholder:"FILE" help:"Configuration in force, in the same form, such as the output of a list command; - reads the standard input. Fields that the file leaves out keep the values of this one. Without it, every entry must be complete."`
}

// typeInvalidField is the error type with which an instance refuses invalid fields.
const typeInvalidField = "invalid_field"

// InvalidConfigError reports a file with entries that an instance would refuse.
type InvalidConfigError struct {
	File  string
	Count int
}

func (e *InvalidConfigError) Error() string {
	return fmt.Sprintf("%s: errors for which entries would be refused: %d", e.File, e.Count)
}
func (e *InvalidConfigError) exit() int    { return ExitRefused }
func (e *InvalidConfigError) kind() string { return typeInvalidField }
func (e *InvalidConfigError) ran() string  { return ranNo }

// configReport is the output of config check.
type configReport struct {
	Findings    []configcheck.Finding `json:"findings"`
	Differences []configDifference    `json:"differences"`
}

// configDifference is what the file changes of one entry; version is the one in
// force, or 0 if it is new.
type configDifference struct {
	Kind string `json:"kind"`
	diffEntry
}

// Run checks the file. Errors determine the exit code before differences do.
func (c *configCheck) Run(s *session) error {
	if c.File == "-" && c.Against == "-" {
		return usageError(&ArgumentError{Reason: "only one of the file and --against can be the standard input"})
	}
	d, err := readConfig(s, c.File)
	if err != nil {
		return err
	}
	var inForce *configcheck.Document
	if c.Against != "" {
		if inForce, err = readConfig(s, c.Against); err != nil {
			return err
		}
	}
	report := &configReport{
		Findings:    append([]configcheck.Finding{}, configcheck.Check(d, inForce, template.DefaultOptions())...),
		Differences: []configDifference{},
	}
	if inForce != nil {
		if report.Differences, err = configDifferences(d, inForce); err != nil {
			return err
		}
	}
	if err := s.printer.print(report, report.draw); err != nil {
		return err
	}
	failures := 0
	for _, f := range report.Findings {
		if f.Severity == configcheck.SeverityError {
			failures++
		}
	}
	switch {
	case failures > 0:
		return &InvalidConfigError{File: c.File, Count: failures}
	case len(report.Differences) > 0:
		return &DiffersError{Count: len(report.Differences)}
	}
	return nil
}

func readConfig(s *session, file string) (*configcheck.Document, error) {
	var content []byte
	var err error
	if file == "-" {
		content, err = io.ReadAll(s.In)
	} else {
		content, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, usageError(err)
	}
	d, err := configcheck.Parse(content)
	if err != nil {
		return nil, usageError(&DocumentError{file, err.Error()})
	}
	return d, nil
}

// configDifferences returns what applying d changes of the configuration in force.
func configDifferences(d, inForce *configcheck.Document) ([]configDifference, error) {
	list := []configDifference{}
	for _, e := range d.Over(inForce).Entries {
		after, err := decodeEntry(e)
		if err != nil {
			return nil, err
		}
		entry := configDifference{Kind: e.Kind, diffEntry: diffEntry{Name: e.Name}}
		before := document{}
		old := inForce.Find(e.Kind, e.Name)
		if old != nil {
			if before, err = decodeEntry(old); err != nil {
				return nil, err
			}
			entry.Version = old.Version()
		}
		entry.Changes = differences(before, after)
		if old == nil || len(entry.Changes) > 0 {
			list = append(list, entry)
		}
	}
	return list, nil
}

func decodeEntry(e *configcheck.Entry) (document, error) {
	decoder := json.NewDecoder(bytes.NewReader(e.Fields()))
	decoder.UseNumber()
	var d document
	err := decoder.Decode(&d)
	return d, err
}

func (r *configReport) draw(t *table) {
	if len(r.Findings) > 0 {
		t.row("SEVERITY", "LINE", "PATH", "MESSAGE")
	}
	for _, f := range r.Findings {
		t.row(string(f.Severity), strconv.Itoa(f.Line), f.Path, f.Message)
	}
	if len(r.Findings) > 0 && len(r.Differences) > 0 {
		t.blankLine()
	}
	if len(r.Differences) > 0 {
		t.row("KIND", "NAME", "FIELD", "IN FORCE", "FILE")
	}
	for _, e := range r.Differences {
		for _, c := range e.Changes {
			t.row(e.Kind, e.Name, c.Field, cell(c.From), cell(c.To))
		}
	}
}
