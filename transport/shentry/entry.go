// Package shentry is the HTTP side of an entry VM: it serves lookups and
// requests of callers, announcements of backend servers, and requests that other
// entry VMs forward.
//
// The decisions are made by state machines of the coordination layer. The entry
// VM that receives a request runs a shrequest.Receiver for it, and the entry VM
// that owns the chosen backend server, which may be the same, runs a
// shrequest.Executor. A driver runs each machine in one goroutine and carries out
// its effects; slow effects run in goroutines of their own and post their results
// as events.
package shentry

import (
	"context"
	"log/slog"
	"sync"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shview"
)

// Entry serves callers, backend servers and other entry VMs. All exported fields
// but CrashNotices, whose zero value is ready, must be set before it serves.
type Entry struct {
	VM    shmodel.VM
	Place shmodel.Place
	// View returns the newest view of the replicated state.
	View func() *shview.View
	// Control proposes a command to the control VMs and returns its result.
	Control func(context.Context, shcontrol.Command) (shcontrol.Result, error)
	Account *shaccount.Outbox
	IDs     *shaccount.Allocator
	Slots   *Slots
	Links   *Links
	Credits *Credits
	Policy  shrouting.Policy
	// Observe counts a finished request for the burn report. linkCap says that
	// another region lent a slot but the grant for the link was used up.
	Observe func(end shrecord.Record, linkCap bool)
	Log     *slog.Logger
	// CrashNotices holds crashes that entry VMs reported directly and that the
	// control VMs may not have committed yet.
	CrashNotices shview.CrashNotices

	backends  *Dispatcher
	peers     *Dispatcher
	budgets   budgets
	latencies latencyEstimator
	// background counts goroutines that may outlive the connection of a caller.
	background sync.WaitGroup
}

// budgets limits retries and hedges to shares of the request rate.
type budgets struct {
	mu    sync.Mutex
	retry shlimit.ShareBudget
	hedge shlimit.ShareBudget
}

// Init creates the HTTP clients. It must be called once, before serving.
func (e *Entry) Init() {
	e.backends = NewDispatcher()
	e.peers = NewDispatcher()
}

// Wait returns when no goroutine of a request is left.
func (e *Entry) Wait() { e.background.Wait() }

// owners lists the server addresses of the entry VMs of this region in the order
// in which a backend server should announce to them.
func (e *Entry) owners(server shmodel.BackendServer) []string {
	v := e.View()
	answer := lookup(v, e.Place.Region, "backend server "+string(server), "")
	owners := make([]string, 0, len(answer))
	for _, h := range answer {
		if h.Place.Region == e.Place.Region {
			owners = append(owners, h.ServerAddress)
		}
	}
	return owners
}

func problemOf(status int, reason, detail string, id shmodel.RequestID, outcome shmodel.Outcome) shwire.Problem {
	return shwire.Problem{Status: status, Reason: reason, Detail: detail, RequestID: id, Outcome: outcome}
}
