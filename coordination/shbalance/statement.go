package shbalance

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// statement is what an instance of a backend server has said of itself in its
// answers to this VM. It holds whatever the view says, until the instance ends. No
// request is sent to find out whether it still holds: that would be the work that
// the backend server has declined.
type statement struct {
	// leaving says that the instance takes no new work any more.
	leaving bool
	// until is the end of the time for which the instance wants no requests, zero if
	// it never asked for that.
	until time.Time
	// at is when the latest statement was received.
	at time.Time
}

func (s statement) isWaiting(now time.Time) bool { return now.Before(s.until) }

func (s statement) isZero(now time.Time) bool {
	return !s.leaving && !now.Before(s.until.Add(returnPeriod))
}

// ObserveLeaving records that an instance has said that it leaves. It gets no
// requests from now on. The result is false if that was known.
func (b *Balancer) ObserveLeaving(now time.Time, i shfleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statementOf(i)
	if s.leaving {
		return false
	}
	s.leaving, s.at = true, now
	b.setStatement(now, i, s)
	return true
}

// ObserveWait records that an instance wants no requests for some time, of which
// maxStatedWait counts at most, and returns when that time ends. An earlier statement
// stays in force if it ends later; then the result is false.
func (b *Balancer) ObserveWait(now time.Time, i shfleet.Instance, wait time.Duration) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statementOf(i)
	until := now.Add(min(wait, maxStatedWait))
	if wait <= 0 || !until.After(s.until) {
		return s.until, false
	}
	s.until, s.at = until, now
	b.setStatement(now, i, s)
	return until, true
}

// MaySend reports whether a request may be sent to the backend server that was
// chosen for it. What the backend server or the view says may have changed since
// Pick, while a connection was opened.
func (b *Balancer) MaySend(now time.Time, c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.backends[c.Backend.ID]
	if n == nil || n.backend.Instance != c.Backend.Instance {
		return false
	}
	return !n.stated.leaving && !n.stated.isWaiting(now) && !n.backend.Leaving && !b.evacuated[n.backend.Zone]
}

func (b *Balancer) statementOf(i shfleet.Instance) statement {
	if n := b.backends[i.ID]; n != nil && n.backend.Instance == i {
		return n.stated
	}
	s, _ := b.absent.Get(i)
	return s
}

func (b *Balancer) setStatement(now time.Time, i shfleet.Instance, s statement) {
	n := b.backends[i.ID]
	switch {
	case n == nil:
		b.keepStatement(now, "", i, s)
	case n.backend.Born < i.Born:
		b.keepStatement(now, n.backend.Service, i, s)
	case n.backend.Instance == i:
		n.stated = s
	}
}

// keepStatement remembers a statement of an instance that is not in the view: it may
// come back. Beyond maxAbsent the oldest one of the service with the most is dropped. The
// service is "" if it is not known.
func (b *Balancer) keepStatement(now time.Time, service shmodel.Service, i shfleet.Instance, s statement) {
	if s.isZero(now) {
		return
	}
	b.absent.Put(service, i, s)
}

// moveStatements keeps the statements of instances that are missing in the next view
// and gives those that are back theirs. An instance has ended when a later one has
// its ID.
func (b *Balancer) moveStatements(now time.Time, next map[shmodel.BackendServer]*backendState) {
	for id, n := range b.backends {
		if x := next[id]; x == nil || x.backend.Born < n.backend.Born {
			b.keepStatement(now, n.backend.Service, n.backend.Instance, n.stated)
		}
	}
	for i, s := range b.absent.All() {
		switch n := next[i.ID]; {
		case n != nil && n.backend.Instance == i:
			n.stated = s
			b.absent.Delete(i)
		case n != nil && n.backend.Born > i.Born, s.isZero(now), now.Sub(s.at) > absentPeriod:
			b.absent.Delete(i)
		}
	}
}

// isReturning reports whether a backend server that wanted no requests has as many
// as it should get so soon after that time: one at first, all its slots after
// returnPeriod.
func (n *backendState) isReturning(now time.Time) bool {
	since := now.Sub(n.stated.until)
	if n.stated.until.IsZero() || since >= returnPeriod {
		return false
	}
	return n.inFlight >= 1+int(float64(n.backend.Slots)*float64(since)/float64(returnPeriod))
}

// addStatements completes a refusal for lack of backend servers by what those of the
// service have said. If all others only wait, the caller may come back when the first
// of them takes requests again.
func (b *Balancer) addStatements(now time.Time, r Request, refusal *Refusal) {
	others := false
	soonest := maxStatedWait
	for _, n := range b.services[r.Service] {
		switch {
		case n.stated.leaving:
			refusal.Leaving++
		case n.backend.Leaving, b.evacuated[n.backend.Zone]:
		case !r.permitsRegion(n.region):
		case n.stated.isWaiting(now):
			refusal.Waiting++
			soonest = min(soonest, n.stated.until.Sub(now))
		default:
			others = true
		}
	}
	if refusal.Waiting > 0 && !others {
		refusal.Reason, refusal.RetryAfter = AskedToWait, soonest
	}
}
