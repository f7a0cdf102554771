// Package gang places gangs of tasks on racks with pure functions over immutable
// values.
package gang

import (
	"fmt"
	"math/bits"
)

// MaxAccelerators is the number of accelerators of the largest gang, which fills
// one rack.
const MaxAccelerators = 64

// Shape is the number of workers that a gang needs on one rack and the number of
// accelerators on each.
type Shape struct {
	Workers      int
	Accelerators int
}

// Total returns the number of accelerators of the whole gang.
func (s Shape) Total() int { return s.Workers * s.Accelerators }

// Fits reports whether a gang of shape s can run in the place of a gang of shape
// other.
func (s Shape) Fits(other Shape) bool {
	return s.Workers <= other.Workers && s.Accelerators <= other.Accelerators
}

func (s Shape) String() string { return fmt.Sprintf("%dx%d", s.Workers, s.Accelerators) }

// Validate returns *ShapeError if the shape is empty or larger than any rack.
func (s Shape) Validate() error {
	switch {
	case s.Workers < 1:
		return &ShapeError{Shape: s, Field: "workers"}
	case s.Accelerators < 1:
		return &ShapeError{Shape: s, Field: "accelerators"}
	case s.Workers > MaxAccelerators || s.Accelerators > MaxAccelerators || s.Total() > MaxAccelerators:
		return &ShapeError{Shape: s, Field: "shape"}
	}
	return nil
}

// ShapeError reports a shape with a number that is not between 1 and
// MaxAccelerators.
type ShapeError struct {
	Shape Shape
	// Field names the part of the shape that is out of range.
	Field string
}

func (e *ShapeError) Error() string {
	return fmt.Sprintf("%s of shape %s is not between 1 and %d", e.Field, e.Shape, MaxAccelerators)
}

// Set is a bit set of workers of one rack, by position.
type Set uint64

// Has reports whether position i is in the set.
func (s Set) Has(i int) bool { return s&(1<<i) != 0 }

// With returns the set with position i.
func (s Set) With(i int) Set { return s | 1<<i }

// Len returns the number of workers in the set.
func (s Set) Len() int { return bits.OnesCount64(uint64(s)) }

// First returns the lowest position, or 64 if the set is empty.
func (s Set) First() int { return bits.TrailingZeros64(uint64(s)) }

// Rest returns the set without its lowest position.
func (s Set) Rest() Set { return s & (s - 1) }
