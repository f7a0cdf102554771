package entry

import (
	"errors"
	"testing"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// TestRelayedResponses guards against a response of the store that another instance
// relays as something else, such as a rejected batch that is repeated for ever.
func TestRelayedResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		is   func(error) bool
	}{
		{"applied", nil, func(err error) bool { return err == nil }},
		{"precondition failed", &platform.PreconditionFailedError{}, func(err error) bool {
			var e *platform.PreconditionFailedError
			return errors.As(err, &e)
		}},
		{"compacted", &platform.CompactedError{}, func(err error) bool {
			var e *platform.CompactedError
			return errors.As(err, &e)
		}},
		{"rejected", &platform.RejectedBatchError{Reason: "too long"}, func(err error) bool {
			var e *platform.RejectedBatchError
			return errors.As(err, &e) && e.Reason == "too long"
		}},
		{"rejected without a reason", &platform.RejectedBatchError{}, func(err error) bool {
			var e *platform.RejectedBatchError
			return errors.As(err, &e)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !isStoreResponse(c.err) {
				t.Error("not taken for a response of the store")
			}
			m, err := encodeResponse(platform.Page{Version: 7}, c.err)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeResponse(&schema.StoreCall{}, m.(*schema.StoreAnswer)); !c.is(err) {
				t.Errorf("decoded as %v", err)
			}
		})
	}
}
