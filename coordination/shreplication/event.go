// Package shreplication decides where batches of account records are copied.
//
// An entry VM submits a batch with a level. The machine chooses account VMs by
// place, sends the batch again after failures, and owes the batch until two
// account VMs in two failure domains have synced it. It has no clock, network
// or records: Handle takes an Event and the time and returns Effects; Next
// tells when the machine wants a Tick.
package shreplication

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// Level is what a submitter waits for.
type Level uint8

// Levels.
const (
	// Deferred is reached at once.
	Deferred Level = iota
	// Copied is reached when one VM in another failure domain holds the batch.
	Copied
	// Durable is reached when two account VMs in two failure domains have
	// synced the batch.
	Durable
)

// Target is a VM that may take batches.
type Target struct {
	VM    shmodel.VM
	Place shmodel.Place
	// Disk says that the VM can sync.
	Disk    bool
	Healthy bool
	// Distance is the one-way latency to the VM.
	Distance time.Duration
}

// Event is an input of a Machine. The set is closed.
type Event interface{ event() }

// TargetsChanged replaces the list of targets. What VMs that are no longer
// listed hold does not count any more.
type TargetsChanged struct{ Targets []Target }

// Submitted adds a batch. Batch numbers ascend.
type Submitted struct {
	Batch uint64
	Level Level
}

// Appended says that Target holds the batch, and with Synced that it is
// durable there.
type Appended struct {
	Batch  uint64
	Target shmodel.VM
	Synced bool
}

// AppendFailed says that an Append had no success. The target may hold the
// batch all the same.
type AppendFailed struct {
	Batch  uint64
	Target shmodel.VM
	Reason Failure
}

// Failure is why an Append failed.
type Failure uint8

// Failures.
const (
	// TargetFailed concerns the target: it did not answer, is full or broken.
	TargetFailed Failure = iota
	// BatchLost says that the target does not hold the batch any more.
	BatchLost
	// BatchRefused says that the target refuses this batch only.
	BatchRefused
)

// Tick says that time has passed.
type Tick struct{}

func (TargetsChanged) event() {}
func (Submitted) event()      {}
func (Appended) event()       {}
func (AppendFailed) event()   {}
func (Tick) event()           {}

// Effect is an output of a Machine. The set is closed.
type Effect interface{ effect() }

// Append asks to send a batch to a target, and with Sync to wait until it is
// durable there. With Held the target has the records already. It ends in one
// Appended or AppendFailed, after Timeout at the latest.
type Append struct {
	Batch   uint64
	Target  shmodel.VM
	Sync    bool
	Held    bool
	Timeout time.Duration
}

// Reached says that the batch has reached its level.
type Reached struct{ Batch uint64 }

// GaveUp says that the batch did not reach its level in time. The batch is
// still owed.
type GaveUp struct{ Batch uint64 }

// Released says that the batch is owed no more. Targets may hold a copy.
type Released struct {
	Batch   uint64
	Targets []shmodel.VM
}

func (Append) effect()   {}
func (Reached) effect()  {}
func (GaveUp) effect()   {}
func (Released) effect() {}
