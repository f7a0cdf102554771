package dispatch

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quote"
	"daisylug.example/scheduler/schema"
)

// routerView gives the request router its view of the data centre. It
// implements quote.View.
type routerView struct {
	daemon *Daemon
}

// Workers implements quote.View.
func (v *routerView) Workers() []platform.WorkerInfo {
	listing, _ := v.daemon.group.Listing()
	var own []platform.WorkerInfo
	for _, w := range listing.Workers {
		if w.DataCentre == v.daemon.self.DataCentre {
			own = append(own, w)
		}
	}
	return own
}

// Instances implements quote.View.
func (v *routerView) Instances() []platform.Instance { return v.daemon.group.Local() }

// Teams implements quote.View.
func (v *routerView) Teams() []quote.Team {
	var teams []quote.Team
	for _, t := range v.daemon.catalogue.Snapshot().Teams() {
		teams = append(teams, quote.Team{Name: t.Name, Weight: int(t.Weight)})
	}
	return teams
}

// forwarder sends quick requests to another data centre. It implements
// quote.Forwarder.
type forwarder struct {
	daemon *Daemon
}

// Forward implements quote.Forwarder.
func (f *forwarder) Forward(ctx context.Context, r quote.Request) (quote.Answer, error) {
	to, ok := f.pickInstance(r.ID)
	if !ok {
		return quote.Answer{}, &platform.UnavailableError{Service: "other data centres"}
	}
	reply := new(schema.QuoteReply)
	err := f.daemon.group.Call(ctx, to, MethodQuote, encodeQuote(r), reply)
	var notExecuted *member.NotExecutedError
	if errors.As(err, &notExecuted) {
		return quote.Answer{}, &platform.UnavailableError{Service: "instance " + to, Cause: err}
	}
	if err != nil {
		return quote.Answer{}, &quote.RefusedError{Reason: quote.ReasonForward, Execution: quote.ExecutionUnknown, Cause: err}
	}
	if reply.Reason != "" {
		return quote.Answer{}, &quote.RefusedError{Reason: quote.Reason(reply.Reason), Execution: quote.Execution(reply.Ran)}
	}
	return quote.Answer{
		Worker:   reply.Worker,
		Failed:   reply.Failed,
		Content:  reply.Content,
		Attempts: int(reply.Attempts),
	}, nil
}

// pickInstance picks an instance of another data centre. It hashes the request
// id to distribute the load.
func (f *forwarder) pickInstance(id string) (string, bool) {
	var others []platform.Instance
	for _, p := range f.daemon.group.Peers() {
		if p.Connected && p.Health == member.HealthAlive && p.Instance.DataCentre != f.daemon.self.DataCentre {
			others = append(others, p.Instance)
		}
	}
	i, ok := member.Owner("forward/"+id, others)
	return i.Name, ok
}

func encodeQuote(r quote.Request) *schema.Quote {
	m := &schema.Quote{
		Id:         r.ID,
		Team:       r.Team,
		Template:   r.Template,
		Class:      string(r.Class),
		Idempotent: r.Idempotent,
		Payload:    r.Payload,
	}
	if !r.Deadline.IsZero() {
		m.Deadline = timestamppb.New(r.Deadline)
	}
	return m
}

// serveForwarded answers a quick request from another data centre. The sending
// instance has already claimed it if it is not idempotent.
func (d *Daemon) serveForwarded(ctx context.Context, m *schema.Quote) (proto.Message, error) {
	if !m.Idempotent {
		if _, ok := d.claims.begin(m.Id, nil); !ok {
			return &schema.QuoteReply{Reason: string(quote.ReasonDuplicate), Ran: string(quote.NotExecuted)}, nil
		}
		defer d.claims.end(m.Id)
	}
	answer, err := d.router.Do(ctx, quote.Request{
		ID:         m.Id,
		Team:       m.Team,
		Template:   m.Template,
		Class:      quote.Class(m.Class),
		Deadline:   m.Deadline.AsTime(),
		Idempotent: m.Idempotent,
		Forwarded:  true,
		Payload:    m.Payload,
	})
	var refused *quote.RefusedError
	if errors.As(err, &refused) {
		return &schema.QuoteReply{Reason: string(refused.Reason), Ran: string(refused.Execution)}, nil
	}
	if err != nil {
		return nil, err
	}
	return &schema.QuoteReply{
		Worker:   answer.Worker,
		Failed:   answer.Failed,
		Content:  answer.Content,
		Attempts: int32(answer.Attempts),
	}, nil
}
