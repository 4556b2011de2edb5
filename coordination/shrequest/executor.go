package shrequest

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shmodel"
)

// Durations of an Executor.
const (
	// DispatchWindow is how long after the claim was requested the attempt may
	// be sent. Another VM that settles the claim waits that long.
	DispatchWindow = 250 * time.Millisecond
	// commandRetryPause is the pause before a command that control did not
	// answer is repeated. For CloseClaim the pause doubles with each repetition
	// up to maxCommandRetryPause.
	commandRetryPause    = 50 * time.Millisecond
	maxCommandRetryPause = time.Second
	// soloRetry is the pause before a solo run is tried again.
	soloRetry = 200 * time.Millisecond
	// cancelRetry is the pause between two cancellations of one attempt.
	cancelRetry = 200 * time.Millisecond
	// crashCheckTimeout covers shslot.LeaseDuration and one announcement
	// interval, after which it is known whether a broken connection is a
	// suspected crash.
	crashCheckTimeout = 2500 * time.Millisecond
)

// maxNotSuspectAnswers bounds the answers to OpenSolo that say that the digest
// is not suspect; after that many the request runs without a solo permission.
// The report of the crash that led to the solo run may not be committed yet. If
// the digest is no longer suspect, its request runs after half a second.
const maxNotSuspectAnswers = 10

// maxCancels bounds the cancellations without an answer. After that many the
// backend server is treated as unreachable.
const maxCancels = 3

type executorStage int

const (
	reserving executorStage = iota
	openingSolo
	claiming
	running
	cancelling
	closing
	awaitingCrashCheck
	executorFinished
)

// ExecutorOptions describes one attempt.
type ExecutorOptions struct {
	Request Request
	Attempt uint32
	// VM is the VM that runs this Executor.
	VM      shmodel.VM
	Class   shslot.Class
	Credit  shslot.CreditID
	Exclude []shmodel.BackendServer
	// ClockError bounds the difference of two wall clocks.
	ClockError time.Duration
}

// Executor runs one attempt on a backend server of its VM. Create it with
// NewExecutor.
type Executor struct {
	ExecutorOptions
	stage           executorStage
	reservation     shslot.Reservation
	lastTimerID     uint64
	deadlineTimerID uint64

	claimRequestedAt time.Time
	claim            shcontrol.OpenClaim
	// claimOpen is set while the claim is or may be open in control.
	claimOpen bool
	soloOpen  bool
	// result is reported to the Receiver once the claim is closed.
	result       Execution
	closeCommand shcontrol.CloseClaim
	cancels      int
	// notSuspectAnswers counts the SuspectNone answers to OpenSolo.
	notSuspectAnswers int
	closeRetryPause   time.Duration
	reported          bool
}

// NewExecutor starts an attempt and returns its first effects.
func NewExecutor(now time.Time, o ExecutorOptions) (*Executor, []Effect) {
	x := &Executor{ExecutorOptions: o}
	if !now.Before(o.Request.Deadline) {
		return x, x.notRun(ReasonDeadline)
	}
	x.lastTimerID++
	x.deadlineTimerID = x.lastTimerID
	return x, []Effect{
		StartTimer{ID: x.deadlineTimerID, After: o.Request.Deadline.Sub(now)},
		x.reserve(),
	}
}

// Finished reports whether the Executor has ended and ignores all events.
func (x *Executor) Finished() bool { return x.stage == executorFinished }

// Apply processes one event at time now.
func (x *Executor) Apply(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Reserved:
		return x.onReserved(now, e)
	case SoloReady:
		if x.stage == reserving {
			return []Effect{x.reserve()}
		}
	case ControlResult:
		return x.onControl(now, e)
	case AttemptResult:
		return x.onResult(now, e.Result)
	case AnswerStreaming:
		if x.stage == running {
			return []Effect{StreamAnswer{Attempt: x.Attempt}}
		}
	case CrashCheckResult:
		return x.onCrashCheck(e)
	case TimerFired:
		return x.onTimer(now, e.ID)
	case CallerGone:
		return x.onCallerGone()
	}
	return nil
}

