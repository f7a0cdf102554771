package console

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// mixEntry is one kind of request in a load.
type mixEntry struct {
	Team     string
	Template string
	Class    string
	Share    float64
}

// UnmarshalText reads TEAM/TEMPLATE/CLASS=SHARE.
func (m *mixEntry) UnmarshalText(text []byte) error {
	wrong := &ValueError{Text: string(text), Want: "TEAM/TEMPLATE, TEAM/TEMPLATE/CLASS or either with =SHARE"}
	names, share, given := strings.Cut(string(text), "=")
	m.Share = 1
	if given {
		var err error
		if m.Share, err = strconv.ParseFloat(share, 64); err != nil || !(m.Share > 0) {
			return wrong
		}
	}
	parts := strings.Split(names, "/")
	if len(parts) < 2 || len(parts) > 3 || slices.Contains(parts, "") {
		return wrong
	}
	m.Team, m.Template = parts[0], parts[1]
	if len(parts) == 3 {
		m.Class = parts[2]
	}
	return nil
}

// class returns the name of the class in reports.
func (m mixEntry) class() string {
	if m.Class == "" {
		return "default"
	}
	return m.Class
}

// mix draws entries by share.
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

func (m mix) draw(r *rand.Rand) mixEntry {
	at := r.Float64() * m.total
	for _, e := range m.entries {
		if at < e.Share {
			return e
		}
		at -= e.Share
	}
	return m.entries[len(m.entries)-1]
}
