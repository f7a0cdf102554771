// Package capacity measures how the cost of each role grows with its size. It
// has tests only; "make capacity" runs them.
package capacity
