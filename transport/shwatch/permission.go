package shwatch

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shclock"
	"sequoiahollow/transport/shregistry"
)

// Shares of RevokeWithin. permissionShare and confirmationShare together stay below 1;
// the rest covers the drift between the clocks of VMs.
const (
	// permissionShare is how long keys are accepted after the sending of a watch call.
	permissionShare = 0.6
	// confirmationShare is the greatest age of the confirmation of the leader whose
	// answer counts. The age is about a heartbeat of the leader and a round trip, 250 ms.
	confirmationShare = 0.2
	// holdShare is how long the leader may hold an answer, so that after the loss of
	// the leader enough is left of the permission for an election (0.7 to 1.4 s).
	holdShare = 0.1
	// renewalShare is what is left of a permission when an answer is wanted soon, and
	// renewalHoldShare how long the leader may then hold it. It is not zero, so that
	// calls that do not renew the permission do not follow each other at once.
	renewalShare     = 0.4
	renewalHoldShare = 0.02
)

func share(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }

// needsPermission reports whether requests need the permission at present. Without
// teams it is renewed as often as the long poll does it, which costs nothing.
func (w *Watcher) needsPermission() bool {
	table := w.View().Table
	return w.RevokeWithin > 0 && table != nil && table.Keyed()
}

// longestHold returns how long the leader may hold an answer.
func (w *Watcher) longestHold() time.Duration {
	if !w.needsPermission() {
		return shregistry.LongPollTimeout
	}
	return min(share(w.RevokeWithin, holdShare), shregistry.LongPollTimeout)
}

func (w *Watcher) boot() time.Duration {
	if w.Clock == nil {
		return shclock.SinceBoot()
	}
	return w.Clock()
}

// KeysUntil returns when the permission to accept the keys of the view ends, by Clock.
// A caller that loads this before the view gets a permission that is not newer than the
// view. The time is zero before the first permission.
func (w *Watcher) KeysUntil() time.Duration {
	if since := w.permittedSince(); since > 0 {
		return since + share(w.RevokeWithin, permissionShare)
	}
	return 0
}

// PermissionAge returns the time since the sending of the watch call that last renewed
// the permission. It returns false before the first.
func (w *Watcher) PermissionAge() (time.Duration, bool) {
	since := w.permittedSince()
	return w.boot() - since, since > 0
}

// permittedSince returns when that call was sent, by Clock, zero before the first.
func (w *Watcher) permittedSince() time.Duration { return time.Duration(w.permission.Load()) }

// hold returns how long the leader may hold the answer to a watch call that is sent
// now, nil for its default.
func (w *Watcher) hold(now time.Duration) *shfleet.Millis {
	if !w.needsPermission() {
		return nil
	}
	hold := w.longestHold()
	if w.KeysUntil()-now < share(w.RevokeWithin, renewalShare) {
		hold = share(w.RevokeWithin, renewalHoldShare)
	}
	millis := shfleet.Millis(hold.Milliseconds())
	return &millis
}

// renewPermission starts the permission anew at the sending of a watch call, if its
// answer was confirmed recently and is what the view now reflects. It is called after
// the view was stored.
func (w *Watcher) renewPermission(sentAt time.Duration, confirmed *shfleet.Millis, c shfleet.Change) {
	if w.RevokeWithin <= 0 {
		return
	}
	renewed := confirmed != nil && w.View().Index == c.To && confirmed.Duration() <= share(w.RevokeWithin, confirmationShare)
	if renewed {
		w.permission.Store(int64(sentAt))
	}
	if renewed == w.notRenewed {
		w.notRenewed = !renewed
		w.Logger.Info("permission to accept keys", "renewed", renewed, "confirmed", confirmed, "index", c.To, "viewIndex", w.View().Index)
	}
}
