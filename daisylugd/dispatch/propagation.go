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
	// refreshInterval is the interval at which state is refreshed even if no
	// change was announced.
	refreshInterval = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two refreshes; changes in
	// between are handled together.
	minRefreshInterval = 20 * time.Millisecond
	// usageInterval is the interval at which usage reports are collected.
	usageInterval = 5 * time.Second
	// usageTimeout limits the call for the usage reports of one worker.
	usageTimeout = 4 * time.Second
)

// propagateChanges passes changes of members, configuration and racks between
// the components until ctx is cancelled.
func (d *Daemon) propagateChanges(ctx context.Context) error {
	members, stopMembers := d.group.Subscribe()
	defer stopMembers()
	racks, stopRacks := d.racks.Subscribe()
	defer stopRacks()
	snapshots, stopSnapshots := d.catalogue.Subscribe()
	defer stopSnapshots()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-members:
		case <-racks:
		case s := <-snapshots:
			d.applyConfig(s)
		}
		d.refresh(ctx)
		time.Sleep(minRefreshInterval)
	}
}

// applyConfig applies a configuration snapshot.
func (d *Daemon) applyConfig(s *template.Snapshot) {
	d.log.Info(EventConfig, "version", s.Version())
	d.group.SetConfigVersion(uint64(s.Version()))
	teams := make([]balance.Team, 0, len(s.Teams()))
	for _, t := range s.Teams() {
		teams = append(teams, balance.Team{Name: t.Name, Prepaid: t.Prepaid, MinAccelerators: guaranteedAccelerators(t, d.self.DataCentre)})
	}
	d.account.SetTeams(teams)
	d.router.Refresh()
	d.scheduler.wake()
}

// guaranteedAccelerators returns the number of accelerators guaranteed to a
// team in a data centre.
func guaranteedAccelerators(t *schema.Team, centre string) float64 {
	var total int32
	for _, g := range t.Guarantees {
		if g.Centre == centre {
			total += g.Count * g.Shape.GetWorkers() * g.Shape.GetAccelerators()
		}
	}
	return float64(total)
}

// refresh passes on the members, publishes the racks of this instance, reads
// those of its peers and catches up with their configuration.
func (d *Daemon) refresh(ctx context.Context) {
	listing, ok := d.group.Listing()
	if members := d.group.Members(); ok && d.topology.changed(members, listing.Workers) {
		d.racks.Update(members, listing.Workers)
	}
	if d.publishRacks() || d.readPeerRacks() {
		d.scheduler.wake()
	}
	d.syncConfig(ctx)
	if ok && !d.ready.Load() && d.isInitialised() {
		d.ready.Store(true)
		d.log.Info(EventReady, "instance", d.self.Name)
	}
}

// topologyTracker detects changes of members and workers. Each update of the
// set of racks announces a change, so updating without a real change would
// trigger the next update in an endless loop.
type topologyTracker struct {
	members            []platform.Instance
	workersFingerprint uint64
}

func (c *topologyTracker) changed(members []platform.Instance, workers []platform.WorkerInfo) bool {
	print := fingerprint(workers)
	if print == c.workersFingerprint && slices.Equal(members, c.members) {
		return false
	}
	c.members = members
	c.workersFingerprint = print
	return true
}

// isInitialised reports whether the instance knows its peers and a
// configuration.
func (d *Daemon) isInitialised() bool {
	select {
	case <-d.group.Ready():
		return d.catalogue.Freshness().Version > 0 || !d.catalogue.Freshness().Confirmed.IsZero()
	default:
		return false
	}
}

// publishRacks publishes the state of the racks of this instance to the data
// centre and reports whether any has changed.
func (d *Daemon) publishRacks() bool {
	changed := false
	for _, s := range d.racks.Summaries() {
		content, err := encodeRack(s)
		if err != nil {
			d.log.Error(err, "failed to encode rack state", "rack", s.Rack)
			continue
		}
		d.group.SetValue(rackKeyPrefix+s.Rack, content)
		changed = d.storeRack(s.Rack, d.self.Name, content) || changed
	}
	for _, name := range d.racks.Racks() {
		if owner, ok := d.racks.Assigned(name); ok && owner != d.self.Name {
			d.group.SetValue(rackKeyPrefix+name, nil)
		}
	}
	return changed
}

// readPeerRacks reads the racks that peers in the data centre have published,
// and reports whether any has changed.
func (d *Daemon) readPeerRacks() bool {
	changed := false
	for _, p := range d.group.Peers() {
		if p.Instance.DataCentre != d.self.DataCentre {
			continue
		}
		for key, content := range p.Values {
			if strings.HasPrefix(key, rackKeyPrefix) {
				changed = d.storeRack(strings.TrimPrefix(key, rackKeyPrefix), p.Instance.Name, content) || changed
			}
		}
	}
	return changed
}

func (d *Daemon) storeRack(rack, owner string, content []byte) bool {
	changed, err := d.publishedRacks.store(rack, owner, content)
	if err != nil {
		d.log.Error(err, "failed to decode published rack state", "rack", rack, "instance", owner)
	}
	return changed
}

// syncConfig tells the catalogue of a configuration version that is higher than
// its own, and imports the configuration from that peer if the table has not
// answered yet.
func (d *Daemon) syncConfig(ctx context.Context) {
	own := d.catalogue.Freshness().Version
	for _, p := range d.group.Peers() {
		if int64(p.ConfigVersion) <= own {
			continue
		}
		d.catalogue.Hint(int64(p.ConfigVersion))
		if own == 0 && p.Connected {
			d.fetchSnapshot(ctx, p.Instance.Name)
		}
		return
	}
}

// fetchSnapshot imports the configuration of a peer.
func (d *Daemon) fetchSnapshot(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := new(schema.Body)
	if err := d.group.Call(ctx, from, MethodSnapshot, &schema.Empty{}, body); err != nil {
		d.log.V(1).Info(EventRetry, "what", "configuration of a peer", "instance", from, "err", err)
		return
	}
	if err := d.catalogue.Import(body.Json); err != nil {
		d.log.Error(err, "failed to import configuration from peer", "instance", from)
	}
}

// collectUsage periodically reads the usage reports of the workers in the racks
// of this instance.
func (d *Daemon) collectUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d.collectUsageOnce(ctx)
	}
}

func (d *Daemon) collectUsageOnce(ctx context.Context) {
	listing, _ := d.group.Listing()
	for _, w := range listing.Workers {
		if w.DataCentre != d.self.DataCentre {
			continue
		}
		if owner, ok := d.racks.Assigned(w.Rack); !ok || owner != d.self.Name {
			d.account.DropUsage(w.Name)
			continue
		}
		d.collectWorkerUsage(ctx, w)
	}
}

func (d *Daemon) collectWorkerUsage(ctx context.Context, w platform.WorkerInfo) {
	client, err := d.services.Fleet.Worker(w.Name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
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