func (x *Executor) reserve() Effect {
	return Reserve{Want: shslot.ReservationRequest{
		Service:   x.Request.Service,
		Class:     x.Class,
		Credit:    x.Credit,
		RequestID: x.Request.ID,
		Digest:    x.Request.Digest,
		Exclude:   x.Exclude,
	}}
}

func (x *Executor) solo() bool { return x.Class == shslot.Solo }

func (x *Executor) onReserved(now time.Time, e Reserved) []Effect {
	if x.stage != reserving {
		if e.OK {
			return []Effect{Release{ID: e.Reservation.ID, Result: shslot.NotDispatched}}
		}
		return nil
	}
	if !e.OK {
		if x.solo() {
			return []Effect{x.startTimer(soloRetry)}
		}
		return x.notRun(ReasonNoCapacity)
	}
	x.reservation = e.Reservation
	x.result.BackendServer = e.Reservation.BackendServer
	if x.solo() {
		x.stage = openingSolo
		return []Effect{x.openSolo()}
	}
	return x.claimOrDispatch(now)
}

func (x *Executor) openSolo() Effect {
	x.soloOpen = true
	return AskControl{Command: shcontrol.OpenSolo{
		Digest:    x.Request.Digest,
		RequestID: x.Request.ID,
		VM:        x.VM,
		Until:     x.Request.Deadline.Add(crashCheckTimeout),
	}}
}

// claimOrDispatch opens the claim of once-only work or dispatches an idempotent
// request. The slot and, for a solo run, the permission have been obtained.
func (x *Executor) claimOrDispatch(now time.Time) []Effect {
	if !x.Request.onceOnly() {
		return x.dispatch(x.Request.Deadline, x.Request.Deadline)
	}
	x.stage = claiming
	x.claimRequestedAt = now
	x.claimOpen = true
	x.claim = shcontrol.OpenClaim{
		Key:       x.Request.claimKey(),
		Digest:    x.Request.Digest,
		RequestID: x.Request.ID,
		Attempt: shcontrol.Attempt{
			Number:        x.Attempt,
			VM:            x.VM,
			BackendServer: x.reservation.BackendServer,
			Address:       x.reservation.Address,
			Incarnation:   x.reservation.Incarnation,
			// The backend server compares DispatchBy with its own clock, which
			// may be ahead by the clock error.
			DispatchBy: earlier(now.Add(DispatchWindow), x.Request.Deadline).Add(x.ClockError),
		},
	}
	return []Effect{AskControl{Command: x.claim}}
}

func (x *Executor) dispatch(deadline, notAfter time.Time) []Effect {
	x.stage = running
	x.result.Dispatched = true
	return []Effect{Dispatch{
		Reservation:   x.reservation,
		Attempt:       x.Attempt,
		Deadline:      deadline,
		NotAfter:      notAfter,
		NewConnection: x.Request.onceOnly() || x.Attempt > 1,
	}}
}

func (x *Executor) onControl(now time.Time, e ControlResult) []Effect {
	switch e.Command.(type) {
	case shcontrol.OpenSolo:
		if x.stage == openingSolo {
			return x.onSolo(now, e.Result)
		}
	case shcontrol.OpenClaim:
		if x.stage == claiming {
			return x.onClaim(now, e.Result)
		}
	case shcontrol.CloseClaim:
		if x.stage == closing {
			return x.onClosed(e.Result)
		}
	}
	return nil
}

func (x *Executor) onSolo(now time.Time, result shcontrol.Result) []Effect {
	r, ok := result.(shcontrol.SuspectResult)
	if !ok || len(r.Statuses) != 1 {
		return []Effect{x.startTimer(commandRetryPause)}
	}
	switch r.Statuses[0] {
	case shcontrol.SuspectGranted:
		return x.claimOrDispatch(now)
	case shcontrol.SuspectNone:
		if x.notSuspectAnswers++; x.notSuspectAnswers < maxNotSuspectAnswers {
			return []Effect{x.startTimer(commandRetryPause)}
		}
		x.soloOpen = false
		return x.claimOrDispatch(now)
	case shcontrol.SuspectQuarantined:
		x.soloOpen = false
		x.result.Final = true
		return x.notRun(ReasonQuarantined)
	default:
		x.soloOpen = false
		out := x.release(shslot.NotDispatched)
		x.stage = reserving
		return append(out, x.startTimer(soloRetry))
	}
}

