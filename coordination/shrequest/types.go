package shrequest

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Request describes a request to a Receiver and its Executors. Deadline carries
// wall and monotonic time.
type Request struct {
	ID           shmodel.RequestID
	Service      shmodel.Service
	Operation    shmodel.OperationKind
	Key          string
	Digest       shmodel.Digest
	Deadline     time.Time
	Caller       string
	Method       string
	Path         string
	RequestBytes int64
}

func (r Request) claimKey() shmodel.ClaimKey {
	return shmodel.ClaimKey{Service: r.Service, Key: r.Key}
}

func (r Request) onceOnly() bool { return r.Operation == shmodel.OnceOnly }

// Reason explains an outcome that is not an answer. The values are written to
// account records and sent to callers, so they must not change.
type Reason string

// Reasons.
const (
	ReasonNone         Reason = ""
	ReasonNoCapacity   Reason = "no-capacity"
	ReasonDeadline     Reason = "deadline"
	ReasonNoRecord     Reason = "account-unavailable"
	ReasonQuarantined  Reason = "quarantined"
	ReasonKeyConflict  Reason = "key-conflict"
	ReasonKeyUsed      Reason = "key-used-before"
	ReasonInProgress   Reason = "in-progress"
	ReasonSettled      Reason = "settled"
	ReasonShed         Reason = "shed"
	ReasonUnreachable  Reason = "unreachable"
	ReasonLateDispatch Reason = "late-dispatch"
	ReasonNoControl    Reason = "control-unavailable"
	ReasonCanceled     Reason = "cancelled"
	ReasonLostAnswer   Reason = "answer-lost"
	ReasonRetryBudget  Reason = "retry-budget"
	ReasonCallerGone   Reason = "caller-gone"
	ReasonCrashed      Reason = "backend-server-crashed"
)

// Event is an input of a Receiver or an Executor. Only types of this package
// implement it.
type Event interface{ event() }

// Admitted is the first event of a Receiver.
type Admitted struct {
	Suspect shcontrol.SuspectStatus
	// HedgeAfter is the delay until a hedge is sent; zero means none.
	HedgeAfter time.Duration
}

// ChoiceMade answers Choose. While a request waits after shrouting.Wait, the
// driver may send another ChoiceMade with the same ID when a slot becomes free.
type ChoiceMade struct {
	ID     uint64
	Choice shrouting.Choice
}

// BudgetDenied answers a Choose with Retry or Hedge set.
type BudgetDenied struct{ ID uint64 }

// RecordCopied says that the copies of an awaited record were written.
type RecordCopied struct{ Kind shrecord.Kind }

// RecordFailed says that the copies of an awaited record were not written.
type RecordFailed struct{ Kind shrecord.Kind }

// ControlResult answers AskControl. A nil Result means that control did not
// answer; the command may be committed nevertheless.
type ControlResult struct {
	Command shcontrol.Command
	Result  shcontrol.Result
}

// AttemptResult carries the result of an attempt or of its cancellation.
type AttemptResult struct {
	Attempt uint32
	Result  Result
}

// AnswerStreaming says that the answer of an attempt does not fit the buffer
// and has to be streamed.
type AnswerStreaming struct{ Attempt uint32 }

// Reserved answers Reserve.
type Reserved struct {
	Reservation shslot.Reservation
	OK          bool
}

// SoloReady says that a solo Reserve may succeed now.
type SoloReady struct{}

// CrashCheckResult says whether the backend server crashed when the connection
// broke. The driver derives it from shslot.CrashSuspected and
// shslot.BreakCleared.
type CrashCheckResult struct{ Crashed bool }

// TimerFired says that the timer with ID expired.
type TimerFired struct{ ID uint64 }

// CallerGone says that the caller, or the forwarding entry VM, closed its
// connection or cancelled the request.
type CallerGone struct{}

// SuspectChanged says that the suspect status of the request's digest changed.
type SuspectChanged struct{ Status shcontrol.SuspectStatus }

func (Admitted) event()         {}
func (ChoiceMade) event()       {}
func (BudgetDenied) event()     {}
func (RecordCopied) event()     {}
func (RecordFailed) event()     {}
func (ControlResult) event()    {}
func (AttemptResult) event()    {}
func (AnswerStreaming) event()  {}
func (Reserved) event()         {}
func (SoloReady) event()        {}
func (CrashCheckResult) event() {}
func (TimerFired) event()       {}
func (CallerGone) event()       {}
func (SuspectChanged) event()   {}

// Result is the result of an attempt or of its cancellation. Only types of this
// package implement it.
type Result interface{ result() }

// Complete is a complete answer with the right request ID. Bytes is the length
// of the body; Answer holds the body up to the limit of recorded answers.
type Complete struct {
	Answer shcontrol.Answer
	Bytes  int64
}

// Executed is the complete report of an Executor.
type Executed struct{ Execution Execution }

// ConnectionBroken says that the connection broke after sending had begun.
type ConnectionBroken struct{}

// ConnectionRefused says that no connection was made and nothing was sent.
type ConnectionRefused struct{}

// Shed says that the backend server refused the request and did not run it.
type Shed struct{}

// FirstByteTimeout says that no byte of an answer arrived in time.
type FirstByteTimeout struct{}

// IDMismatch says that an answer to another request arrived, or bytes that are none.
type IDMismatch struct{}

// NotSent says that the driver did not send the request: shslot.Table.Dispatch
// returned false or Dispatch.NotAfter had passed.
type NotSent struct{}

// CancelNotRun says that the attempt did not run and will not run.
type CancelNotRun struct{}

// CancelRunning says that the attempt runs and cannot be stopped.
type CancelRunning struct{}

