package console

import (
	"context"
	"encoding/json"
	"time"
)

// maxBenchDuration is the upper limit of --duration and of the latencies that the
// histograms record.
const maxBenchDuration = 10 * time.Minute

type benchCommand struct {
	Quote benchQuote `cmd:"" help:"Send quick requests."`
	Job   benchJob   `cmd:"" help:"Submit jobs. The latency is that of the acceptance."`
}

// loadFlags are the flags that both bench commands share.
type loadFlags struct {
	Mix      []mixEntry    `required:"" sep:"," placeholder:"TEAM/TEMPLATE/CLASS=SHARE" help:"What to send, drawn at random by share. CLASS and SHARE may be left out: the class is then the default one, and the share 1."`
	Rate     float64       `xor:"loop" placeholder:"COUNT" help:"Open loop: arrivals a second, at random times (Poisson) that do not depend on the answers. Latencies count from the arrival."`
	Callers  int           `xor:"loop" placeholder:"COUNT" help:"Closed loop: callers that each send the next request after the answer to the one before, and 10ms after a refusal."`
	InFlight int           `default:"1000" placeholder:"COUNT" help:"Open loop: largest number of requests in flight. Arrivals above it are not sent and are reported as such. Default: ${default}."`
	Duration time.Duration `default:"10s" placeholder:"DURATION" help:"Time during which requests arrive, at most 10m. Default: ${default}."`
	Deadline time.Duration `default:"5s" placeholder:"DURATION" help:"Time that each request has. An answer after it does not count as goodput. Default: ${default}."`
	Seed     uint64        `default:"1" placeholder:"NUMBER" help:"Seed of the arrivals and of the mix. Default: ${default}."`
	Payload  string        `placeholder:"JSON" help:"JSON sent with each request; @FILE reads a file and - the standard input."`
}

// Validate checks the values of the flags and their combination.
func (f *loadFlags) Validate() error {
	switch {
	case (f.Rate > 0) == (f.Callers > 0):
		return &ArgumentError{Reason: "either --rate or --callers must be given, and be positive"}
	case f.Duration <= 0 || f.Duration > maxBenchDuration:
		return &ArgumentError{Reason: "--duration must be positive and at most 10m"}
	case f.Deadline <= 0:
		return &ArgumentError{Reason: "--deadline must be positive"}
	case f.InFlight < 1:
		return &ArgumentError{Reason: "--in-flight must be at least 1"}
	}
	return nil
}

type benchQuote struct {
	loadFlags
	Idempotent *bool  `negatable:"" help:"Whether the requests may run more than once. Default: the template's."`
	Direct     string `placeholder:"URL" help:"Send the requests straight to the workers listed by the directory of the platform at this base URL, one worker after the other, as a baseline."`
}

// Run sends quick requests.
func (c *benchQuote) Run(s *session) error {
	payload, err := readPayload(c.Payload, s.In)
	if err != nil {
		return err
	}
	var target sender = &quoteSender{client: s.client, idempotent: c.Idempotent, payload: payload}
	if c.Direct != "" {
		target, err = newDirectSender(s.ctx, c.Direct, max(c.Callers, c.InFlight), payload)
		if err != nil {
			return err
		}
	}
	return s.bench("quote", &c.loadFlags, target)
}

type benchJob struct {
	loadFlags
	Shape    shapeFlag     `placeholder:"WxA" help:"Shape of each job. Default: the template's."`
	Estimate time.Duration `placeholder:"DURATION" help:"Declared run time of each job. Default: the template's."`
}

// Run submits jobs.
func (c *benchJob) Run(s *session) error {
	payload, err := readPayload(c.Payload, s.In)
	if err != nil {
		return err
	}
	base := jobRequest{Shape: c.Shape, Estimate: c.Estimate.Seconds(), Payload: payload}
	return s.bench("job", &c.loadFlags, &jobSender{client: s.client, base: base})
}

// bench sends the load, with consecutive calls starting at different servers,
// and prints the report.
func (s *session) bench(kind string, f *loadFlags, target sender) error {
	s.client.rotate = true
	l := newLoadGenerator(f, target)
	l.run(s.ctx)
	report := l.report(kind)
	if err := s.printer.print(report, report.draw); err != nil {
		return err
	}
	return s.ctx.Err()
}

// benchRequest is one request that the load generator sends.
type benchRequest struct {
	mixEntry
	id       string
	deadline time.Time
}

// sender sends one request and returns an error unless it succeeded.
type sender interface {
	send(ctx context.Context, req benchRequest) error
}

// quoteSender sends quick requests to the instances.
type quoteSender struct {
	client     *client
	idempotent *bool
	payload    json.RawMessage
}

func (s *quoteSender) send(ctx context.Context, req benchRequest) error {
	_, err := s.client.do(ctx, quoteCall(quoteRequest{
		Team:       req.Team,
		Template:   req.Template,
		ID:         req.id,
		Class:      req.Class,
		Deadline:   req.deadline,
		Idempotent: s.idempotent,
		Payload:    s.payload,
	}))
	return err
}

// jobSender submits jobs to the instances.
type jobSender struct {
	client *client
	base   jobRequest
}

func (s *jobSender) send(ctx context.Context, req benchRequest) error {
	r := s.base
	r.Team, r.Template, r.Class, r.Key = req.Team, req.Template, req.Class, req.id
	q := submitCall(r)
	q.deadline = req.deadline.Add(responseGracePeriod)
	_, err := s.client.do(ctx, q)
	return err
}
