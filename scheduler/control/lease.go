package control

import (
	"time"

	"daisylug.example/scheduler/term"
)

const (
	// LeaseRenewalGracePeriod is how long leases are still renewed without a
	// transaction that confirms the term. It lets work survive network partitions
	// of the length seen in the deployments.
	LeaseRenewalGracePeriod = 8 * time.Second
	// maxUnconfirmedLease is how long after the latest transaction leases last at most,
	// on the workers' clocks. After a failure of the planner, runs on silent workers
	// are given up at about that time.
	maxUnconfirmedLease = 11 * time.Second
	// maxClockDrift is how much slower a worker's clock may run. leaseMargin
	// covers the error of the estimate of that clock.
	maxClockDrift = 0.02
	leaseMargin   = 300 * time.Millisecond
)

// maxTime returns how long a run may continue under a lease of the given length,
// taking into account a slow clock and the time to stop the run.
func (t Timing) maxTime(lease time.Duration) time.Duration {
	return lease + time.Duration(maxClockDrift*float64(lease)) + leaseMargin + t.StopTimeout
}

// FormerLeases returns when the leases of earlier planners have ended, if the row of
// the latest has not changed since active.
func FormerLeases(former term.Leader, active time.Time, t Timing) time.Time {
	if former.LeaseTail > 0 {
		return active.Add(former.LeaseTail)
	}
	return active.Add(LeaseRenewalGracePeriod + t.maxTime(t.Lease))
}

// LeaseTail returns the time after a transaction by which all leases have ended, those
// of earlier planners, which end at the given time, included.
func (t Timing) LeaseTail(formerEnd, now time.Time) time.Duration {
	return max(t.maxTime(maxUnconfirmedLease), formerEnd.Sub(now)).Truncate(time.Millisecond) + time.Millisecond
}

// grantableLease returns the length of a lease that may be granted the given time after
// the latest transaction, or 0.
func (t Timing) grantableLease(sinceCommit time.Duration) time.Duration {
	return max(min(t.Lease, maxUnconfirmedLease-sinceCommit), 0)
}

// grantableLease returns the length of a lease that may be granted now, or 0.
func (p *Planner) grantableLease() time.Duration {
	return p.Timing.grantableLease(p.Term.SinceLastCommit())
}

// maxLeaseTime returns how long a run may continue under a lease granted now.
func (p *Planner) maxLeaseTime() time.Duration { return p.Timing.maxTime(p.Timing.Lease) }
