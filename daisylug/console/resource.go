package console

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"
)

// resource is a kind of configuration object that operators edit, such as teams.
type resource struct {
	kind   string
	plural string
	fields []string
}

func (r resource) path(name string) string {
	return "/v1/" + r.plural + "/" + url.PathEscape(name)
}

// list prints all objects of the kind.
func (r resource) list(s *session) error {
	resp, err := s.client.get(s.ctx, "/v1/"+r.plural, nil)
	if err != nil {
		return err
	}
	var all document
	if err := resp.decode(&all); err != nil {
		return err
	}
	return s.printer.print(all, func(t *table) { t.grid(all.list(r.plural), r.fields...) })
}

// get prints the named object.
func (r resource) get(s *session, name string) error {
	d, err := r.read(s, name)
	if err != nil {
		return err
	}
	return s.printer.print(d, func(t *table) { t.fields(d, r.fields...) })
}

// read fetches the named object and checks that it has a version.
func (r resource) read(s *session, name string) (document, error) {
	resp, err := s.client.get(s.ctx, r.path(name), nil)
	if err != nil {
		return nil, err
	}
	var d document
	if err := resp.decode(&d); err != nil {
		return nil, err
	}
	if d.number("version") < 1 {
		return nil, &InvalidResponseError{Status: resp.status, Cause: errNoVersion}
	}
	return d, nil
}

var errNoVersion = errors.New("the body has no version")

// readFile parses the documents in a file, or on the standard input if file is -.
func (r resource) readFile(s *session, file string) ([]document, error) {
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
	return parseDocuments(file, r.plural, content)
}

// plan is the change that applying one document makes.
type plan struct {
	name string
	// version is the version in force, or 0 if the object does not exist.
	version int64
	// config is the configuration version in which the object was read.
	config int64
	// wanted is the complete object after the change.
	wanted  document
	changes []change
}

// plan compares d with the object in force. Fields that d omits keep their
// values, so that a file with few fields cannot drop a guarantee.
func (r resource) plan(s *session, d document) (*plan, error) {
	p := &plan{name: d.text("name")}
	current, err := r.read(s, p.name)
	if err != nil && exitCode(err) != ExitNotFound {
		return nil, err
	}
	if err == nil {
		p.version, p.config = current.number("version"), current.number("config")
	}
	if expected := d.number("version"); expected > 0 && expected != p.version {
		message := fmt.Sprintf("the file was made from version %d of %s %s", expected, r.kind, p.name)
		return nil, &APIError{Type: typeConflict, Message: message, Version: p.version, Execution: ranNo}
	}
	before := current.without("version", "config")
	p.wanted = before.with(d.without("version", "config"))
	p.changes = differences(before, p.wanted)
	return p, nil
}

// putCall returns the call that sends the change, conditional on the version that
// was read. It is repeatable, because a duplicate fails on the version that the
// first one has incremented.
func (r resource) putCall(p *plan) call {
	header := http.Header{}
	if p.version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatInt(p.version, 10)))
	}
	return call{method: http.MethodPut, path: r.path(p.name), header: header, body: p.wanted, repeatable: true}
}

// outcome is the result of applying one document.
type outcome struct {
	Name    string   `json:"name"`
	Result  string   `json:"result"`
	Version int64    `json:"version,omitempty"`
	Config  int64    `json:"config,omitempty"`
	Changes []change `json:"changes,omitempty"`
}

// Values of the field result of an outcome.
const (
	resultCreated   = "created"
	resultChanged   = "changed"
	resultUnchanged = "unchanged"
	resultFailed    = "failed"
	resultNotTried  = "not tried"
)

// applyPlan sends the change of p, unless there is nothing to change.
func (r resource) applyPlan(s *session, p *plan) (outcome, error) {
	o := outcome{Name: p.name, Result: resultUnchanged, Version: p.version}
	if p.version > 0 && len(p.changes) == 0 {
		o.Config = p.config
		return o, nil
	}
	o.Result, o.Changes = resultChanged, p.changes
	if p.version == 0 {
		o.Result = resultCreated
	}
	resp, err := s.client.do(s.ctx, r.putCall(p))
	if err != nil {
		return r.resolveUnknown(s, p, o, err)
	}
	var reply document
	if err := resp.decode(&reply); err != nil {
		return r.resolveUnknown(s, p, o, &UnknownOutcomeError{Cause: err})
	}
	o.Version, o.Config = reply.number("version"), reply.number("config")
	return o, nil
}

// ApplyError adds the object to an error and, for a conflict, how to proceed.
type ApplyError struct {
	Kind  string
	Name  string
	Cause error
}

