package shfront

import (
	"net/http"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Allowance bounds the requests of teams over all entry VMs.
type Allowance interface {
	// Take takes one request of a team from its allowance. If none is left it returns
	// false and the time after which there is room again.
	Take(r *http.Request, team *shfleet.Team) (ok bool, retryAfter time.Duration)
	// Return gives back a request that certainly did not run.
	Return(team *shfleet.Team)
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
	if h.Allowance == nil || x.team.Rate <= 0 {
		return true
	}
	ok, after := h.Allowance.Take(x.request, x.team)
	if !ok {
		x.refuseWith(http.StatusTooManyRequests, "allowance of team "+x.team.Name+" used up", after)
	}
	return ok
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
