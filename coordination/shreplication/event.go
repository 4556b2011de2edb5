// Package shreplication decides where batches of account records are copied.
//
// An entry VM submits a batch with a level. The Machine chooses account VMs by
// place and retries after failures. A batch is pending until two account VMs in
// two failure domains have synced it. The Machine is a state machine without
// clock, network or records: Handle takes an Event and the time and returns
// Effects; Next returns when the next Tick is due.
package shreplication

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// Level is the degree of replication that a submitter waits for.
type Level uint8

// Values of Level.
const (
	// Deferred is reached at once.
	Deferred Level = iota
	// Copied is reached when one VM in another failure domain holds the batch.
	Copied
	// Durable is reached when two account VMs in two failure domains have
	// synced the batch.
	Durable
)

// Target is a VM that can store batches.
type Target struct {
	VM    shmodel.VM
	Place shmodel.Place
	// Disk says that the VM can sync batches to disk.
	Disk    bool
	Healthy bool
	// Distance is the one-way latency to the VM.
	Distance time.Duration
}

// Event is an input of a Machine. The set is closed.
type Event interface{ event() }

// TargetsChanged replaces the list of targets. Copies on VMs that are no longer
// listed do not count any more.
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

// AppendFailed says that an Append failed. The target may hold the batch
// nevertheless.
type AppendFailed struct {
	Batch  uint64
	Target shmodel.VM
	Reason Failure
}

// Failure is why an Append failed.
type Failure uint8

// Values of Failure.
const (
	// TargetFailed says that the failure concerns the target, not the batch: the
	// target did not answer, is full or is broken.
	TargetFailed Failure = iota
	// BatchLost says that the target does not hold the batch any more.
	BatchLost
	// BatchRefused says that the target refuses only this batch.
	BatchRefused
)

// Tick makes the Machine check its timeouts.
type Tick struct{}

func (TargetsChanged) event() {}
func (Submitted) event()      {}
func (Appended) event()       {}
func (AppendFailed) event()   {}
func (Tick) event()           {}

// Effect is an output of a Machine. The set is closed.
type Effect interface{ effect() }

// Append asks to send a batch to a target and, if Sync is set, to wait until the
// batch is durable there. If Held is set, the target has the records already.
// Each Append is answered by one Appended or AppendFailed, after Timeout at the
// latest.
type Append struct {
	Batch   uint64
	Target  shmodel.VM
	Sync    bool
	Held    bool
	Timeout time.Duration
}

// Reached says that the batch has reached its level.
type Reached struct{ Batch uint64 }

// GaveUp says that the batch did not reach its level in time. The batch is still
// pending.
type GaveUp struct{ Batch uint64 }

// Released says that the batch is no longer pending. Targets lists the VMs that
// may hold a copy.
type Released struct {
	Batch   uint64
	Targets []shmodel.VM
}

func (Append) effect()   {}
func (Reached) effect()  {}
func (GaveUp) effect()   {}
func (Released) effect() {}
