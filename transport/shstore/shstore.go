// Package shstore runs a replicated state machine: it runs a shraft.Node in a
// goroutine, persists it through shlog, exchanges its messages through shpeer
// and applies committed entries to a StateMachine.
//
// # Model
//
// One goroutine, the owner, runs the node and the state machine. It carries out
// the effects of an event before it takes the next one, so syncs are ordered
// before messages and answers. Proposals that wait while it is busy are appended
// and synced together. A failed write or sync stops the store: Done closes and
// Err tells why.
//
// # Identity and first start
//
// A store that finds an empty folder gives itself a random disk identity. It
// then waits: it answers votes and accepts entries addressed to that identity,
// but does not campaign.
//
// A new group is created by one VM, the first by name in Config.Voters, if
// Config.Bootstrap is set. That VM asks all other listed VMs for their identities
// and creates the group only when every one of them answers that it is empty,
// which means that it never stored a vote, a term or an entry. The first VM stores
// the initial membership with all identities and campaigns; the others get the
// membership from it as a snapshot. If the first VM loses its disk later, some
// other VM is not empty, so no second group is created. A group of one voter has
// no such protection. If the first VM loses its disk after the others voted for it
// and before any of them stored the initial membership, no group is created: the
// folders of the others, which hold no entries, must be emptied by hand.
//
// A store that stays without a group announces itself to the listed VMs once a
// second. The leader adds a listed VM as a learner. When the learner has caught
// up, the leader removes the former identity of that VM, which must be silent,
// and then promotes the learner. The removal comes first because a quorum of the
// smaller group intersects with the quorums of the groups before and after it.
// Config.ManualMembership turns this off.
//
// # Groups from seeds
//
// With Config.Seeds no VM knows all others. The VM at the lowest seed address
// creates the group of the seeds, under the same condition. Every store that is
// not a voter, or knows no leader, announces itself to the seeds and to all
// members that it knows; a member forwards the announcement to its leader.
// The leader adds announced VMs as learners and promotes them while there are
// fewer than Config.TargetVoters voters. With enough voters, a learner that has
// caught up replaces a voter that was silent for silentVoterTimeout, which is
// removed first, for the reason above. Learners that are silent for
// silentLearnerTimeout are removed.
//
// # API
//
// Open starts a store. Propose, Read and the membership changes work on the leader
// and otherwise fail with KindNotLeader and the leader's address. Transfer does
// nothing on other VMs.
package shstore

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shlog"
	"sequoiahollow/transport/shpeer"
)

// StateMachine is the replicated state. All calls come from the owner goroutine.
type StateMachine interface {
	// Apply applies a committed proposal and returns its result. It must depend
	// on nothing but the state and the arguments. At is the wall clock of the
	// leader that appended the proposal, and may run backwards.
	Apply(index uint64, at time.Time, data []byte) []byte
	// Snapshot encodes the state. No messages are handled until it returns.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot encoded.
	Restore(data []byte) error
}

// Peer is a VM and its peer address, IP:port.
type Peer struct {
	VM      shmodel.VM `json:"vm"`
	Address string     `json:"address"`
}

// Defaults of Config.
const (
	// DefaultTick is the time between ticks of the node.
	DefaultTick = 20 * time.Millisecond
	// DefaultSnapshotEvery is a number of entries.
	DefaultSnapshotEvery = 8192
	// DefaultSnapshotBytes is the size of a segment of the log. The entries since the
	// last snapshot are also held in memory, of which a control VM has 280 MB.
	DefaultSnapshotBytes = shlog.DefaultSegmentBytes
	// DefaultJoinInterval is the time between announcements of a store that
	// belongs to no group.
	DefaultJoinInterval = time.Second
)

