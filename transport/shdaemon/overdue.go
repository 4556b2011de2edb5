package shdaemon

import (
	"context"
	"time"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

const (
	settleInterval = time.Second
	// settleGrace is the time after the dispatch deadline of an attempt in which
	// its VM, if it is up, is expected to settle the claim itself. It exceeds the
	// wait for answers of once-only work.
	settleGrace = time.Minute
)

// settleOverdue settles abandoned claims. Only the first VM by name that is up
// does so, so that backend servers get few cancellations.
func (d *daemon) settleOverdue(ctx context.Context) {
	every(ctx, settleInterval, func() {
		v := d.syncer.View()
		if !v.Confirmed(time.Now()) || !isFirstUp(d.settings.VM, v.Entries) {
			return
		}
		for _, o := range v.Overdue {
			if isAbandoned(o, v.Entries) {
				d.entry.SettleOverdue(ctx, o)
			}
		}
	})
}

// isFirstUp reports whether a VM is the first by name that is up and not
// leaving.
func isFirstUp(vm shmodel.VM, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if !h.Leaving {
			return h.VM == vm
		}
	}
	return false
}

// isAbandoned reports whether the VM that executes a claim is gone, or whether
// settleGrace has passed since the dispatch deadline.
func isAbandoned(o shwire.OverdueClaim, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if h.VM == o.Claim.Attempt.VM {
			return time.Since(o.Claim.Attempt.DispatchBy) > settleGrace
		}
	}
	return true
}
