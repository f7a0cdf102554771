package dispatch

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bodies that are accepted although part of them is ignored, and
// against errors that do not name the invalid field.
func TestDecode(t *testing.T) {
	Convey("Wrong bodies are refused by field", t, func() {
		for _, c := range []struct {
			name, body, kind, field string
		}{
			{"good", `{"team":"a","shape":{"workers":1,"accelerators":2}}`, "", ""},
			{"unknown field", `{"team":"a","priority":3}`, TypeField, "priority"},
			{"unknown nested field", `{"shape":{"gpus":1}}`, TypeField, "gpus"},
			{"wrong type", `{"team":3}`, TypeField, "team"},
			{"wrong nested type", `{"shape":{"workers":"two"}}`, TypeField, "shape.workers"},
			{"number out of range", `{"shape":{"workers":99999999999}}`, TypeField, "shape.workers"},
			{"fraction of a worker", `{"shape":{"workers":1.5}}`, TypeField, "shape.workers"},
			{"not JSON", `team=a`, TypeField, "body"},
			{"two values", `{} {}`, TypeField, "body"},
			{"invalid UTF-8", "{\"team\":\"\xff\"}", TypeField, "body"},
			{"too large", `{"team":"` + strings.Repeat("a", 2000) + `"}`, TypeSize, "body"},
		} {
			Convey(c.name, func() {
				r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(c.body))
				var body submitRequest
				err := (&decoder{maxBytes: 1024}).decode(r, &body)
				if c.kind == "" {
					So(err, ShouldBeNil)
					return
				}
				var apiErr *APIError
				So(errors.As(err, &apiErr), ShouldBeTrue)
				So(apiErr.Type, ShouldEqual, c.kind)
				So(apiErr.Field, ShouldEqual, c.field)
				So(apiErr.Execution, ShouldEqual, NotExecuted)
			})
		}
	})
}

// Guards against an error of unknown origin that is reported as not run.
func TestEncodeFailure(t *testing.T) {
	Convey("An error without a type is reported as unknown", t, func() {
		w := httptest.NewRecorder()
		encodeError(w, nil, errors.ErrUnsupported)
		So(w.Code, ShouldEqual, http.StatusInternalServerError)
		So(w.Body.String(), ShouldContainSubstring, `"ran":"unknown"`)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"team":"a"}`)
	f.Add("{\"payload\":{\"a\":[1,2,{}]}}")
	f.Add("\xff")
	f.Fuzz(func(t *testing.T, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		var v submitRequest
		err := (&decoder{maxBytes: 1 << 16}).decode(r, &v)
		var apiErr *APIError
		if err != nil && !errors.As(err, &apiErr) {
			t.Fatalf("error without a type: %v", err)
		}
	})
}
