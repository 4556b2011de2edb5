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

// unreachableTimeout is how long after the latest dispatch time of an attempt its
// cancellation is retried before the outcome is recorded as unknown.
const unreachableTimeout = 30 * time.Second

// SettleOverdue closes a claim that the executing VM did not close, for instance
// because it failed: it cancels the attempt at the recorded backend server and
// records the outcome that the answer proves. It is idempotent, so more than one
// VM may call it for a claim.
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
		outcome, reason = shmodel.NotRun, shrequest.ReasonCanceled
	case shrequest.CancelDone:
	default:
		if time.Since(a.DispatchBy) < unreachableTimeout {
			return
		}
		reason = shrequest.ReasonUnreachable
	}
	_, err := e.Control(ctx, shcontrol.CloseClaim{
		Key: o.Key, RequestID: o.Claim.RequestID, Attempt: a.Number, Outcome: outcome, Reason: string(reason),
	})
	if err != nil {
		e.Log.Warn("overdue claim was not closed; closing it will be retried", "requestId", o.Claim.RequestID, "error", err)
		return
	}
	e.Log.Info("overdue claim closed", "requestId", o.Claim.RequestID, "executingVm", a.VM, "outcome", outcome)
}
