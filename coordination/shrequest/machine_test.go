package shrequest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

func at(d time.Duration) time.Time { return start.Add(d) }

// find returns the first effect of type T.
func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func has[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	e, ok := find[T](effects)
	assert.Assert(t, ok, "want %T in %#v", e, effects)
	return e
}

func hasNot[T Effect](t *testing.T, effects []Effect) {
	t.Helper()
	e, ok := find[T](effects)
	assert.Assert(t, !ok, "unexpected %#v", e)
}

func testRequest(kind shmodel.OperationKind) Request {
	return Request{ID: 1, Service: "s", Operation: kind, Key: "k", Deadline: at(10 * time.Second)}
}

var (
	slotReserved = Reserved{OK: true, Reservation: shslot.Reservation{ID: 5, BackendServer: "b", Incarnation: 3, Address: "a"}}
	granted      = shcontrol.ClaimResult{Status: shcontrol.ClaimGranted}
)

// dispatchedExecutor returns an Executor whose attempt was dispatched and has no
// result yet.
func dispatchedExecutor(t *testing.T, kind shmodel.OperationKind) *Executor {
	t.Helper()
	x, _ := NewExecutor(at(0), ExecutorOptions{Request: testRequest(kind), Attempt: 1, VM: "v"})
	out := x.Apply(at(0), slotReserved)
	if kind == shmodel.OnceOnly {
		open := has[AskControl](t, out).Command
		out = x.Apply(at(10*ms), ControlResult{Command: open, Result: granted})
	}
	has[Dispatch](t, out)
	return x
}

// Guards against confusing the results of attempts: the slot must be released
// with the matching result, and not-run be reported or recorded only if the
// attempt certainly did not run.
func TestAttemptResults(t *testing.T) {
	for _, c := range []struct {
		result  Result
		release shslot.Result
		// once is the outcome in CloseClaim, and idempotent the reported one.
		// Empty means that the Executor first waits for another event.
		once, idempotent shmodel.Outcome
	}{
		{Complete{}, shslot.Completed, shmodel.Answered, shmodel.Answered},
		{ConnectionRefused{}, shslot.NotRun, shmodel.NotRun, shmodel.NotRun},
		{Shed{}, shslot.Shed, shmodel.NotRun, shmodel.NotRun},
		{NotSent{}, shslot.NotDispatched, shmodel.NotRun, shmodel.NotRun},
		{ConnectionBroken{}, shslot.Broken, "", ""},
	} {
		t.Run(fmt.Sprintf("%T", c.result), func(t *testing.T) {
			once := dispatchedExecutor(t, shmodel.OnceOnly).Apply(at(20*ms), AttemptResult{Attempt: 1, Result: c.result})
			assert.Equal(t, has[Release](t, once).Result, c.release)
			hasNot[Report](t, once)
			if c.once != "" {
				assert.Equal(t, has[AskControl](t, once).Command.(shcontrol.CloseClaim).Outcome, c.once)
			} else {
				has[CancelAtBackend](t, once)
			}
			idempotent := dispatchedExecutor(t, shmodel.Idempotent).Apply(at(20*ms), AttemptResult{Attempt: 1, Result: c.result})
			assert.Equal(t, has[Release](t, idempotent).Result, c.release)
			report, reported := find[Report](idempotent)
			assert.Equal(t, report.Execution.Outcome, c.idempotent)
			assert.Equal(t, reported, c.idempotent != "")
		})
	}
}

// Guards against a claim of an uncertain attempt that is closed without a
// cancellation at the backend server, and against misinterpreting the answer to
// the cancellation.
func TestCancellationResults(t *testing.T) {
	for _, uncertain := range []Result{FirstByteTimeout{}, IDMismatch{}, ConnectionBroken{}} {
		for _, c := range []struct {
			result  Result
			outcome shmodel.Outcome
		}{
			{CancelNotRun{}, shmodel.NotRun},
			{CancelRunning{}, shmodel.Unknown},
			{CancelDone{}, shmodel.Unknown},
			{CancelFailed{}, ""},
		} {
			t.Run(fmt.Sprintf("%T %T", uncertain, c.result), func(t *testing.T) {
				x := dispatchedExecutor(t, shmodel.OnceOnly)
				has[CancelAtBackend](t, x.Apply(at(20*ms), AttemptResult{Attempt: 1, Result: uncertain}))
				out := x.Apply(at(time.Second), AttemptResult{Attempt: 1, Result: c.result})
				if c.outcome == "" {
					has[StartTimer](t, out)
					return
				}
				assert.Equal(t, has[AskControl](t, out).Command.(shcontrol.CloseClaim).Outcome, c.outcome)
			})
		}
	}
}

