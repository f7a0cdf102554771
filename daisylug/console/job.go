package console

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	// maxCancelIDs and maxListPage are limits of the HTTP API for one call.
	maxCancelIDs = 10_000
	maxListPage  = 500
)

type jobCommand struct {
	Submit jobSubmit `cmd:"" help:"Submit a job."`
	Get    jobGet    `cmd:"" help:"Show a job."`
	Wait   jobWait   `cmd:"" help:"Wait until a job has ended. The exit code tells how it ended."`
	Cancel jobCancel `cmd:"" help:"Cancel jobs by id, or all that match --team, --state and --template."`
	List   jobList   `cmd:"" help:"List jobs."`
}

// jobFields are the fields of a job in the order of the HTTP API.
var jobFields = []string{
	"id", "team", "template", "key", "shape", "class", "deadline", "idempotent", "estimate",
	"state", "attempt", "centre", "rack", "accepted", "started", "ended", "reason", "results",
}

var jobColumns = []string{"id", "team", "template", "class", "shape", "state", "attempt", "centre", "rack", "accepted", "ended", "reason"}

type jobSubmit struct {
	Team       string        `required:"" env:"DAISYLUG_TEAM" placeholder:"NAME" help:"Team that the job belongs to."`
	Template   string        `required:"" placeholder:"NAME" help:"One of the team's templates."`
	Key        string        `placeholder:"TEXT" help:"Names the job within its team, so that repeating the command does not submit it again. Default: a new key, which is printed."`
	Shape      shapeFlag     `placeholder:"WxA" help:"W workers of one rack with A accelerators each, such as 2x8. Default: the template's."`
	Class      string        `enum:",planned,background" default:"" placeholder:"CLASS" help:"Class: planned or background. Default: the template's."`
	Deadline   timeFlag      `placeholder:"TIME" help:"Time, or duration from now, after which the job is not started. Default: none."`
	Idempotent *bool         `negatable:"" help:"Whether the job may run more than once. Default: the template's."`
	Estimate   time.Duration `placeholder:"DURATION" help:"Declared run time. Default: the template's."`
	Centre     string        `placeholder:"NAME" help:"Data centre that runs the job. Default: that of the instance, or another one if only that can hold the shape."`
	Payload    string        `placeholder:"JSON" help:"JSON handed to each task; @FILE reads a file and - the standard input."`
	Wait       bool          `help:"Wait until the job has ended, with progress on the standard error."`
	For        time.Duration `placeholder:"DURATION" help:"Longest time to wait with --wait. Default: no limit."`
}

