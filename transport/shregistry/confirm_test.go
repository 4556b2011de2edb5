package shregistry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shstore"
)

// Guards against an answer of a former leader that lets entry VMs accept keys that a
// newer leader has taken away.
func TestAgeOfConfirmation(t *testing.T) {
	began := time.Now()
	steady, boot := began, time.Duration(0)
	suspensions := &shclock.Suspensions{
		Boot: func() time.Duration { return boot }, Steady: func() time.Time { return steady },
	}
	suspensions.Since()
	status := shstore.Status{Role: shraft.Leader, Ready: true, Confirmed: began.Add(time.Second)}
	run := func(d time.Duration) { steady, boot = steady.Add(d), boot+d }
	assertAge := func(t *testing.T, s shstore.Status, want shfleet.Millis) {
		t.Helper()
		age := ageOfConfirmation(s, suspensions)
		assert.Assert(t, age != nil)
		assert.Equal(t, *age, want)
	}
	assertUnknown := func(t *testing.T, s shstore.Status) {
		t.Helper()
		assert.Assert(t, ageOfConfirmation(s, suspensions) == nil)
	}
	run(1200 * time.Millisecond)
	t.Run("leading", func(t *testing.T) { assertAge(t, status, 200) })
	t.Run("never confirmed", func(t *testing.T) {
		never := status
		never.Confirmed = time.Time{}
		assertUnknown(t, never)
	})
	t.Run("no leader any more", func(t *testing.T) {
		follower := status
		follower.Role = shraft.Follower
		assertUnknown(t, follower)
	})
	t.Run("not ready yet", func(t *testing.T) {
		elected := status
		elected.Ready = false
		assertUnknown(t, elected)
	})
	run(4 * time.Second)
	t.Run("stopped for 4 s", func(t *testing.T) { assertAge(t, status, 4200) })
	boot += 4 * time.Second
	t.Run("suspended", func(t *testing.T) { assertUnknown(t, status) })
	t.Run("confirmed after the suspension", func(t *testing.T) {
		run(500 * time.Millisecond)
		newer := status
		newer.Confirmed = steady.Add(-100 * time.Millisecond)
		assertAge(t, newer, 100)
	})
}

// Guards against an entry VM without the routing table in force that the list of the
// observers leaves out or shows as up to date.
func TestListObservers(t *testing.T) {
	r := newLeader(2)
	now := time.Now()
	r.state.DocumentAt = 7
	r.lastWatch = map[shmodel.VM]observed{"e1": {at: now, index: 9}, "e0": {at: now.Add(-time.Second), index: 6}}
	r.state.Entries = map[shmodel.VM]shfleet.Entry{"e1": {VM: "e1"}, "e2": {VM: "e2"}}
	r.leaderSince = now.Add(-4 * time.Second)
	var list Observers
	r.listObservers(now, &list)
	assert.DeepEqual(t, list, Observers{
		Version: 1, Index: 7, Confirmed: []Observer{{VM: "e1", Index: 9}},
		Missing: []Observer{{VM: "e0", Index: 6, SilentSeconds: 1}, {VM: "e2", SilentSeconds: 4}},
	})
}