// Guards against an attempt that is sent after another VM may have settled it.
func TestDispatchWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sent  bool
	}{{DispatchWindow, true}, {DispatchWindow + ms, false}} {
		x, _ := NewExecutor(at(0), ExecutorOptions{Request: testRequest(shmodel.OnceOnly), Attempt: 1, VM: "v"})
		open := has[AskControl](t, x.Apply(at(0), slotReserved)).Command
		out := x.Apply(at(c.after), ControlResult{Command: open, Result: granted})
		if c.sent {
			d := has[Dispatch](t, out)
			assert.Equal(t, d.NotAfter, at(DispatchWindow))
			assert.Equal(t, d.Deadline, at(DispatchWindow))
			assert.Assert(t, d.NewConnection)
			continue
		}
		hasNot[Dispatch](t, out)
		assert.Equal(t, has[AskControl](t, out).Command.(shcontrol.CloseClaim).Outcome, shmodel.NotRun)
	}
}

// Guards against a dispatch without a granted claim.
func TestClaimNotGranted(t *testing.T) {
	other := shcontrol.Attempt{Number: 1, VM: "w"}
	for status, want := range map[shcontrol.ClaimStatus]shmodel.Outcome{
		shcontrol.ClaimInProgress: shmodel.Unknown,
		shcontrol.ClaimAnswered:   shmodel.Answered,
		shcontrol.ClaimUnknown:    shmodel.Unknown,
		shcontrol.ClaimNotRun:     shmodel.NotRun,
		shcontrol.ClaimConflict:   shmodel.NotRun,
		shcontrol.ClaimUsedBefore: shmodel.Unknown,
		shcontrol.ClaimForbidden:  shmodel.NotRun,
	} {
		x, _ := NewExecutor(at(0), ExecutorOptions{Request: testRequest(shmodel.OnceOnly), Attempt: 1, VM: "v"})
		open := has[AskControl](t, x.Apply(at(0), slotReserved)).Command
		out := x.Apply(at(ms), ControlResult{Command: open, Result: shcontrol.ClaimResult{Status: status, RequestID: 9, Attempt: other}})
		hasNot[Dispatch](t, out)
		assert.Equal(t, has[Release](t, out).Result, shslot.NotDispatched)
		assert.Equal(t, has[Report](t, out).Execution.Outcome, want, string(status))
	}
}

// Guards against reporting an answer although another VM has already settled the
// claim as unknown.
func TestSettledBeforeClose(t *testing.T) {
	x := dispatchedExecutor(t, shmodel.OnceOnly)
	closing := has[AskControl](t, x.Apply(at(20*ms), AttemptResult{Attempt: 1, Result: Complete{}})).Command
	settled := shcontrol.ClaimResult{Status: shcontrol.ClaimUnknown, RequestID: 1, Attempt: shcontrol.Attempt{Number: 1}}
	out := x.Apply(at(30*ms), ControlResult{Command: closing, Result: settled})
	assert.Equal(t, has[Report](t, out).Execution.Outcome, shmodel.Unknown)
}

// forwardedReceiver returns a Receiver whose first attempt was forwarded to VM w.
func forwardedReceiver(t *testing.T, kind shmodel.OperationKind) *Receiver {
	t.Helper()
	r := NewReceiver(ReceiverOptions{Request: testRequest(kind), VM: "v", Region: "r", ClockError: clockError})
	id := has[Choose](t, r.Apply(at(0), Admitted{HedgeAfter: 30 * ms})).ID
	opened := has[WriteRecord](t, r.Apply(at(0), ChoiceMade{ID: id, Choice: shrouting.Forward{VM: "w"}}))
	assert.Assert(t, opened.Await && opened.Record.Kind == shrecord.Opened)
	assert.Equal(t, opened.Durable, kind == shmodel.OnceOnly)
	has[Forward](t, r.Apply(at(0), RecordCopied{Kind: shrecord.Opened}))
	return r
}

func executedResult(number uint32, x Execution) AttemptResult {
	return AttemptResult{Attempt: number, Result: Executed{Execution: x}}
}

