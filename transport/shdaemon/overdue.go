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
	// longRunning is how long after its dispatch deadline an attempt of a live
	// VM is left alone. It exceeds the wait for answers of once-only work.
	longRunning = time.Minute
)

// settleOverdue resolves claims whose executing VM is gone. One VM takes each, the
// first by name that is up, so that backend servers see few cancellations.
func (d *daemon) settleOverdue(ctx context.Context) {
	every(ctx, settleInterval, func() {
		v := d.syncer.View()
		if !v.Confirmed(time.Now()) || !first(d.settings.VM, v.Entries) {
			return
		}
		for _, o := range v.Overdue {
			if abandoned(o, v.Entries) {
				d.entry.SettleOverdue(ctx, o)
			}
		}
	})
}

// first reports whether a VM is the first by name that is up.
func first(vm shmodel.VM, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if !h.Leaving {
			return h.VM == vm
		}
	}
	return false
}

// abandoned reports whether the VM that executes a claim is gone.
func abandoned(o shwire.OverdueClaim, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if h.VM == o.Claim.Attempt.VM {
			return time.Since(o.Claim.Attempt.DispatchBy) > longRunning
		}
	}
	return true
}
