package shregistry

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shclock"
	"sequoiahollow/transport/shstore"
)

// hold returns how long the leader may wait for a change before it answers.
func (w WatchRequest) hold() time.Duration {
	if w.Hold == nil {
		return LongPollTimeout
	}
	return min(max(w.Hold.Duration(), 0), LongPollTimeout)
}

// confirmedAge returns how long ago a quorum last confirmed this VM as the leader, nil
// if that is not known. Status is read first, so the result is not too low.
func (r *Registry) confirmedAge() *shfleet.Millis {
	return ageOfConfirmation(r.store.Status(), r.config.Suspensions)
}

// ageOfConfirmation returns the age of the confirmation of a leader in milliseconds,
// rounded up. The status shows the confirmation by the steady clock, which stands still
// while the VM is suspended, so one from before a suspension does not count. Role and
// confirmation must come from one status: a VM that has just become a follower knows
// the confirmation of the new leader and still has its own older state.
func ageOfConfirmation(s shstore.Status, suspensions *shclock.Suspensions) *shfleet.Millis {
	now, since := suspensions.Since()
	if s.Role != shraft.Leader || !s.Ready || since.IsZero() || s.Confirmed.Before(since) {
		return nil
	}
	age := shfleet.Millis((now.Sub(s.Confirmed) + time.Millisecond - 1) / time.Millisecond)
	return &age
}