// Guards against a refusal without a record, and a record of a refusal that
// looks like an opened request.
func TestRefusal(t *testing.T) {
	r := NewReceiver(ReceiverOptions{Request: testRequest(shmodel.Idempotent)})
	id := has[Choose](t, r.Apply(at(0), Admitted{})).ID
	out := r.Apply(at(0), ChoiceMade{ID: id, Choice: shrouting.Refuse{RetryAfter: time.Second}})
	assert.Equal(t, has[WriteRecord](t, out).Record.Kind, shrecord.Refused)
	hasNot[RefuseCaller](t, out)
	has[RefuseCaller](t, r.Apply(at(0), RecordCopied{Kind: shrecord.Refused}))
}

// Guards against retries without budget or after the deadline, and against
// taking an attempt from the retry budget although nothing was sent.
func TestRetries(t *testing.T) {
	r := forwardedReceiver(t, shmodel.Idempotent)
	retry := has[Choose](t, r.Apply(at(ms), AttemptResult{Attempt: 1, Result: ConnectionBroken{}}))
	assert.Assert(t, retry.Retry)
	assert.DeepEqual(t, retry.Tried, []shmodel.VM{"w"})
	hasNot[Choose](t, r.Apply(at(ms), executedResult(1, Execution{Outcome: shmodel.NotRun})))
	out := r.Apply(at(ms), BudgetDenied{ID: retry.ID})
	assert.Equal(t, has[AnswerCaller](t, out).Outcome, shmodel.Unknown)

	r = forwardedReceiver(t, shmodel.Idempotent)
	retry = has[Choose](t, r.Apply(at(ms), executedResult(1, Execution{Outcome: shmodel.NotRun, Reason: ReasonNoCapacity})))
	assert.Assert(t, !retry.Retry, "nothing was sent")

	r = forwardedReceiver(t, shmodel.Idempotent)
	out = r.Apply(at(11*time.Second), AttemptResult{Attempt: 1, Result: ConnectionRefused{}})
	has[RefuseCaller](t, out)
}

// Guards against a request that waits until its deadline although the only VM
// that could run it has free slots again.
func TestTriedVMIsAskedAgain(t *testing.T) {
	r := forwardedReceiver(t, shmodel.Idempotent)
	refused := Execution{Outcome: shmodel.NotRun, Reason: ReasonNoCapacity}
	choose := has[Choose](t, r.Apply(at(ms), executedResult(1, refused)))
	assert.DeepEqual(t, choose.Tried, []shmodel.VM{"w"})
	pause := has[StartTimer](t, r.Apply(at(ms), ChoiceMade{ID: choose.ID, Choice: shrouting.Wait{Expected: 20 * ms}}))
	choose = has[Choose](t, r.Apply(at(21*ms), TimerFired{ID: pause.ID}))
	assert.Equal(t, len(choose.Tried), 0)
}

// Guards against a gap in the attempt numbers of the records after an attempt
// that was not sent: verification of the account reports it as a lost record.
func TestEveryAttemptHasRecord(t *testing.T) {
	r := forwardedReceiver(t, shmodel.Idempotent)
	out := r.Apply(at(ms), AttemptResult{Attempt: 1, Result: ConnectionRefused{}})
	assert.Equal(t, has[WriteRecord](t, out).Record.Attempt, uint32(1))
	assert.Equal(t, has[WriteRecord](t, out).Record.Outcome, shmodel.NotRun)
	r.Apply(at(ms), ChoiceMade{ID: has[Choose](t, out).ID, Choice: shrouting.ServeOwn{}})
	out = r.Apply(at(2*ms), executedResult(2, Execution{Outcome: shmodel.Answered, Dispatched: true}))
	assert.Equal(t, has[WriteRecord](t, out).Record.Attempt, uint32(2))
}

// Guards against hedges that are not cancelled, or whose late answer is sent to
// the caller.
func TestHedge(t *testing.T) {
	r := forwardedReceiver(t, shmodel.Idempotent)
	hedge := has[Choose](t, r.Apply(at(30*ms), TimerFired{ID: r.hedgeTimerID}))
	assert.Assert(t, hedge.Hedge)
	has[Execute](t, r.Apply(at(30*ms), ChoiceMade{ID: hedge.ID, Choice: shrouting.ServeOwn{}}))
	out := r.Apply(at(40*ms), executedResult(2, Execution{Outcome: shmodel.Answered, Dispatched: true}))
	assert.Equal(t, has[CancelAttempt](t, out).Attempt, uint32(1))
	assert.Equal(t, has[AnswerCaller](t, out).Attempt, uint32(2))
	assert.Equal(t, len(r.Apply(at(50*ms), executedResult(1, Execution{Outcome: shmodel.Answered}))), 0)
	hasNot[Choose](t, forwardedReceiver(t, shmodel.OnceOnly).Apply(at(30*ms), TimerFired{ID: r.hedgeTimerID}))
}

