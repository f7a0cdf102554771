package console

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// forcePoll is the resolution of the times that apply --wait prints.
const forcePoll = 100 * time.Millisecond

// stateDead is the state of an instance that cannot serve any more.
const stateDead = "dead"

// force tells where a configuration version is in force.
type force struct {
	Config    int64          `json:"config"`
	Instances []forceOnEntry `json:"instances"`
	// Seconds is the time until it was in force everywhere; 0 if it is not.
	Seconds float64 `json:"seconds,omitempty"`
}

// forceOnEntry is one instance. After is the time, since the change was
// accepted, at which its version was first seen to be high enough.
type forceOnEntry struct {
	Instance string  `json:"instance"`
	Centre   string  `json:"centre"`
	Config   int64   `json:"config"`
	Force    bool    `json:"force"`
	After    float64 `json:"after,omitempty"`
}

// rollout observes the instances while they adopt a configuration version.
type rollout struct {
	config   int64
	accepted time.Time
	entries  map[string]*forceOnEntry
}

// awaitForce waits until config is in force on every instance. If config is
// 0, the highest version seen at first is awaited: what was read before from
// an instance is in force there.
func (s *session) awaitForce(config int64, accepted time.Time, limit time.Duration) (*force, error) {
	r := &rollout{config: config, accepted: accepted, entries: map[string]*forceOnEntry{}}
	deadline := accepted.Add(limit)
	for {
		all, err := s.statusOfAll()
		if err != nil && !passing(err) {
			return r.force(), err
		}
		if err == nil && r.observe(all) {
			return r.force(), nil
		}
		if !time.Now().Before(deadline) {
			return r.force(), r.pending(limit, err)
		}
		if err := sleep(s.ctx, forcePoll); err != nil {
			return r.force(), err
		}
	}
}

// statusOfAll asks one instance for the status of all.
func (s *session) statusOfAll() ([]document, error) {
	a, err := s.client.get(s.ctx, "/v1/status", url.Values{"scope": {"all"}})
	if err != nil {
		return nil, err
	}
	var d document
	if err := a.decode(&d); err != nil {
		return nil, err
	}
	return d.list("instances"), nil
}

// observe takes in one round of answers and reports whether the version is in
// force on every instance that answered and on every one they know of. An
// instance that did not answer counts as known until the others call it dead.
func (r *rollout) observe(answers []document) bool {
	seen := map[string]bool{}
	versions := map[string]int64{}
	centres := map[string]string{}
	for _, one := range answers {
		for _, member := range one.list("instances") {
			if member.text("state") != stateDead {
				seen[member.text("name")] = true
				centres[member.text("name")] = member.text("centre")
			}
		}
	}
	for _, one := range answers {
		name := one.text("instance")
		seen[name] = true
		centres[name] = one.text("centre")
		versions[name] = configVersion(one["config"])
	}
	if r.config == 0 {
		for _, version := range versions {
			r.config = max(r.config, version)
		}
	}
	for name := range r.entries {
		if !seen[name] {
			delete(r.entries, name)
		}
	}
	for name := range seen {
		r.adopt(name, centres[name], versions[name])
	}
	return len(answers) > 0 && !slices.ContainsFunc(r.sorted(), func(e forceOnEntry) bool { return !e.Force })
}

// adopt takes in the version of one instance; 0 if it did not answer.
func (r *rollout) adopt(name, centre string, version int64) {
	e := r.entries[name]
	if e == nil {
		e = &forceOnEntry{Instance: name, Centre: centre}
		r.entries[name] = e
	}
	e.Config = max(e.Config, version)
	if !e.Force && r.config > 0 && e.Config >= r.config {
		e.Force = true
		e.After = seconds(time.Since(r.accepted))
	}
}

// configVersion reads a version given as a number or in an object.
func configVersion(value any) int64 {
	if n, ok := value.(json.Number); ok {
		v, _ := n.Int64()
		return v
	}
	fields, _ := value.(map[string]any)
	return document(fields).number("version")
}

func (r *rollout) sorted() []forceOnEntry {
	list := make([]forceOnEntry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b forceOnEntry) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

func (r *rollout) force() *force {
	f := &force{Config: r.config, Instances: r.sorted()}
	var last float64
	for _, e := range f.Instances {
		if !e.Force {
			return f
		}
		last = max(last, e.After)
	}
	f.Seconds = last
	return f
}

func (r *rollout) pending(limit time.Duration, err error) error {
	var missing []string
	for _, e := range r.sorted() {
		if !e.Force {
			missing = append(missing, e.Instance)
		}
	}
	if len(missing) == 0 && err != nil {
		return err
	}
	where := "any instance"
	if len(missing) > 0 {
		where = strings.Join(missing, ", ")
	}
	return &WaitTimeoutError{What: fmt.Sprintf("config %d is not known to be in force on %s", r.config, where), Waited: limit}
}

func (f *force) draw(t *table) {
	t.row("INSTANCE", "CENTRE", "CONFIG", "IN FORCE AFTER")
	count := 0
	for _, e := range f.Instances {
		after := "-"
		if e.Force {
			after = formatSeconds(e.After)
			count++
		}
		t.row(e.Instance, e.Centre, orDash(e.Config), after)
	}
	t.gap()
	text := fmt.Sprintf("config %d is in force on %d of %d instances", f.Config, count, len(f.Instances))
	if f.Seconds > 0 {
		text += " after " + formatSeconds(f.Seconds)
	}
	t.row(text)
}

// seconds rounds up to milliseconds.
func seconds(d time.Duration) float64 {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond).Seconds()
}

func formatSeconds(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) + "s" }
