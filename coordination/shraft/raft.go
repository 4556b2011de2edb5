// Package shraft is an implementation of the published Raft algorithm as a
// state machine without sockets, disks, goroutines or clocks.
//
// # Model
//
// A Node takes one Event at a time, with the current time, and returns Effects.
// The caller carries the effects out in their order, and completes them before
// the next event. Persist comes before every Send, so no vote, acknowledgement
// or entry leaves a node before it is synced. If an effect cannot be carried
// out, the caller stops the node. All randomness comes from Config.Seed.
//
// A node is identified by the name of its VM and a random identity of its disk.
// A VM that lost its disk is another node: messages to its former identity are
// dropped, so it cannot vote under that identity. It joins as a learner and is
// promoted once it has caught up.
//
// The implementation includes pre-vote, leader step-down without a quorum
// (check-quorum), reads confirmed by a quorum (read index), learners, changes of
// one voter at a time, snapshots, and leadership transfer. A membership change
// takes effect when its entry is appended.
//
// # API
//
// Make a Node with New from what is stored, carry out the effects that New
// returns, then call Step. NewGroup returns the snapshot that a new group
// starts from. A node with nothing stored waits: it answers votes and accepts
// entries addressed to its identity, but never campaigns.
package shraft

import (
	"errors"
	"fmt"
	"time"

	"sequoiahollow/state/shmodel"
)

// ID identifies a node: a VM together with the identity of its disk.
type ID struct {
	VM   shmodel.VM `json:"vm"`
	Disk string     `json:"disk"`
}

// String returns VM/disk.
func (i ID) String() string { return string(i.VM) + "/" + i.Disk }

// IsZero reports whether the ID is unset.
func (i ID) IsZero() bool { return i == ID{} }

// EntryKind says what an Entry holds.
type EntryKind uint8

// Entry kinds.
const (
	// Command holds data of the replicated state machine.
	Command EntryKind = iota
	// NoOp is the empty entry that a new leader appends. Once it is committed, all
	// entries of earlier terms are.
	NoOp
	// MembershipChange holds a Membership as JSON.
	MembershipChange
)

// Entry is one position of the replicated log. At is the leader's wall clock
// when it appended the entry; it may run backwards from one entry to the next.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind,omitempty"`
	At    time.Time `json:"at"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState is what a node must know after a restart. A zero Vote means none.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote,omitzero"`
}

// Snapshot is the replicated state after the entry at Index was applied.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data,omitempty"`
}

// StoredState is the state that a node has on disk. Entries are consecutive.
type StoredState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Defaults of Config. The election timeout is ten round trips over the link with
// the highest latency (35 ms one way), so that a few lost heartbeats cause no
// election. The sizes keep a message on the link with the lowest bandwidth (280
// Mbit/s) to about 10 ms, so that heartbeats are not delayed.
const (
	DefaultHeartbeat          = 100 * time.Millisecond
	DefaultElectionTimeout    = 700 * time.Millisecond
	DefaultElectionTimeoutMax = 1400 * time.Millisecond
	// DefaultInitialElectionTimeout leaves time for a pre-vote and a vote over the
	// link with the highest latency, at two round trips with new connections.
	DefaultInitialElectionTimeout = 200 * time.Millisecond
	DefaultMaxBatchBytes          = 256 << 10
	DefaultSnapshotChunkBytes     = 256 << 10
	DefaultMaxInFlightEntries     = 4096
	DefaultTrailingEntries        = 1024
	DefaultTrailingBytes          = 4 << 20
)

// Config configures a Node. Zero fields take the defaults, except ID and Seed.
type Config struct {
	ID ID
	// Seed should differ between nodes and between starts of a node.
	Seed uint64
	// Heartbeat is the time between messages of a leader to each member.
	Heartbeat time.Duration
	// ElectionTimeout is the time without a leader after which a node may campaign,
	// and the time without a quorum after which a leader steps down.
	ElectionTimeout time.Duration
	// ElectionTimeoutMax is the upper bound of the randomized election timeout.
	ElectionTimeoutMax time.Duration
	// InitialElectionTimeout is the lower bound of the election timeout of a node
	// that has not heard from a leader since its start; the upper bound is three
	// times that. A shorter timeout is safe then: when all nodes start together
	// there is no leader to wait for, and if there is a leader the pre-vote fails.
	InitialElectionTimeout time.Duration
	// MaxBatchBytes bounds the data of the entries in one message, except that
	// one entry is always sent whole.
	MaxBatchBytes int
	// SnapshotChunkBytes bounds the bytes of a snapshot in one message.
	SnapshotChunkBytes int
	// MaxInFlightEntries bounds the entries sent to a member and not yet
	// acknowledged.
	MaxInFlightEntries uint64
	// TrailingEntries is the number of entries before a snapshot that are kept, so
	// that a member that is slightly behind needs no snapshot.
	TrailingEntries uint64
	// TrailingBytes bounds the data of these entries. A member that is further behind
	// gets the snapshot.
	TrailingBytes int
}

func (c Config) withDefaults() Config {
	defaultTo(&c.Heartbeat, DefaultHeartbeat)
	defaultTo(&c.ElectionTimeout, DefaultElectionTimeout)
	defaultTo(&c.ElectionTimeoutMax, max(DefaultElectionTimeoutMax, 2*c.ElectionTimeout))
	defaultTo(&c.InitialElectionTimeout, min(DefaultInitialElectionTimeout, c.ElectionTimeout/2))
	defaultTo(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	defaultTo(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	defaultTo(&c.MaxInFlightEntries, DefaultMaxInFlightEntries)
	defaultTo(&c.TrailingEntries, DefaultTrailingEntries)
	defaultTo(&c.TrailingBytes, DefaultTrailingBytes)
	return c
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) validate() error {
	switch {
	case c.ID.VM == "" || c.ID.Disk == "":
		return errors.New("node identity is incomplete")
	case c.Heartbeat >= c.ElectionTimeout:
		return fmt.Errorf("heartbeat %v is not below the election timeout %v", c.Heartbeat, c.ElectionTimeout)
	case c.ElectionTimeout >= c.ElectionTimeoutMax:
		return fmt.Errorf("election timeout range %v to %v is empty", c.ElectionTimeout, c.ElectionTimeoutMax)
	}
	return nil
}

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindConfig says that a Config is invalid.
	KindConfig Kind = "config"
	// KindStored says that stored state contradicts itself.
	KindStored Kind = "stored"
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
