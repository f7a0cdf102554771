package console

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// mixEntry is one kind of request in a load, with its weight in the mix.
type mixEntry struct {
	Team     string
	Template string
	Class    string
	Share    float64
}

// UnmarshalText parses TEAM/TEMPLATE/CLASS=SHARE, of which the class and the
// share are optional.
func (m *mixEntry) UnmarshalText(text []byte) error {
	errSyntax := &ValueError{Text: string(text), Want: "TEAM/TEMPLATE, TEAM/TEMPLATE/CLASS or either with =SHARE"}
	names, share, hasShare := strings.Cut(string(text), "=")
	m.Share = 1
	if hasShare {
		var err error
		if m.Share, err = strconv.ParseFloat(share, 64); err != nil || !(m.Share > 0) {
			return errSyntax
		}
	}
	parts := strings.Split(names, "/")
	if len(parts) < 2 || len(parts) > 3 || slices.Contains(parts, "") {
		return errSyntax
	}
	m.Team, m.Template = parts[0], parts[1]
	if len(parts) == 3 {
		m.Class = parts[2]
	}
	return nil
}

// class returns the name under which reports list the class.
func (m mixEntry) class() string {
	if m.Class == "" {
		return "default"
	}
	return m.Class
}

// mix samples entries at random, weighted by share.
type mix struct {
	entries []mixEntry
	total   float64
}

func newMix(entries []mixEntry) mix {
	m := mix{entries: entries}
	for _, e := range entries {
		m.total += e.Share
	}
	return m
}

func (m mix) sample(r *rand.Rand) mixEntry {
	point := r.Float64() * m.total
	for _, e := range m.entries {
		if point < e.Share {
			return e
		}
		point -= e.Share
	}
	return m.entries[len(m.entries)-1]
}