// jobRequest is the body of a job submission.
type jobRequest struct {
	Team       string          `json:"team"`
	Template   string          `json:"template"`
	Key        string          `json:"key"`
	Shape      shapeFlag       `json:"shape,omitzero"`
	Class      string          `json:"class,omitempty"`
	Deadline   time.Time       `json:"deadline,omitzero"`
	Idempotent *bool           `json:"idempotent,omitempty"`
	Estimate   float64         `json:"estimate,omitempty"`
	Centre     string          `json:"centre,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Run submits the job.
func (c *jobSubmit) Run(s *session) error {
	payload, err := readPayload(c.Payload, s.In)
	if err != nil {
		return err
	}
	if c.Key == "" {
		c.Key = uuid.NewString()
		s.note("key: " + c.Key)
	}
	resp, err := s.client.do(s.ctx, submitCall(c.request(payload)))
	if err != nil {
		return &SubmitError{Key: c.Key, Cause: err}
	}
	var job document
	if err := resp.decode(&job); err != nil {
		return err
	}
	if resp.status == http.StatusOK {
		s.note("a job with this key was already accepted; no new job was created")
	}
	if !c.Wait {
		return s.printJob(job)
	}
	return s.waitForJob(job.text("id"), c.For)
}

func (c *jobSubmit) request(payload json.RawMessage) jobRequest {
	return jobRequest{
		Team:       c.Team,
		Template:   c.Template,
		Key:        c.Key,
		Shape:      c.Shape,
		Class:      c.Class,
		Deadline:   c.Deadline.Time,
		Idempotent: c.Idempotent,
		Estimate:   c.Estimate.Seconds(),
		Centre:     c.Centre,
		Payload:    payload,
	}
}

// submitCall returns the call that submits r. It is repeatable, because the same
// team and key always identify the same job.
func submitCall(r jobRequest) call {
	return call{method: http.MethodPost, path: "/v1/jobs", body: r, repeatable: true}
}

// SubmitError adds the key to the error of a submission, so that the user can
// repeat it safely.
type SubmitError struct {
	Key   string
	Cause error
}

func (e *SubmitError) Error() string {
	switch exitCode(e.Cause) {
	case ExitUnknownOutcome, ExitUnreachable:
		return e.Cause.Error() + "; repeat with --key " + e.Key
	default:
		return e.Cause.Error()
	}
}

func (e *SubmitError) Unwrap() error { return e.Cause }

type jobGet struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run shows the job.
func (c *jobGet) Run(s *session) error {
	resp, err := s.client.get(s.ctx, jobPath(c.ID), nil)
	if err != nil {
		return err
	}
	var job document
	if err := resp.decode(&job); err != nil {
		return err
	}
	return s.printJob(job)
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

func (s *session) printJob(job document) error {
	return s.printer.print(job, func(t *table) { t.fields(job, jobFields...) })
}

type jobCancel struct {
	IDs      []string `arg:"" optional:"" name:"id" help:"Ids of the jobs; - reads them from the standard input, one on a line."`
	Team     string   `placeholder:"NAME" help:"Cancel the jobs of this team."`
	State    string   `placeholder:"STATE" help:"Only those in this state. Needs --team."`
	Template string   `placeholder:"NAME" help:"Only those of this template. Needs --team."`
}

// selector is the body of a cancellation: ids, or a team with optional filters.
type selector struct {
	IDs      []string `json:"ids,omitempty"`
	Team     string   `json:"team,omitempty"`
	State    string   `json:"state,omitempty"`
	Template string   `json:"template,omitempty"`
}

// Validate requires either ids or a team, so that no command can cancel the jobs
// of all teams.
func (c *jobCancel) Validate() error {
	if (len(c.IDs) > 0) == (c.Team != "") {
		return &ArgumentError{Reason: "either ids or --team must be given"}
	}
	if len(c.IDs) > 0 && (c.State != "" || c.Template != "") {
		return &ArgumentError{Reason: "--state and --template need --team"}
	}
	return nil
}

// cancelCounts counts the selected jobs by the result of their cancellation.
type cancelCounts struct {
	Cancelled int `json:"cancelled"`
	Ended     int `json:"ended"`
	Pending   int `json:"pending"`
}

// Run cancels the jobs, with at most maxCancelIDs ids in one call.
func (c *jobCancel) Run(s *session) error {
	if c.Team != "" {
		return s.cancel(selector{Team: c.Team, State: c.State, Template: c.Template})
	}
	ids, err := s.readIDs(c.IDs)
	if err != nil {
		return err
	}
	var selectors []selector
	for chunk := range slices.Chunk(ids, maxCancelIDs) {
		selectors = append(selectors, selector{IDs: chunk})
	}
	return s.cancel(selectors...)
}

func (s *session) cancel(selectors ...selector) error {
	var counts cancelCounts
	for _, sel := range selectors {
		resp, err := s.client.do(s.ctx, call{method: http.MethodPost, path: "/v1/jobs/cancel", body: sel, repeatable: true})
		if err != nil {
			return err
		}
		var batch cancelCounts
		if err := resp.decode(&batch); err != nil {
			return err
		}
		counts.Cancelled += batch.Cancelled
		counts.Ended += batch.Ended
		counts.Pending += batch.Pending
	}
	return s.printer.print(counts, func(t *table) {
		t.row("CANCELLED", "ENDED", "PENDING")
		t.row(strconv.Itoa(counts.Cancelled), strconv.Itoa(counts.Ended), strconv.Itoa(counts.Pending))
	})
}

// readIDs replaces - with the ids on the standard input, one on a line.
func (s *session) readIDs(ids []string) ([]string, error) {
	if !slices.Contains(ids, "-") {
		return ids, nil
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == "-" })
	lines := bufio.NewScanner(s.In)
	for lines.Scan() {
		if id := strings.TrimSpace(lines.Text()); id != "" {
			ids = append(ids, id)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, usageError(err)
	}
	return ids, nil
}

type jobList struct {
	Team  string `env:"DAISYLUG_TEAM" placeholder:"NAME" help:"Only the jobs of this team."`
	State string `placeholder:"STATE" help:"Only those in this state."`
	After string `placeholder:"ID" help:"Start after this job."`
	Limit int    `default:"500" placeholder:"COUNT" help:"Largest number of jobs to list; 0 lists all. Default: ${default}."`
}

// Run lists the jobs, page by page.
func (c *jobList) Run(s *session) error {
	jobs, next := []document{}, c.After
	for {
		page, err := c.page(s, next, len(jobs))
		if err != nil {
			return err
		}
		jobs = append(jobs, page.list("jobs")...)
		next = page.text("next")
		if next == "" || c.Limit > 0 && len(jobs) >= c.Limit {
			break
		}
	}
	if next != "" {
		s.note(fmt.Sprintf("there are more jobs; continue with --after %s", next))
	}
	answer := document{"jobs": jobs}
	if next != "" {
		answer["next"] = next
	}
	return s.printer.print(answer, func(t *table) { t.grid(selectFields(jobs, jobColumns), jobColumns...) })
}

func (c *jobList) page(s *session, after string, listed int) (document, error) {
	query := url.Values{}
	for name, value := range map[string]string{"team": c.Team, "state": c.State, "after": after} {
		if value != "" {
			query.Set(name, value)
		}
	}
	limit := maxListPage
	if c.Limit > 0 {
		limit = min(limit, c.Limit-listed)
	}
	query.Set("limit", strconv.Itoa(limit))
	resp, err := s.client.get(s.ctx, "/v1/jobs", query)
	if err != nil {
		return nil, err
	}
	var page document
	return page, resp.decode(&page)
}

// selectFields returns copies that hold only the named fields, for tables that
// cannot fit all of them.
func selectFields(list []document, names []string) []document {
	rows := make([]document, len(list))
	for i, d := range list {
		rows[i] = document{}
		for _, name := range names {
			if value, ok := d[name]; ok {
				rows[i][name] = value
			}
		}
	}
	return rows
}

// note prints one line to the standard error.
func (s *session) note(text string) {
	_, _ = fmt.Fprintln(s.Err, printable(text))
}
