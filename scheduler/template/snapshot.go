package template

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/schema"
)

// Snapshot is the complete configuration at one version. The snapshot and all
// records reachable from it are immutable.
type Snapshot struct {
	version   int64
	records   []*schema.Record
	teams     map[string]entry[*schema.Team]
	templates map[string]entry[*schema.Template]
}

// entry is a decoded record with the version of its row.
type entry[T any] struct {
	value   T
	version int64
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() int64 { return s.version }

// Team returns a team and the version of its row, or nil and 0 if it does not
// exist.
func (s *Snapshot) Team(name string) (*schema.Team, int64) {
	e := s.teams[name]
	return e.value, e.version
}

// Template returns a template and the version of its row, or nil and 0 if it
// does not exist.
func (s *Snapshot) Template(name string) (*schema.Template, int64) {
	e := s.templates[name]
	return e.value, e.version
}

// Teams returns all teams in order of name.
func (s *Snapshot) Teams() []*schema.Team {
	return listValues(s, teamPrefix, s.teams)
}

// Templates returns all templates in order of name.
func (s *Snapshot) Templates() []*schema.Template {
	return listValues(s, templatePrefix, s.templates)
}

// listValues returns the values of one kind in the order of the records.
func listValues[T any](s *Snapshot, prefix string, entries map[string]entry[T]) []T {
	values := make([]T, 0, len(entries))
	for _, r := range s.records {
		if name, ok := strings.CutPrefix(r.Key, prefix); ok {
			values = append(values, entries[name].value)
		}
	}
	return values
}

// Encode returns the snapshot in the form that Import of another instance
// accepts.
func (s *Snapshot) Encode() ([]byte, error) {
	return proto.Marshal(&schema.Snapshot{Version: s.version, Records: s.records})
}

// Decode returns the snapshot encoded by Encode.
func Decode(encoded []byte) (*Snapshot, error) {
	var m schema.Snapshot
	if err := proto.Unmarshal(encoded, &m); err != nil {
		return nil, &RecordError{Key: "snapshot", Cause: err}
	}
	return newSnapshot(m.Version, m.Records)
}

// newSnapshot decodes records, which must not be modified afterwards.
func newSnapshot(version int64, records []*schema.Record) (*Snapshot, error) {
	s := &Snapshot{
		version:   version,
		records:   records,
		teams:     make(map[string]entry[*schema.Team]),
		templates: make(map[string]entry[*schema.Template]),
	}
	for _, r := range records {
		if err := s.add(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Snapshot) add(r *schema.Record) error {
	if name, ok := strings.CutPrefix(r.Key, teamPrefix); ok {
		team := new(schema.Team)
		if err := proto.Unmarshal(r.Value, team); err != nil {
			return &RecordError{Key: r.Key, Cause: err}
		}
		s.teams[name] = entry[*schema.Team]{value: team, version: r.Version}
		return nil
	}
	if name, ok := strings.CutPrefix(r.Key, templatePrefix); ok {
		template := new(schema.Template)
		if err := proto.Unmarshal(r.Value, template); err != nil {
			return &RecordError{Key: r.Key, Cause: err}
		}
		s.templates[name] = entry[*schema.Template]{value: template, version: r.Version}
	}
	return nil
}

// withRecords returns a snapshot of the given version in which records are
// added or replace those with the same key.
func (s *Snapshot) withRecords(version int64, records ...*schema.Record) (*Snapshot, error) {
	next := slices.Clone(s.records)
	for _, r := range records {
		i, found := slices.BinarySearchFunc(next, r.Key, compareKey)
		if found {
			next[i] = r
			continue
		}
		next = slices.Insert(next, i, r)
	}
	return newSnapshot(version, next)
}

// findRecord returns the record with key, or nil.
func (s *Snapshot) findRecord(key string) *schema.Record {
	i, found := slices.BinarySearchFunc(s.records, key, compareKey)
	if !found {
		return nil
	}
	return s.records[i]
}

// digest returns a hash of the keys and versions of all rows.
func (s *Snapshot) digest() uint64 {
	h := xxhash.New()
	var version [8]byte
	for _, r := range s.records {
		_, _ = h.WriteString(r.Key)
		binary.BigEndian.PutUint64(version[:], uint64(r.Version))
		_, _ = h.Write(version[:])
	}
	return h.Sum64()
}

// matches reports whether the snapshot holds exactly the rows that config
// describes.
func (s *Snapshot) matches(config *schema.Config) bool {
	return s.version == config.Version && s.digest() == config.Sum
}

// applyChanges applies the changes in config that are newer than s. It returns
// nil if they do not lead to the state that config describes.
func (s *Snapshot) applyChanges(config *schema.Config) *Snapshot {
	var records []*schema.Record
	version := s.version
	for _, change := range config.Changes {
		if change.Version <= s.version {
			continue
		}
		if change.Version != version+1 {
			return nil
		}
		version = change.Version
		records = append(records, change.Record)
	}
	next, err := s.withRecords(config.Version, records...)
	if err != nil || !next.matches(config) {
		return nil
	}
	return next
}

func compareKey(r *schema.Record, key string) int { return strings.Compare(r.Key, key) }
