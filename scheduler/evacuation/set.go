// Package evacuation holds the data centres that an operator has asked to
// evacuate, and decides which of their runs are worth moving. Nothing new starts
// in an evacuated data centre until the request is withdrawn. The package reads no
// clock and does no input or output.
package evacuation

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/schema"
)

// Set is the evacuated data centres as of a version of the store. It is immutable.
// The zero value is a set that has not been read yet.
type Set struct {
	version     int64
	dataCentres map[string]struct{}
}

// New returns a set as of a version of the store.
func New(version int64, dataCentres ...string) Set {
	s := Set{version: version, dataCentres: make(map[string]struct{}, len(dataCentres))}
	for _, name := range dataCentres {
		s.dataCentres[name] = struct{}{}
	}
	return s
}

// Version returns the version of the store as of which the set is valid, or 0 if
// it has not been read yet.
func (s Set) Version() int64 { return s.version }

// Empty reports whether no data centre is evacuated.
func (s Set) Empty() bool { return len(s.dataCentres) == 0 }

// Contains reports whether the data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	_, ok := s.dataCentres[dataCentre]
	return ok
}

// DataCentres returns the names of the evacuated data centres in order.
func (s Set) DataCentres() []string { return slices.Sorted(maps.Keys(s.dataCentres)) }

// With returns the set with a data centre added.
func (s Set) With(dataCentre string) Set {
	return New(s.version, append(s.DataCentres(), dataCentre)...)
}

// Without returns the set with a data centre removed.
func (s Set) Without(dataCentre string) Set {
	return New(s.version, slices.DeleteFunc(s.DataCentres(), func(name string) bool { return name == dataCentre })...)
}

// WithVersion returns the set as of another version of the store.
func (s Set) WithVersion(version int64) Set { return Set{version: version, dataCentres: s.dataCentres} }

// SameDataCentres reports whether both sets name the same data centres.
func (s Set) SameDataCentres(other Set) bool { return maps.Equal(s.dataCentres, other.dataCentres) }

// Newest returns the set with the higher version of the store.
func Newest(a, b Set) Set {
	if b.version > a.version {
		return b
	}
	return a
}

// Encode returns the set as an encoded schema.Evacuations.
func (s Set) Encode() ([]byte, error) {
	return proto.Marshal(&schema.Evacuations{Version: s.version, Centres: s.DataCentres()})
}

// Decode decodes the result of Encode.
func Decode(content []byte) (Set, error) {
	m := &schema.Evacuations{}
	if err := proto.Unmarshal(content, m); err != nil {
		return Set{}, err
	}
	return New(m.GetVersion(), m.GetCentres()...), nil
}
