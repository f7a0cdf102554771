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
	// maxLoadAttempts is the number of times that a full read is attempted
	// while the configuration keeps changing.
	maxLoadAttempts = 4

	// scanPageRows is the number of rows that a full read requests in one call.
	scanPageRows = 256
)

// Run keeps the configuration up to date until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	ticker := time.NewTicker(c.options.PollInterval)
	defer ticker.Stop()
	pollSlots := make(chan struct{}, c.maxConcurrentPolls)
	hintSlots := make(chan struct{}, 1)
	c.startRead(ctx, &reads, pollSlots)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.resetHint()
			c.startRead(ctx, &reads, pollSlots)
		case <-c.hintSignal:
			c.startRead(ctx, &reads, hintSlots)
		}
	}
}

// startRead starts a read in the background unless all slots are in use.
func (c *Catalogue) startRead(ctx context.Context, reads *sync.WaitGroup, slots chan struct{}) {
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

// Hint reports that another instance has the given version. A version higher
// than the current one triggers an immediate read.
func (c *Catalogue) Hint(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= max(c.snapshot.version, c.hintedVersion) {
		return
	}
	c.hintedVersion = version
	select {
	case c.hintSignal <- struct{}{}:
	default:
	}
}

// resetHint lets the next hint trigger a read even if an earlier hint had a
// higher version that does not exist or could not be read.
func (c *Catalogue) resetHint() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hintedVersion = 0
}

// Refresh reads the configuration and activates it if it is newer.
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
	c.activate(next, began)
	return nil
}

// readConfig reads the row "config". An absent row counts as version 0.
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

// resolve returns the snapshot that config describes. It derives the snapshot
// from the current one if possible, and otherwise reads all rows.
func (c *Catalogue) resolve(ctx context.Context, config *schema.Config) (*Snapshot, error) {
	current := c.Snapshot()
	switch {
	case config.Version == current.version:
		return current, nil
	case config.Version < current.version && !c.allowDowngrade:
		return nil, &StaleError{Key: configKey, Version: config.Version, Known: current.version}
	case config.Version > current.version:
		if next := current.applyChanges(config); next != nil {
			return next, nil
		}
	}
	return c.loadSnapshot(ctx, config)
}

// loadSnapshot reads all rows. If they do not match config, because they have
// changed since or the read was stale, it reads config and the rows again.
func (c *Catalogue) loadSnapshot(ctx context.Context, config *schema.Config) (*Snapshot, error) {
	for try := 1; ; try++ {
		s, err := c.scanRecords(ctx, config.Version)
		if err != nil {
			return nil, err
		}
		if s.matches(config) {
			return s, nil
		}
		if try == maxLoadAttempts {
			return nil, &StaleError{Key: configKey, Version: config.Version, Known: config.Version}
		}
		if config, err = c.readConfig(ctx); err != nil {
			return nil, err
		}
	}
}

func (c *Catalogue) scanRecords(ctx context.Context, version int64) (*Snapshot, error) {
	var records []*schema.Record
	for _, prefix := range []string{teamPrefix, templatePrefix} {
		for after, more := "", true; more; {
			rows, err := c.table.Scan(ctx, prefix, after, scanPageRows)
			if err != nil {
				return nil, err
			}
			for _, row := range rows {
				records = append(records, newRecord(row))
				after = row.Key
			}
			more = len(rows) == scanPageRows
		}
	}
	return newSnapshot(version, records)
}

func newRecord(row platform.Row) *schema.Record {
	return &schema.Record{Key: row.Key, Version: row.Version, Value: row.Value}
}
