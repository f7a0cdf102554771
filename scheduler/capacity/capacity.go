// Package capacity measures how the cost of each role grows with its size, such
// as the number of tasks or workers. It has only tests; run them with "make
// capacity".
package capacity
