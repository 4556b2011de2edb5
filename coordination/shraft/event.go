package shraft

import "time"

// Event is an input of a Node. Only the types of this package implement it.
type Event interface{ event() }

// Tick makes the node check its timeouts. One is needed at least every few tens
// of milliseconds.
type Tick struct{}

// Receive delivers a message of another node.
type Receive struct {
	Message Message
}

// Proposal is data for the replicated state machine. Tokens are chosen by the
// caller, who gets them back in Accepted or Refused.
type Proposal struct {
	Token uint64
	Data  []byte
}

// Propose appends proposals as one batch, which is synced once.
type Propose struct {
	Proposals []Proposal
}

// Read asks for confirmation that this node is the leader and has applied
// everything committed before. Each token is answered by ReadReady or Refused.
type Read struct {
	Tokens []uint64
}

// AddLearner adds a member without a vote. Like the other membership changes, it
// is answered by Accepted or Refused, and complete when its entry is committed.
type AddLearner struct {
	Token  uint64
	Member Member
}

// Promote makes a learner a voter if it has caught up.
type Promote struct {
	Token uint64
	ID    ID
}

// Remove removes a voter or a learner, other than the leader itself.
type Remove struct {
	Token uint64
	ID    ID
}

// Transfer transfers leadership to a voter. A zero To means the voter whose log
// is most up to date. Refused says that the transfer cannot start, or that the
// node is still the leader after Config.ElectionTimeoutMax. On success there is
// only a RoleChanged.
type Transfer struct {
	Token uint64
	To    ID
}

// Compact stores a snapshot of the state machine, made after the entry at Index
// was applied, and drops entries that it covers.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) event()       {}
func (Receive) event()    {}
func (Propose) event()    {}
func (Read) event()       {}
func (AddLearner) event() {}
func (Promote) event()    {}
func (Remove) event()     {}
func (Transfer) event()   {}
func (Compact) event()    {}

// Effect is an output of a Node. Only the types of this package implement it.
type Effect interface{ effect() }

// Persist stores state. The parts are stored in the order of the fields, and
// are synced before the next effect.
type Persist struct {
	// State is nil if unchanged.
	State *HardState
	// Snapshot is nil if unchanged.
	Snapshot *Snapshot
	// ResetLog drops the whole stored log; the next entry is Snapshot.Index+1.
	ResetLog bool
	// KeepFrom, if not zero, is the first index that must stay in the stored log.
	KeepFrom uint64
	// Entries replace what is stored from the index of the first one on.
	Entries []Entry
}

// Restore replaces the state machine's state.
type Restore struct {
	Snapshot Snapshot
}

// Send sends a message, which may be lost, delayed or duplicated.
type Send struct {
	Message Message
}

// Accepted says that a proposal or change has a place in the log. Its outcome
// is known once Apply delivers an entry at Index: it was committed if that
// entry has the same Term, and lost otherwise.
type Accepted struct {
	Token uint64
	Index uint64
	Term  uint64
}

// Refused says that an event had no effect.
type Refused struct {
	Token  uint64
	Reason Reason
}

// Apply delivers committed entries of every kind, consecutive and each once
// since the last New or Restore.
type Apply struct {
	Entries []Entry
}

// ReadReady says that state read now includes everything that was committed
// before the Read event.
type ReadReady struct {
	Token uint64
}

// RoleChanged says that the role, term, leader or readiness of the node changed.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
	// Ready is set on a leader that has applied all entries of earlier terms.
	Ready bool
}

func (Persist) effect()     {}
func (Restore) effect()     {}
func (Send) effect()        {}
func (Accepted) effect()    {}
func (Refused) effect()     {}
func (Apply) effect()       {}
func (ReadReady) effect()   {}
func (RoleChanged) effect() {}

// Role is what a node does in its term.
type Role string

// Roles.
const (
	// Follower accepts entries from the leader.
	Follower Role = "follower"
	// PreCandidate asks whether it would win, before it raises its term.
	PreCandidate Role = "pre-candidate"
	// Candidate asks for votes in its term.
	Candidate Role = "candidate"
	// Leader replicates entries to the other members.
	Leader Role = "leader"
)

// Reason says why an event was refused. Its text is meant for people.
type Reason string

// Reasons.
const (
	// NotLeader refuses every event that only the leader takes.
	NotLeader Reason = "not leader"
	// Transferring refuses proposals, membership changes and another Transfer
	// while a leadership transfer is in progress.
	Transferring Reason = "leadership transfer in progress"
	// NotReady refuses a membership change before the leader has committed an
	// entry of its term.
	NotReady Reason = "leader has not committed an entry of its term"
	// ChangeInProgress refuses a second membership change at the same time.
	ChangeInProgress Reason = "another membership change is not committed"
	// NotCaughtUp refuses a Promote.
	NotCaughtUp Reason = "learner has not caught up"
	// NoSuchMember refuses a Promote, Remove or Transfer of an unknown ID.
	NoSuchMember Reason = "no such member"
	// MemberExists refuses an AddLearner.
	MemberExists Reason = "member exists"
	// IsLeader refuses a Remove of the leader.
	IsLeader Reason = "member is the leader"
	// TransferTimedOut ends a Transfer after Config.ElectionTimeoutMax.
	TransferTimedOut Reason = "successor did not take over in time"
	// NoQuorum refuses a change that leaves too few voters in contact.
	NoQuorum Reason = "too few active voters after the change"
)

// Status describes a node.
type Status struct {
	ID         ID
	Role       Role
	Term       uint64
	Leader     ID
	Ready      bool
	Commit     uint64
	LastIndex  uint64
	Membership Membership
	// Confirmed is a time at which a quorum had confirmed the leader, by the
	// clock of this node, and never later than the actual time. Zero means never.
	Confirmed time.Time
	// CaughtUp lists the learners that may be promoted, as the leader sees it.
	CaughtUp []ID
	// Active lists the members that answered the leader within
	// Config.ElectionTimeout.
	Active []ID
}
