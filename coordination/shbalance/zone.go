package shbalance

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// zoneState is what an entry VM knows of whether a failure domain can be reached.
type zoneState struct {
	// unreachable is the set of backend servers that could not be reached since
	// the last answer from the failure domain.
	unreachable    map[shmodel.BackendServer]bool
	suspendedUntil time.Time
	suspension     time.Duration
}

func (b *Balancer) zone(name shmodel.FailureDomain) *zoneState {
	z := b.zones[name]
	if z == nil {
		z = &zoneState{unreachable: map[shmodel.BackendServer]bool{}}
		b.zones[name] = z
	}
	return z
}

// observeUnreachable records a backend server that could not be reached. After
// several in a row the failure domain is suspended. The first request after the
// suspension shows whether the failure domain is back.
func (z *zoneState) observeUnreachable(now time.Time, n *backendState) {
	z.unreachable[n.backend.ID] = true
	if len(z.unreachable) >= unreachableThreshold {
		z.suspension = min(max(2*z.suspension, firstSuspension), maxZoneSuspension)
		z.suspendedUntil = now.Add(z.suspension)
	}
}

// probe suspends the failure domain for firstSuspension while the first request
// after a suspension is in flight.
func (z *zoneState) probe(now time.Time) {
	if z.suspension > 0 {
		z.suspendedUntil = now.Add(firstSuspension)
	}
}

func (z *zoneState) reset() {
	clear(z.unreachable)
	z.suspension, z.suspendedUntil = 0, time.Time{}
}

func (z *zoneState) isSuspended(now time.Time) bool { return now.Before(z.suspendedUntil) }

// provesReachable reports whether an observation shows that the failure domain
// can be reached.
func provesReachable(o Observation) bool {
	switch o.(type) {
	case Answered, Shed, Declined, Replaced:
		return true
	}
	return false
}
