// Package shcontrol is the replicated state of the system: configuration
// revisions, claims of once-only work, link grants, ranges of request IDs,
// drains and the digests of requests that crashed backend servers.
//
// State.Apply applies a Command at the time that the leader assigned to it and
// returns a Result. Applying the same commands in the same order gives the same
// state on every replica.
//
// Snapshot and Restore copy a State; its other methods only read it.
// EncodeCommand and EncodeResult return the JSON form that the log and messages
// carry. A GrantExpirer tells the leader which grants have expired.
package shcontrol

import (
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Command is a change to the replicated state. Only types of this package
// implement Command.
type Command interface{ command() }

// ApplyConfig replaces the configuration if BaseRevision is the current one.
// If EditID was accepted before, a command with the same content gets the
// revision of the first one; a command with other content is rejected.
type ApplyConfig struct {
	EditID       string          `json:"editId"`
	Author       string          `json:"author,omitempty"`
	BaseRevision uint64          `json:"baseRevision"`
	Config       shconfig.Config `json:"config"`
}

// OpenClaim claims once-only work for one attempt. Its result is a ClaimResult;
// the attempt may be sent only if the status is ClaimGranted.
type OpenClaim struct {
	Key       shmodel.ClaimKey  `json:"key"`
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	Attempt   Attempt           `json:"attempt"`
}

// Attempt is one attempt to run once-only work on one backend server.
type Attempt struct {
	Number        uint32                `json:"number"`
	VM            shmodel.VM            `json:"vm"`
	BackendServer shmodel.BackendServer `json:"backendServer"`
	// Address is the IP:port of the backend server, for cancellation.
	Address string `json:"address"`
	// Incarnation identifies the process lifetime of the backend server. Another
	// incarnation does not know whether the attempt ran.
	Incarnation uint64 `json:"incarnation"`
	// DispatchBy is the absolute deadline that the backend server enforces.
	DispatchBy time.Time `json:"dispatchBy"`
}

// CloseClaim records the outcome of the attempt of a claim. NotRun permits
// another attempt; Answered and Unknown are final.
type CloseClaim struct {
	Key       shmodel.ClaimKey  `json:"key"`
	RequestID shmodel.RequestID `json:"requestId"`
	Attempt   uint32            `json:"attempt"`
	Outcome   shmodel.Outcome   `json:"outcome"`
	Reason    string            `json:"reason,omitempty"`
	Answer    Answer            `json:"answer,omitzero"`
}

// SettleClaim forbids any later claim of Key by RequestID if the request holds
// none or its attempt did not run. The result describes the claim of the key, if
// any. If Digest is set and differs from that of the claim, the result is
// ClaimConflict without the answer.
type SettleClaim struct {
	Key       shmodel.ClaimKey  `json:"key"`
	RequestID shmodel.RequestID `json:"requestId"`
	Digest    shmodel.Digest    `json:"digest,omitzero"`
}

// Answer is a recorded answer of a backend server. Body is empty and Truncated
// set if the body was larger than the limit of recorded answers (64 KiB).
type Answer struct {
	Status    int                 `json:"status"`
	Header    map[string][]string `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	Truncated bool                `json:"truncated,omitempty"`
}

// RequestGrant asks for a share of a link for a VM in region From.
type RequestGrant struct {
	VM            shmodel.VM     `json:"vm"`
	From          shmodel.Region `json:"from"`
	To            shmodel.Region `json:"to"`
	BitsPerSecond int64          `json:"bitsPerSecond"`
	// Renews lists grants of VM for the same link whose rate may move to the
	// new grant. The holder stops using them when it gets the new grant.
	Renews []uint64 `json:"renews,omitempty"`
}

// ExpireGrant frees a grant. Only the leader proposes it, after the grant has
// expired by the slowest permitted clock of its holder.
type ExpireGrant struct {
	ID uint64 `json:"id"`
}

// ReserveRange reserves Count request IDs for one process of a VM. Sequence
// counts the ranges of the process from 1. A command with a known Sequence gets
// the range that was reserved under it, since the answer to the first copy may
// have been lost. With Sequence 0 the command always reserves another range.
type ReserveRange struct {
	VM          shmodel.VM `json:"vm"`
	Incarnation uint64     `json:"incarnation"`
	Count       uint64     `json:"count"`
	Sequence    uint64     `json:"sequence,omitempty"`
}

// ReportCrash reports that a backend server crashed while it ran the requests
// with Digests. Solo says that the crash was in a solo run, with one digest.
type ReportCrash struct {
	BackendServer shmodel.BackendServer `json:"backendServer"`
	Digests       []shmodel.Digest      `json:"digests"`
	Solo          bool                  `json:"solo,omitempty"`
	// RequestID is the request of the solo run. If it is set, a repeated report
	// cannot be taken for the crash of a later solo run.
	RequestID shmodel.RequestID `json:"requestId,omitempty"`
}

// OpenSolo opens a solo run of a suspect digest: a run until Until on a backend
// server that runs no other request. A digest has one solo run at a time.
type OpenSolo struct {
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	VM        shmodel.VM        `json:"vm"`
	Until     time.Time         `json:"until"`
}

// CloseSolo ends a solo run that did not crash. If Succeeded is set, the digest
// is no longer suspect.
type CloseSolo struct {
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	Succeeded bool              `json:"succeeded"`
}

// SetDrain starts or ends the drain of a VM or of a region.
type SetDrain struct {
	VM       shmodel.VM     `json:"vm,omitempty"`
	Region   shmodel.Region `json:"region,omitempty"`
	Draining bool           `json:"draining"`
}

func (ApplyConfig) command()  {}
func (OpenClaim) command()    {}
func (CloseClaim) command()   {}
func (SettleClaim) command()  {}
func (RequestGrant) command() {}
func (ExpireGrant) command()  {}
func (ReserveRange) command() {}
func (ReportCrash) command()  {}
func (OpenSolo) command()     {}
func (CloseSolo) command()    {}
func (SetDrain) command()     {}

// Result is the result of a Command. Only types of this package implement
// Result.
type Result interface{ result() }

// ConfigResult is the result of ApplyConfig. When Accepted is false, Revision
// and Config are the current ones.
type ConfigResult struct {
	Accepted bool            `json:"accepted"`
	Revision uint64          `json:"revision"`
	Config   shconfig.Config `json:"config"`
}

// ClaimStatus is the state of a claim as a proposer sees it.
type ClaimStatus string

// Claim statuses.
const (
	// ClaimGranted permits the proposer to send the attempt.
	ClaimGranted ClaimStatus = "granted"
	// ClaimInProgress says that an attempt has no recorded outcome yet.
	ClaimInProgress ClaimStatus = "in-progress"
	// ClaimAnswered carries the recorded answer.
	ClaimAnswered ClaimStatus = "answered"
	// ClaimUnknown says that the outcome of an attempt stays unknown; the status
	// is final.
	ClaimUnknown ClaimStatus = "unknown"
	// ClaimNotRun says that the last attempt did not run. Another attempt may be
	// claimed.
	ClaimNotRun ClaimStatus = "not-run"
	// ClaimConflict says that the key was used with another digest.
	ClaimConflict ClaimStatus = "conflict"
	// ClaimUsedBefore says that the key was used longer ago than the retention
	// period.
	ClaimUsedBefore ClaimStatus = "used-before"
	// ClaimForbidden says that the request was settled as not run and may not
	// claim the key anymore.
	ClaimForbidden ClaimStatus = "forbidden"
)

// ClaimResult is the result of OpenClaim, CloseClaim and SettleClaim.
// RequestID, Attempt and Answer describe the claim of the key.
type ClaimResult struct {
	Status    ClaimStatus       `json:"status"`
	RequestID shmodel.RequestID `json:"requestId,omitempty"`
	Attempt   Attempt           `json:"attempt,omitzero"`
	Reason    string            `json:"reason,omitempty"`
	Answer    Answer            `json:"answer,omitzero"`
}

// GrantResult is the result of RequestGrant and ExpireGrant. BitsPerSecond is
// zero if no rate was granted. The holder counts Duration from before it sent
// the request.
type GrantResult struct {
	ID            uint64        `json:"id"`
	BitsPerSecond int64         `json:"bitsPerSecond"`
	Duration      time.Duration `json:"duration"`
}

// RangeResult is the result of ReserveRange.
type RangeResult struct {
	Range shrecord.Range `json:"range"`
}

// SuspectStatus says whether requests with a digest may run.
type SuspectStatus string

// Suspect statuses.
const (
	// SuspectNone says that the digest is not suspect and may run without limits.
	SuspectNone SuspectStatus = "none"
	// SuspectSolo says that the digest may run only in a solo run.
	SuspectSolo SuspectStatus = "solo"
	// SuspectGranted permits the proposer of OpenSolo to run the request solo.
	SuspectGranted SuspectStatus = "granted"
	// SuspectBusy says that another solo run of the digest is in progress.
	SuspectBusy SuspectStatus = "busy"
	// SuspectQuarantined says that the digest must not run.
	SuspectQuarantined SuspectStatus = "quarantined"
)

// SuspectResult is the result of ReportCrash, OpenSolo and CloseSolo. Statuses
// is in the order of the digests of the command.
type SuspectResult struct {
	Statuses []SuspectStatus `json:"statuses"`
}

// DrainResult is the result of SetDrain.
type DrainResult struct {
	Draining bool `json:"draining"`
}

// Rejected is the result of a command that is malformed.
type Rejected struct {
	Reason string `json:"reason"`
}

func (ConfigResult) result()  {}
func (ClaimResult) result()   {}
func (GrantResult) result()   {}
func (RangeResult) result()   {}
func (SuspectResult) result() {}
func (DrainResult) result()   {}
func (Rejected) result()      {}
