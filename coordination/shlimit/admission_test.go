package shlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shmodel"
)

// recordedAdmission is an Admission that records its decisions.
type recordedAdmission struct {
	shlimit.Admission
	running map[shmodel.RequestID]bool
	refused map[shmodel.RequestID]shlimit.RefuseReason
	started []shmodel.RequestID
}

func newAdmission(slots int) *recordedAdmission {
	d := &recordedAdmission{running: map[shmodel.RequestID]bool{}, refused: map[shmodel.RequestID]shlimit.RefuseReason{}}
	d.handle(0, shlimit.Resize{Slots: slots})
	return d
}

func (d *recordedAdmission) handle(ms int, e shlimit.Event) {
	if f, ok := e.(shlimit.Finish); ok {
		delete(d.running, f.ID)
	}
	for _, effect := range d.Handle(start.Add(time.Duration(ms)*time.Millisecond), e) {
		switch effect := effect.(type) {
		case shlimit.Start:
			d.running[effect.ID] = true
			d.started = append(d.started, effect.ID)
		case shlimit.Refuse:
			d.refused[effect.ID] = effect.Reason
		}
	}
}

func (d *recordedAdmission) arrive(ms int, id shmodel.RequestID, kind shmodel.OperationKind, deadlineMS int) {
	deadline := start.Add(time.Duration(deadlineMS) * time.Millisecond)
	d.handle(ms, shlimit.Arrive{ID: id, Kind: kind, Deadline: deadline})
}

// busyAdmission returns an Admission with a service time of 100 ms and one slot,
// in which request 1 runs.
func busyAdmission() *recordedAdmission {
	d := newAdmission(1)
	d.arrive(0, 100, shmodel.Idempotent, 1000)
	d.handle(100, shlimit.Finish{ID: 100})
	d.arrive(100, 1, shmodel.Idempotent, 1000)
	d.started = nil
	return d
}

// Guards against decisions that break one of the rules of Admission.
func TestAdmissionRules(t *testing.T) {
	t.Run("a lookup that cannot be answered in time is refused at once", func(t *testing.T) {
		d := busyAdmission()
		d.arrive(100, 2, shmodel.Idempotent, 250)
		assert.Equal(t, d.refused[2], shlimit.TooLate)
		d.arrive(100, 3, shmodel.Idempotent, 400)
		assert.Equal(t, d.refused[3], shlimit.RefuseReason(""))
	})
	t.Run("once-only work waits until its deadline", func(t *testing.T) {
		d := busyAdmission()
		d.arrive(100, 2, shmodel.OnceOnly, 150)
		d.handle(149, shlimit.Tick{})
		assert.Equal(t, d.refused[2], shlimit.RefuseReason(""))
		d.handle(150, shlimit.Tick{})
		assert.Equal(t, d.refused[2], shlimit.TooLate)
	})
	t.Run("waiting once-only work does not hold up lookups", func(t *testing.T) {
		d := busyAdmission()
		for id := range shmodel.RequestID(3) {
			d.arrive(100, 10+id, shmodel.OnceOnly, 9000)
		}
		for id := range shmodel.RequestID(6) {
			d.arrive(100, 20+id, shmodel.Idempotent, 9000)
		}
		d.handle(200, shlimit.Finish{ID: 1})
		for range 8 {
			d.handle(300, shlimit.Finish{ID: d.started[len(d.started)-1]})
		}
		assert.DeepEqual(t, d.started, []shmodel.RequestID{20, 21, 22, 23, 10, 24, 25, 11, 12})
	})
	t.Run("full queues are separate", func(t *testing.T) {
		d := busyAdmission()
		d.MaxQueue = 1
		d.arrive(100, 2, shmodel.OnceOnly, 9000)
		d.arrive(100, 3, shmodel.OnceOnly, 9000)
		d.arrive(100, 4, shmodel.Idempotent, 9000)
		assert.DeepEqual(t, d.refused, map[shmodel.RequestID]shlimit.RefuseReason{3: shlimit.QueueFull})
	})
	t.Run("free slots take a request with a short deadline", func(t *testing.T) {
		d := busyAdmission()
		d.handle(200, shlimit.Finish{ID: 1})
		d.arrive(200, 2, shmodel.Idempotent, 201)
		assert.Assert(t, d.running[2])
	})
	t.Run("abandoned requests do not start", func(t *testing.T) {
		d := busyAdmission()
		d.arrive(100, 2, shmodel.OnceOnly, 9000)
		d.handle(110, shlimit.Abandon{ID: 2})
		d.handle(120, shlimit.Finish{ID: 1})
		assert.Equal(t, len(d.started), 0)
	})
}

// Guards against more running requests than slots, idle slots while requests
// wait, starts after the deadline and requests without a decision.
func TestAdmissionKeepsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		d := newAdmission(slots)
		deadlines := map[shmodel.RequestID]int{}
		ms := 0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			ms += rapid.IntRange(0, 20).Draw(t, "ms")
			began := len(d.started)
			if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
				id := shmodel.RequestID(len(deadlines) + 1)
				kind := rapid.SampledFrom([]shmodel.OperationKind{shmodel.Idempotent, shmodel.OnceOnly}).Draw(t, "kind")
				deadlines[id] = ms + rapid.IntRange(0, 100).Draw(t, "deadline")
				d.arrive(ms, id, kind, deadlines[id])
			} else if len(d.started) > 0 {
				d.handle(ms, shlimit.Finish{ID: rapid.SampledFrom(d.started).Draw(t, "id")})
			}
			for _, id := range d.started[began:] {
				assert.Assert(t, ms < deadlines[id], "%d started late", id)
			}
			lookups, onceOnly := d.Waiting()
			assert.Assert(t, len(d.running) <= slots)
			assert.Assert(t, len(d.running) == slots || lookups+onceOnly == 0)
			assert.Equal(t, len(d.started)+len(d.refused)+lookups+onceOnly, len(deadlines))
		}
	})
}
