package remote

import (
	"encoding/json"
	"errors"
	"net/http"

	"daisylug.example/scheduler/platform"
)

// wireError is the body of an answer that reports an error. Exactly one field is
// set. An unknown outcome is not encoded; the server closes the connection
// instead.
type wireError struct {
	Conflict    *platform.ConflictError `json:"conflict,omitempty"`
	Unavailable *wireUnavailable        `json:"unavailable,omitempty"`
	NotFound    *platform.NotFoundError `json:"missing,omitempty"`
	Denied      *platform.DeniedError   `json:"denied,omitempty"`
	Busy        *platform.BusyError     `json:"busy,omitempty"`
	Leaving     *platform.LeavingError  `json:"leaving,omitempty"`
}

// wireUnavailable encodes platform.UnavailableError, for a call that was not
// carried out.
type wireUnavailable struct {
	Cause string `json:"cause"`
}

// encodeError returns the status and body for the first platform error in the
// chain of err. It returns false if there is none or its outcome is unknown.
func encodeError(err error) (int, wireError, bool) {
	for ; err != nil; err = errors.Unwrap(err) {
		// The outermost error decides. errors.As would match the type of a
		// cause before the error itself.
		switch e := any(err).(type) {
		case *platform.ConflictError:
			return http.StatusConflict, wireError{Conflict: e}, true
		case *platform.UnavailableError:
			return http.StatusServiceUnavailable, wireError{Unavailable: &wireUnavailable{Cause: e.Error()}}, true
		case *platform.NotFoundError:
			return http.StatusNotFound, wireError{NotFound: e}, true
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

// decodeError returns the error that the body encodes, or nil if the body does
// not follow the protocol.
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
	case w.NotFound != nil:
		return w.NotFound
	case w.Denied != nil:
		return w.Denied
	case w.Busy != nil:
		return w.Busy
	case w.Leaving != nil:
		return w.Leaving
	}
	return nil
}
