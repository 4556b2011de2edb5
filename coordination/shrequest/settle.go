package shrequest

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// Durations of a settlement.
const (
	// settlePoll is the pause between two looks at a claim.
	settlePoll = 100 * time.Millisecond
	// recordGrace is the time that an executor gets to record the answer of an
	// attempt that the backend server calls done.
	recordGrace = time.Second
	// unreachableFor is how long cancellations may fail before the outcome is
	// recorded as unknown.
	unreachableFor = 5 * time.Second
)

// settlement is the resolution of once-only work by another VM than the one
// that executes it.
type settlement struct {
	// pending is the command whose answer is awaited.
	pending shcontrol.Command
	claim   shcontrol.ClaimResult
	// doneSince and failedSince are when the backend server first called the
	// attempt done, or did not answer.
	doneSince   time.Time
	failedSince time.Time
}

// beginSettle looks up the claim and forbids one for this request if there is
// none.
func (r *Receiver) beginSettle(now time.Time) []Effect {
	r.stage = settling
	if !now.Before(r.Request.Deadline) {
		return r.finish(now, ReasonDeadline, 0)
	}
	return r.askSettle()
}

// beginLookUp settles a request that found no way to run, before it is refused
// for a reason. It may be a resend whose key ran or is in progress.
func (r *Receiver) beginLookUp(reason Reason, retryAfter time.Duration) []Effect {
	r.opened = r.opened || r.stage == opening
	r.stage = settling
	r.lookedUp = RefuseCaller{Reason: reason, RetryAfter: retryAfter}
	return r.askSettle()
}

// mustLookUp reports whether nothing is known yet of the key of a request that
// is to be refused for a reason.
func (r *Receiver) mustLookUp(reason Reason) bool {
	switch reason {
	case ReasonNoCapacity, ReasonRetryBudget, ReasonNoRecord, ReasonShed, ReasonUnreachable, ReasonLateDispatch:
		return r.Request.onceOnly() && r.lookedUp.Reason == ReasonNone && r.stage != settling
	}
	return false
}

func (r *Receiver) askSettle() []Effect {
	r.settle.pending = shcontrol.SettleClaim{Key: r.Request.claimKey(), RequestID: r.Request.ID, Digest: r.Request.Digest}
	return []Effect{AskControl{Command: r.settle.pending}}
}

func (r *Receiver) pollSettle() []Effect {
	r.settle.pending = nil
	return []Effect{r.startTimer(&r.stageID, settlePoll)}
}

// onSettled handles the state of the claim, as told by SettleClaim or
// CloseClaim.
func (r *Receiver) onSettled(now time.Time, result shcontrol.Result) []Effect {
	if r.settle.pending == nil {
		return nil
	}
	c, ok := result.(shcontrol.ClaimResult)
	if !ok {
		return r.pollSettle()
	}
	own := c.RequestID == r.Request.ID
	r.keyTaken = keyTaken(c.Status) && !own
	switch c.Status {
	case shcontrol.ClaimConflict:
		r.barBefore(uint32(len(r.attempts) + 1))
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
		return r.resolve(now, c)
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

// settledNotRun ends a request that holds no claim and can get none any more.
func (r *Receiver) settledNotRun(now time.Time) []Effect {
	r.barBefore(uint32(len(r.attempts) + 1))
	if r.lookedUp.Reason != ReasonNone {
		return r.finish(now, r.lookedUp.Reason, r.lookedUp.RetryAfter)
	}
	return r.finish(now, ReasonSettled, 0)
}

// ownNotRun handles a claim of this request whose attempt did not run. It says
// nothing of later attempts whose claim may still be on its way; the claim of
// another attempt is granted only if none of them is in progress.
func (r *Receiver) ownNotRun(now time.Time, c shcontrol.ClaimResult) []Effect {
	if int(c.Attempt.Number) >= len(r.attempts) {
		r.barBefore(uint32(len(r.attempts) + 1))
	} else {
		r.barBefore(c.Attempt.Number + 1)
	}
	if !r.mayRetry(now) {
		return r.finish(now, ReasonCancelled, 0)
	}
	r.settle = settlement{}
	return []Effect{r.choose(true)}
}

// resolve waits for the executor until the dispatch deadline has passed by any
// clock, and asks the backend server from then on.
func (r *Receiver) resolve(now time.Time, c shcontrol.ClaimResult) []Effect {
	if c.RequestID != r.settle.claim.RequestID || c.Attempt.Number != r.settle.claim.Attempt.Number {
		r.settle.doneSince = time.Time{}
		r.settle.failedSince = time.Time{}
	}
	r.settle.claim = c
	if !now.After(c.Attempt.DispatchBy.Add(r.ClockError)) {
		return r.pollSettle()
	}
	r.settle.pending = nil
	return []Effect{CancelAtBackend{
		Address:     c.Attempt.Address,
		Incarnation: c.Attempt.Incarnation,
		RequestID:   c.RequestID,
		Attempt:     c.Attempt.Number,
	}}
}

func (r *Receiver) onCancelled(now time.Time, result Result) []Effect {
	if r.settle.pending != nil {
		return nil
	}
	switch result.(type) {
	case CancelNotRun:
		return r.closeSettled(shmodel.NotRun, ReasonCancelled)
	case CancelRunning:
		r.settle.failedSince = time.Time{}
		return r.pollSettle()
	case CancelDone:
		if r.settle.doneSince.IsZero() {
			r.settle.doneSince = now
		}
		if now.Sub(r.settle.doneSince) >= recordGrace {
			return r.closeSettled(shmodel.Unknown, ReasonLostAnswer)
		}
		return r.pollSettle()
	case CancelFailed:
		if r.settle.failedSince.IsZero() {
			r.settle.failedSince = now
		}
		if now.Sub(r.settle.failedSince) >= unreachableFor {
			return r.closeSettled(shmodel.Unknown, ReasonUnreachable)
		}
		return r.pollSettle()
	default:
		return nil
	}
}

func (r *Receiver) closeSettled(outcome shmodel.Outcome, reason Reason) []Effect {
	r.settle.pending = shcontrol.CloseClaim{
		Key:       r.Request.claimKey(),
		RequestID: r.settle.claim.RequestID,
		Attempt:   r.settle.claim.Attempt.Number,
		Outcome:   outcome,
		Reason:    string(reason),
	}
	return []Effect{AskControl{Command: r.settle.pending}}
}
