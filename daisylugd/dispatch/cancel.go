package dispatch

import (
	"context"
	"errors"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

type cancelRequest struct {
	IDs      []string `json:"ids"`
	Team     string   `json:"team"`
	State    string   `json:"state"`
	Template string   `json:"template"`
}

type cancelReply struct {
	Cancelled int `json:"cancelled"`
	Ended     int `json:"ended"`
	Pending   int `json:"pending"`
}

// cancelJobs cancels the jobs that the request lists or selects.
func (d *Daemon) cancelJobs(ctx khttp.Context) error {
	var r cancelRequest
	if err := d.decoder.decode(ctx.Request(), &r); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(requestContext(ctx), cancelTimeout)
	defer cancel()
	ids, err := d.selectJobs(call, r)
	if err != nil {
		return err
	}
	reply, err := d.cancel(call, ids)
	if err != nil {
		return err
	}
	return writeJSON(ctx, http.StatusOK, reply)
}

// selectJobs returns the ids of the jobs that a cancellation lists or selects.
func (d *Daemon) selectJobs(ctx context.Context, r cancelRequest) ([]string, error) {
	if len(r.IDs) > maxCancelIDs {
		return nil, NewFieldError("ids", "must have at most 10000 entries")
	}
	if len(r.IDs) > 0 {
		if r.Team != "" || r.State != "" || r.Template != "" {
			return nil, NewFieldError("ids", "cannot be combined with a selector")
		}
		return r.IDs, nil
	}
	if r.Team == "" {
		return nil, NewFieldError("team", "is required without ids")
	}
	state, err := parseState(r.State)
	if err != nil {
		return nil, err
	}
	var ids []string
	after := ""
	for {
		jobs, next, err := d.ledger.List(ctx, ledger.Filter{Team: r.Team, State: state}, after, maxListLimit)
		if err != nil {
			return nil, readError(err)
		}
		for _, job := range jobs {
			if !isTerminal(job.State) && (r.Template == "" || job.Template == r.Template) {
				ids = append(ids, job.Id)
			}
		}
		if next == "" || len(ids) >= maxCancelIDs {
			return ids, nil
		}
		after = next
	}
}

// cancel cancels jobs in the ledger, then stops those that may be running.
func (d *Daemon) cancel(ctx context.Context, ids []string) (cancelReply, error) {
	var reply cancelReply
	withdrawn := make(map[string][]string)
	running := make(map[string][]string)
	for _, c := range d.ledger.Cancel(ctx, ids...) {
		var stale *ledger.StaleAttemptError
		var missing *platform.NotFoundError
		switch {
		case errors.As(c.Err, &stale) || errors.As(c.Err, &missing):
			reply.Ended++
		case c.Err != nil:
			return reply, storeError(c.Err)
		case c.PreviousState == schema.State_STATE_CLAIMED || c.PreviousState == schema.State_STATE_RUNNING:
			reply.Pending++
			running[c.Job.Rack] = append(running[c.Job.Rack], c.ID)
			withdrawn[c.Job.Centre] = append(withdrawn[c.Job.Centre], c.ID)
		default:
			reply.Cancelled++
			withdrawn[c.Job.Centre] = append(withdrawn[c.Job.Centre], c.ID)
		}
	}
	d.log.Info(EventCancel, "cancelled", reply.Cancelled, "pending", reply.Pending)
	for centre, list := range withdrawn {
		d.withdraw(centre, list)
	}
	for rack, list := range running {
		d.stopRunning(rack, list)
	}
	return reply, nil
}

// stopRunning stops cancelled gangs. If the call does not reach the rack owner,
// it learns of the cancellation when the ledger rejects the outcome of the
// gang.
func (d *Daemon) stopRunning(rack string, ids []string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), haltTimeout)
		defer cancel()
		if err := d.halt(ctx, &schema.Halt{Rack: rack, Jobs: ids}); err != nil {
			d.log.V(1).Info(EventRetry, "what", "stop of cancelled work", "rack", rack, "err", err)
		}
	}()
}
