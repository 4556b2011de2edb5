package shcontrol

import "time"

const (
	// ClockDrift is the largest permitted difference in rate between the clocks
	// of two VMs, as a fraction.
	ClockDrift = 0.02

	// expireMargin covers bytes that a holder passed to the network stack in
	// time but that were still in the send buffers when the grant ran out.
	expireMargin = 100 * time.Millisecond

	// proposeAgainAfter is how long an expiry may take to commit before it is
	// proposed again.
	proposeAgainAfter = time.Second
)

// GrantExpirer decides on the leader which grants have expired by the slowest
// clock that ClockDrift permits. The zero value is ready to use. GrantExpirer
// uses only the clock of the leader and therefore counts the duration of grants
// of earlier terms from the start of the leader's term.
type GrantExpirer struct {
	term  uint64
	known map[uint64]expiry
}

// expiry is when to propose the expiry of a grant.
type expiry struct{ due time.Time }

// Due returns the expiries to propose now. Call it on the leader after every
// applied RequestGrant and every 100 ms or so, with the term in which it leads
// and the active grants of its applied state.
func (e *GrantExpirer) Due(now time.Time, term uint64, active []Grant) []ExpireGrant {
	if e.known == nil || term != e.term {
		e.term = term
		e.known = nil
	}
	known := make(map[uint64]expiry, len(active))
	var due []ExpireGrant
	for _, g := range active {
		x, ok := e.known[g.ID]
		if !ok {
			x.due = now.Add(expiryDelay(g.Duration))
		}
		if !now.Before(x.due) {
			due = append(due, ExpireGrant{ID: g.ID})
			x.due = now.Add(proposeAgainAfter)
		}
		known[g.ID] = x
	}
	e.known = known
	return due
}

// expiryDelay returns how long after first seeing a grant the leader proposes
// its expiry.
func expiryDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+ClockDrift)) + expireMargin
}
