// Package shregistry is the control role of a fleet: it keeps the replicated
// shfleet.State, takes announcements of backend servers and orders of operators,
// and tells observers what changes.
//
// # Model
//
// Every control VM takes every call. What changes the state is proposed through
// the leader and acknowledged once it is committed, so no acknowledgement depends
// on the VM that gave it. An announcement that changes nothing is answered
// without the leader; its VM reports the backend server as seen.
//
// Only the leader answers observers (entry VMs and other control VMs). A watch
// call waits until the state is newer than the observer's, or for HoldWatch, and
// so also tells each side that the other one lives. An observer that hears
// nothing asks another control VM, which names the leader.
//
// Liveness is soft state of the leader: a backend server that nobody has seen for
// Config.BackendSilence and an entry VM without a watch call for EntrySilence
// are removed. A new leader counts from its election.
//
// # API
//
// Open starts a registry and registers its peer methods. The other methods may
// be called on any control VM and fail with KindUnavailable if no quorum answers
// in time; the outcome is then unknown and the call may be repeated.
package shregistry

import (
	"fmt"
	"log/slog"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shlog"
	"sequoiahollow/transport/shpeer"
)

// Times.
const (
	// LongPollTimeout is how long a watch call waits for news. It is below the contact
	// bound of the sites (3 s) with room for a lost leader and an election.
	LongPollTimeout = time.Second
	// EntryTimeout is HoldWatch plus a new connection after a lost one.
	EntryTimeout = 2500 * time.Millisecond
	// DefaultBackendTimeout is three heartbeats of 1.5 s and a late one.
	DefaultBackendTimeout = 6 * time.Second
	// maintenanceInterval is the time between reports of backend servers seen.
	maintenanceInterval = 500 * time.Millisecond
	// coalesceDelay is the wait for further commands before observers are told, so
	// that a burst makes one message.
	coalesceDelay = 10 * time.Millisecond
	// coldTolerance is the change of a cold period that is worth a command.
	coldTolerance = 400 * time.Millisecond
	// formingTimeout is how long a young group may stay short of voters before
	// it takes orders all the same.
	formingTimeout = 5 * time.Second
	// commandTimeout bounds a call of the leader, below the second after which
	// callers turn to another VM.
	commandTimeout = 900 * time.Millisecond
)

// Peer methods.
const (
	// MethodPropose takes a ProposeRequest.
	MethodPropose    = "fleet.propose"
	methodWithdraw   = "fleet.withdraw"
	methodDocument   = "fleet.document"
	methodHeartbeats = "fleet.seen"
	methodRanges     = "fleet.ranges"
	// MethodReserve takes a shcontrol.ReserveRange and answers a shrecord.Range.
	MethodReserve = "fleet.reserve"
	// MethodWatch takes a WatchRequest and answers a WatchResponse.
	MethodWatch = "fleet.watch"
)

// Config configures a Registry.
type Config struct {
	VM     shmodel.VM
	Zone   shmodel.FailureDomain
	Region shmodel.Region
	// PeerAddress is where Server listens, IP:port.
	PeerAddress string
	// Seeds are the peer addresses of some control VMs.
	Seeds []string
	// Voters is the number of control VMs with a vote.
	Voters int
	// Bootstrap permits to make a new group.
	Bootstrap bool
	Folder    string
	Client    *shpeer.Client
	Server    *shpeer.Server
	// BackendTimeout is how long an unseen backend server stays; zero means
	// DefaultBackendSilence.
	BackendTimeout time.Duration
	FS             shlog.FS
	Logger         *slog.Logger
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	shfleet.Backend
	// Sequence rises with each announcement of one lifetime.
	Sequence int64
}

// WatchRequest asks for changes after an index.
type WatchRequest struct {
	VM    shmodel.VM `json:"vm"`
	Since uint64     `json:"since"`
	// Entry is set by entry VMs.
	Entry *shfleet.Entry `json:"entry,omitempty"`
}

// WatchResponse brings an observer up to date.
type WatchResponse struct {
	Change shfleet.Change `json:"change"`
	// Control are the peer addresses of the control VMs.
	Control []string `json:"control"`
}

// ProposeRequest proposes an encoded shfleet.Command to the leader.
type ProposeRequest struct {
	Command []byte `json:"command"`
}

// ProposeResponse is the answer once the command is committed.
type ProposeResponse struct {
	Result shfleet.Result `json:"result"`
}

type withdrawRequest struct {
	ID   shmodel.BackendServer `json:"id"`
	Born int64                 `json:"born,omitempty"`
}

type heartbeatsRequest struct {
	IDs []shmodel.BackendServer `json:"ids"`
}

type empty struct{}

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindUnavailable says that no quorum answered in time. What was asked may
	// or may not happen.
	KindUnavailable Kind = "unavailable"
	// KindConflict says that another version is in force.
	KindConflict Kind = "conflict"
	// KindOpen says that the registry cannot start.
	KindOpen Kind = "open"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
