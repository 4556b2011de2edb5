package shfront

import (
	"context"
	"net/http"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shmodel"
)

// Allowance bounds the requests of teams over all entry VMs.
type Allowance interface {
	// Take takes one request of a team from its allowance, for which it may wait a
	// moment. If none is left it returns false and the time after which there is room
	// again.
	Take(ctx context.Context, team *shfleet.Team) (t shquota.Ticket, ok bool, retryAfter time.Duration)
	// Return gives back the ticket of a request that certainly did not run.
	Return(t shquota.Ticket)
}

// staleKeysRetryAfter is the Retry-After while the VM does not know whether keys have
// been taken away. It is about the time in which it finds a new leader.
const staleKeysRetryAfter = time.Second

// authorize finds the team of the request and takes the request from its allowance.
// It returns false if it has answered the caller.
func (x *exchange) authorize() bool {
	h, table := x.handler, x.view.Table
	if !table.Keyed() {
		return true
	}
	if !x.keysCurrent() {
		x.refuse("keys may have been taken away", staleKeysRetryAfter)
		return false
	}
	x.team = table.Team(h.Dialect.TeamKey(x.request.Header))
	if x.team == nil {
		if table.NeedsKey(x.route) {
			x.reject(http.StatusUnauthorized, "no team holds the key")
			return false
		}
		return true
	}
	ok, after := x.takeTicket()
	if !ok {
		x.refuseWith(http.StatusTooManyRequests, "allowance of team "+x.team.Name+" used up", after)
	}
	return ok
}

// takeTicket takes one request from the allowance of the team.
func (x *exchange) takeTicket() (ok bool, retryAfter time.Duration) {
	h := x.handler
	if h.Allowance == nil || x.team == nil || x.team.Rate <= 0 {
		return true, 0
	}
	t, ok, after := h.Allowance.Take(x.request.Context(), x.team)
	if ok {
		x.tickets = append(x.tickets, t)
	}
	return ok, after
}

// takeAgain takes a further request from the allowance if each one taken so far may
// have run. It reports whether the next attempt is covered.
func (x *exchange) takeAgain() bool {
	if len(x.tickets) > x.mayHaveRun || len(x.tickets) == 0 {
		return true
	}
	ok, _ := x.takeTicket()
	return ok
}

// returnTickets gives back what was taken for attempts that certainly did not run.
func (x *exchange) returnTickets() {
	for len(x.tickets) > x.mayHaveRun {
		last := len(x.tickets) - 1
		x.handler.Allowance.Return(x.tickets[last])
		x.tickets = x.tickets[:last]
	}
}

// keysCurrent reports whether the keys of the view may still be accepted.
func (x *exchange) keysCurrent() bool {
	h := x.handler
	return !x.view.Table.Keyed() || h.KeysCurrent == nil || h.KeysCurrent()
}

// mayStillRun reports whether a request that was accepted may still be sent: its key
// may have been taken away since, or the VM may no longer know.
func (x *exchange) mayStillRun() bool {
	if x.team == nil {
		return true
	}
	table := x.handler.View().Table
	return x.keysCurrent() && table.Team(x.handler.Dialect.TeamKey(x.request.Header)) != nil
}

// teamRegions returns the regions to which the team of the request is bound.
func (x *exchange) teamRegions() []shmodel.Region {
	if x.team == nil {
		return nil
	}
	return x.team.Regions
}

// setTeam replaces the key in the header to a backend server by the name of the team,
// whatever the caller sent.
func (x *exchange) setTeam(header http.Header) {
	if !x.view.Table.Keyed() {
		return
	}
	d := x.handler.Dialect
	header.Del(d.KeyHeader)
	header.Del(d.Team)
	if x.team != nil {
		header.Set(d.Team, x.team.Name)
	}
}
