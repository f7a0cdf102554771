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
	pauseFirst = 20 * time.Millisecond
	pauseMax   = 2 * time.Second

	// changesMax and changesBytes bound the changes that "config" carries. Every
	// instance reads the row every 2 s and may use 2 KB/s.
	changesMax   = 8
	changesBytes = 8 << 10

	// conflictReads is the number of reads that must agree before a conflict
	// is reported, since one read may be stale.
	conflictReads = 2
)

// Versions are the versions that a change made.
type Versions struct {
	// Row is the version to match in the next change of the same record.
	Row int64
	// Config is the version of the configuration that holds the change.
	Config int64
}

// PutTeam stores team if match is the version in force; 0 creates it.
func (c *Catalogue) PutTeam(ctx context.Context, team *schema.Team, match int64) (Versions, error) {
	if err := c.checkTeam(team); err != nil {
		return Versions{}, err
	}
	return c.put(ctx, "team", team.Name, team, match, func(s *Snapshot) error {
		if err := checkTemplates(team, s); err != nil {
			return err
		}
		return c.checkGuarantees(s)
	})
}

// PutTemplate stores template if match is the version in force; 0 creates it.
func (c *Catalogue) PutTemplate(ctx context.Context, template *schema.Template, match int64) (Versions, error) {
	if err := c.checkTemplate(template); err != nil {
		return Versions{}, err
	}
	return c.put(ctx, "template", template.Name, template, match, func(*Snapshot) error { return nil })
}

func (c *Catalogue) checkGuarantees(s *Snapshot) error {
	if c.feasible == nil {
		return nil
	}
	if err := c.feasible(s.Teams()); err != nil {
		return &InfeasibleError{Cause: err}
	}
	return nil
}

// edit is one change under way.
type edit struct {
	catalogue *Catalogue
	kind      string
	name      string
	key       string
	operation string
	value     []byte
	match     int64
	check     func(*Snapshot) error

	// doubt is the version of the configuration that a transaction without
	// answer expected; -1 if there is none.
	doubt     int64
	conflicts int
}

func (c *Catalogue) put(ctx context.Context, kind, name string, m proto.Message, match int64, check func(*Snapshot) error) (Versions, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return Versions{}, err
	}
	e := &edit{
		catalogue: c,
		kind:      kind,
		name:      name,
		key:       kind + "/" + name,
		operation: uuid.NewString(),
		value:     value,
		match:     match,
		check:     check,
		doubt:     -1,
	}
	return e.run(ctx)
}

// run tries until the change is in effect, refused, or ctx ends.
func (e *edit) run(ctx context.Context) (Versions, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = pauseFirst
	pauses.MaxInterval = pauseMax
	for {
		versions, settled, err := e.try(ctx)
		if settled {
			return versions, err
		}
		select {
		case <-ctx.Done():
			return Versions{}, e.giveUp(err)
		case <-time.After(pauses.NextBackOff()):
		}
	}
}

func (e *edit) giveUp(cause error) error {
	if e.doubt >= 0 {
		return &UnknownOutcomeError{Key: e.key, Operation: e.operation, Cause: cause}
	}
	return &NotWrittenError{Key: e.key, Cause: cause}
}

// try makes one attempt on the configuration as it is now.
func (e *edit) try(ctx context.Context) (v Versions, settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.catalogue.options.Timeout)
	defer cancel()
	began := time.Now()
	config, err := e.catalogue.readConfig(ctx)
	if err != nil {
		return Versions{}, false, err
	}
	if v, settled, err = e.settle(config); settled {
		return v, true, err
	}
	base, err := e.catalogue.resolve(ctx, config)
	if err != nil {
		return Versions{}, false, err
	}
	e.catalogue.adopt(base, began)
	if settled, err := e.matched(base); err != nil {
		return Versions{}, settled, err
	}
	next, err := base.with(base.version+1, &schema.Record{Key: e.key, Version: e.match + 1, Value: e.value})
	if err != nil {
		return Versions{}, true, err
	}
	if err := e.check(next); err != nil {
		return Versions{}, true, err
	}
	return e.commit(ctx, config, base, next)
}

// settle looks for the operation in the changes after an answer was lost. A
// configuration past the doubtful version without it never gets it, since the
// transaction expected that version.
func (e *edit) settle(config *schema.Config) (v Versions, settled bool, err error) {
	if e.doubt < 0 || config.Version <= e.doubt {
		return Versions{}, false, nil
	}
	for _, change := range config.Changes {
		if change.Operation == e.operation {
			return Versions{Row: change.Record.Version, Config: change.Version}, true, nil
		}
	}
	if len(config.Changes) == 0 || config.Changes[0].Version > e.doubt+1 {
		return Versions{}, true, e.giveUp(&StaleError{Key: configKey, Version: e.doubt, Known: config.Version})
	}
	e.doubt = -1
	return Versions{}, false, nil
}

// matched compares the version in force with the one to match.
func (e *edit) matched(base *Snapshot) (settled bool, err error) {
	var version int64
	if r := base.find(e.key); r != nil {
		version = r.Version
	}
	if version == e.match {
		return false, nil
	}
	e.conflicts++
	return e.conflicts >= conflictReads, &ConflictError{Kind: e.kind, Name: e.name, ExpectedVersion: e.match, Version: version}
}

// commit writes the record and the configuration row.
func (e *edit) commit(ctx context.Context, config *schema.Config, base, next *Snapshot) (Versions, bool, error) {
	began := time.Now()
	value, err := proto.Marshal(e.describe(config, next))
	if err != nil {
		return Versions{}, true, err
	}
	err = e.catalogue.table.Commit(ctx, platform.Transaction{
		Operation: e.operation,
		Writes: []platform.Write{
			{Key: e.key, Version: e.match, Value: e.value},
			{Key: configKey, Version: base.version, Value: value},
		},
	})
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		e.catalogue.adopt(next, began)
		return Versions{Row: e.match + 1, Config: next.version}, true, nil
	case errors.As(err, &conflict), errors.As(err, &unavailable):
	case e.catalogue.blind:
	default:
		e.doubt = base.version
	}
	return Versions{}, false, err
}

// describe returns the configuration row for next.
func (e *edit) describe(config *schema.Config, next *Snapshot) *schema.Config {
	change := &schema.Change{Version: next.version, Operation: e.operation, Record: next.find(e.key)}
	return &schema.Config{
		Version: next.version,
		Sum:     next.sum(),
		Changes: trim(append(slices.Clone(config.Changes), change)),
	}
}

// trim drops the oldest changes beyond the bounds, but not the latest one.
func trim(changes []*schema.Change) []*schema.Change {
	size := 0
	for i, change := range slices.Backward(changes) {
		size += len(change.Record.Value)
		if len(changes)-i > changesMax || size > changesBytes && i < len(changes)-1 {
			return changes[i+1:]
		}
	}
	return changes
}
