package template

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second

	// maxConfigChanges and maxConfigChangeBytes limit the changes that the row
	// "config" carries. Every instance reads the row every 2 s and may use
	// 2 KB/s.
	maxConfigChanges     = 8
	maxConfigChangeBytes = 8 << 10

	// minConflictReads is the number of reads that must agree before a conflict
	// is reported, since one read may be stale.
	minConflictReads = 2
)

// Versions are the versions created by a change.
type Versions struct {
	// Row is the version to expect in the next change of the same record.
	Row int64
	// Config is the version of the configuration that contains the change.
	Config int64
}

// PutTeam stores team if expectedVersion is the current version of its record;
// 0 creates it.
func (c *Catalogue) PutTeam(ctx context.Context, team *schema.Team, expectedVersion int64) (Versions, error) {
	if err := c.options.ValidateTeam(team); err != nil {
		return Versions{}, err
	}
	return c.put(ctx, "team", team.Name, team, expectedVersion, func(s *Snapshot) error {
		if err := checkTemplates(team, s); err != nil {
			return err
		}
		return c.checkFeasibility(s)
	})
}

// PutTemplate stores template if expectedVersion is the current version of its
// record; 0 creates it.
func (c *Catalogue) PutTemplate(ctx context.Context, template *schema.Template, expectedVersion int64) (Versions, error) {
	if err := c.options.ValidateTemplate(template); err != nil {
		return Versions{}, err
	}
	return c.put(ctx, "template", template.Name, template, expectedVersion, func(*Snapshot) error { return nil })
}

func (c *Catalogue) checkFeasibility(s *Snapshot) error {
	if c.feasible == nil {
		return nil
	}
	if err := c.feasible(s.Teams()); err != nil {
		return &InfeasibleError{Cause: err}
	}
	return nil
}

// pendingChange is a change that is being written.
type pendingChange struct {
	catalogue       *Catalogue
	kind            string
	name            string
	key             string
	operation       string
	value           []byte
	expectedVersion int64
	validate        func(*Snapshot) error

	// uncertainVersion is the version of the configuration that was expected by
	// a transaction whose response was lost; -1 if there is none.
	uncertainVersion int64
	conflictReads    int
}

func (c *Catalogue) put(ctx context.Context, kind, name string, m proto.Message, expectedVersion int64, validate func(*Snapshot) error) (Versions, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return Versions{}, err
	}
	e := &pendingChange{
		catalogue:        c,
		kind:             kind,
		name:             name,
		key:              kind + "/" + name,
		operation:        uuid.NewString(),
		value:            value,
		expectedVersion:  expectedVersion,
		validate:         validate,
		uncertainVersion: -1,
	}
	return e.run(ctx)
}

// run retries until the change takes effect or is refused, or ctx ends.
func (e *pendingChange) run(ctx context.Context) (Versions, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialBackoff
	retryBackoff.MaxInterval = maxBackoff
	for {
		versions, final, err := e.attempt(ctx)
		if final {
			return versions, err
		}
		select {
		case <-ctx.Done():
			return Versions{}, e.abandonError(err)
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

func (e *pendingChange) abandonError(cause error) error {
	if e.uncertainVersion >= 0 {
		return &UnknownOutcomeError{Key: e.key, Operation: e.operation, Cause: cause}
	}
	return &NotWrittenError{Key: e.key, Cause: cause}
}

// attempt tries once to apply the change to the current configuration.
func (e *pendingChange) attempt(ctx context.Context) (v Versions, final bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.catalogue.options.Timeout)
	defer cancel()
	began := time.Now()
	config, err := e.catalogue.readConfig(ctx)
	if err != nil {
		return Versions{}, false, err
	}
	if v, final, err = e.resolveOutcome(config); final {
		return v, true, err
	}
	base, err := e.catalogue.resolve(ctx, config)
	if err != nil {
		return Versions{}, false, err
	}
	e.catalogue.activate(base, began)
	if final, err := e.checkVersion(base); err != nil {
		return Versions{}, final, err
	}
	next, err := base.withRecords(base.version+1, &schema.Record{Key: e.key, Version: e.expectedVersion + 1, Value: e.value})
	if err != nil {
		return Versions{}, true, err
	}
	if err := e.validate(next); err != nil {
		return Versions{}, true, err
	}
	return e.commit(ctx, config, base, next)
}

// resolveOutcome looks for the operation among the changes after a response was
// lost. A configuration beyond uncertainVersion that lacks the operation will
// never contain it, since the transaction expected that version.
func (e *pendingChange) resolveOutcome(config *schema.Config) (v Versions, final bool, err error) {
	if e.uncertainVersion < 0 || config.Version <= e.uncertainVersion {
		return Versions{}, false, nil
	}
	for _, change := range config.Changes {
		if change.Operation == e.operation {
			return Versions{Row: change.Record.Version, Config: change.Version}, true, nil
		}
	}
	if len(config.Changes) == 0 || config.Changes[0].Version > e.uncertainVersion+1 {
		return Versions{}, true, e.abandonError(&StaleError{Key: configKey, Version: e.uncertainVersion, Known: config.Version})
	}
	e.uncertainVersion = -1
	return Versions{}, false, nil
}

// checkVersion compares the current version of the record with the expected
// one.
func (e *pendingChange) checkVersion(base *Snapshot) (final bool, err error) {
	var version int64
	if r := base.findRecord(e.key); r != nil {
		version = r.Version
	}
	if version == e.expectedVersion {
		return false, nil
	}
	e.conflictReads++
	return e.conflictReads >= minConflictReads, &ConflictError{Kind: e.kind, Name: e.name, ExpectedVersion: e.expectedVersion, Version: version}
}

// commit writes the record and the configuration row.
func (e *pendingChange) commit(ctx context.Context, config *schema.Config, base, next *Snapshot) (Versions, bool, error) {
	began := time.Now()
	value, err := proto.Marshal(e.configRow(config, next))
	if err != nil {
		return Versions{}, true, err
	}
	err = e.catalogue.table.Commit(ctx, platform.Transaction{
		Operation: e.operation,
		Writes: []platform.Write{
			{Key: e.key, Version: e.expectedVersion, Value: e.value},
			{Key: configKey, Version: base.version, Value: value},
		},
	})
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		e.catalogue.activate(next, began)
		return Versions{Row: e.expectedVersion + 1, Config: next.version}, true, nil
	case errors.As(err, &conflict), errors.As(err, &unavailable):
	case e.catalogue.blindRetry:
	default:
		e.uncertainVersion = base.version
	}
	return Versions{}, false, err
}

// configRow returns the configuration row for next.
func (e *pendingChange) configRow(config *schema.Config, next *Snapshot) *schema.Config {
	change := &schema.Change{Version: next.version, Operation: e.operation, Record: next.findRecord(e.key)}
	return &schema.Config{
		Version: next.version,
		Sum:     next.digest(),
		Changes: trimChanges(append(slices.Clone(config.Changes), change)),
	}
}

// trimChanges drops the oldest changes that exceed the limits, but never the
// latest one.
func trimChanges(changes []*schema.Change) []*schema.Change {
	size := 0
	for i, change := range slices.Backward(changes) {
		size += len(change.Record.Value)
		if len(changes)-i > maxConfigChanges || size > maxConfigChangeBytes && i < len(changes)-1 {
			return changes[i+1:]
		}
	}
	return changes
}
