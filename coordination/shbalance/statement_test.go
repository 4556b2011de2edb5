package shbalance_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// only returns a view with the named backend servers of fleet(2).
func only(ids ...shmodel.BackendServer) shfleet.View {
	v := fleet(2)
	maps.DeleteFunc(v.Backends, func(id shmodel.BackendServer, _ shfleet.Backend) bool { return !slices.Contains(ids, id) })
	return v
}

func reborn(v shfleet.View, id shmodel.BackendServer) shfleet.View {
	v.Backends = maps.Clone(v.Backends)
	x := v.Backends[id]
	x.Born++
	v.Backends[id] = x
	return v
}

func assertRefused(t *testing.T, b *shbalance.Balancer, now time.Time, reason shbalance.Reason) *shbalance.Refusal {
	t.Helper()
	_, refusal := b.Pick(now, request("k"))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, reason)
	return refusal
}

// Guards against work for a backend server that has said that it leaves: chosen
// before, named by a later view, or back in the view. Guards also against a
// successor that gets nothing because of it.
func TestLeavingGetsNothing(t *testing.T) {
	v := only("n1-0")
	leaving := v.Backends["n1-0"].Instance
	b := balancer("e1", "n1", v)
	chosen := pick(t, b, start, request("k"))
	assert.Assert(t, b.MaySend(start, chosen))
	assert.Assert(t, b.ObserveLeaving(start, leaving))
	assert.Assert(t, !b.ObserveLeaving(start, leaving), "the statement is not new")
	assert.Assert(t, !b.MaySend(start, chosen))
	b.Done(start, chosen, shbalance.Canceled{})
	later := start.Add(time.Minute)
	for name, view := range map[string]shfleet.View{"same view": v, "gone from the view": only("n2-0"), "back in the view": v} {
		b.Update(later, view)
		if c, refusal := b.Pick(later, request("k")); refusal == nil {
			assert.Equal(t, c.Backend.ID, shmodel.BackendServer("n2-0"), name)
			b.Done(later, c, shbalance.Answered{})
		}
		assert.Assert(t, !b.MaySend(later, chosen), name)
	}
	b.Update(later, v)
	assert.Equal(t, assertRefused(t, b, later, shbalance.NoBackend).Leaving, 1)

	b.Update(later, reborn(v, "n1-0"))
	c := pick(t, b, later, request("k"))
	assert.Assert(t, b.MaySend(later, c))
	assert.Assert(t, b.ObserveLeaving(later, leaving), "a late answer of the one before")
	assert.Assert(t, b.MaySend(later, c))
}

// Guards against a statement that is lost because the instance was missing in one
// view.
func TestStatementOutlivesView(t *testing.T) {
	v := only("n1-0")
	b := balancer("e1", "n1", v)
	b.ObserveLeaving(start, v.Backends["n1-0"].Instance)
	b.Update(start.Add(time.Second), only())
	b.Update(start.Add(2*time.Second), v)
	assertRefused(t, b, start.Add(3*time.Second), shbalance.NoBackend)
}

// Guards against work for backend servers that want none, and against callers that
// are not told when to come back.
func TestAskedToWait(t *testing.T) {
	v := only("n1-0", "n2-0")
	b := balancer("e1", "n1", v)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	first, second := v.Backends["n1-0"].Instance, v.Backends["n2-0"].Instance
	chosen := pick(t, b, start, request("k"))
	b.Done(start, chosen, shbalance.Declined{})
	_, changed := b.ObserveWait(start, first, 4*time.Second)
	assert.Assert(t, changed)
	_, changed = b.ObserveWait(start, first, time.Second)
	assert.Assert(t, !changed, "the earlier statement ends later")
	for _, wait := range []time.Duration{0, -time.Second} {
		_, changed = b.ObserveWait(start, second, wait)
		assert.Assert(t, !changed)
	}
	b.Done(start, pick(t, b, start, request("k")), shbalance.Answered{})
	b.ObserveWait(start, second, 3*time.Second)
	refusal := assertRefused(t, b, at(time.Second), shbalance.AskedToWait)
	assert.Equal(t, refusal.RetryAfter, 2*time.Second)
	assert.Equal(t, refusal.Waiting, 2)
	b.ObserveWait(at(time.Second), second, 3*time.Second)
	assert.Equal(t, assertRefused(t, b, at(2*time.Second), shbalance.AskedToWait).RetryAfter, 2*time.Second)
	assert.Equal(t, pick(t, b, at(4*time.Second), request("k")).Backend.ID, first.ID)

	t.Run("bounded", func(t *testing.T) {
		b := balancer("e1", "n1", v)
		for _, i := range []shfleet.Instance{first, second} {
			b.ObserveWait(start, i, 1000*time.Hour)
		}
		assertRefused(t, b, at(4*time.Minute), shbalance.AskedToWait)
		pick(t, b, at(5*time.Minute), request("k"))
	})
	t.Run("another one may be used soon", func(t *testing.T) {
		b := balancer("e1", "n1", v)
		b.ObserveWait(start, first, 4*time.Second)
		b.Done(start, pick(t, b, start, request("k")), shbalance.Unreachable{})
		assert.Assert(t, assertRefused(t, b, start, shbalance.NoBackend).RetryAfter < time.Second)
	})
}

