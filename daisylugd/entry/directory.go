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

// instanceTable holds a row for each instance, through which instances discover
// each other.
const instanceTable = "instance"

// registerRetryDelay is the delay between two attempts to write the row of this
// instance.
const registerRetryDelay = 500 * time.Millisecond

func instanceKey(name string) platform.RowKey {
	return platform.RowKey{Table: instanceTable, Key: name}
}

// registerInstance writes the row of this instance, with retries, and blocks
// until ctx is cancelled.
func (e *Server) registerInstance(ctx context.Context) error {
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
			e.log.Info("failed to write the row of this instance", "error", err)
		}
		sleep(ctx, registerRetryDelay)
	}
	<-ctx.Done()
	return ctx.Err()
}

// directory lists the instances found in the seeds and in the instance table.
type directory struct {
	server *Server
	cache  *platform.TableCache
	known  map[string]platform.Instance
}

var _ platform.Directory = (*directory)(nil)

func newDirectory(e *Server) *directory {
	return &directory{
		server: e, cache: platform.NewTableCache(e.services.Store, instanceTable), known: map[string]platform.Instance{},
	}
}

// List implements platform.Directory. If the store is unavailable, it returns
// the instances that are already known.
func (d *directory) List(ctx context.Context) (platform.Listing, error) {
	changed, err := d.cache.Update(ctx)
	if err != nil && ctx.Err() == nil {
		d.server.log.Info("failed to update the instance list, keeping the known instances", "known", len(d.known), "error", err)
	}
	for _, r := range changed {
		delete(d.known, r.Key)
		if r.Deleted {
			continue
		}
		m := &schema.InstanceRecord{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			d.server.log.Error(err, "failed to decode the row of an instance", "instance", r.Key)
			continue
		}
		d.known[r.Key] = newInstance(m.GetName(), m.GetRegion(), m.GetCentre(), int(m.GetWeight()))
	}
	listing := platform.Listing{AsOf: time.Now(), Instances: slices.Collect(maps.Values(d.known))}
	for _, s := range *d.server.seeds.Load() {
		if _, ok := d.known[s]; !ok {
			listing.Instances = append(listing.Instances, newInstance(s, "", "", 0))
		}
	}
	return listing, nil
}

// newInstance returns the description of a live instance. A weight of 0 means
// unknown and is replaced by the smallest weight, 1.
func newInstance(name, region, centre string, weight int) platform.Instance {
	return platform.Instance{
		Name: name, Region: region, DataCentre: centre, Peer: name, Weight: max(weight, 1), State: platform.StateLive,
	}
}
