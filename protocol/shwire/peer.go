package shwire

import (
	"encoding/json"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Methods of jsonrpc2 between processes.
const (
	// MethodPropose sends a ProposeRequest to the leader.
	MethodPropose = "control.propose"
	// MethodRead sends a ReadRequest to the leader.
	MethodRead = "control.read"
	// MethodSync sends the SyncRequest of an entry VM to a control VM.
	MethodSync = "control.sync"
	// MethodNews sends a NewsRequest from one control VM to another. The answer is
	// a shdirectory.Delta.
	MethodNews = "control.news"
	// MethodCredit sends a CreditRequest to an entry VM that owns slots.
	MethodCredit = "slot.credit"
	// MethodSlots sends a SlotReport to an entry VM of the region.
	MethodSlots = "slot.report"
	// MethodCrash sends a CrashNotice to an entry VM.
	MethodCrash = "slot.crash"
	// MethodAccountAppend sends a batch of account records to an account VM.
	MethodAccountAppend = "account.append"
	// MethodAccountRead reads a page of account records.
	MethodAccountRead = "account.read"
	// MethodRelease tells an account VM which batches are synced on two account
	// VMs, so that a store without a data folder can drop them.
	MethodRelease = "account.release"
	// MethodBurn reads the service-level counts of a daemon.
	MethodBurn = "burn.read"
)

// ProposeRequest carries a Command in the form of shcontrol.EncodeCommand. A
// control VM that is not the leader answers with an error that has a LeaderHint.
type ProposeRequest struct {
	Command json.RawMessage `json:"command"`
}

// ProposeResponse carries a Result in the form of shcontrol.EncodeResult.
type ProposeResponse struct {
	Result json.RawMessage `json:"result"`
}

// ReadRequest asks the leader for a quorum-confirmed read. The configuration is
// always part of the answer. Ranges adds the reserved ranges of request IDs, and
// Entries adds the directory, the VMs removed from it and the name of the leader.
type ReadRequest struct {
	// History is the number of edits to return, newest first.
	History int  `json:"history,omitempty"`
	Ranges  bool `json:"ranges,omitempty"`
	Entries bool `json:"entries,omitempty"`
}

// ReadResponse is the state that a ReadRequest asked for.
type ReadResponse struct {
	Revision uint64           `json:"revision"`
	Config   shconfig.Config  `json:"config"`
	History  []shcontrol.Edit `json:"history,omitempty"`
	Ranges   []shrecord.Range `json:"ranges,omitempty"`
	// Entries is the directory of the leader, which is not replicated state.
	// Missing lists the VMs that the leader removed from its directory within the
	// last ten minutes.
	Entries []shdirectory.Heartbeat `json:"entries,omitempty"`
	Missing []shdirectory.Heartbeat `json:"missing,omitempty"`
	Leader  shmodel.VM              `json:"leader,omitempty"`
}

// SyncRequest is the heartbeat of an entry VM. It says which revision of the
// configuration and which version of the directory the entry VM has.
type SyncRequest struct {
	Heartbeat shdirectory.Heartbeat `json:"heartbeat"`
	// Since is the revision from which the answer's Change must start.
	Since   uint64             `json:"since"`
	Source  shdirectory.Source `json:"source"`
	Version uint64             `json:"version"`
}

// SyncResponse has the changes since the revision and version of a SyncRequest.
// Suspects and Drains are always complete, as both are short lists.
type SyncResponse struct {
	Change    *shcontrol.Change   `json:"change,omitempty"`
	Directory shdirectory.Delta   `json:"directory"`
	Suspects  []shcontrol.Suspect `json:"suspects,omitempty"`
	Drains    shcontrol.Drains    `json:"drains,omitzero"`
	// ConfirmedAge is the time since a quorum last confirmed the state of the
	// control VM, as far as the control VM knows. It is negative if no quorum has
	// confirmed the state yet.
	ConfirmedAge time.Duration `json:"confirmedAge"`
	// Overdue lists claims that an entry VM may have to settle.
	Overdue []OverdueClaim `json:"overdue,omitempty"`
}

// OverdueClaim is a claim in progress whose dispatch deadline has passed.
type OverdueClaim struct {
	Key   shmodel.ClaimKey      `json:"key"`
	Claim shcontrol.ClaimResult `json:"claim"`
}

// NewsRequest asks another control VM for heartbeats after Version of Source.
type NewsRequest struct {
	Source  shdirectory.Source `json:"source"`
	Version uint64             `json:"version"`
}

// CreditRequest asks an owner in another region for slots.
type CreditRequest struct {
	VM      shmodel.VM      `json:"vm"`
	Service shmodel.Service `json:"service"`
	Count   int             `json:"count"`
}

// CreditResponse lends Count slots for Duration. The borrower counts Duration
// from the time just before it sent the request, so that it stops using the
// slots before the owner takes them back.
type CreditResponse struct {
	ID       uint64        `json:"id"`
	Count    int           `json:"count"`
	Duration time.Duration `json:"duration"`
}

// SlotReport is what an entry VM tells its peers in the region about the slots
// that it owns.
type SlotReport struct {
	VM       shmodel.VM                            `json:"vm"`
	Services map[shmodel.Service]shdirectory.Slots `json:"services"`
}

// CrashNotice says that a backend server is suspected to have crashed while it
// ran requests with these digests. It is sent before the crash is committed to
// the replicated state.
type CrashNotice struct {
	Digests []shmodel.Digest `json:"digests"`
}

// LeaderHint is the data of the error that a control VM that is not the leader
// returns. It names the leader, if the control VM knows one.
type LeaderHint struct {
	VM      shmodel.VM `json:"vm,omitempty"`
	Address string     `json:"address,omitempty"`
}

// Empty is an empty request or answer.
type Empty struct{}
