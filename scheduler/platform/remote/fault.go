package remote

import (
	"encoding/json"
	"errors"
	"net/http"

	"daisylug.example/scheduler/platform"
)

// wireError is the body of an answer that reports an error; one field is set.
// An unknown outcome is not reported; the server closes the connection instead.
type wireError struct {
	Conflict    *platform.ConflictError `json:"conflict,omitempty"`
	Unavailable *wireOutage             `json:"unavailable,omitempty"`
	Missing     *platform.NotFoundError `json:"missing,omitempty"`
	Denied      *platform.DeniedError   `json:"denied,omitempty"`
	Busy        *platform.BusyError     `json:"busy,omitempty"`
	Leaving     *platform.LeavingError  `json:"leaving,omitempty"`
}

// wireOutage reports a call that was not carried out.
type wireOutage struct {
	Cause string `json:"cause"`
}

// encodeError returns the status and body for the first typed error in the
// chain of err, or false if the client must not learn an outcome.
func encodeError(err error) (int, wireError, bool) {
	for ; err != nil; err = errors.Unwrap(err) {
		// An error's cause must not decide before the error itself does, so
		// errors.As does not fit here.
		switch e := any(err).(type) {
		case *platform.ConflictError:
			return http.StatusConflict, wireError{Conflict: e}, true
		case *platform.UnavailableError:
			return http.StatusServiceUnavailable, wireError{Unavailable: &wireOutage{Cause: e.Error()}}, true
		case *platform.NotFoundError:
			return http.StatusNotFound, wireError{Missing: e}, true
		case *platform.DeniedError:
			return http.StatusForbidden, wireError{Denied: e}, true
		case *platform.BusyError:
			return http.StatusTooManyRequests, wireError{Busy: e}, true
		case *platform.LeavingError:
			return http.StatusGone, wireError{Leaving: e}, true
		case *platform.UnknownOutcomeError:
			return 0, wireError{}, false
		}
	}
	return 0, wireError{}, false
}

// decodeError returns the error that the body reports, or nil if the body is
// not of this protocol.
func decodeError(service string, body []byte) error {
	var w wireError
	if json.Unmarshal(body, &w) != nil {
		return nil
	}
	switch {
	case w.Conflict != nil:
		return w.Conflict
	case w.Unavailable != nil:
		return &platform.UnavailableError{Service: service, Cause: causeError(w.Unavailable.Cause)}
	case w.Missing != nil:
		return w.Missing
	case w.Denied != nil:
		return w.Denied
	case w.Busy != nil:
		return w.Busy
	case w.Leaving != nil:
		return w.Leaving
	}
	return nil
}
