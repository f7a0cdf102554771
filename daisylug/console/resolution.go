package console

import "time"

const (
	// resolveTimeout is the time within which an accepted change is in force on
	// every instance.
	resolveTimeout      = 6 * time.Second
	resolvePollInterval = 200 * time.Millisecond
)

// resolveUnknown determines the outcome of a change that failed with an unknown
// outcome. It polls the object in force until its version is newer, or
// resolveTimeout has passed.
func (r resource) resolveUnknown(s *session, p *plan, result outcome, err error) (outcome, error) {
	failed := outcome{Name: p.name, Result: resultFailed}
	if exitCode(err) != ExitUnknownOutcome {
		return failed, r.applyError(p, err)
	}
	for deadline := time.Now().Add(resolveTimeout); time.Now().Before(deadline); {
		current, readErr := r.read(s, p.name)
		if readErr == nil && current.number("version") > p.version {
			return r.verifyNextVersion(p, result, current, err)
		}
		if sleep(s.ctx, resolvePollInterval) != nil {
			break
		}
	}
	return failed, r.applyError(p, err)
}

// verifyNextVersion compares the change with the version that directly follows
// the one it was based on. If that version is another change, this one can never
// be accepted. If there are further versions, it is not known whether it was.
func (r resource) verifyNextVersion(p *plan, result outcome, current document, err error) (outcome, error) {
	failed := outcome{Name: p.name, Result: resultFailed}
	version := current.number("version")
	if version != p.version+1 {
		return failed, r.applyError(p, err)
	}
	if len(differences(current.without("version", "config"), p.wanted)) > 0 {
		conflict := &APIError{Type: typeConflict, Message: "another change came first", Version: version, Execution: ranNo}
		return failed, r.applyError(p, conflict)
	}
	result.Version, result.Config = version, current.number("config")
	return result, nil
}
