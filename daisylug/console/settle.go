package console

import "time"

const (
	// settleLimit is the time within which an accepted change is in effect
	// everywhere.
	settleLimit = 6 * time.Second
	settlePoll  = 200 * time.Millisecond
)

// settle resolves a change with an unknown outcome by reading what is in
// force, until settleLimit has passed.
func (r resource) settle(s *session, p *plan, o outcome, err error) (outcome, error) {
	failed := outcome{Name: p.name, Result: resultFailed}
	if exitCode(err) != ExitUnknownOutcome {
		return failed, r.explain(p, err)
	}
	for deadline := time.Now().Add(settleLimit); time.Now().Before(deadline); {
		current, lost := r.read(s, p.name)
		if lost == nil && current.number("version") > p.version {
			return r.judge(p, o, current, err)
		}
		if sleep(s.ctx, settlePoll) != nil {
			break
		}
	}
	return failed, r.explain(p, err)
}

// judge compares the version that followed the one read with the change. If
// the next version is another change, this one can never be accepted; after
// further versions it is not known whether it was.
func (r resource) judge(p *plan, o outcome, current document, err error) (outcome, error) {
	failed := outcome{Name: p.name, Result: resultFailed}
	version := current.number("version")
	if version != p.version+1 {
		return failed, r.explain(p, err)
	}
	if len(differences(current.without("version", "config"), p.wanted)) > 0 {
		conflict := &APIError{Type: typeConflict, Message: "another change came first", Version: version, Execution: ranNo}
		return failed, r.explain(p, conflict)
	}
	o.Version, o.Config = version, current.number("config")
	return o, nil
}
