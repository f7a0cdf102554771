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

// rolloutPollInterval is the interval between status reads, and so the resolution
// of the times that apply --wait prints.
const rolloutPollInterval = 100 * time.Millisecond

// stateDead is the state of an instance that can no longer serve.
const stateDead = "dead"

// rolloutStatus lists the instances on which a configuration version is in force.
type rolloutStatus struct {
	Config    int64             `json:"config"`
	Instances []instanceRollout `json:"instances"`
	// Seconds is the time until the version was in force on every instance, or
	// 0 if it is not yet.
	Seconds float64 `json:"seconds,omitempty"`
}

// instanceRollout is the state of one instance. After is the time from the
// acceptance of the change until the instance was first seen with its version or
// a later one.
type instanceRollout struct {
	Instance string  `json:"instance"`
	Centre   string  `json:"centre"`
	Config   int64   `json:"config"`
	InForce  bool    `json:"force"`
	After    float64 `json:"after,omitempty"`
}

// rollout tracks the instances while they adopt a configuration version.
type rollout struct {
	config   int64
	accepted time.Time
	entries  map[string]*instanceRollout
}

// awaitRollout waits until config is in force on every instance. If config is 0,
// it waits for the highest version in the first status: what was read from an
// instance before is in force there.
func (s *session) awaitRollout(config int64, accepted time.Time, limit time.Duration) (*rolloutStatus, error) {
	r := &rollout{config: config, accepted: accepted, entries: map[string]*instanceRollout{}}
	deadline := accepted.Add(limit)
	for {
		statuses, err := s.statusOfAll()
		if err != nil && !transient(err) {
			return r.status(), err
		}
		if err == nil && r.observe(statuses) {
			return r.status(), nil
		}
		if !time.Now().Before(deadline) {
			return r.status(), r.timeoutError(limit, err)
		}
		if err := sleep(s.ctx, rolloutPollInterval); err != nil {
			return r.status(), err
		}
	}
}

// statusOfAll asks one instance for the status of all instances.
func (s *session) statusOfAll() ([]document, error) {
	resp, err := s.client.get(s.ctx, "/v1/status", url.Values{"scope": {"all"}})
	if err != nil {
		return nil, err
	}
	var d document
	if err := resp.decode(&d); err != nil {
		return nil, err
	}
	return d.list("instances"), nil
}

// observe records one round of statuses and reports whether the version is in
// force on every instance that answered and on every one that those list. An
// instance that did not answer counts until the others report it dead.
func (r *rollout) observe(statuses []document) bool {
	known := map[string]bool{}
	versions := map[string]int64{}
	centres := map[string]string{}
	for _, status := range statuses {
		for _, member := range status.list("instances") {
			if member.text("state") != stateDead {
				known[member.text("name")] = true
				centres[member.text("name")] = member.text("centre")
			}
		}
	}
	for _, status := range statuses {
		name := status.text("instance")
		known[name] = true
		centres[name] = status.text("centre")
		versions[name] = configVersion(status["config"])
	}
	if r.config == 0 {
		for _, version := range versions {
			r.config = max(r.config, version)
		}
	}
	for name := range r.entries {
		if !known[name] {
			delete(r.entries, name)
		}
	}
	for name := range known {
		r.recordVersion(name, centres[name], versions[name])
	}
	return len(statuses) > 0 && !slices.ContainsFunc(r.sorted(), func(e instanceRollout) bool { return !e.InForce })
}

// recordVersion records the version of one instance, which is 0 if it did not
// answer.
func (r *rollout) recordVersion(name, centre string, version int64) {
	e := r.entries[name]
	if e == nil {
		e = &instanceRollout{Instance: name, Centre: centre}
		r.entries[name] = e
	}
	e.Config = max(e.Config, version)
	if !e.InForce && r.config > 0 && e.Config >= r.config {
		e.InForce = true
		e.After = seconds(time.Since(r.accepted))
	}
}

// configVersion returns a version that is given as a number or as the field
// version of an object.
func configVersion(value any) int64 {
	if n, ok := value.(json.Number); ok {
		v, _ := n.Int64()
		return v
	}
	fields, _ := value.(map[string]any)
	return document(fields).number("version")
}

func (r *rollout) sorted() []instanceRollout {
	list := make([]instanceRollout, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b instanceRollout) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

func (r *rollout) status() *rolloutStatus {
	status := &rolloutStatus{Config: r.config, Instances: r.sorted()}
	var last float64
	for _, e := range status.Instances {
		if !e.InForce {
			return status
		}
		last = max(last, e.After)
	}
	status.Seconds = last
	return status
}

func (r *rollout) timeoutError(limit time.Duration, err error) error {
	var missing []string
	for _, e := range r.sorted() {
		if !e.InForce {
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

func (s *rolloutStatus) draw(t *table) {
	t.row("INSTANCE", "CENTRE", "CONFIG", "IN FORCE AFTER")
	count := 0
	for _, e := range s.Instances {
		after := "-"
		if e.InForce {
			after = formatSeconds(e.After)
			count++
		}
		t.row(e.Instance, e.Centre, orDash(e.Config), after)
	}
	t.blankLine()
	text := fmt.Sprintf("config %d is in force on %d of %d instances", s.Config, count, len(s.Instances))
	if s.Seconds > 0 {
		text += " after " + formatSeconds(s.Seconds)
	}
	t.row(text)
}

// seconds converts d to seconds, rounded up to a millisecond.
func seconds(d time.Duration) float64 {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond).Seconds()
}

func formatSeconds(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) + "s" }
