// Package replay replays generated arrivals through the decision packages on a
// virtual clock, for measurement. It has no network and no processes.
package replay
