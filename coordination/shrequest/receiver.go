package shrequest

import (
	"slices"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Durations of a Receiver.
const (
	// deadlineGrace is added to the deadline of the Receiver, so that a report
	// that an Executor sends at the deadline arrives first.
	deadlineGrace = 50 * time.Millisecond
	// maxWait bounds a wait for a slot. The Receiver is not notified of slots
	// that become free on other VMs and has to ask for another choice.
	maxWait = 50 * time.Millisecond
	// noSlotPause is the pause before another choice if the chosen slot was
	// taken in the meantime.
	noSlotPause = 5 * time.Millisecond
	// noControlPause is the pause between attempts while control does not answer.
	noControlPause = 250 * time.Millisecond
)

// Bounds for one request. The retry budget bounds the retries of all requests
// together.
const (
	// maxSent bounds the attempts that were sent, hedges included.
	maxSent = 5
	// maxAttempts bounds all attempts. Those beyond maxSent end without being
	// sent, because a slot was taken in the meantime or control did not answer.
	maxAttempts = 64
)

type receiverStage int

const (
	starting receiverStage = iota
	choosing
	waiting
	opening
	attempting
	settling
	refusing
	receiverFinished
)

type attemptState int

const (
	inProgress attemptState = iota
	outcomeUnknown
	notRun
	answered
)

// attempt is one attempt; its number is its index plus one.
type attempt struct {
	vm      shmodel.VM
	region  shmodel.Region
	local   bool
	solo    bool
	started time.Time
	state   attemptState
}

// ReceiverOptions describes the entry VM that received a request.
type ReceiverOptions struct {
	Request Request
	VM      shmodel.VM
	Region  shmodel.Region
	// ClockError bounds the difference of two wall clocks.
	ClockError time.Duration
}

// Receiver handles one request at the entry VM that received it. Create it with
// NewReceiver; the first event is Admitted.
type Receiver struct {
	ReceiverOptions
	stage      receiverStage
	suspect    shcontrol.SuspectStatus
	hedgeAfter time.Duration
	started    time.Time
	choice     shrouting.Choice
	sent       int
	opened     bool
	attempts   []attempt
	tried      []shmodel.VM
	exclude    []shmodel.BackendServer
	// streaming is the number of the attempt whose answer is streamed to the
	// caller; zero means none.
	streaming  uint32
	callerGone bool
	settlement settlement
	refusal    RefuseCaller
	// deferredRefusal is the refusal that waits until the key has been looked
	// up. It is sent unless the lookup yields another outcome.
	deferredRefusal RefuseCaller
	// keyTaken says that another request with the key ran or may run.
	keyTaken bool

	choiceID        uint64
	lastTimerID     uint64
	deadlineTimerID uint64
	hedgeTimerID    uint64
	stageTimerID    uint64
}

// NewReceiver returns a Receiver that waits for Admitted.
func NewReceiver(o ReceiverOptions) *Receiver { return &Receiver{ReceiverOptions: o} }

// Finished reports whether the outcome was sent to the caller. Further events
// are ignored.
func (r *Receiver) Finished() bool { return r.stage == receiverFinished }

// Apply processes one event at time now.
func (r *Receiver) Apply(now time.Time, e Event) []Effect {
	if r.stage == receiverFinished {
		return nil
	}
	switch e := e.(type) {
	case Admitted:
		return r.onAdmitted(now, e)
	case ChoiceMade:
		return r.onChoice(now, e)
	case BudgetDenied:
		return r.onBudgetDenied(now, e.ID)
	case RecordCopied:
		return r.onRecord(now, e.Kind, true)
	case RecordFailed:
		return r.onRecord(now, e.Kind, false)
	case AttemptResult:
		if r.stage == settling {
			return r.onCanceled(now, e.Result)
		}
		return r.onAttempt(now, e)
	case AnswerStreaming:
		return r.onStreaming(e.Attempt)
	case ControlResult:
		if r.stage == settling {
			return r.onSettled(now, e.Result)
		}
	case TimerFired:
		return r.onTimer(now, e.ID)
	case CallerGone:
		return r.onCallerGone(now)
	case SuspectChanged:
		r.suspect = e.Status
		if e.Status == shcontrol.SuspectQuarantined && (r.stage == choosing || r.stage == waiting) {
			return r.finish(now, ReasonQuarantined, 0)
		}
	}
	return nil
}

func (r *Receiver) onAdmitted(now time.Time, e Admitted) []Effect {
	if r.stage != starting {
		return nil
	}
	r.started = now
	r.suspect = e.Suspect
	r.hedgeAfter = e.HedgeAfter
	if e.Suspect == shcontrol.SuspectQuarantined {
		return r.finish(now, ReasonQuarantined, 0)
	}
	if !now.Before(r.Request.Deadline) {
		return r.finish(now, ReasonDeadline, 0)
	}
	out := []Effect{r.startTimer(&r.deadlineTimerID, r.Request.Deadline.Add(deadlineGrace).Sub(now))}
	return append(out, r.choose(false))
}

func (r *Receiver) choose(retry bool) Effect {
	r.stage = choosing
	r.choiceID++
	return Choose{ID: r.choiceID, Tried: slices.Clone(r.tried), Retry: retry}
}

func (r *Receiver) onChoice(now time.Time, e ChoiceMade) []Effect {
	if e.ID != r.choiceID {
		return nil
	}
	c := e.Choice
	_, waits := c.(shrouting.Wait)
	refused, refuses := c.(shrouting.Refuse)
	if r.stage == attempting {
		// A hedge is sent immediately or not at all.
		r.choiceID++
		if waits || refuses || r.streaming != 0 {
			return nil
		}
		return r.startAttempt(now, c)
	}
	if r.stage != choosing && r.stage != waiting {
		return nil
	}
	if refuses {
		return r.finish(now, ReasonNoCapacity, refused.RetryAfter)
	}
	if waits {
		return r.wait(min(c.(shrouting.Wait).Expected, maxWait))
	}
	if r.opened {
		return r.startAttempt(now, c)
	}
	r.stage = opening
	r.choice = c
	return []Effect{WriteRecord{Record: r.record(shrecord.Opened), Await: true, Durable: r.Request.onceOnly()}}
}

// wait asks for another choice after a pause, unless a ChoiceMade comes earlier.
// It clears the list of tried VMs, because the only owner of a service may have
// been without a free slot only briefly.
func (r *Receiver) wait(pause time.Duration) []Effect {
	r.stage = waiting
	r.tried = nil
	return []Effect{r.startTimer(&r.stageTimerID, pause)}
}

func (r *Receiver) onRecord(now time.Time, kind shrecord.Kind, copied bool) []Effect {
	switch {
	case kind == shrecord.Opened && r.stage == opening && copied:
		r.opened = true
		return r.startAttempt(now, r.choice)
	case kind == shrecord.Opened && r.stage == opening:
		return r.finish(now, ReasonNoRecord, 0)
	case kind == shrecord.Refused && r.stage == refusing:
		// The refusal is sent even if no account VM took its record.
		r.stage = receiverFinished
		return []Effect{r.refusal}
	}
	return nil
}

// startAttempt starts the next attempt.
func (r *Receiver) startAttempt(now time.Time, c shrouting.Choice) []Effect {
	if !now.Before(r.Request.Deadline) {
		return r.finish(now, ReasonDeadline, 0)
	}
	if r.suspect == shcontrol.SuspectQuarantined {
		return r.finish(now, ReasonQuarantined, 0)
	}
	first := len(r.attempts) == 0
	number := uint32(len(r.attempts) + 1)
	a := attempt{vm: r.VM, region: r.Region, solo: r.mustRunSolo(), started: now}
	var out []Effect
	switch c := c.(type) {
	case shrouting.ServeOwn:
		a.local = true
		out = []Effect{Execute{Attempt: number, Solo: a.solo, Exclude: slices.Clone(r.exclude)}}
	case shrouting.Forward:
		a.vm = c.VM
		out = []Effect{Forward{Attempt: number, VM: c.VM, Address: c.Address, Solo: a.solo, Exclude: slices.Clone(r.exclude)}}
	case shrouting.Shift:
		a.vm = c.VM
		a.region = c.Region
		handed := r.record(shrecord.HandedOver)
		handed.Attempt = number
		handed.ToRegion = c.Region
		out = []Effect{
			WriteRecord{Record: handed},
			Forward{Attempt: number, VM: c.VM, Address: c.Address, Credit: c.Credit, Solo: a.solo, Exclude: slices.Clone(r.exclude)},
		}
	default:
		return nil
	}
	r.stage = attempting
	r.attempts = append(r.attempts, a)
	if first && r.hedgeAfter > 0 && !r.Request.onceOnly() && !a.solo {
		out = append(out, r.startTimer(&r.hedgeTimerID, r.hedgeAfter))
	}
	return out
}

func (r *Receiver) onAttempt(now time.Time, e AttemptResult) []Effect {
	if e.Attempt == 0 || int(e.Attempt) > len(r.attempts) {
		return nil
	}
	a := &r.attempts[e.Attempt-1]
	if a.state != inProgress {
		return nil
	}
	x := classify(e.Result)
	a.state = stateOf(x.Outcome)
	// An attempt that was not sent has a record too: attempts are numbered
	// without gaps, so that a missing record can be detected.
	out := []Effect{r.attemptRecord(now, e.Attempt, x)}
	if x.Dispatched {
		r.sent++
	}
	if x.Outcome == shmodel.Answered {
		return append(out, r.answer(now, e.Attempt, x)...)
	}
	if r.streaming == e.Attempt {
		return append(out, r.abort(now)...)
	}
	r.onFailedAttempt(e.Attempt, x)
	if r.countInProgress() > 0 {
		return out
	}
	return append(out, r.decideNext(now, e.Attempt, x)...)
}

// classify turns the result of an attempt into an execution. Without the report
// of an Executor the outcome is unknown, unless the result proves that the
// attempt did not run.
func classify(result Result) Execution {
	switch result := result.(type) {
	case Executed:
		return result.Execution
	case ConnectionRefused:
		return Execution{Outcome: shmodel.NotRun, Reason: ReasonUnreachable}
	case Shed:
		return Execution{Outcome: shmodel.NotRun, Reason: ReasonShed}
	case NotSent:
		return Execution{Outcome: shmodel.NotRun, Reason: ReasonLateDispatch}
	default:
		return Execution{Outcome: shmodel.Unknown, Reason: ReasonLostAnswer, Dispatched: true}
	}
}

func stateOf(o shmodel.Outcome) attemptState {
	switch o {
	case shmodel.Answered:
		return answered
	case shmodel.NotRun:
		return notRun
	default:
		return outcomeUnknown
	}
}

// onFailedAttempt updates the state after an attempt without an answer: the
// outcomes of earlier attempts, the backend servers and VMs to avoid, and the
// suspect status.
func (r *Receiver) onFailedAttempt(number uint32, x Execution) {
	a := r.attempts[number-1]
	if x.Claimed {
		// Control grants a claim only if no claim of an earlier attempt is in
		// progress, and grants none to an earlier attempt afterwards.
		r.markNotRunBefore(number)
	}
	if x.BackendServer != "" {
		r.exclude = append(r.exclude, x.BackendServer)
	}
	if !a.local {
		r.tried = append(r.tried, a.vm)
	}
	if x.Crashed && r.suspect != shcontrol.SuspectQuarantined {
		r.suspect = shcontrol.SuspectSolo
	}
}

// mustRunSolo reports whether the digest is suspect. A request whose digest is
// busy waits for the solo run in progress.
func (r *Receiver) mustRunSolo() bool {
	return r.suspect == shcontrol.SuspectSolo || r.suspect == shcontrol.SuspectBusy
}

// markNotRunBefore records that the earlier attempts with an unknown outcome
// did not run.
func (r *Receiver) markNotRunBefore(number uint32) {
	for i := range r.attempts[:number-1] {
		if r.attempts[i].state == outcomeUnknown {
			r.attempts[i].state = notRun
		}
	}
}

// decideNext settles, retries or ends the request when no attempt is in
// progress.
func (r *Receiver) decideNext(now time.Time, number uint32, x Execution) []Effect {
	a := r.attempts[number-1]
	if r.Request.onceOnly() && a.state == outcomeUnknown && !x.Final {
		return r.beginSettlement(now)
	}
	over := x.Final || a.solo && x.Crashed || r.suspect == shcontrol.SuspectQuarantined
	if over || !r.mayRetry(now) {
		return r.finish(now, x.Reason, 0)
	}
	if !x.Dispatched && a.local {
		if x.Reason == ReasonNoControl {
			return r.wait(noControlPause)
		}
		return r.wait(noSlotPause)
	}
	return []Effect{r.choose(x.Dispatched || x.Reason == ReasonUnreachable)}
}

func (r *Receiver) mayRetry(now time.Time) bool {
	return !r.callerGone && now.Before(r.Request.Deadline) && r.sent < maxSent && len(r.attempts) < maxAttempts
}

func (r *Receiver) countInProgress() int {
	n := 0
	for _, a := range r.attempts {
		if a.state == inProgress {
			n++
		}
	}
	return n
}

func (r *Receiver) onBudgetDenied(now time.Time, id uint64) []Effect {
	if r.stage != choosing || id != r.choiceID {
		return nil
	}
	return r.finish(now, ReasonRetryBudget, time.Second)
}

// onStreaming streams the first answer that does not fit the buffer and cancels
// the other attempts.
func (r *Receiver) onStreaming(number uint32) []Effect {
	if r.stage != attempting || number == 0 || int(number) > len(r.attempts) {
		return nil
	}
	if r.streaming != 0 {
		return []Effect{CancelAttempt{Attempt: number}}
	}
	r.streaming = number
	return append(r.cancelOthers(number), StreamAnswer{Attempt: number})
}

// cancelOthers cancels all attempts in progress but one.
func (r *Receiver) cancelOthers(number uint32) []Effect {
	var out []Effect
	for i, a := range r.attempts {
		if a.state == inProgress && uint32(i+1) != number {
			out = append(out, CancelAttempt{Attempt: uint32(i + 1)})
		}
	}
	return out
}

func (r *Receiver) onTimer(now time.Time, id uint64) []Effect {
	switch id {
	case r.deadlineTimerID:
		return r.onDeadline(now)
	case r.hedgeTimerID:
		if r.stage == attempting && len(r.attempts) == 1 && r.streaming == 0 && !r.mustRunSolo() {
			r.choiceID++
			return []Effect{Choose{ID: r.choiceID, Tried: []shmodel.VM{r.attempts[0].vm}, Hedge: true}}
		}
	case r.stageTimerID:
		switch r.stage {
		case waiting:
			return []Effect{r.choose(false)}
		case settling:
			return r.proposeSettleClaim()
		}
	}
	return nil
}

func (r *Receiver) onDeadline(now time.Time) []Effect {
	if r.streaming != 0 || r.stage == refusing {
		return nil
	}
	return r.finish(now, ReasonDeadline, 0)
}

// onCallerGone ends a request that has no attempt in progress and cancels the
// attempts of an idempotent one. The Receiver waits for the results of attempts
// in progress, so that they are recorded in the account.
func (r *Receiver) onCallerGone(now time.Time) []Effect {
	r.callerGone = true
	switch r.stage {
	case choosing, waiting, opening:
		return r.finish(now, ReasonCallerGone, 0)
	case attempting:
		if !r.Request.onceOnly() {
			return r.cancelOthers(0)
		}
	}
	return nil
}

func (r *Receiver) startTimer(id *uint64, after time.Duration) Effect {
	r.lastTimerID++
	*id = r.lastTimerID
	return StartTimer{ID: r.lastTimerID, After: after}
}
