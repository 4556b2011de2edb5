package shcontrol

import "time"

const (
	// ClockDrift is the largest difference in speed between the clocks of two
	// VMs, as a share.
	ClockDrift = 0.02

	// expireMargin covers bytes that a holder took in time but that were still
	// in its send buffers when the grant ran out.
	expireMargin = 100 * time.Millisecond

	// proposeAgainAfter is how long an expiry may take to commit before it is
	// proposed again.
	proposeAgainAfter = time.Second
)

// GrantExpirer decides on the leader which grants have run out by the slowest
// permitted clock. The zero value is ready. It uses only the clock of the
// leader and therefore counts older grants from the start of its own term.
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

// expiryDelay returns how long the leader waits from when it first saw a grant.
func expiryDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+ClockDrift)) + expireMargin
}
