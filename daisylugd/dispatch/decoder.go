package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"daisylug.example/scheduler/ingress"
)

// decoder decodes request bodies strictly, one at a time, because a body takes
// several times its size meanwhile.
type decoder struct {
	maxBytes int64
	mu       sync.Mutex
}

// decode reads the JSON body of r into v. Its errors are of type *APIError and
// name the invalid field.
func (d *decoder) decode(r *http.Request, v any) error {
	body, err := ingress.ReadBody(nil, r, d.maxBytes, time.Time{})
	if err != nil {
		return bodyError(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !utf8.Valid(body) {
		return NewFieldError("body", "is not valid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return jsonError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NewFieldError("body", "has data after the JSON value")
	}
	return nil
}

func bodyError(err error) *APIError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		apiErr := NewAPIError(TypeSize, "body is larger than this instance accepts")
		apiErr.Field = "body"
		return apiErr
	}
	var refused *ingress.RefusedError
	if errors.As(err, &refused) {
		return NewAPIError(TypeOverload, "too many bodies arrive at a time").WithCause(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return NewAPIError(TypeDeadline, "the body did not arrive in time").WithCause(err)
	}
	return NewFieldError("body", "could not be read").WithCause(err)
}

func jsonError(err error) *APIError {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		field := typeErr.Field
		if field == "" {
			field = "body"
		}
		return NewFieldError(field, "cannot be "+typeErr.Value)
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return NewFieldError(strings.Trim(name, `"`), "is not a known field")
	}
	return NewFieldError("body", "is not valid JSON").WithCause(err)
}
