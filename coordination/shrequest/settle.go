package shrequest

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// Durations of a settlement.
const (
	// settlePoll is the interval at which SettleClaim is repeated.
	settlePoll = 100 * time.Millisecond
	// recordGrace is the time that an Executor has to record the answer of an
	// attempt that the backend server reports as done.
	recordGrace = time.Second
	// unreachableFor is how long cancellations have to fail before the outcome
	// is recorded as unknown.
	unreachableFor = 5 * time.Second
)

// settlement is the state of a Receiver that determines the outcome of once-only
// work that another VM executes.
type settlement struct {
	// pending is the command whose answer is awaited.
	pending shcontrol.Command
	claim   shcontrol.ClaimResult
	// doneSince is when the backend server first reported the attempt as done,
	// and failedSince when it first did not answer.
	doneSince   time.Time
	failedSince time.Time
}

// beginSettlement looks up the claim of the key and forbids one for this request
// if there is none.
func (r *Receiver) beginSettlement(now time.Time) []Effect {
	r.stage = settling
	if !now.Before(r.Request.Deadline) {
		return r.finish(now, ReasonDeadline, 0)
	}
	return r.proposeSettleClaim()
}

// beginKeyLookup looks up the key of a request that could not run, before the
// request is refused for the given reason. An earlier request with the same key
// may have run or be in progress.
func (r *Receiver) beginKeyLookup(reason Reason, retryAfter time.Duration) []Effect {
	r.opened = r.opened || r.stage == opening
	r.stage = settling
	r.deferredRefusal = RefuseCaller{Reason: reason, RetryAfter: retryAfter}
	return r.proposeSettleClaim()
}

// mustLookUpKey reports whether the key of a request must be looked up before
// the request is refused for the given reason.
func (r *Receiver) mustLookUpKey(reason Reason) bool {
	switch reason {
	case ReasonNoCapacity, ReasonRetryBudget, ReasonNoRecord, ReasonShed, ReasonUnreachable, ReasonLateDispatch:
		return r.Request.onceOnly() && r.deferredRefusal.Reason == ReasonNone && r.stage != settling
	}
	return false
}

func (r *Receiver) proposeSettleClaim() []Effect {
	r.settlement.pending = shcontrol.SettleClaim{Key: r.Request.claimKey(), RequestID: r.Request.ID, Digest: r.Request.Digest}
	return []Effect{AskControl{Command: r.settlement.pending}}
}

func (r *Receiver) scheduleSettlePoll() []Effect {
	r.settlement.pending = nil
	return []Effect{r.startTimer(&r.stageTimerID, settlePoll)}
}

// onSettled handles the state of the claim that SettleClaim or CloseClaim
// returned.
func (r *Receiver) onSettled(now time.Time, result shcontrol.Result) []Effect {
	if r.settlement.pending == nil {
		return nil
	}
	c, ok := result.(shcontrol.ClaimResult)
	if !ok {
		return r.scheduleSettlePoll()
	}
	own := c.RequestID == r.Request.ID
	r.keyTaken = keyTaken(c.Status) && !own
	switch c.Status {
	case shcontrol.ClaimConflict:
		r.markNotRunBefore(uint32(len(r.attempts) + 1))
		return r.finish(now, ReasonKeyConflict, 0)
	case shcontrol.ClaimAnswered:
		return r.answer(now, 0, Execution{
			Outcome:       shmodel.Answered,
			BackendServer: c.Attempt.BackendServer,
			Answer:        c.Answer,
			Bytes:         int64(len(c.Answer.Body)),
			Replayed:      !own,
		})
	case shcontrol.ClaimForbidden:
		return r.settledNotRun(now)
	case shcontrol.ClaimNotRun:
		if own {
			return r.ownNotRun(now, c)
		}
		return r.settledNotRun(now)
	case shcontrol.ClaimInProgress, shcontrol.ClaimGranted:
		return r.resolveInProgress(now, c)
	case shcontrol.ClaimUsedBefore:
		return r.finish(now, ReasonKeyUsed, 0)
	default:
		return r.finish(now, ReasonLostAnswer, 0)
	}
}

