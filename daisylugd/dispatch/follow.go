package dispatch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"daisylug.example/scheduler/balance"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

const (
	// followEvery is the interval at which the views are refreshed even if
	// nothing announced a change.
	followEvery = 500 * time.Millisecond
	// followPause is the shortest time between two refreshes; changes in between
	// are taken together.
	followPause = 20 * time.Millisecond
	// usageEvery is the interval at which usage reports are collected.
	usageEvery = 5 * time.Second
	// usageWait bounds the calls for usage reports of one round.
	usageWait = 4 * time.Second
)

// follow passes changes of members, configuration and racks between the parts
// until ctx ends.
func (d *Daemon) follow(ctx context.Context) error {
	members, stopMembers := d.group.Subscribe()
	defer stopMembers()
	racks, stopRacks := d.racks.Subscribe()
	defer stopRacks()
	snapshots, stopSnapshots := d.catalogue.Subscribe()
	defer stopSnapshots()
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-members:
		case <-racks:
		case s := <-snapshots:
			d.configure(s)
		}
		d.refresh(ctx)
		time.Sleep(followPause)
	}
}

// configure puts a configuration in force.
func (d *Daemon) configure(s *template.Snapshot) {
	d.log.Info(EventConfig, "version", s.Version())
	d.group.SetConfig(uint64(s.Version()))
	teams := make([]balance.Team, 0, len(s.Teams()))
	for _, t := range s.Teams() {
		teams = append(teams, balance.Team{Name: t.Name, Prepaid: t.Prepaid, MinAccelerators: floor(t, d.self.DataCentre)})
	}
	d.account.SetTeams(teams)
	d.router.Refresh()
	d.scheduler.wake()
}

// floor returns the accelerators guaranteed to a team in a data centre.
func floor(t *schema.Team, centre string) float64 {
	var total int32
	for _, g := range t.Guarantees {
		if g.Centre == centre {
			total += g.Count * g.Shape.GetWorkers() * g.Shape.GetAccelerators()
		}
	}
	return float64(total)
}

// refresh passes the members on, publishes the own racks and reads those of
// others.
func (d *Daemon) refresh(ctx context.Context) {
	listing, ok := d.group.Listing()
	if members := d.group.Members(); ok && d.layout.changed(members, listing.Workers) {
		d.racks.Update(members, listing.Workers)
	}
	if d.publish() || d.gather() {
		d.scheduler.wake()
	}
	d.hint(ctx)
	if ok && !d.ready.Load() && d.settled() {
		d.ready.Store(true)
		d.log.Info(EventReady, "instance", d.self.Name)
	}
}

// layoutCheck tells whether members or workers differ from the last ones seen.
// Each update of the set of racks announces a change, so an update without one
// would cause the next.
type layoutCheck struct {
	members []platform.Instance
	workers uint64
}

func (c *layoutCheck) changed(members []platform.Instance, workers []platform.WorkerInfo) bool {
	print := fingerprint(workers)
	if print == c.workers && slices.Equal(members, c.members) {
		return false
	}
	c.members = members
	c.workers = print
	return true
}

// settled reports whether the instance knows its peers and a configuration.
func (d *Daemon) settled() bool {
	select {
	case <-d.group.Ready():
		return d.catalogue.Freshness().Version > 0 || !d.catalogue.Freshness().Confirmed.IsZero()
	default:
		return false
	}
}

// publish sends the state of the own racks to the data centre and reports
// whether one has changed.
func (d *Daemon) publish() bool {
	changed := false
	for _, s := range d.racks.Summaries() {
		content, err := encodeRack(s)
		if err != nil {
			d.log.Error(err, "rack state cannot be encoded", "rack", s.Rack)
			continue
		}
		d.group.SetValue(rackValue+s.Rack, content)
		changed = d.post(s.Rack, d.self.Name, content) || changed
	}
	for _, name := range d.racks.Racks() {
		if owner, ok := d.racks.Assigned(name); ok && owner != d.self.Name {
			d.group.SetValue(rackValue+name, nil)
		}
	}
	return changed
}

// gather reads the racks that others published.
func (d *Daemon) gather() bool {
	changed := false
	for _, p := range d.group.Peers() {
		if p.Instance.DataCentre != d.self.DataCentre {
			continue
		}
		for key, content := range p.Values {
			if strings.HasPrefix(key, rackValue) {
				changed = d.post(strings.TrimPrefix(key, rackValue), p.Instance.Name, content) || changed
			}
		}
	}
	return changed
}

func (d *Daemon) post(rack, owner string, content []byte) bool {
	changed, err := d.board.post(rack, owner, content)
	if err != nil {
		d.log.Error(err, "rack state cannot be read", "rack", rack, "instance", owner)
	}
	return changed
}

// hint tells the catalogue of the highest version in force anywhere, and takes
// the configuration from a peer when the table has not answered yet.
func (d *Daemon) hint(ctx context.Context) {
	own := d.catalogue.Freshness().Version
	for _, p := range d.group.Peers() {
		if int64(p.Config) <= own {
			continue
		}
		d.catalogue.Hint(int64(p.Config))
		if own == 0 && p.Connected {
			d.copySnapshot(ctx, p.Instance.Name)
		}
		return
	}
}

// copySnapshot takes the configuration of a peer.
func (d *Daemon) copySnapshot(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := new(schema.Body)
	if err := d.group.Call(ctx, from, MethodSnapshot, &schema.Empty{}, body); err != nil {
		d.log.V(1).Info(EventRetry, "what", "configuration of a peer", "instance", from, "err", err)
		return
	}
	if err := d.catalogue.Import(body.Json); err != nil {
		d.log.Error(err, "configuration of a peer cannot be read", "instance", from)
	}
}

// collect reads the usage reports of the workers of the own racks.
func (d *Daemon) collect(ctx context.Context) error {
	ticker := time.NewTicker(usageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d.collectOnce(ctx)
	}
}

func (d *Daemon) collectOnce(ctx context.Context) {
	listing, _ := d.group.Listing()
	for _, w := range listing.Workers {
		if w.DataCentre != d.self.DataCentre {
			continue
		}
		if owner, ok := d.racks.Assigned(w.Rack); !ok || owner != d.self.Name {
			d.account.DropUsage(w.Name)
			continue
		}
		d.collectWorker(ctx, w)
	}
}

func (d *Daemon) collectWorker(ctx context.Context, w platform.WorkerInfo) {
	client, err := d.services.Fleet.Worker(w.Name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageWait)
	defer cancel()
	after := d.account.LastSequence(w.Name)
	reports, err := client.Usage(ctx, after)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			d.log.V(1).Info(EventRetry, "what", "usage reports", "worker", w.Name, "err", err)
		}
		return
	}
	if len(reports) > 0 {
		d.account.AddUsage(w.Name, after, reports)
	}
}
