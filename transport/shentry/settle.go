package shentry

import (
	"context"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// settleTimeout bounds the settlement of one claim.
const settleTimeout = 5 * time.Second

// abandonedAfter is how long an attempt may stay unreachable at its backend
// server before its outcome is recorded as unknown.
const abandonedAfter = 30 * time.Second

// SettleOverdue resolves a claim whose executing VM is gone: it cancels the
// attempt at the recorded backend server and records what that answers. It is
// idempotent, so more than one VM may do it.
func (e *Entry) SettleOverdue(ctx context.Context, o shwire.OverdueClaim) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	a := o.Claim.Attempt
	result := e.cancelAttempt(shrequest.CancelAtBackend{
		Address: a.Address, Incarnation: a.Incarnation, RequestID: o.Claim.RequestID, Attempt: a.Number,
	})
	outcome, reason := shmodel.Unknown, shrequest.ReasonLostAnswer
	switch result.(type) {
	case shrequest.CancelNotRun:
		outcome, reason = shmodel.NotRun, shrequest.ReasonCancelled
	case shrequest.CancelDone:
	default:
		if time.Since(a.DispatchBy) < abandonedAfter {
			return
		}
		reason = shrequest.ReasonUnreachable
	}
	_, err := e.Control(ctx, shcontrol.CloseClaim{
		Key: o.Key, RequestID: o.Claim.RequestID, Attempt: a.Number, Outcome: outcome, Reason: string(reason),
	})
	if err != nil {
		e.Log.Warn("claim of a lost VM was not closed; it will be tried again", "requestId", o.Claim.RequestID, "error", err)
		return
	}
	e.Log.Info("claim of a lost VM closed", "requestId", o.Claim.RequestID, "executingVm", a.VM, "outcome", outcome)
}