// keyTaken reports whether work under the key of a claim ran or may run.
func keyTaken(s shcontrol.ClaimStatus) bool {
	return s != shcontrol.ClaimForbidden && s != shcontrol.ClaimNotRun && s != shcontrol.ClaimConflict
}

// settledNotRun ends a request that holds no claim and cannot get one any more.
func (r *Receiver) settledNotRun(now time.Time) []Effect {
	r.markNotRunBefore(uint32(len(r.attempts) + 1))
	if r.deferredRefusal.Reason != ReasonNone {
		return r.finish(now, r.deferredRefusal.Reason, r.deferredRefusal.RetryAfter)
	}
	return r.finish(now, ReasonSettled, 0)
}

// ownNotRun handles a claim of this request whose attempt did not run. The claim
// says nothing about later attempts, whose OpenClaim may not be committed yet.
// The claim of another attempt is granted only if none of them is in progress.
func (r *Receiver) ownNotRun(now time.Time, c shcontrol.ClaimResult) []Effect {
	if int(c.Attempt.Number) >= len(r.attempts) {
		r.markNotRunBefore(uint32(len(r.attempts) + 1))
	} else {
		r.markNotRunBefore(c.Attempt.Number + 1)
	}
	if !r.mayRetry(now) {
		return r.finish(now, ReasonCanceled, 0)
	}
	r.settlement = settlement{}
	return []Effect{r.choose(true)}
}

// resolveInProgress waits for the Executor until the dispatch deadline has
// passed even on the slowest clock, and from then on sends cancellations to the
// backend server.
func (r *Receiver) resolveInProgress(now time.Time, c shcontrol.ClaimResult) []Effect {
	if c.RequestID != r.settlement.claim.RequestID || c.Attempt.Number != r.settlement.claim.Attempt.Number {
		r.settlement.doneSince = time.Time{}
		r.settlement.failedSince = time.Time{}
	}
	r.settlement.claim = c
	if !now.After(c.Attempt.DispatchBy.Add(r.ClockError)) {
		return r.scheduleSettlePoll()
	}
	r.settlement.pending = nil
	return []Effect{CancelAtBackend{
		Address:     c.Attempt.Address,
		Incarnation: c.Attempt.Incarnation,
		RequestID:   c.RequestID,
		Attempt:     c.Attempt.Number,
	}}
}

func (r *Receiver) onCanceled(now time.Time, result Result) []Effect {
	if r.settlement.pending != nil {
		return nil
	}
	switch result.(type) {
	case CancelNotRun:
		return r.closeSettledClaim(shmodel.NotRun, ReasonCanceled)
	case CancelRunning:
		r.settlement.failedSince = time.Time{}
		return r.scheduleSettlePoll()
	case CancelDone:
		if r.settlement.doneSince.IsZero() {
			r.settlement.doneSince = now
		}
		if now.Sub(r.settlement.doneSince) >= recordGrace {
			return r.closeSettledClaim(shmodel.Unknown, ReasonLostAnswer)
		}
		return r.scheduleSettlePoll()
	case CancelFailed:
		if r.settlement.failedSince.IsZero() {
			r.settlement.failedSince = now
		}
		if now.Sub(r.settlement.failedSince) >= unreachableFor {
			return r.closeSettledClaim(shmodel.Unknown, ReasonUnreachable)
		}
		return r.scheduleSettlePoll()
	default:
		return nil
	}
}

func (r *Receiver) closeSettledClaim(outcome shmodel.Outcome, reason Reason) []Effect {
	r.settlement.pending = shcontrol.CloseClaim{
		Key:       r.Request.claimKey(),
		RequestID: r.settlement.claim.RequestID,
		Attempt:   r.settlement.claim.Attempt.Number,
		Outcome:   outcome,
		Reason:    string(reason),
	}
	return []Effect{AskControl{Command: r.settlement.pending}}
}
