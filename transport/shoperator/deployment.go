// Package shoperator provides the HTTP interface for operators, which has its
// own address, and its client.
//
// A Server checks tokens, sizes and documents, and calls a Deployment to read and
// change the state of the deployment. A Client calls a Server. The paths are:
//
//	GET  /v1/config          Current
//	POST /v1/config          shcontrol.ApplyConfig, answers shcontrol.ConfigResult
//	POST /v1/config/check    shconfig.Config, answers CheckResult
//	POST /v1/config/diff     shconfig.Config, answers DiffResult
//	GET  /v1/config/history  []Edit, newest first; ?limit=N
//	GET  /v1/status          Status
//	POST /v1/drain           Target, answers shcontrol.DrainResult
//	POST /v1/undrain         Target, answers shcontrol.DrainResult
//	GET  /v1/account/export  one shrecord.Line a line; ?service=S&since=T&until=T
//	GET  /v1/account/verify  Verification
//	GET  /v1/report/burn     shburn.Report
//	GET  /metrics            Prometheus text, without token
//	GET  /healthz            "ok", without token
//
// Every answer that is not 200 is an application/problem+json Problem, except
// for /healthz. Each Kind has its status code.
package shoperator

import (
	"context"
	"io"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shburn"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
)

// Deployment reads and changes the state of the deployment for a Server. Errors
// of reads that are not an *Error are reported as KindInternal, or as
// KindUnavailable if the deadline was exceeded; those of changes as KindUnknown.
// Methods are called concurrently.
type Deployment interface {
	// Config returns the current configuration from a quorum-confirmed read.
	Config(ctx context.Context) (Current, error)
	// Apply proposes an edit. A rejected edit has a result that is not accepted,
	// and no error.
	Apply(ctx context.Context, edit shcontrol.ApplyConfig) (shcontrol.ConfigResult, error)
	// History returns at most limit accepted edits, newest first.
	History(ctx context.Context, limit int) ([]Edit, error)
	// Status lists every known daemon, missing ones included.
	Status(ctx context.Context) (Status, error)
	// Drain and Undrain start and end the drain of a VM or region.
	Drain(ctx context.Context, target Target) (shcontrol.DrainResult, error)
	Undrain(ctx context.Context, target Target) (shcontrol.DrainResult, error)
	// AccountExport writes one shrecord.Line as JSON per line.
	AccountExport(ctx context.Context, f shrecord.Filter, w io.Writer) error
	AccountVerify(ctx context.Context) (Verification, error)
	BurnReport(ctx context.Context) (shburn.Report, error)
}

// Current is the configuration in its latest accepted revision. Revision 0 means
// that no configuration was accepted yet.
type Current struct {
	Revision uint64          `json:"revision"`
	Config   shconfig.Config `json:"config"`
}

// CheckResult is the result of checking a configuration against the current
// one. Changes is empty if there are problems.
type CheckResult struct {
	Valid    bool              `json:"valid"`
	Problems shconfig.Problems `json:"problems"`
	Revision uint64            `json:"revision"`
	Changes  []shconfig.Change `json:"changes"`
}

// DiffResult lists the changes from the current configuration to another one.
type DiffResult struct {
	Revision uint64            `json:"revision"`
	Changes  []shconfig.Change `json:"changes"`
}

// Edit is one accepted edit. Changes is relative to the previous revision.
type Edit struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"editId"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
	Changes  []shconfig.Change `json:"changes"`
}

// Status is the state of the deployment as the answering VM knows it.
type Status struct {
	// Revision is the latest accepted revision.
	Revision uint64 `json:"revision"`
	// Confirmed says that a quorum confirmed the status. Otherwise the status is
	// the latest one known to the answering VM.
	Confirmed bool     `json:"confirmed"`
	Daemons   []Daemon `json:"daemons"`
}

// Daemon describes one process. Revision is the configuration revision in force
// there. AgeMS is the milliseconds since its last heartbeat, or -1 if none is
// known. Missing is set, and Revision is 0, if the last heartbeat has expired or
// none is known.
type Daemon struct {
	VM            shmodel.VM            `json:"vm"`
	Region        shmodel.Region        `json:"region"`
	FailureDomain shmodel.FailureDomain `json:"failureDomain"`
	Roles         []shsettings.Role     `json:"roles"`
	Revision      uint64                `json:"revision"`
	AgeMS         int64                 `json:"ageMs"`
	Leader        bool                  `json:"leader,omitempty"`
	Draining      bool                  `json:"draining,omitempty"`
	Leaving       bool                  `json:"leaving,omitempty"`
	Missing       bool                  `json:"missing,omitempty"`
}

// Target is a VM or a region; exactly one is set.
type Target struct {
	VM     shmodel.VM     `json:"vm,omitempty"`
	Region shmodel.Region `json:"region,omitempty"`
}

// Verification is the result of checking the account. Complete says that no
// record is missing and no request is counted twice.
type Verification struct {
	Complete bool  `json:"complete"`
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"notRun"`
	Unknown  int64 `json:"unknown"`
	// Missing lists ranges of request IDs without any record.
	Missing []Gap `json:"missing"`
	// Problems lists records that contradict each other and damaged files.
	Problems []string `json:"problems"`
}

// Gap is a range of request IDs, First to Last inclusive.
type Gap struct {
	First  shmodel.RequestID `json:"first"`
	Last   shmodel.RequestID `json:"last"`
	VM     shmodel.VM        `json:"vm"`
	Reason string            `json:"reason,omitempty"`
}
