package shfront

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shclock"
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

// keyRefusal is why the key of a request is not accepted, "" if it is.
type keyRefusal string

const (
	unknownKey      keyRefusal = "unknown key"
	permissionEnded keyRefusal = "permission ended"
)

// loadView loads the permission and then the view, so that the permission is not
// newer than the view. Reading the body may have taken long.
func (x *exchange) loadView() {
	if h := x.handler; h.KeysUntil != nil {
		x.keysUntil = h.KeysUntil()
	}
	x.view = x.handler.View()
}

// findRoute finds the route of the request in the view, and its deadline if it had no
// route before.
func (x *exchange) findRoute() {
	first := x.route == nil
	x.route = x.view.Table.Route(hostOf(x.request), pathOf(x.request.RequestURI))
	if first && x.route != nil {
		x.setDeadline()
	}
}

// authorize finds the team of the request and takes the request from its allowance.
// It returns false if it has answered the caller.
func (x *exchange) authorize() bool {
	if x.view.Table.Keyed() {
		x.teamKey = x.handler.Dialect.TeamKey(x.request.Header)
	}
	team, refusal := x.checkKey(x.view.Table, x.keysUntil, x.now)
	if refusal != "" {
		x.refuseKey(refusal)
		return false
	}
	x.team = team
	return x.takeAllowance()
}

func (x *exchange) takeAllowance() bool {
	ok, after := x.takeTicket(x.request.Context())
	if !ok {
		x.refuseWith(http.StatusTooManyRequests, "allowance of team "+x.team.Name+" used up", after)
	}
	return ok
}

// checkKey returns the team that holds the key of the request by a table, nil if the
// request needs none. The clock is read last, if now is not nil: a VM that was stopped
// before that notices that its permission has ended.
func (x *exchange) checkKey(table *shfleet.RouteIndex, until time.Duration, now shclock.Func) (*shfleet.Team, keyRefusal) {
	if !table.Keyed() || x.teamKey == "" && !table.NeedsKey(x.route) {
		return nil, ""
	}
	team := table.Team(x.teamKey)
	switch {
	case now != nil && x.handler.KeysUntil != nil && now() >= until:
		return nil, permissionEnded
	case team == nil && table.NeedsKey(x.route):
		return nil, unknownKey
	}
	return team, ""
}

func (x *exchange) now() time.Duration {
	if clock := x.handler.Clock; clock != nil {
		return clock()
	}
	return shclock.SinceBoot()
}

// refuseKey answers a request whose key is not accepted. The caller must come back
// after the end of the permission, as its key may be known to other VMs.
func (x *exchange) refuseKey(refusal keyRefusal) {
	x.handler.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiahollow_keys_refused_total{cause=%q}`, refusal)).Inc()
	if refusal == unknownKey {
		x.reject(http.StatusUnauthorized, "no team holds the key")
		return
	}
	x.refuse("keys may have been taken away", staleKeysRetryAfter)
}

// maySend returns the check that a request passes before a connection to a backend
// server is chosen, and again right before the request is written. Only the second one
// reads the clock.
func (x *exchange) maySend(c shbalance.Choice) func() bool {
	var clock shclock.Func
	return func() bool {
		ok := x.mayStillRun(clock) && x.handler.Balancer.MaySend(time.Now(), c)
		clock = x.now
		return ok
	}
}

// takeTicket takes one request from the allowance of the team. It waits no longer than
// ctx lasts.
func (x *exchange) takeTicket(ctx context.Context) (ok bool, retryAfter time.Duration) {
	h := x.handler
	if h.Allowance == nil || x.team == nil || x.team.Rate <= 0 {
		return true, 0
	}
	t, ok, after := h.Allowance.Take(ctx, x.team)
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
	ok, _ := x.takeTicket(x.request.Context())
	return ok
}

// takeForSecond takes a further request from the allowance if it has one at hand.
func (x *exchange) takeForSecond() bool {
	ctx, cancel := context.WithCancel(x.request.Context())
	cancel()
	ok, _ := x.takeTicket(ctx)
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

// mayStillRun reports whether a request that was accepted may still be sent: its key
// may have been taken away or given to another team since, or the VM may not know.
func (x *exchange) mayStillRun(clock shclock.Func) bool {
	h, until := x.handler, x.keysUntil
	if h.KeysUntil != nil {
		until = h.KeysUntil()
	}
	table := h.View().Table
	if table.Keyed() != x.view.Table.Keyed() {
		x.keyChanged.Store(true)
		return false
	}
	team, refusal := x.checkKey(table, until, clock)
	if refusal != "" || !sameTeam(team, x.team) {
		x.keyChanged.Store(true)
		return false
	}
	return true
}

// sameTeam reports whether requests of two teams are sent in the same way.
func sameTeam(a, b *shfleet.Team) bool {
	if a == b || a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name && slices.Equal(a.Regions, b.Regions)
}

// authorizeAgain checks a request that was not sent for its key against the present
// view. It returns false if it has answered the caller.
func (x *exchange) authorizeAgain() bool {
	// The attempt was not made, so the same backend server may be chosen again.
	x.tried, x.attempts = x.tried[:len(x.tried)-1], x.attempts[:len(x.attempts)-1]
	x.keyChanged.Store(false)
	accepted := x.route
	x.loadView()
	if x.findRoute(); x.route == nil {
		// The request was accepted before the route was dropped.
		x.route = accepted
	}
	if x.mayHaveRun == 0 {
		x.returnTickets()
		return x.authorize()
	}
	team, refusal := x.checkKey(x.view.Table, x.keysUntil, x.now)
	if refusal != "" {
		x.giveUp(string(refusal), staleKeysRetryAfter)
		return false
	}
	x.team = team
	return true
}

// priority returns the rank of the request, 0 for the highest. That of the team goes
// before that of the route.
func (x *exchange) priority() int {
	if x.team != nil && x.team.Priority != nil {
		return *x.team.Priority
	}
	return x.route.Priority
}

// teamName returns the name of the team of the request, "" if it has none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
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