func (x *Executor) onClaim(now time.Time, result shcontrol.Result) []Effect {
	r, ok := result.(shcontrol.ClaimResult)
	late := now.Sub(x.claimRequestedAt) > DispatchWindow || !now.Before(x.Request.Deadline)
	if !ok {
		if late {
			return x.notRun(ReasonNoControl)
		}
		return []Effect{x.startTimer(commandRetryPause)}
	}
	// A repeated OpenClaim finds the claim that an earlier copy of the command
	// opened. Only this Executor may send that attempt, and it has not yet.
	own := r.RequestID == x.Request.ID && r.Attempt.Number == x.Attempt && r.Attempt.VM == x.VM
	if r.Status == shcontrol.ClaimGranted || r.Status == shcontrol.ClaimInProgress && own {
		x.result.Claimed = true
		if late {
			return x.notRun(ReasonLateDispatch)
		}
		return x.dispatch(x.claim.Attempt.DispatchBy, x.claimRequestedAt.Add(DispatchWindow))
	}
	x.claimOpen = false
	return x.notGranted(r)
}

// notGranted ends the attempt with the outcome that follows from the existing
// claim of the key.
func (x *Executor) notGranted(r shcontrol.ClaimResult) []Effect {
	x.result.BackendServer = ""
	x.result.Final = true
	switch r.Status {
	case shcontrol.ClaimAnswered:
		x.result.Answer = r.Answer
		x.result.Bytes = int64(len(r.Answer.Body))
		x.result.Replayed = true
		return x.finish(shmodel.Answered, ReasonNone)
	case shcontrol.ClaimConflict:
		return x.finish(shmodel.NotRun, ReasonKeyConflict)
	case shcontrol.ClaimForbidden:
		return x.finish(shmodel.NotRun, ReasonSettled)
	case shcontrol.ClaimNotRun:
		x.result.Final = false
		return x.finish(shmodel.NotRun, ReasonSettled)
	case shcontrol.ClaimInProgress:
		x.result.Final = false
		return x.finish(shmodel.Unknown, ReasonInProgress)
	case shcontrol.ClaimUsedBefore:
		// An earlier request with the key may have run.
		return x.finish(shmodel.Unknown, ReasonKeyUsed)
	default:
		return x.finish(shmodel.Unknown, ReasonSettled)
	}
}

func (x *Executor) onResult(now time.Time, result Result) []Effect {
	if done, ok := result.(Complete); ok && (x.stage == running || x.stage == cancelling) {
		return x.complete(done)
	}
	switch x.stage {
	case running:
		return x.onAttempt(now, result)
	case cancelling:
		return x.onCanceled(now, result)
	default:
		return nil
	}
}

func (x *Executor) complete(done Complete) []Effect {
	out := x.release(shslot.Completed)
	out = append(out, x.closeSolo(true)...)
	x.result.Answer = done.Answer
	x.result.Bytes = done.Bytes
	if x.Request.onceOnly() {
		return append(out, x.closeClaim(shmodel.Answered, ReasonNone)...)
	}
	return append(out, x.finish(shmodel.Answered, ReasonNone)...)
}

// onAttempt handles the result of a running attempt that got no answer.
func (x *Executor) onAttempt(now time.Time, result Result) []Effect {
	switch result.(type) {
	case ConnectionRefused:
		out := x.release(shslot.NotRun)
		return append(out, x.notRun(ReasonUnreachable)...)
	case Shed:
		out := x.release(shslot.Shed)
		return append(out, x.notRun(ReasonShed)...)
	case NotSent:
		x.result.Dispatched = false
		out := x.release(shslot.NotDispatched)
		return append(out, x.notRun(ReasonLateDispatch)...)
	case ConnectionBroken:
		out := x.release(shslot.Broken)
		if x.Request.onceOnly() {
			return append(out, x.cancel())
		}
		x.stage = awaitingCrashCheck
		wait := min(crashCheckTimeout, x.Request.Deadline.Sub(now))
		return append(out, x.startTimer(wait))
	case FirstByteTimeout, IDMismatch:
		return []Effect{x.cancel()}
	default:
		return nil
	}
}

