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
	// MethodPropose takes a ProposeRequest to the leader.
	MethodPropose = "control.propose"
	// MethodRead takes a ReadRequest to the leader.
	MethodRead = "control.read"
	// MethodSync takes the SyncRequest of an entry VM to a control VM.
	MethodSync = "control.sync"
	// MethodNews takes a NewsRequest from one control VM to another and is
	// answered with a shdirectory.Delta.
	MethodNews = "control.news"
	// MethodCredit takes a CreditRequest to the owner of slots.
	MethodCredit = "slot.credit"
	// MethodSlots takes a SlotReport to an entry VM of the region.
	MethodSlots = "slot.report"
	// MethodCrash takes a CrashNotice to an entry VM.
	MethodCrash = "slot.crash"
	// MethodAccountAppend takes a batch of account records to an account VM.
	MethodAccountAppend = "account.append"
	// MethodAccountRead reads a page of account records.
	MethodAccountRead = "account.read"
	// MethodRelease tells an account VM which batches need no copy any more.
	MethodRelease = "account.release"
	// MethodBurn reads the service-level counts of a daemon.
	MethodBurn = "burn.read"
)

// ProposeRequest carries a Command in the form of shcontrol.EncodeCommand. It
// goes to the leader; another control VM answers with an error that names the
// leader.
type ProposeRequest struct {
	Command json.RawMessage `json:"command"`
}

// ProposeResponse carries a Result in the form of shcontrol.EncodeResult.
type ProposeResponse struct {
	Result json.RawMessage `json:"result"`
}

// ReadRequest asks the leader for a quorum-confirmed read. The configuration is
// always part of the answer; History adds past edits and the link grants.
type ReadRequest struct {
	// History is the number of edits to return, newest first.
	History int  `json:"history,omitempty"`
	Ranges  bool `json:"ranges,omitempty"`
	Entries bool `json:"entries,omitempty"`
}

// ReadResponse is the replicated state that a read asked for.
type ReadResponse struct {
	Revision uint64           `json:"revision"`
	Config   shconfig.Config  `json:"config"`
	History  []shcontrol.Edit `json:"history,omitempty"`
	Ranges   []shrecord.Range `json:"ranges,omitempty"`
	// Entries is the directory of the leader, which is soft state, and Missing
	// the VMs that it removed within the last ten minutes.
	Entries []shdirectory.Heartbeat `json:"entries,omitempty"`
	Missing []shdirectory.Heartbeat `json:"missing,omitempty"`
	Leader  shmodel.VM              `json:"leader,omitempty"`
}

// SyncRequest is the heartbeat of an entry VM with what it knows already.
type SyncRequest struct {
	Heartbeat shdirectory.Heartbeat `json:"heartbeat"`
	// Since is the revision that a change must start from.
	Since   uint64             `json:"since"`
	Source  shdirectory.Source `json:"source"`
	Version uint64             `json:"version"`
}

// SyncResponse is what changed since. Suspects and Drains are always whole;
// both are short lists.
type SyncResponse struct {
	Change    *shcontrol.Change   `json:"change,omitempty"`
	Directory shdirectory.Delta   `json:"directory"`
	Suspects  []shcontrol.Suspect `json:"suspects,omitempty"`
	Drains    shcontrol.Drains    `json:"drains,omitzero"`
	// ConfirmedAge is the time since the control VM knew that its state was
	// confirmed by a quorum. It is negative if that never was the case.
	ConfirmedAge time.Duration `json:"confirmedAge"`
	// Overdue lists claims whose attempt may need settlement.
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

// CreditResponse lends Count slots for Duration, counted from before the
// request was sent.
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

// CrashNotice says that a backend server crashed while it ran requests with these
// digests. It comes ahead of the strikes.
type CrashNotice struct {
	Digests []shmodel.Digest `json:"digests"`
}

// LeaderHint is the data of an error that says that a control VM does not lead.
type LeaderHint struct {
	VM      shmodel.VM `json:"vm,omitempty"`
	Address string     `json:"address,omitempty"`
}

// Empty is an empty request or answer.
type Empty struct{}