// Guards against a streamed answer that breaks off and that the caller takes for
// a complete one.
func TestStreamedAnswerBreaks(t *testing.T) {
	r := forwardedReceiver(t, shmodel.Idempotent)
	has[StreamAnswer](t, r.Apply(at(ms), AnswerStreaming{Attempt: 1}))
	assert.Equal(t, len(r.Apply(at(11*time.Second), TimerFired{ID: r.deadlineTimerID})), 0)
	out := r.Apply(at(11*time.Second), AttemptResult{Attempt: 1, Result: ConnectionBroken{}})
	has[AbortCaller](t, out)
	hasNot[Choose](t, out)
}

// Guards against a settlement that cancels before the dispatch deadline has
// passed even on the slowest clock, that takes an earlier claim for the latest,
// or that retries a request whose claims are forbidden.
func TestSettlement(t *testing.T) {
	settle := func(r *Receiver, now time.Duration, c shcontrol.ClaimResult) []Effect {
		return r.Apply(at(now), ControlResult{Command: r.settlement.pending, Result: c})
	}
	mine := shcontrol.ClaimResult{RequestID: 1, Attempt: shcontrol.Attempt{Number: 1, Address: "a", DispatchBy: at(time.Second)}}
	with := func(s shcontrol.ClaimStatus) shcontrol.ClaimResult {
		c := mine
		c.Status = s
		return c
	}
	begin := func() *Receiver {
		r := forwardedReceiver(t, shmodel.OnceOnly)
		out := r.Apply(at(ms), AttemptResult{Attempt: 1, Result: ConnectionBroken{}})
		assert.Equal(t, has[AskControl](t, out).Command.(shcontrol.SettleClaim).RequestID, shmodel.RequestID(1))
		return r
	}
	assert.Equal(t, has[RefuseCaller](t, settle(begin(), 2*ms, with(shcontrol.ClaimForbidden))).Reason, ReasonSettled)
	has[Choose](t, settle(begin(), 2*ms, with(shcontrol.ClaimNotRun)))
	assert.Equal(t, has[AnswerCaller](t, settle(begin(), 2*ms, with(shcontrol.ClaimUnknown))).Outcome, shmodel.Unknown)
	assert.Equal(t, has[AnswerCaller](t, settle(begin(), 2*ms, with(shcontrol.ClaimAnswered))).Outcome, shmodel.Answered)
	hasNot[CancelAtBackend](t, settle(begin(), time.Second+clockError, with(shcontrol.ClaimInProgress)))
	r := begin()
	has[CancelAtBackend](t, settle(r, time.Second+clockError+ms, with(shcontrol.ClaimInProgress)))
	out := r.Apply(at(2*time.Second), AttemptResult{Attempt: 1, Result: CancelNotRun{}})
	assert.Equal(t, has[AskControl](t, out).Command.(shcontrol.CloseClaim).Outcome, shmodel.NotRun)

	// The claim of attempt 1 did not run; attempt 2 may still get one.
	r = begin()
	choose := has[Choose](t, settle(r, 2*ms, with(shcontrol.ClaimNotRun)))
	r.Apply(at(3*ms), ChoiceMade{ID: choose.ID, Choice: shrouting.Forward{VM: "w"}})
	r.Apply(at(4*ms), CallerGone{})
	r.Apply(at(4*ms), AttemptResult{Attempt: 2, Result: ConnectionBroken{}})
	assert.Equal(t, has[AnswerCaller](t, settle(r, 5*ms, with(shcontrol.ClaimNotRun))).Outcome, shmodel.Unknown)
}