func (x *Executor) cancel() Effect {
	x.stage = cancelling
	x.cancels++
	return CancelAtBackend{
		Address:     x.reservation.Address,
		Incarnation: x.reservation.Incarnation,
		RequestID:   x.Request.ID,
		Attempt:     x.Attempt,
	}
}

// onCanceled handles the answer to a cancellation. The connection of the
// attempt is closed, so no answer can arrive any more, and the outcome of a
// request that runs or ran is unknown.
//
// Once-only work that may not have reached the backend server yet is cancelled
// again after the dispatch deadline, because a backend server that restarts
// forgets the first cancellation.
func (x *Executor) onCanceled(now time.Time, result Result) []Effect {
	switch result.(type) {
	case CancelNotRun:
		certain := x.claim.Attempt.DispatchBy.Add(x.ClockError)
		if x.Request.onceOnly() && !now.After(certain) {
			x.cancels = 0
			return []Effect{x.startTimer(certain.Sub(now) + time.Millisecond)}
		}
		out := x.release(shslot.NotRun)
		return append(out, x.notRun(ReasonCanceled)...)
	case CancelDone:
		out := x.release(shslot.Completed)
		out = append(out, x.closeSolo(false)...)
		return append(out, x.finishUnknown()...)
	case CancelRunning:
		return x.abandon()
	case CancelFailed:
		if x.Request.onceOnly() && x.cancels < maxCancels {
			return []Effect{x.startTimer(cancelRetry)}
		}
		return x.abandon()
	default:
		return nil
	}
}

// abandon ends an attempt that the backend server may still be running. The
// solo permission is not closed but expires, so that no other solo run overlaps
// with this one.
func (x *Executor) abandon() []Effect {
	x.soloOpen = false
	out := x.release(shslot.Abandoned)
	return append(out, x.finishUnknown()...)
}

// finishUnknown ends an attempt that ran or may have run and has no answer.
func (x *Executor) finishUnknown() []Effect {
	if x.Request.onceOnly() {
		return x.closeClaim(shmodel.Unknown, ReasonLostAnswer)
	}
	return x.finish(shmodel.Unknown, ReasonLostAnswer)
}

func (x *Executor) onCrashCheck(e CrashCheckResult) []Effect {
	if x.stage != awaitingCrashCheck {
		return nil
	}
	var out []Effect
	x.result.Crashed = e.Crashed
	reason := ReasonCrashed
	if !e.Crashed {
		reason = ReasonLostAnswer
		out = x.closeSolo(false)
	}
	return append(out, x.finish(shmodel.Unknown, reason)...)
}

// notRun ends an attempt that certainly did not run.
func (x *Executor) notRun(reason Reason) []Effect {
	out := x.release(shslot.NotDispatched)
	out = append(out, x.closeSolo(false)...)
	if x.claimOpen {
		return append(out, x.closeClaim(shmodel.NotRun, reason)...)
	}
	return append(out, x.finish(shmodel.NotRun, reason)...)
}

func (x *Executor) closeClaim(outcome shmodel.Outcome, reason Reason) []Effect {
	x.stage = closing
	x.result.Outcome = outcome
	x.result.Reason = reason
	x.closeCommand = shcontrol.CloseClaim{
		Key:       x.Request.claimKey(),
		RequestID: x.Request.ID,
		Attempt:   x.Attempt,
		Outcome:   outcome,
		Reason:    string(reason),
	}
	if outcome == shmodel.Answered {
		x.closeCommand.Answer = x.result.Answer
	}
	return []Effect{AskControl{Command: x.closeCommand}}
}

// onClosed reports the outcome once it is committed. If another VM settled the
// claim first, an answer is reported as unknown, which is final. Not-run is
// reported in any case, because the attempt certainly did not run.
func (x *Executor) onClosed(result shcontrol.Result) []Effect {
	if result == nil {
		x.closeRetryPause = min(max(commandRetryPause, 2*x.closeRetryPause), maxCommandRetryPause)
		return []Effect{x.startTimer(x.closeRetryPause)}
	}
	r, _ := result.(shcontrol.ClaimResult)
	own := r.RequestID == x.Request.ID && r.Attempt.Number == x.Attempt
	outcome, reason := x.result.Outcome, x.result.Reason
	switch {
	case outcome == shmodel.NotRun:
	case r.Status == shcontrol.ClaimAnswered && own && outcome == shmodel.Answered:
	default:
		outcome, reason = shmodel.Unknown, ReasonLostAnswer
		x.result.Final = true
	}
	return x.finish(outcome, reason)
}

