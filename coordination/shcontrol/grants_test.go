package shcontrol_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// stateWithLink returns a state whose link from a to b has 1,000 kbit/s for
// traffic.
func stateWithLink() *shcontrol.State {
	var s shcontrol.State
	setCap(&s, 1_100_000)
	return &s
}

func setCap(s *shcontrol.State, bitsPerSecond int64) {
	revision, _ := s.Config()
	l := shconfig.Link{From: "a", To: "b", CapBitsPerSecond: bitsPerSecond, ControlBitsPerSecond: 100_000}
	s.Apply(start, shcontrol.ApplyConfig{
		EditID: time.Duration(revision).String(), BaseRevision: revision,
		Config: shconfig.Config{Links: map[string]shconfig.Link{"l": l}},
	})
}

// requestGrant requests a rate and returns the ID and rate of the grant.
func requestGrant(s *shcontrol.State, vm shmodel.VM, rate int64, renews ...uint64) (uint64, int64) {
	c := shcontrol.RequestGrant{VM: vm, From: "a", To: "b", BitsPerSecond: rate, Renews: renews}
	r := s.Apply(start, c).(shcontrol.GrantResult)
	return r.ID, r.BitsPerSecond
}

// Guards each rule by which a link is divided among VMs.
func TestGrantRules(t *testing.T) {
	t.Run("half of what is free", func(t *testing.T) {
		s := stateWithLink()
		for _, want := range []int64{500_000, 250_000, 125_000} {
			_, got := requestGrant(s, "v", 1_000_000)
			assert.Equal(t, got, want)
		}
	})
	t.Run("other direction has no link", func(t *testing.T) {
		r := stateWithLink().Apply(start, shcontrol.RequestGrant{VM: "v", From: "b", To: "a", BitsPerSecond: 1})
		assert.DeepEqual(t, r, shcontrol.GrantResult{})
	})
	t.Run("renewal moves the rate", func(t *testing.T) {
		s := stateWithLink()
		id, _ := requestGrant(s, "v", 400_000)
		_, got := requestGrant(s, "v", 400_000, id, id)
		assert.Equal(t, got, int64(400_000))
		assert.Equal(t, len(s.Grants()), 1)
	})
	t.Run("smaller renewal keeps the rest counted", func(t *testing.T) {
		s := stateWithLink()
		id, _ := requestGrant(s, "v", 400_000)
		requestGrant(s, "v", 100_000, id)
		assert.Equal(t, s.Grants()[0].BitsPerSecond, int64(300_000))
		s.Apply(start, shcontrol.ExpireGrant{ID: id})
		_, got := requestGrant(s, "w", 1_000_000)
		assert.Equal(t, got, int64(450_000))
	})
	t.Run("grants of another VM are not renewed", func(t *testing.T) {
		s := stateWithLink()
		id, _ := requestGrant(s, "v", 400_000)
		_, got := requestGrant(s, "w", 1_000_000, id)
		assert.Equal(t, got, int64(300_000))
	})
	t.Run("a full link makes room for a new VM", func(t *testing.T) {
		s := stateWithLink()
		var ids []uint64
		for range 8 {
			if id, _ := requestGrant(s, "v", 1_000_000); id != 0 {
				ids = append(ids, id)
			}
		}
		_, got := requestGrant(s, "w", 1_000_000)
		assert.Equal(t, got, int64(0))
		_, got = requestGrant(s, "v", 1_000_000, ids...)
		assert.Assert(t, got > 480_000 && got < 520_000, "renewed %d", got)
	})
	t.Run("lowered cap issues and renews nothing", func(t *testing.T) {
		s := stateWithLink()
		id, _ := requestGrant(s, "v", 400_000)
		setCap(s, 300_000)
		_, got := requestGrant(s, "v", 100_000, id)
		assert.Equal(t, got, int64(0))
		s.Apply(start, shcontrol.ExpireGrant{ID: id})
		_, got = requestGrant(s, "v", 100_000)
		assert.Equal(t, got, int64(100_000))
	})
}

// Guards against an expiry that is proposed too early after a leader change, and
// against one that is not proposed again after the first proposal was lost.
func TestGrantExpirer(t *testing.T) {
	var e shcontrol.GrantExpirer
	active := []shcontrol.Grant{{ID: 7, Duration: shcontrol.GrantDuration}}
	due := func(term uint64, after time.Duration) bool { return len(e.Due(start.Add(after), term, active)) == 1 }
	const wait = 3*time.Second + 60*time.Millisecond + 100*time.Millisecond
	assert.Assert(t, !due(1, 0))
	assert.Assert(t, !due(1, wait-1))
	assert.Assert(t, !due(2, wait), "a new term counts from its start")
	assert.Assert(t, !due(2, 2*wait-1))
	assert.Assert(t, due(2, 2*wait))
	assert.Assert(t, !due(2, 2*wait+1))
	assert.Assert(t, due(2, 2*wait+time.Second))
}

// Guards against a range that stays unused because the answer to the command
// that reserved the range was lost.
func TestRangeOfRepeatedCommand(t *testing.T) {
	var s shcontrol.State
	reserve := func(incarnation, sequence uint64) shmodel.RequestID {
		r := s.Apply(start, shcontrol.ReserveRange{VM: "v", Incarnation: incarnation, Count: 10, Sequence: sequence})
		return r.(shcontrol.RangeResult).Range.First
	}
	assert.Equal(t, reserve(1, 1), shmodel.RequestID(1))
	assert.Equal(t, reserve(1, 1), shmodel.RequestID(1))
	assert.Equal(t, reserve(2, 1), shmodel.RequestID(11))
	assert.Equal(t, reserve(1, 2), shmodel.RequestID(21))
	assert.Equal(t, reserve(1, 1), shmodel.RequestID(1))
	assert.Equal(t, len(s.Ranges()), 3)
}

// Guards against ranges of request IDs that overlap or leave a gap.
func TestRangesAreDense(t *testing.T) {
	var s shcontrol.State
	for range 3 {
		s.Apply(start, shcontrol.ReserveRange{VM: "v", Incarnation: 2, Count: 10})
		assert.NilError(t, s.Restore([]byte(snapshot(t, &s))))
	}
	overflow := s.Apply(start, shcontrol.ReserveRange{VM: "v", Count: 1<<64 - 30})
	assert.DeepEqual(t, overflow, shcontrol.Rejected{Reason: "a range needs a VM and a count"})
	last := shmodel.RequestID(0)
	for _, r := range s.Ranges() {
		assert.DeepEqual(t, r, shrecord.Range{First: last + 1, Last: last + 10, VM: "v", Incarnation: 2, ReservedAt: start})
		last = r.Last
	}
	assert.Equal(t, last, shmodel.RequestID(30))
}