// CancelDone says that the attempt ran to its end.
type CancelDone struct{}

// CancelFailed says that the cancellation got no valid answer.
type CancelFailed struct{}

func (Complete) result()          {}
func (Executed) result()          {}
func (ConnectionBroken) result()  {}
func (ConnectionRefused) result() {}
func (Shed) result()              {}
func (FirstByteTimeout) result()  {}
func (IDMismatch) result()        {}
func (NotSent) result()           {}
func (CancelNotRun) result()      {}
func (CancelRunning) result()     {}
func (CancelDone) result()        {}
func (CancelFailed) result()      {}

// Execution is the report of an Executor to the Receiver. Entry VMs send it to
// each other as JSON.
type Execution struct {
	Outcome       shmodel.Outcome       `json:"outcome"`
	Reason        Reason                `json:"reason,omitempty"`
	BackendServer shmodel.BackendServer `json:"backendServer,omitempty"`
	Answer        shcontrol.Answer      `json:"answer,omitzero"`
	Bytes         int64                 `json:"bytes,omitempty"`
	Replayed      bool                  `json:"replayed,omitempty"`
	// Dispatched says that the request was sent to the backend server.
	Dispatched bool `json:"dispatched,omitempty"`
	// Claimed says that control granted the claim of this attempt.
	Claimed bool `json:"claimed,omitempty"`
	// Crashed says that the request crashed the backend server or may have.
	Crashed bool `json:"crashed,omitempty"`
	// Final says that another attempt must not or need not be made.
	Final bool `json:"final,omitempty"`
}

// Effect is an output of a Receiver or an Executor. Only types of this package
// implement it.
type Effect interface{ effect() }

// WriteRecord writes an account record. The driver fills in VM and At. With
// Await set, RecordCopied or RecordFailed must follow; Durable asks for synced
// copies on two account VMs in two failure domains.
type WriteRecord struct {
	Record  shrecord.Record
	Await   bool
	Durable bool
}

// Choose asks for a shrouting.Choice. With Retry or Hedge set the driver first
// takes one attempt from the retry or hedge budget and answers BudgetDenied if
// that budget is used up.
type Choose struct {
	ID    uint64
	Tried []shmodel.VM
	Retry bool
	Hedge bool
}

// Execute starts an Executor for the attempt on this VM.
type Execute struct {
	Attempt uint32
	Solo    bool
	// Exclude lists backend servers that failed this request.
	Exclude []shmodel.BackendServer
}

// Forward sends the attempt to another entry VM. A non-zero Credit belongs to
// a VM in another region.
type Forward struct {
	Attempt uint32
	VM      shmodel.VM
	Address string
	Credit  uint64
	Solo    bool
	Exclude []shmodel.BackendServer
}

// CancelAttempt cancels an attempt that was executed or forwarded: its Executor
// gets CallerGone. An AttemptResult must still follow.
type CancelAttempt struct{ Attempt uint32 }

// AskControl proposes a command to control.
type AskControl struct{ Command shcontrol.Command }

// AnswerCaller ends the request with an answer, or with outcome unknown and no
// answer. With Streamed set the body was already streamed to the caller.
type AnswerCaller struct {
	Outcome  shmodel.Outcome
	Reason   Reason
	Answer   shcontrol.Answer
	Replayed bool
	Attempt  uint32
	Streamed bool
}

// RefuseCaller ends the request with outcome not-run.
type RefuseCaller struct {
	Reason     Reason
	RetryAfter time.Duration
}

// StreamAnswer streams the answer of the attempt to the caller.
type StreamAnswer struct{ Attempt uint32 }

// AbortCaller ends the request by closing the caller's connection, because a
// streamed answer broke off.
type AbortCaller struct{}

// StartTimer starts a timer.
type StartTimer struct {
	ID    uint64
	After time.Duration
}

// Reserve asks the shslot.Table for a slot. Class Remote needs the credit that
// came with the forwarded request.
type Reserve struct{ Want shslot.ReservationRequest }

// Dispatch sends the attempt to the reserved backend server. The driver calls
// shslot.Table.Dispatch and checks that NotAfter has not passed by monotonic
// time immediately before it writes. Deadline and Reservation.Incarnation go
// into the headers; the backend server refuses to start the request after the
// deadline or in another incarnation. NewConnection forbids a pooled connection.
type Dispatch struct {
	Reservation   shslot.Reservation
	Attempt       uint32
	Deadline      time.Time
	NotAfter      time.Time
	NewConnection bool
}

// CancelAtBackend sends a cancellation to a backend server and closes the
// connection of the attempt, if this VM has one. The driver delivers the answer
// as an AttemptResult of the attempt, CancelDone if the backend server has
// another incarnation.
type CancelAtBackend struct {
	Address     string
	Incarnation uint64
	RequestID   shmodel.RequestID
	Attempt     uint32
}

// Release ends a reservation.
type Release struct {
	ID     shslot.ReservationID
	Result shslot.Result
}

// Report sends the result to the Receiver. An Executor emits it once; AskControl
// effects that close the claim may follow.
type Report struct{ Execution Execution }

func (WriteRecord) effect()     {}
func (Choose) effect()          {}
func (Execute) effect()         {}
func (Forward) effect()         {}
func (CancelAttempt) effect()   {}
func (AskControl) effect()      {}
func (AnswerCaller) effect()    {}
func (RefuseCaller) effect()    {}
func (StreamAnswer) effect()    {}
func (AbortCaller) effect()     {}
func (StartTimer) effect()      {}
func (Reserve) effect()         {}
func (Dispatch) effect()        {}
func (CancelAtBackend) effect() {}
func (Release) effect()         {}
func (Report) effect()          {}
