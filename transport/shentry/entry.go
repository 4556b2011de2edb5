// Package shentry is the HTTP side of an entry VM: look-ups and requests of
// callers, announcements of backend servers, and requests that other entry VMs
// forward.
//
// The decisions are state machines of the coordination layer. For each request
// a receiver runs a shrequest.Receiver, and the VM that owns the chosen backend
// server runs a shrequest.Executor, which may be the same VM. Each machine has
// one goroutine, which carries out its effects; slow effects run beside it and
// post their result as an event.
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

// Entry serves callers, backend servers and other entry VMs. All fields but the
// unexported ones must be set before it serves.
type Entry struct {
	VM    shmodel.VM
	Place shmodel.Place
	// View returns the newest view of the replicated state.
	View func() *shview.View
	// Control proposes a command.
	Control func(context.Context, shcontrol.Command) (shcontrol.Result, error)
	Account *shaccount.Outbox
	IDs     *shaccount.Allocator
	Slots   *Slots
	Links   *Links
	Credits *Credits
	Policy  shrouting.Policy
	// Observe counts the end of a request for the burn report. LinkCap says that
	// a slot in another region was lent but the link had no room.
	Observe func(end shrecord.Record, linkCap bool)
	Log     *slog.Logger
	// Presumed holds crashes that other entry VMs reported.
	Presumed shview.CrashNotices

	backends *Dispatcher
	peers    *Dispatcher
	budgets  budgets
	hedging  hedging
	// background counts work that may outlive the connection of a caller.
	background sync.WaitGroup
}

// budgets limits retries and hedges to a share of the traffic.
type budgets struct {
	mu    sync.Mutex
	retry shlimit.ShareBudget
	hedge shlimit.ShareBudget
}

// Init prepares the connections. It must be called once, before serving.
func (e *Entry) Init() {
	e.backends = NewDispatcher()
	e.peers = NewDispatcher()
}

// Wait returns when no work of a request is left.
func (e *Entry) Wait() { e.background.Wait() }

// owners lists the server addresses of entry VMs that a backend server may
// announce to: those of the region in the order of preference, then the rest.
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

// problemOf returns a problem with a reason and outcome.
func problemOf(status int, reason, detail string, id shmodel.RequestID, outcome shmodel.Outcome) shwire.Problem {
	return shwire.Problem{Status: status, Reason: reason, Detail: detail, RequestID: id, Outcome: outcome}
}