// Config configures a Store. Zero fields from Raft on take the defaults.
type Config struct {
	VM shmodel.VM
	// Address is the peer address of this process, where Server listens.
	Address string
	// Folder is where the store keeps its files. No other process may use it.
	Folder string
	// Voters lists the VMs that are to be voters, this one included.
	Voters []Peer
	// Seeds, if set, replaces Voters. It lists the peer addresses of some VMs; the
	// VM at the lowest address creates the group. See the package comment.
	Seeds []string
	// TargetVoters is the number of voters up to which learners of a group from
	// Seeds are promoted.
	TargetVoters int
	// Bootstrap permits this VM to create a new group. See the package comment.
	Bootstrap    bool
	StateMachine StateMachine
	Client       *shpeer.Client
	Server       *shpeer.Server

	// Raft sets timings and limits. ID and Seed are ignored.
	Raft shraft.Config
	// Tick is the time between ticks of the node.
	Tick time.Duration
	// SnapshotEvery is the number of entries after which a snapshot is made, if
	// their data has at least half the size of the last snapshot. It is made after
	// snapshotFactor times that number at the latest.
	SnapshotEvery uint64
	// SnapshotBytes is the size of the data of entries after which a snapshot is made,
	// whatever their number, if it is at least twice the size of the last snapshot.
	SnapshotBytes int
	// JoinInterval is the time between requests to join of a store without a
	// group.
	JoinInterval time.Duration
	// ManualMembership leaves all membership changes to the caller.
	ManualMembership bool
	// OnRole is called by the owner goroutine after each change of role, term,
	// leader or readiness, the first time before Open returns. It must not block
	// or call methods other than Status.
	OnRole func(Role)
	FS     shlog.FS
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.JoinInterval == 0 {
		c.JoinInterval = DefaultJoinInterval
	}
	if c.OnRole == nil {
		c.OnRole = func(Role) {}
	}
	if c.FS == nil {
		c.FS = shlog.OS{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func (c Config) validate() error {
	var errs []error
	if c.VM == "" || c.Address == "" || c.Folder == "" {
		errs = append(errs, errors.New("VM, address and folder are required"))
	}
	if c.StateMachine == nil || c.Client == nil || c.Server == nil {
		errs = append(errs, errors.New("state machine, client and server are required"))
	}
	if len(c.Seeds) > 0 {
		if len(c.Voters) > 0 || c.TargetVoters < 1 {
			errs = append(errs, errors.New("seeds require a target number of voters and exclude a list of voters"))
		}
	} else if c.Bootstrap && c.peerAddress(c.VM) == "" {
		errs = append(errs, fmt.Errorf("bootstrap: %s is not among the voters", c.VM))
	}
	return errors.Join(errs...)
}

// peerAddress returns the listed address of a VM, or "".
func (c Config) peerAddress(vm shmodel.VM) string {
	for _, p := range c.Voters {
		if p.VM == vm {
			return p.Address
		}
	}
	return ""
}

// Role is the argument of Config.OnRole.
type Role struct {
	// Leader says that this VM is the leader of Term.
	Leader bool
	// Ready says that the leader has also applied all entries of earlier terms.
	Ready bool
	Term  uint64
	// KnownLeader is zero if no leader is known.
	KnownLeader Peer
}

// Status describes a store.
type Status struct {
	ID   shraft.ID
	Role shraft.Role
	Term uint64
	// Leader is zero if unknown.
	Leader Peer
	Ready  bool
	// WithoutGroup says that the store belongs to no group yet.
	WithoutGroup bool
	Commit       uint64
	Applied      uint64
	LastIndex    uint64

	Voters   []shraft.Member
	Learners []shraft.Member
	// CaughtUp lists the learners that may be promoted, and Active the members
	// in contact, as the leader sees it.
	CaughtUp []shraft.ID
	Active   []shraft.ID
	// Confirmed is the last quorum confirmation of the leader that this node
	// knows of, by its own clock, and never later than the actual time. Zero means
	// never.
	Confirmed time.Time
}

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindNotLeader says that this VM is not the leader, and that nothing was
	// done. Error.Leader is the leader if known.
	KindNotLeader Kind = "not-leader"
	// KindUnknown says that a proposal may or may not be applied.
	KindUnknown Kind = "unknown"
	// KindTimeout says that the context ended before anything was done.
	KindTimeout Kind = "timeout"
	// KindRefused says that a change is not possible now. Nothing was done.
	KindRefused Kind = "refused"
	// KindClosed says that the store is closed or failed. Nothing was done.
	KindClosed Kind = "closed"
	// KindConfig says that the configuration is invalid.
	KindConfig Kind = "config"
	// KindStorage says that files cannot be read or written.
	KindStorage Kind = "storage"
	// KindState says that the state machine failed to restore or snapshot.
	KindState Kind = "state"
)

// Error is the error type of this package. Handlers of shpeer may return it:
// the kind is kept, and the leader is the data.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Leader Peer
}

var _ shpeer.WireError = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WireKind implements shpeer.WireError.
func (e *Error) WireKind() shpeer.Kind { return shpeer.Kind(e.Kind) }

// WireData implements shpeer.WireError. It returns the leader as a Peer.
func (e *Error) WireData() any {
	if e.Leader == (Peer{}) {
		return nil
	}
	return e.Leader
}

// KindOf returns the kind of the first Error in the chain of err, or "".
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}
