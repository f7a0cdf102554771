package quote

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// MismatchError reports an answer that belongs to another request or attempt.
type MismatchError struct {
	Want platform.RequestRef
	Got  platform.RequestRef
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer is to request %q attempt %d, expected %q attempt %d",
		e.Got.ID, e.Got.Attempt, e.Want.ID, e.Want.Attempt)
}

// DamagedError reports an answer that is truncated or altered.
type DamagedError struct {
	Ref    platform.RequestRef
	Length int
	Want   int
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("answer to request %q is damaged: %d of %d bytes, or wrong checksum", e.Ref.ID, e.Length, e.Want)
}

// verifyAnswer returns an error unless a is the complete answer to ref.
func verifyAnswer(ref platform.RequestRef, a platform.Answer) error {
	if a.Ref != ref {
		return &MismatchError{Want: ref, Got: a.Ref}
	}
	if a.Length != len(a.Content) || a.Sum != xxhash.Sum64(a.Content) {
		return &DamagedError{Ref: ref, Length: len(a.Content), Want: a.Length}
	}
	return nil
}
