package remote

import (
	"encoding/json"
	"errors"
	"net/http"

	"daisylug.example/scheduler/platform"
)

// Types of errors on the wire.
const (
	typeConflict    = "conflict"
	typeUnavailable = "unavailable"
	typeMissing     = "missing"
	typeDenied      = "denied"
	typeBusy        = "busy"
	typeLeaving     = "leaving"
	typeInvalid     = "invalid"
)

// wireError is the body of an answer that reports an error. An unknown outcome
// is not reported; the server closes the connection instead.
type wireError struct {
	Type       string               `json:"type"`
	Message    string               `json:"message,omitempty"`
	Keys       []string             `json:"keys,omitempty"`
	Kind       string               `json:"kind,omitempty"`
	Name       string               `json:"name,omitempty"`
	Worker     string               `json:"worker,omitempty"`
	Generation *platform.Generation `json:"generation,omitempty"`
	Load       *platform.Load       `json:"load,omitempty"`
}

// encodeError returns the status and body for the first typed error in the
// chain of err, or false if the client must not learn an outcome.
func encodeError(err error) (int, wireError, bool) {
	for ; err != nil; err = errors.Unwrap(err) {
		w := wireError{Message: err.Error()}
		// An error's cause must not decide before the error itself does, so
		// errors.As does not fit here.
		switch e := any(err).(type) {
		case *platform.ConflictError:
			w.Type, w.Keys = typeConflict, e.Keys
			return http.StatusConflict, w, true
		case *platform.UnavailableError:
			w.Type = typeUnavailable
			return http.StatusServiceUnavailable, w, true
		case *platform.NotFoundError:
			w.Type, w.Kind, w.Name = typeMissing, e.Kind, e.Name
			return http.StatusNotFound, w, true
		case *platform.DeniedError:
			w.Type, w.Worker, w.Generation = typeDenied, e.Worker, &e.Generation
			return http.StatusForbidden, w, true
		case *platform.BusyError:
			w.Type, w.Worker, w.Load = typeBusy, e.Worker, &e.Load
			return http.StatusTooManyRequests, w, true
		case *platform.LeavingError:
			w.Type, w.Worker = typeLeaving, e.Worker
			return http.StatusGone, w, true
		case *platform.UnknownError:
			return 0, w, false
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
	switch w.Type {
	case typeConflict:
		return &platform.ConflictError{Keys: w.Keys}
	case typeUnavailable, typeInvalid:
		return &platform.UnavailableError{Service: service, Cause: errors.New(w.Message)}
	case typeMissing:
		return &platform.NotFoundError{Kind: w.Kind, Name: w.Name}
	case typeDenied:
		return &platform.DeniedError{Worker: w.Worker, Generation: deref(w.Generation)}
	case typeBusy:
		return &platform.BusyError{Worker: w.Worker, Load: deref(w.Load)}
	case typeLeaving:
		return &platform.LeavingError{Worker: w.Worker}
	}
	return nil
}

func deref[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
