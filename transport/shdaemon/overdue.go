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
	// settleGrace is how long after its dispatch deadline an attempt of a live
	// VM is left alone. It exceeds the wait for answers of once-only work.
	settleGrace = time.Minute
)

// settleOverdue resolves claims whose executing VM is gone. One VM takes each, the
// first by name that is up, so that backend servers see few cancellations.
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

// isFirstUp reports whether a VM is the isFirstUp by name that is up.
func isFirstUp(vm shmodel.VM, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if !h.Leaving {
			return h.VM == vm
		}
	}
	return false
}

// isAbandoned reports whether the VM that executes a claim is gone.
func isAbandoned(o shwire.OverdueClaim, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if h.VM == o.Claim.Attempt.VM {
			return time.Since(o.Claim.Attempt.DispatchBy) > settleGrace
		}
	}
	return true
}
