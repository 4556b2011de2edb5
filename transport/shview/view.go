// Package shview holds the copy of the replicated state and of the list of
// entry VMs that an entry VM works with, and sends its commands to the leader.
//
// A Syncer sends a heartbeat to one control VM every 500 ms, changes to another
// control VM when that one fails, and publishes a View from the answers.
// Request goroutines read the View through an atomic pointer. The configuration
// revision in a View never decreases: the first one comes from a
// quorum-confirmed read, and an answer with an older revision, from a control
// VM that is behind, is ignored.
package shview

import (
	"fmt"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// ConfirmationTTL is how long a View may go without confirmation by a quorum
// before the VM stops what an old configuration could make unsafe: shifts of
// requests to other regions and once-only work.
const ConfirmationTTL = 3 * time.Second

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// Invalid says that a message could not be encoded or decoded.
	Invalid Kind = "invalid"
	// Rejected says that the replicated state rejected the command.
	Rejected Kind = "rejected"
	// Unavailable says that no leader answered in time. A command may have been
	// applied.
	Unavailable Kind = "unavailable"
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

// View is an immutable snapshot of the replicated state and of the list of
// entry VMs. The zero View has no configuration.
type View struct {
	Revision uint64
	// Config is nil before the first quorum-confirmed read.
	Config    *shconfig.Compiled
	Entries   []shdirectory.Heartbeat
	Suspects  map[shmodel.Digest]shcontrol.SuspectStatus
	Drains    shcontrol.Drains
	Overdue   []shwire.OverdueClaim
	confirmed time.Time
}

// Ready reports whether a configuration is known.
func (v *View) Ready() bool { return v != nil && v.Config != nil }

// Confirm records that a quorum confirmed the configuration at a time. A time
// before the recorded one changes nothing. Confirm must not be called on a
// published View.
func (v *View) Confirm(at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Confirmed reports whether a quorum confirmed the configuration within
// ConfirmationTTL.
func (v *View) Confirmed(now time.Time) bool {
	return v.Ready() && now.Sub(v.confirmed) < ConfirmationTTL
}

// LatencyMS returns the one-way latencies from a region to others, in
// milliseconds.
func (v *View) LatencyMS(from shmodel.Region) map[shmodel.Region]float64 {
	latencies := map[shmodel.Region]float64{}
	if !v.Ready() {
		return latencies
	}
	for _, l := range v.Config.Config.Links {
		if l.From == from {
			latencies[l.To] = l.LatencyMS
		}
	}
	return latencies
}