// finish reports the outcome and ends the Executor.
func (x *Executor) finish(outcome shmodel.Outcome, reason Reason) []Effect {
	out := x.release(shslot.NotDispatched)
	if !x.result.Crashed {
		out = append(out, x.closeSolo(false)...)
	}
	x.stage = executorFinished
	return append(out, x.report(outcome, reason)...)
}

// report emits Report unless it was emitted before. The Executor may still have
// to close its claim afterwards.
func (x *Executor) report(outcome shmodel.Outcome, reason Reason) []Effect {
	if x.reported {
		return nil
	}
	x.reported = true
	x.result.Outcome = outcome
	x.result.Reason = reason
	out := x.result
	if outcome != shmodel.Answered {
		out.Answer = shcontrol.Answer{}
		out.Bytes = 0
	}
	return []Effect{Report{Execution: out}}
}

func (x *Executor) release(result shslot.Result) []Effect {
	if x.reservation.ID == 0 {
		return nil
	}
	id := x.reservation.ID
	x.reservation.ID = 0
	return []Effect{Release{ID: id, Result: result}}
}

func (x *Executor) closeSolo(succeeded bool) []Effect {
	if !x.soloOpen {
		return nil
	}
	x.soloOpen = false
	return []Effect{AskControl{Command: shcontrol.CloseSolo{
		Digest:    x.Request.Digest,
		RequestID: x.Request.ID,
		Succeeded: succeeded,
	}}}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (x *Executor) startTimer(after time.Duration) Effect {
	x.lastTimerID++
	return StartTimer{ID: x.lastTimerID, After: after}
}

func (x *Executor) onTimer(now time.Time, id uint64) []Effect {
	if id == x.deadlineTimerID {
		return x.onDeadline()
	}
	if id != x.lastTimerID {
		return nil
	}
	switch x.stage {
	case reserving:
		return []Effect{x.reserve()}
	case openingSolo:
		return []Effect{x.openSolo()}
	case claiming:
		if now.Sub(x.claimRequestedAt) > DispatchWindow {
			return x.notRun(ReasonNoControl)
		}
		return []Effect{AskControl{Command: x.claim}}
	case cancelling:
		return []Effect{x.cancel()}
	case closing:
		return []Effect{AskControl{Command: x.closeCommand}}
	case awaitingCrashCheck:
		// Without a result of the crash check, assume that the request crashed
		// the backend server.
		return x.onCrashCheck(CrashCheckResult{Crashed: true})
	default:
		return nil
	}
}

// onDeadline reports what is known at the deadline. The Executor of once-only
// work that was sent continues until its claim is closed.
func (x *Executor) onDeadline() []Effect {
	switch x.stage {
	case reserving, openingSolo:
		return x.notRun(ReasonDeadline)
	case claiming:
		out := x.notRun(ReasonDeadline)
		return append(out, x.report(shmodel.NotRun, ReasonDeadline)...)
	case running:
		if x.Request.onceOnly() {
			return x.report(shmodel.Unknown, ReasonDeadline)
		}
		return append(x.report(shmodel.Unknown, ReasonDeadline), x.cancel())
	case cancelling:
		return x.report(shmodel.Unknown, ReasonDeadline)
	case closing:
		return x.report(x.result.Outcome, x.result.Reason)
	case awaitingCrashCheck:
		return x.report(shmodel.Unknown, ReasonLostAnswer)
	default:
		return nil
	}
}

// onCallerGone ends an attempt that was not sent and cancels an idempotent one
// that was sent. Once-only work that was sent continues.
func (x *Executor) onCallerGone() []Effect {
	switch x.stage {
	case reserving, openingSolo, claiming:
		return x.notRun(ReasonCanceled)
	case running:
		if !x.Request.onceOnly() {
			return []Effect{x.cancel()}
		}
	}
	return nil
}
