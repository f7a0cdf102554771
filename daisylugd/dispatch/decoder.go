package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"
)

// decoder reads request bodies strictly.
type decoder struct {
	limit int64
}

// decode reads the JSON body of r into v. Its errors are *CallError and name
// the field that is wrong.
func (d decoder) decode(r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, d.limit))
	if err != nil {
		return bodyFailure(err)
	}
	if !utf8.Valid(body) {
		return NewFieldError("body", "is not valid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return jsonFailure(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NewFieldError("body", "has data after the JSON value")
	}
	return nil
}

func bodyFailure(err error) *APIError {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		f := NewAPIError(TypeSize, "body is larger than this instance accepts")
		f.Field = "body"
		return f
	}
	return NewFieldError("body", "could not be read").WithCause(err)
}

func jsonFailure(err error) *APIError {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		field := kind.Field
		if field == "" {
			field = "body"
		}
		return NewFieldError(field, "cannot be "+kind.Value)
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return NewFieldError(strings.Trim(name, `"`), "is not a known field")
	}
	return NewFieldError("body", "is not valid JSON").WithCause(err)
}
