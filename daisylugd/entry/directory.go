package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// instanceTable holds a row for each instance, so that instances find each
// other.
const instanceTable = "instance"

// announceRetry is the time between two tries to write the own row.
const announceRetry = 500 * time.Millisecond

func instanceKey(name string) platform.RowKey {
	return platform.RowKey{Table: instanceTable, Key: name}
}

// announce writes the row of this instance.
func (e *Server) announce(ctx context.Context) error {
	value, err := proto.Marshal(&schema.InstanceRecord{
		Name: e.settings.Name, Centre: e.settings.DataCentre, Region: e.settings.Region, Weight: int32(e.weight()),
	})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err := e.services.Store.Apply(ctx, platform.Batch{
			Writes: []platform.StoredRow{{RowKey: instanceKey(e.settings.Name), Value: value}},
		})
		if err == nil {
			break
		}
		if ctx.Err() == nil {
			e.log.Info("own row was not written", "error", err)
		}
		sleep(ctx, announceRetry)
	}
	<-ctx.Done()
	return ctx.Err()
}

// directory lists the instances from the seeds and the rows of the store.
type directory struct {
	entry *Server
	rows  *platform.TableCache
	known map[string]platform.Instance
}

var _ platform.Directory = (*directory)(nil)

func newDirectory(e *Server) *directory {
	return &directory{
		entry: e, rows: platform.NewTableCache(e.services.Store, instanceTable), known: map[string]platform.Instance{},
	}
}

// List implements platform.Directory. Without the store it returns what it
// knows.
func (d *directory) List(ctx context.Context) (platform.Listing, error) {
	changed, err := d.rows.Update(ctx)
	if err != nil && ctx.Err() == nil {
		d.entry.log.Info("instances cannot be listed, those known stay", "known", len(d.known), "error", err)
	}
	for _, r := range changed {
		delete(d.known, r.Key)
		if r.Deleted {
			continue
		}
		m := &schema.InstanceRecord{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			d.entry.log.Error(err, "row of an instance cannot be read", "instance", r.Key)
			continue
		}
		d.known[r.Key] = instance(m.GetName(), m.GetRegion(), m.GetCentre(), int(m.GetWeight()))
	}
	l := platform.Listing{AsOf: time.Now(), Instances: slices.Collect(maps.Values(d.known))}
	for _, s := range *d.entry.seeds.Load() {
		if _, ok := d.known[s]; !ok {
			l.Instances = append(l.Instances, instance(s, "", "", 0))
		}
	}
	return l, nil
}

// instance describes an instance; one of unknown size has weight 0 and counts
// as small.
func instance(name, region, centre string, weight int) platform.Instance {
	return platform.Instance{
		Name: name, Region: region, DataCentre: centre, Peer: name, Weight: max(weight, 1), State: platform.StateLive,
	}
}
