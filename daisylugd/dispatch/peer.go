package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// registerHandlers registers the handlers for calls from other instances.
func (d *Daemon) registerHandlers() {
	registerHandler(d, MethodOffer, func(_ context.Context, m *schema.Offer) (proto.Message, error) {
		return &schema.Empty{}, d.scheduler.offer(m.Jobs)
	})
	registerHandler(d, MethodWithdraw, func(_ context.Context, m *schema.Withdraw) (proto.Message, error) {
		d.scheduler.withdraw(m.Jobs)
		return &schema.Empty{}, nil
	})
	registerHandler(d, MethodEnded, func(_ context.Context, m *schema.Ended) (proto.Message, error) {
		d.scheduler.handleEnded(m)
		return &schema.Empty{}, nil
	})
	registerHandler(d, MethodLaunch, func(ctx context.Context, m *schema.Launch) (proto.Message, error) {
		return handlerReply(d.launcher.launch(ctx, m))
	})
	registerHandler(d, MethodEvict, func(ctx context.Context, m *schema.Evict) (proto.Message, error) {
		return handlerReply(d.launcher.evict(ctx, m))
	})
	registerHandler(d, MethodHalt, func(ctx context.Context, m *schema.Halt) (proto.Message, error) {
		return &schema.Empty{}, d.launcher.halt(ctx, m)
	})
	registerHandler(d, MethodSnapshot, func(context.Context, *schema.Empty) (proto.Message, error) {
		encoded, err := d.catalogue.Snapshot().Encode()
		return handlerReply(&schema.Body{Json: encoded}, err)
	})
	registerHandler(d, MethodStatus, func(context.Context, *schema.Empty) (proto.Message, error) {
		encoded, err := json.Marshal(d.status(time.Now()))
		return handlerReply(&schema.Body{Json: encoded}, err)
	})
	registerHandler(d, MethodQuote, d.serveForwarded)
}

// registerHandler registers a handler for requests of type M.
func registerHandler[M any, P interface {
	*M
	proto.Message
}](d *Daemon, method string, serve func(context.Context, P) (proto.Message, error)) {
	d.group.Handle(method, func(ctx context.Context, _ platform.Instance, request []byte) (proto.Message, error) {
		m := P(new(M))
		if err := proto.Unmarshal(request, m); err != nil {
			return nil, &MessageError{Kind: method, Cause: err}
		}
		return serve(ctx, m)
	})
}

// callRackOwner calls a method on the owner of a rack, locally or on another
// instance.
func callRackOwner[R proto.Message](ctx context.Context, d *Daemon, rack, method string, m proto.Message, response R, local func() (R, error)) (R, error) {
	name, ok := d.racks.Assigned(rack)
	if !ok {
		return response, &NotOwnerError{Role: "aware of an owner of rack " + rack}
	}
	if name == d.self.Name {
		return local()
	}
	return response, d.group.Call(ctx, name, method, m, response)
}

// launch implements rackClient.
func (d *Daemon) launch(ctx context.Context, m *schema.Launch) (*schema.Launched, error) {
	launched, err := callRackOwner(ctx, d, m.Rack, MethodLaunch, m, &schema.Launched{}, func() (*schema.Launched, error) {
		return d.launcher.launch(ctx, m)
	})
	var notOwner *NotOwnerError
	var notExecuted *member.NotExecutedError
	if errors.As(err, &notOwner) || errors.As(err, &notExecuted) {
		return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}, nil
	}
	return launched, err
}

// evict implements rackClient.
func (d *Daemon) evict(ctx context.Context, m *schema.Evict) (*schema.Evicted, error) {
	return callRackOwner(ctx, d, m.Rack, MethodEvict, m, &schema.Evicted{}, func() (*schema.Evicted, error) {
		return d.launcher.evict(ctx, m)
	})
}

// halt implements rackClient.
func (d *Daemon) halt(ctx context.Context, m *schema.Halt) error {
	_, err := callRackOwner(ctx, d, m.Rack, MethodHalt, m, &schema.Empty{}, func() (*schema.Empty, error) {
		return &schema.Empty{}, d.launcher.halt(ctx, m)
	})
	return err
}

// plannerOf returns the planner of a data centre.
func (d *Daemon) plannerOf(centre string) (platform.Instance, bool) {
	var members []platform.Instance
	for _, i := range d.group.Members() {
		if i.DataCentre == centre {
			members = append(members, i)
		}
	}
	return member.Owner(plannerKey(centre), members)
}

// notifyTimeout limits a notification to a planner. The planner's scan of
// unfinished jobs compensates for lost notifications.
const notifyTimeout = 2 * time.Second

// offer notifies the planner of a data centre of accepted jobs.
func (d *Daemon) offer(centre string, jobs ...*schema.Job) {
	p, ok := d.plannerOf(centre)
	if !ok {
		return
	}
	if p.Name == d.self.Name {
		_ = d.scheduler.offer(jobs)
		return
	}
	d.notifyAsync(p.Name, MethodOffer, &schema.Offer{Jobs: jobs})
}

// withdraw notifies the planner of a data centre of cancelled jobs.
func (d *Daemon) withdraw(centre string, ids []string) {
	p, ok := d.plannerOf(centre)
	if !ok {
		return
	}
	if p.Name == d.self.Name {
		d.scheduler.withdraw(ids)
		return
	}
	d.notifyAsync(p.Name, MethodWithdraw, &schema.Withdraw{Jobs: ids})
}

// notifyEnded notifies the planner of this data centre of the end of an
// attempt.
func (d *Daemon) notifyEnded(m *schema.Ended) {
	p, ok := d.plannerOf(d.self.DataCentre)
	if !ok {
		return
	}
	if p.Name == d.self.Name {
		d.scheduler.handleEnded(m)
		return
	}
	d.notifyAsync(p.Name, MethodEnded, m)
}

func (d *Daemon) notifyAsync(to, method string, m proto.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := d.group.Call(ctx, to, method, m, &schema.Empty{}); err != nil {
			d.log.V(1).Info(EventRetry, "what", method, "instance", to, "err", err)
		}
	}()
}