// Guards against a backend server that gets all waiting requests at once when it
// takes requests again, or loses the keys that it is warm for.
func TestReturnsGradually(t *testing.T) {
	v := only("n1-0", "n2-0")
	b := balancer("e1", "n1", v)
	chosen := pick(t, b, start, request("k"))
	b.Done(start.Add(100*time.Millisecond), chosen, shbalance.Answered{})
	for _, x := range v.Backends {
		b.ObserveWait(start, x.Instance, time.Second)
	}
	sent := map[time.Duration]int{}
	for _, after := range []time.Duration{1000, 1010, 1400, 2100} {
		after *= time.Millisecond
		for range 200 {
			if _, refusal := b.Pick(start.Add(after), request("k")); refusal == nil {
				sent[after]++
			}
		}
	}
	assert.Equal(t, sent[1000*time.Millisecond], 2, "one each")
	assert.Equal(t, sent[1010*time.Millisecond], 0)
	assert.Assert(t, sent[1400*time.Millisecond] <= 2, "%v", sent)
	assert.Assert(t, sent[2100*time.Millisecond] > 2, "%v", sent)

	b = balancer("e1", "n1", v)
	b.Done(start, pick(t, b, start, request("k")), shbalance.Answered{})
	b.ObserveWait(start, chosen.Backend.Instance, time.Second)
	other := pick(t, b, start, request("k"))
	assert.Assert(t, other.Backend.ID != chosen.Backend.ID)
	b.Done(start.Add(100*time.Millisecond), other, shbalance.Answered{})
	again := pick(t, b, start.Add(1100*time.Millisecond), request("k"))
	assert.Assert(t, again.Warm)
}

// Guards against a statement that counts as a failure: the backend server gets its
// part of the work afterwards.
func TestDeclinedIsNoFailure(t *testing.T) {
	v := only("n1-0", "n1-1")
	b := balancer("e1", "n1", v)
	r := request("")
	r.Route.Sticky = false
	for range 20 {
		b.Done(start, pick(t, b, start, r), shbalance.Declined{Load: &shbalance.Load{Running: 0, Slots: 3}})
	}
	used := map[shmodel.BackendServer]int{}
	for range 4 {
		used[pick(t, b, start, r).Backend.ID]++
	}
	assert.Equal(t, len(used), 2, "%v", used)
}

// Guards against a request that is sent against a statement, whatever the order of
// statements, views, incarnations and results, and against a backend server that
// gets nothing although no statement forbids it.
func TestStatementsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []shmodel.BackendServer{"n1-0", "n2-0", "s1-0"}
		born := map[shmodel.BackendServer]int64{}
		leaving := map[shfleet.Instance]bool{}
		until := map[shfleet.Instance]time.Time{}
		var now time.Time
		forbidden := func(i shfleet.Instance) bool { return leaving[i] || now.Before(until[i]) }
		b := balancer("e1", "n1", only())
		var view shfleet.View
		var inFlight []shbalance.Choice
		now = start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			i := shfleet.Instance{ID: id, Born: 1 + rapid.Int64Range(0, born[id]).Draw(t, "born")}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				leaving[i] = true
				b.ObserveLeaving(now, i)
			case 1:
				wait := time.Duration(rapid.IntRange(-10, 9000).Draw(t, "wait ms")) * time.Millisecond
				b.ObserveWait(now, i, wait)
				if end := now.Add(wait); wait > 0 && end.After(until[i]) {
					until[i] = end
				}
			case 2:
				view = only(rapid.SliceOf(rapid.SampledFrom(ids)).Draw(t, "view")...)
				if rapid.Bool().Draw(t, "restarted") {
					born[id]++
				}
				for id, x := range view.Backends {
					x.Born = 1 + born[id]
					view.Backends[id] = x
				}
				b.Update(now, view)
			case 3:
				if len(inFlight) > 0 {
					b.Done(now, inFlight[0], drawObservation(t))
					inFlight = inFlight[1:]
				}
			default:
				c, refusal := b.Pick(now, request(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))))
				if refusal != nil {
					continue
				}
				inFlight = append(inFlight, c)
				if forbidden(c.Backend.Instance) {
					t.Fatalf("%v was chosen", c.Backend.Instance)
				}
			}
			for _, c := range inFlight {
				if forbidden(c.Backend.Instance) && b.MaySend(now, c) {
					t.Fatalf("a request may be sent to %v", c.Backend.Instance)
				}
			}
		}
		for _, c := range inFlight {
			b.Done(now, c, shbalance.Canceled{})
		}
		// Beyond every suspension and the last stated time.
		now = now.Add(20 * time.Second)
		free := slices.ContainsFunc(slices.Collect(maps.Values(view.Backends)), func(x shfleet.Backend) bool { return !forbidden(x.Instance) })
		if _, refusal := b.Pick(now, request("k")); (refusal == nil) != free {
			t.Fatalf("free %v, refusal %+v", free, refusal)
		}
	})
}