// Guards against refusing a request as not run, because no slot is free, while a
// request with the same key ran or is in progress, and against answering it with
// the answer to a different request.
func TestKeyLookedUpBeforeRefusal(t *testing.T) {
	refused := func(status shcontrol.ClaimStatus) (*Receiver, []Effect) {
		r := NewReceiver(ReceiverOptions{Request: testRequest(shmodel.OnceOnly)})
		id := has[Choose](t, r.Apply(at(0), Admitted{})).ID
		out := r.Apply(at(0), ChoiceMade{ID: id, Choice: shrouting.Refuse{}})
		hasNot[WriteRecord](t, out)
		c := has[AskControl](t, out).Command.(shcontrol.SettleClaim)
		assert.Equal(t, c.Digest, r.Request.Digest)
		claim := shcontrol.ClaimResult{Status: status, RequestID: 9, Attempt: shcontrol.Attempt{DispatchBy: at(time.Second)}}
		return r, r.Apply(at(ms), ControlResult{Command: c, Result: claim})
	}
	for status, reason := range map[shcontrol.ClaimStatus]Reason{
		shcontrol.ClaimForbidden: ReasonNoCapacity, shcontrol.ClaimNotRun: ReasonNoCapacity, shcontrol.ClaimConflict: ReasonKeyConflict,
	} {
		r, out := refused(status)
		assert.Equal(t, has[WriteRecord](t, out).Record.Kind, shrecord.Refused)
		assert.Equal(t, has[RefuseCaller](t, r.Apply(at(ms), RecordCopied{Kind: shrecord.Refused})).Reason, reason)
	}
	for status, outcome := range map[shcontrol.ClaimStatus]shmodel.Outcome{
		shcontrol.ClaimAnswered: shmodel.Answered, shcontrol.ClaimUnknown: shmodel.Unknown, shcontrol.ClaimUsedBefore: shmodel.Unknown,
	} {
		_, out := refused(status)
		assert.Equal(t, has[WriteRecord](t, out).Record.Kind, shrecord.Opened)
		assert.Equal(t, has[AnswerCaller](t, out).Outcome, outcome)
	}
	r, out := refused(shcontrol.ClaimInProgress)
	has[StartTimer](t, out)
	assert.Equal(t, has[AnswerCaller](t, r.Apply(at(11*time.Second), TimerFired{ID: r.deadlineTimerID})).Outcome, shmodel.Unknown)
}

// Guards against a dispatch deadline that a backend server whose clock is ahead
// by the clock error takes for past, so that it refuses every once-only request.
func TestDispatchDeadlineAllowsForClockError(t *testing.T) {
	const clockError = 500 * ms
	x, _ := NewExecutor(at(0), ExecutorOptions{Request: testRequest(shmodel.OnceOnly), Attempt: 1, VM: "v", ClockError: clockError})
	open := has[AskControl](t, x.Apply(at(0), slotReserved)).Command
	send := has[Dispatch](t, x.Apply(at(10*ms), ControlResult{Command: open, Result: granted}))
	assert.Assert(t, !send.Deadline.Before(send.NotAfter.Add(clockError)))
}

// Guards against a solo run that starts before the report of the crash that led
// to it is committed, so that another entry VM runs the request at the same time.
func TestSoloWaitsForCrashReport(t *testing.T) {
	x, _ := NewExecutor(at(0), ExecutorOptions{Request: testRequest(shmodel.Idempotent), Attempt: 2, VM: "v", Class: shslot.Solo})
	open := has[AskControl](t, x.Apply(at(0), slotReserved)).Command
	none := ControlResult{Command: open, Result: shcontrol.SuspectResult{Statuses: []shcontrol.SuspectStatus{shcontrol.SuspectNone}}}
	out := x.Apply(at(10*ms), none)
	hasNot[Dispatch](t, out)
	open = has[AskControl](t, x.Apply(at(60*ms), TimerFired{ID: has[StartTimer](t, out).ID})).Command
	solo := ControlResult{Command: open, Result: shcontrol.SuspectResult{Statuses: []shcontrol.SuspectStatus{shcontrol.SuspectGranted}}}
	has[Dispatch](t, x.Apply(at(70*ms), solo))
}

// Guards against a request that runs at the same time as the solo run of the
// same digest, which has status busy for that time.
func TestSuspectRunsAlone(t *testing.T) {
	for _, status := range []shcontrol.SuspectStatus{shcontrol.SuspectSolo, shcontrol.SuspectBusy} {
		r := NewReceiver(ReceiverOptions{Request: testRequest(shmodel.Idempotent), VM: "v", Region: "r"})
		id := has[Choose](t, r.Apply(at(0), Admitted{Suspect: status, HedgeAfter: 30 * ms})).ID
		r.Apply(at(0), ChoiceMade{ID: id, Choice: shrouting.Forward{VM: "w"}})
		out := r.Apply(at(0), RecordCopied{Kind: shrecord.Opened})
		assert.Assert(t, has[Forward](t, out).Solo, "%s", status)
		if hedge, ok := find[StartTimer](out); ok {
			hasNot[Choose](t, r.Apply(at(30*ms), TimerFired{ID: hedge.ID}))
		}
	}
}