func (r resource) applyError(p *plan, err error) error {
	return &ApplyError{Kind: r.kind, Name: p.name, Cause: err}
}

func (e *ApplyError) Error() string {
	text := e.Kind + " " + e.Name + ": " + e.Cause.Error()
	if exitCode(e.Cause) == ExitConflict {
		text += "; check the differences with daisylug " + e.Kind + " diff, then apply again"
	}
	return text
}

func (e *ApplyError) Unwrap() error { return e.Cause }

// apply applies the documents of a file in order and stops at the first failure,
// because later changes may depend on earlier ones.
func (r resource) apply(s *session, c applyFlags) error {
	list, err := r.readFile(s, c.File)
	if err != nil {
		return err
	}
	report := &applyReport{Results: make([]outcome, len(list))}
	for i, d := range list {
		if err != nil {
			report.Results[i] = outcome{Name: d.text("name"), Result: resultNotTried}
			continue
		}
		report.Results[i], err = r.applyOne(s, d)
	}
	accepted := time.Now()
	if err == nil && c.Wait {
		report.Rollout, err = s.awaitRollout(report.config(), accepted, c.For)
	}
	return errors.Join(s.printer.print(report, report.draw), err)
}

func (r resource) applyOne(s *session, d document) (outcome, error) {
	p, err := r.plan(s, d)
	if err != nil {
		name := d.text("name")
		return outcome{Name: name, Result: resultFailed}, r.applyError(&plan{name: name}, err)
	}
	return r.applyPlan(s, p)
}

// applyReport is the output of the apply commands.
type applyReport struct {
	Results []outcome      `json:"results"`
	Rollout *rolloutStatus `json:"force,omitempty"`
}

// config returns the configuration version that contains all changes, or 0 if the
// version of one of them is not known.
func (r *applyReport) config() int64 {
	var highest int64
	for _, o := range r.Results {
		if o.Config == 0 {
			return 0
		}
		highest = max(highest, o.Config)
	}
	return highest
}

func (r *applyReport) draw(t *table) {
	t.row("NAME", "RESULT", "VERSION", "CONFIG")
	for _, o := range r.Results {
		t.row(o.Name, o.Result, orDash(o.Version), orDash(o.Config))
	}
	if r.Rollout != nil {
		t.blankLine()
		r.Rollout.draw(t)
	}
}

func orDash(n int64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatInt(n, 10)
}

// diffEntry is the output of the diff commands for one document.
type diffEntry struct {
	Name    string   `json:"name"`
	Version int64    `json:"version"`
	Changes []change `json:"changes"`
}

// diff prints the changes that apply would make, and returns a DiffersError if
// there are any.
func (r resource) diff(s *session, file string) error {
	list, err := r.readFile(s, file)
	if err != nil {
		return err
	}
	entries := []diffEntry{}
	for _, d := range list {
		p, err := r.plan(s, d)
		if err != nil {
			return r.applyError(&plan{name: d.text("name")}, err)
		}
		if p.version == 0 || len(p.changes) > 0 {
			entries = append(entries, diffEntry{Name: p.name, Version: p.version, Changes: p.changes})
		}
	}
	if err := s.printer.print(map[string]any{r.plural: entries}, func(t *table) { drawDiff(t, entries) }); err != nil {
		return err
	}
	if len(entries) > 0 {
		return &DiffersError{Count: len(entries)}
	}
	return nil
}

func drawDiff(t *table, entries []diffEntry) {
	if len(entries) == 0 {
		return
	}
	t.row("NAME", "VERSION", "FIELD", "IN FORCE", "FILE")
	for _, e := range entries {
		version := "new"
		if e.Version > 0 {
			version = strconv.FormatInt(e.Version, 10)
		}
		for _, c := range e.Changes {
			t.row(e.Name, version, c.Field, cell(c.From), cell(c.To))
		}
	}
}

// applyFlags are the arguments and flags of the apply commands.
type applyFlags struct {
	File string        `arg:"" help:"JSON file with one object, a list of them, or the output of the list command; - reads the standard input. Fields left out keep their values. An object with a version is only applied to that version."`
	Wait bool          `help:"Wait until the change is in force on every instance, and print where it is and after how long."`
	For  time.Duration `default:"30s" placeholder:"DURATION" help:"Longest time to wait with --wait. Default: ${default}."`
}

// diffFlags are the arguments of the diff commands.
type diffFlags struct {
	File string `arg:"" help:"JSON file as for apply; - reads the standard input."`
}

// nameFlags are the arguments of the get commands.
type nameFlags struct {
	Name string `arg:"" help:"Name to show."`
}
