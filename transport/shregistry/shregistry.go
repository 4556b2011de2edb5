// Package shregistry implements the control VM of a fleet: it replicates the
// shfleet.State, accepts announcements of backend servers and commands of
// operators, and sends changes to observers.
//
// # Model
//
// Every control VM accepts every call. A change of the state is proposed through
// the leader and acknowledged once it is committed, so an acknowledged change
// survives the loss of the VM that acknowledged it. An announcement that changes
// nothing is a heartbeat: the VM that receives it answers without the leader and
// reports it to the leader in the next batch.
//
// Only the leader answers watch calls of observers such as entry VMs. A watch
// call is a long poll: it returns when a newer state than that of the observer is
// released, or after LongPollTimeout. Changes are released together, at intervals
// that grow with the number of observers, so that observers mostly need the same
// answer, which is encoded once. The calls and their answers also serve as
// heartbeats between the two. An observer that gets no answer calls another
// control VM, which names the leader.
//
// Liveness is kept in the memory of the leader, not in the replicated state. The
// leader removes a backend server without a heartbeat to any control VM for
// Config.BackendTimeout and an entry VM without a watch call for EntryTimeout. A
// new leader starts both timeouts at its election.
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
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shlog"
	"sequoiahollow/transport/shpeer"
)

// Timeouts and intervals.
const (
	// LongPollTimeout is how long a watch call waits for a change. Deployments
	// require contact every 3 s; the rest of that time is for a lost leader and an
	// election.
	LongPollTimeout = time.Second
	// EntryTimeout is how long an entry VM without a watch call stays listed: it is
	// LongPollTimeout plus the time to replace a lost connection.
	EntryTimeout = 2500 * time.Millisecond
	// DefaultBackendTimeout is three heartbeat intervals of 1.5 s plus the delay of
	// a late heartbeat.
	DefaultBackendTimeout = 6 * time.Second
	// maintenanceInterval is the time between two runs of the periodic work: reports
	// of heartbeats to the leader and, on the leader, removals.
	maintenanceInterval = 500 * time.Millisecond
	// releasePerObserver is the time between two releases of changes to observers,
	// per observer, so that a leader with many of them spends a bounded part of its
	// processor on answers.
	releasePerObserver = time.Millisecond
	// minReleaseInterval and maxReleaseInterval bound that time. The lower one lets
	// a burst of commands cause one message; the upper one leaves most of the 2 s
	// within which changes must be in force.
	minReleaseInterval = 10 * time.Millisecond
	maxReleaseInterval = 400 * time.Millisecond
	// minPackedBytes is the size of an encoded change from which it is compressed
	// once for all observers.
	minPackedBytes = 1024
	// maxChangeBytes bounds a decompressed change.
	maxChangeBytes = 64 << 20
	// formingTimeout is how long a leader refuses commands while a new Raft group
	// lacks voters. Afterwards it accepts them with the voters that there are.
	formingTimeout = 5 * time.Second
	// commandTimeout bounds a call to the leader. It is below the 1 s after which
	// callers try another VM.
	commandTimeout = 900 * time.Millisecond
)

// Peer methods.
const (
	// MethodPropose takes a ProposeRequest.
	MethodPropose     = "fleet.propose"
	methodWithdraw    = "fleet.withdraw"
	methodDocument    = "fleet.document"
	methodHeartbeats  = "fleet.seen"
	methodEvacuations = "fleet.evacuations"
	methodRanges      = "fleet.ranges"
	// MethodReserve takes a shcontrol.ReserveRange and returns a shrecord.Range.
	MethodReserve = "fleet.reserve"
	// MethodWatch takes a WatchRequest and returns a WatchResponse.
	MethodWatch = "fleet.watch"
	// MethodShare takes a ShareRequest and returns a ShareResponse.
	MethodShare = "fleet.share"
	// MethodAllowance takes a shquota.Ask and returns a shquota.Answer.
	MethodAllowance = "fleet.allowance"
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
	// Bootstrap permits the VM to form a new Raft group.
	Bootstrap bool
	Folder    string
	Client    *shpeer.Client
	Server    *shpeer.Server
	// BackendTimeout is how long a backend server without a heartbeat stays listed;
	// zero means DefaultBackendTimeout.
	BackendTimeout time.Duration
	// Suspensions tells for how long the VM has run without a suspension; nil uses
	// the clocks of the system.
	Suspensions *shclock.Suspensions
	// Quota says how the allowances of teams are measured. With the zero value none
	// are kept.
	Quota  shquota.Rules
	FS     shlog.FS
	Logger *slog.Logger
}

// Announcement is what a backend server reports about itself.
type Announcement struct {
	shfleet.Backend
	// Sequence increases with each announcement of one process lifetime.
	Sequence int64
}

// WatchRequest requests the changes after a log index.
type WatchRequest struct {
	VM    shmodel.VM `json:"vm"`
	Since uint64     `json:"since"`
	// Entry is set by entry VMs.
	Entry *shfleet.Entry `json:"entry,omitempty"`
	// Hold is how long the leader may wait for a change before it answers, nil for
	// LongPollTimeout.
	Hold *shfleet.Millis `json:"holdMs,omitempty"`
	// AcceptsPacked says that the observer reads WatchResponse.Packed.
	AcceptsPacked bool `json:"acceptsPacked,omitempty"`
}

// WatchResponse carries the change from the index of a WatchRequest to the current
// state.
type WatchResponse struct {
	Change shfleet.Change `json:"change"`
	// Packed is a large Change as compressed JSON; Change is then empty.
	Packed []byte `json:"packed,omitempty"`
	// Confirmed is how long before the answer a quorum last confirmed the leader. The
	// change contains everything that was acknowledged before that. It is nil if the
	// leader does not know.
	Confirmed *shfleet.Millis `json:"confirmedMs,omitempty"`
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
	// KindUnavailable says that no quorum answered in time. The command may still
	// be committed.
	KindUnavailable Kind = "unavailable"
	// KindConflict says that another version is in force.
	KindConflict Kind = "conflict"
	// KindMalformed says that a received change cannot be decoded.
	KindMalformed Kind = "malformed"
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
