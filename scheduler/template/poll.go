package template

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	// loadTries is the number of times that a full read is tried again when
	// the configuration changes under it.
	loadTries = 4

	// loadRows is the number of rows that a full read takes in one call.
	loadRows = 256
)

// Run keeps the configuration up to date until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	ticker := time.NewTicker(c.options.PollInterval)
	defer ticker.Stop()
	polls := make(chan struct{}, c.polls)
	hinted := make(chan struct{}, 1)
	c.start(ctx, &reads, polls)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.forgetHints()
			c.start(ctx, &reads, polls)
		case <-c.hints:
			c.start(ctx, &reads, hinted)
		}
	}
}

// start begins a read unless too many are under way.
func (c *Catalogue) start(ctx context.Context, reads *sync.WaitGroup, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	reads.Go(func() {
		defer func() { <-slots }()
		if err := c.Refresh(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Reading the configuration failed", "err", err)
		}
	})
}

// Hint tells that another instance has the given version. A higher version
// than the one in force causes an immediate read.
func (c *Catalogue) Hint(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= max(c.snapshot.version, c.hinted) {
		return
	}
	c.hinted = version
	select {
	case c.hints <- struct{}{}:
	default:
	}
}

// forgetHints lets a hint cause a read again although an earlier hint had a
// higher version that does not exist or could not be read.
func (c *Catalogue) forgetHints() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hinted = 0
}

// Refresh reads the configuration and puts it in force if it is newer.
func (c *Catalogue) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	began := time.Now()
	config, err := c.readConfig(ctx)
	if err != nil {
		return err
	}
	next, err := c.resolve(ctx, config)
	if err != nil {
		return err
	}
	c.adopt(next, began)
	return nil
}

// readConfig reads the row "config". An absent row is version 0.
func (c *Catalogue) readConfig(ctx context.Context) (*schema.Config, error) {
	rows, err := c.table.Read(ctx, configKey)
	if err != nil {
		return nil, err
	}
	config := new(schema.Config)
	if len(rows) == 0 {
		return config, nil
	}
	if err := proto.Unmarshal(rows[0].Value, config); err != nil {
		return nil, &RecordError{Key: configKey, Cause: err}
	}
	config.Version = rows[0].Version
	return config, nil
}

// resolve returns the snapshot that config describes, from the one in force
// if possible.
func (c *Catalogue) resolve(ctx context.Context, config *schema.Config) (*Snapshot, error) {
	current := c.Snapshot()
	switch {
	case config.Version == current.version:
		return current, nil
	case config.Version < current.version && !c.lower:
		return nil, &StaleError{Key: configKey, Version: config.Version, Known: current.version}
	case config.Version > current.version:
		if next := current.follow(config); next != nil {
			return next, nil
		}
	}
	return c.load(ctx, config)
}

// load reads all rows. If they do not match config, because they have changed
// since or the read was stale, it starts over.
func (c *Catalogue) load(ctx context.Context, config *schema.Config) (*Snapshot, error) {
	for try := 1; ; try++ {
		s, err := c.scan(ctx, config.Version)
		if err != nil {
			return nil, err
		}
		if s.matches(config) {
			return s, nil
		}
		if try == loadTries {
			return nil, &StaleError{Key: configKey, Version: config.Version, Known: config.Version}
		}
		if config, err = c.readConfig(ctx); err != nil {
			return nil, err
		}
	}
}

func (c *Catalogue) scan(ctx context.Context, version int64) (*Snapshot, error) {
	var records []*schema.Record
	for _, prefix := range []string{teamPrefix, templatePrefix} {
		for after, more := "", true; more; {
			rows, err := c.table.Scan(ctx, prefix, after, loadRows)
			if err != nil {
				return nil, err
			}
			for _, row := range rows {
				records = append(records, record(row))
				after = row.Key
			}
			more = len(rows) == loadRows
		}
	}
	return newSnapshot(version, records)
}

func record(row platform.Row) *schema.Record {
	return &schema.Record{Key: row.Key, Version: row.Version, Value: row.Value}
}
