package shslot

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func announcement() Announced {
	return Announced{
		BackendServer: "b1",
		Service:       "s",
		Address:       "127.0.0.1:80",
		Place:         shmodel.Place{Region: "r", FailureDomain: "a"},
		Incarnation:   1,
		Slots:         4,
		Connections:   10,
	}
}

// answerTo applies an announcement and returns its answer.
func answerTo(t *testing.T, table *Table, now time.Time, a Announced) AnswerAnnouncement {
	t.Helper()
	for _, e := range table.Apply(now, a) {
		if answer, ok := e.(AnswerAnnouncement); ok {
			return answer
		}
	}
	t.Fatal("no answer to the announcement")
	return AnswerAnnouncement{}
}

// leasedTable returns a table with one warm backend server, leased at 500 ms,
// and the announcement that extends the lease.
func leasedTable(t *testing.T) (*Table, Announced) {
	t.Helper()
	return leasedTableWithSlots(t, 4)
}

func leasedTableWithSlots(t *testing.T, slots int) (*Table, Announced) {
	t.Helper()
	table := New("t", 0.2)
	a := announcement()
	a.Slots = slots
	a.Nonce = answerTo(t, table, at(0), a).Nonce
	a.Nonce = answerTo(t, table, at(500*ms), a).Nonce
	return table, a
}

func reserve(table *Table, now time.Time) (Reservation, bool) {
	return table.Reserve(now, ReservationRequest{Service: "s"})
}

// reserveAll reserves and dispatches until no slot is free.
func reserveAll(table *Table, now time.Time) []Reservation {
	var out []Reservation
	for r, ok := reserve(table, now); ok; r, ok = reserve(table, now) {
		table.Dispatch(now, r.ID)
		out = append(out, r)
	}
	return out
}

// Guards against new work for a backend server without a lease.
func TestLease(t *testing.T) {
	table := New("t", 0.2)
	a := announcement()
	first := answerTo(t, table, at(0), a)
	_, ok := reserve(table, at(10*ms))
	assert.Assert(t, !ok, "lease without an echoed nonce")
	a.Nonce = first.Nonce
	answerTo(t, table, at(600*ms), a)
	_, ok = reserve(table, at(1499*ms))
	assert.Assert(t, ok)
	_, ok = reserve(table, at(1500*ms))
	assert.Assert(t, !ok, "lease counted from the announcement instead of the nonce")
}

// Guards against announcements that are wrong, contradict earlier ones or arrive
// late. Free is the number of free slots afterwards; the table starts with 2 of
// 4 usable.
func TestAnnouncementFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Announced)
		free     int
		rejected bool
	}{
		{"unchanged", func(*Announced) {}, 2, false},
		{"no name", func(a *Announced) { a.BackendServer = "" }, 2, true},
		{"no place", func(a *Announced) { a.Place.Region = "" }, 2, true},
		{"bad address", func(a *Announced) { a.Address = "nowhere" }, 2, true},
		{"no slots", func(a *Announced) { a.Slots = 0 }, 2, true},
		{"negative connections", func(a *Announced) { a.Connections = -1 }, 2, true},
		{"other address", func(a *Announced) { a.Address = "127.0.0.1:81" }, 2, true},
		{"other service", func(a *Announced) { a.Service = "x" }, 2, true},
		{"other place", func(a *Announced) { a.Place.FailureDomain = "b" }, 2, true},
		{"older incarnation", func(a *Announced) { a.Incarnation = 0 }, 2, true},
		{"newer incarnation", func(a *Announced) { a.Incarnation = 2; a.Nonce = "" }, 0, false},
		{"fewer slots", func(a *Announced) { a.Slots = 1 }, 1, false},
		{"more slots", func(a *Announced) { a.Slots = 9 }, 2, false},
		{"leaving", func(a *Announced) { a.Leaving = true }, 0, false},
		{"leaving without nonce", func(a *Announced) { a.Leaving = true; a.Nonce = "" }, 0, false},
		{"load negative", func(a *Announced) { a.Load = -1 }, 2, false},
		{"load not a number", func(a *Announced) { a.Load = math.NaN() }, 2, false},
		{"load over 1", func(a *Announced) { a.Load = 7 }, 2, false},
		{"in flight negative", func(a *Announced) { a.InFlight = -3 }, 2, false},
		{"in flight unexplained", func(a *Announced) { a.InFlight = 1 }, 1, false},
		{"in flight above slots", func(a *Announced) { a.InFlight = 5 }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, a := leasedTable(t)
			c.change(&a)
			answer := answerTo(t, table, at(500*ms), a)
			assert.Equal(t, answer.Rejected != "", c.rejected, answer.Rejected)
			assert.Equal(t, table.Load(at(500*ms), "s").Free, c.free)
		})
	}
}

// Guards against a report without requests in flight that frees slots in use.
func TestIdleReportDoesNotFreeSlots(t *testing.T) {
	table, a := leasedTable(t)
	assert.Equal(t, len(reserveAll(table, at(500*ms))), 2)
	answerTo(t, table, at(510*ms), a)
	assert.Equal(t, table.Load(at(510*ms), "s").Free, 0)
}

// Guards against a late announcement that overrides a newer one.
func TestLateAnnouncement(t *testing.T) {
	table, a := leasedTable(t)
	late := a
	a.Slots = 1
	a.Nonce = answerTo(t, table, at(600*ms), a).Nonce
	a.Slots = 1
	a.InFlight = 1
	answerTo(t, table, at(700*ms), a)
	answerTo(t, table, at(710*ms), late)
	assert.Equal(t, table.Load(at(710*ms), "s").Free, 0, "late report freed a slot")
}

// Guards against a slot that is counted as free while a request of the previous
// owner still runs, and against one that stays occupied forever.
func TestInheritedRequests(t *testing.T) {
	table := New("t", 0.2)
	a := announcement()
	a.InFlight = 2
	a.Nonce = answerTo(t, table, at(0), a).Nonce
	a.Nonce = answerTo(t, table, at(500*ms), a).Nonce
	assert.Equal(t, table.Load(at(500*ms), "s").Free, 0)
	a.InFlight = 1
	a.Nonce = answerTo(t, table, at(1000*ms), a).Nonce
	r := reserveAll(table, at(1000*ms))
	assert.Equal(t, len(r), 1)
	// The request in the report is now that of this owner; the inherited one has
	// ended.
	for now := 1500 * ms; now <= 2500*ms; now += 500 * ms {
		a.Nonce = answerTo(t, table, at(now), a).Nonce
	}
	assert.Equal(t, table.Load(at(2500*ms), "s").Occupied, 1)
}

// Guards against a new or cold backend server that gets its full load at once,
// and against one that never gets it.
func TestSlowStart(t *testing.T) {
	grow := func(a Announced, until time.Duration) int {
		table := New("t", 0.2)
		for now := time.Duration(0); now <= until; now += 500 * ms {
			a.Nonce = answerTo(t, table, at(now), a).Nonce
		}
		return table.Load(at(until), "s").Usable
	}
	cold := announcement()
	cold.Cold = true
	assert.Equal(t, grow(cold, 500*ms), 1)
	assert.Equal(t, grow(cold, 7*time.Second), 3)
	assert.Equal(t, grow(cold, 10*time.Second), 4)
	assert.Equal(t, grow(announcement(), 500*ms), 2)

	table, _ := leasedTable(t)
	for range 2 * successesPerSlot {
		r, _ := reserve(table, at(500*ms))
		table.Dispatch(at(500*ms), r.ID)
		table.Release(at(500*ms), r.ID, Completed)
	}
	assert.Equal(t, table.Load(at(500*ms), "s").Usable, 4)
}

// Guards against further overload of a backend server that refuses requests for
// overload.
func TestShedLowersConcurrency(t *testing.T) {
	table, _ := leasedTable(t)
	for _, r := range reserveAll(table, at(500*ms)) {
		table.Release(at(500*ms), r.ID, Shed)
	}
	assert.Equal(t, table.Load(at(500*ms), "s").Usable, 1)
	b := table.backends["b1"]
	b.leaseUntil = at(time.Hour)
	assert.Equal(t, table.Load(at(11*time.Second), "s").Usable, 4)
}

// Guards against a solo run that shares its backend server with another request.
func TestSolo(t *testing.T) {
	table, _ := leasedTable(t)
	now := at(600 * ms)
	busy, _ := reserve(table, now)
	table.Dispatch(now, busy.ID)
	want := ReservationRequest{Service: "s", Class: Solo, RequestID: 7}
	_, ok := table.Reserve(now, want)
	assert.Assert(t, !ok)
	_, ok = reserve(table, now)
	assert.Assert(t, !ok, "backend server kept free for a solo run got new work")
	_, ok = table.Reserve(now, ReservationRequest{Service: "s", Class: Solo, RequestID: 8})
	assert.Assert(t, !ok, "two solo waits at a time")
	effects := table.Release(now, busy.ID, Completed)
	assert.DeepEqual(t, effects, []Effect{SoloReady{RequestID: 7}})
	r, ok := table.Reserve(now, want)
	assert.Assert(t, ok && r.Solo)
	_, ok = reserve(table, now)
	assert.Assert(t, !ok, "solo run shares its backend server")
	table.Dispatch(now, r.ID)
	table.Release(now, r.ID, Abandoned)
	_, ok = reserve(table, now)
	assert.Assert(t, !ok, "abandoned solo run shares its backend server")
}

func crashes(effects []Effect) []CrashSuspected {
	var out []CrashSuspected
	for _, e := range effects {
		if c, ok := e.(CrashSuspected); ok {
			out = append(out, c)
		}
	}
	return out
}

// tableWithBrokenConnection returns a table whose backend server had two
// requests in flight when both connections broke at 500 ms.
func tableWithBrokenConnection(t *testing.T) (*Table, Announced) {
	t.Helper()
	table, a := leasedTable(t)
	table.backends["b1"].usable = 4
	var ids []ReservationID
	for i := range 3 {
		r, _ := table.Reserve(at(500*ms), ReservationRequest{Service: "s", Digest: shmodel.Digest{byte(i)}})
		ids = append(ids, r.ID)
	}
	// The third request was not dispatched and cannot have caused a crash.
	for _, id := range ids[:2] {
		assert.Assert(t, table.Dispatch(at(500*ms), id))
	}
	for _, id := range ids[:2] {
		table.Release(at(500*ms), id, Broken)
	}
	return table, a
}

// Guards against crashes that are not detected and reports of requests that
// cannot have caused a crash.
func TestCrashDetection(t *testing.T) {
	want := []CrashSuspected{{BackendServer: "b1", Digests: []shmodel.Digest{{0}, {1}}}}
	ticks := func(table *Table, from, to time.Duration) []CrashSuspected {
		var out []CrashSuspected
		for now := from; now <= to; now += 100 * ms {
			out = append(out, crashes(table.Apply(at(now), Tick{}))...)
		}
		return out
	}
	t.Run("silence", func(t *testing.T) {
		table, _ := tableWithBrokenConnection(t)
		_, ok := reserve(table, at(510*ms))
		assert.Assert(t, !ok, "new work after a broken connection")
		assert.Equal(t, len(ticks(table, 600*ms, 1900*ms)), 0)
		assert.DeepEqual(t, ticks(table, 2000*ms, 9000*ms), want)
	})
	t.Run("connection refused", func(t *testing.T) {
		table, a := tableWithBrokenConnection(t)
		refused := ConnectionRefused{BackendServer: "b1", Incarnation: a.Incarnation}
		assert.DeepEqual(t, crashes(table.Apply(at(510*ms), refused)), want)
		assert.Equal(t, len(crashes(table.Apply(at(511*ms), refused))), 0)
		assert.Equal(t, len(ticks(table, 600*ms, 9000*ms)), 0)
		_, ok := reserve(table, at(520*ms))
		assert.Assert(t, !ok, "new work for a process that is gone")
		table, _ = tableWithBrokenConnection(t)
		refused.Incarnation++
		assert.Equal(t, len(crashes(table.Apply(at(510*ms), refused))), 0)
		table, _ = leasedTable(t)
		assert.Equal(t, len(crashes(table.Apply(at(510*ms), ConnectionRefused{BackendServer: "b1", Incarnation: a.Incarnation}))), 0)
	})
	t.Run("new incarnation", func(t *testing.T) {
		table, a := tableWithBrokenConnection(t)
		a.Incarnation, a.Nonce = 2, ""
		assert.DeepEqual(t, crashes(table.Apply(at(700*ms), a)), want)
	})
	t.Run("alive", func(t *testing.T) {
		table, a := tableWithBrokenConnection(t)
		a.Nonce = answerTo(t, table, at(900*ms), a).Nonce
		_, ok := reserve(table, at(900*ms))
		assert.Assert(t, ok, "no work after an announcement without requests in flight")
		effects := table.Apply(at(1300*ms), a)
		assert.Equal(t, effects[0], BreakCleared{BackendServer: "b1"})
		assert.Equal(t, len(ticks(table, 1400*ms, 9000*ms)), 0)
	})
	t.Run("announcement sent before the crash", func(t *testing.T) {
		table, a := tableWithBrokenConnection(t)
		answerTo(t, table, at(501*ms), a)
		assert.DeepEqual(t, ticks(table, 600*ms, 9000*ms), want)
	})
	t.Run("released", func(t *testing.T) {
		table, _ := tableWithBrokenConnection(t)
		table.Apply(at(600*ms), StopBegun{})
		assert.Assert(t, answerTo(t, table, at(700*ms), announcement()).Released)
		assert.Equal(t, len(ticks(table, 800*ms, 9000*ms)), 0)
	})
	t.Run("break seen after a pause", func(t *testing.T) {
		table, _ := leasedTable(t)
		r, _ := reserve(table, at(500*ms))
		table.Dispatch(at(500*ms), r.ID)
		table.Release(at(3000*ms), r.ID, Broken)
		assert.Equal(t, len(ticks(table, 3000*ms, 9000*ms)), 0)
	})
	t.Run("break seen after the lease", func(t *testing.T) {
		table, _ := leasedTable(t)
		r, _ := reserve(table, at(500*ms))
		table.Dispatch(at(500*ms), r.ID)
		ticks(table, 600*ms, 2000*ms)
		table.Release(at(2000*ms), r.ID, Broken)
		assert.Equal(t, len(ticks(table, 2000*ms, 9000*ms)), 1)
	})
	t.Run("paused owner", func(t *testing.T) {
		table, a := tableWithBrokenConnection(t)
		assert.Equal(t, len(crashes(table.Apply(at(5*time.Second), Tick{}))), 0)
		a.Nonce = answerTo(t, table, at(5001*ms), a).Nonce
		a.Nonce = answerTo(t, table, at(5500*ms), a).Nonce
		assert.Equal(t, len(ticks(table, 5600*ms, 5800*ms)), 0)
		// Once the lease is renewed, missing announcements indicate a crash again.
		r, ok := reserve(table, at(5800*ms))
		assert.Assert(t, ok && table.Dispatch(at(5800*ms), r.ID))
		table.Release(at(5800*ms), r.ID, Broken)
		assert.Equal(t, len(ticks(table, 5900*ms, 9000*ms)), 1)
	})
}

// Guards against a planned stop that keeps backend servers or releases them
// without naming another owner.
func TestHandover(t *testing.T) {
	table, a := leasedTable(t)
	table.Apply(at(600*ms), StopBegun{Owners: []string{"127.0.0.1:1"}})
	r, ok := reserve(table, at(600*ms))
	assert.Assert(t, ok, "not released yet")
	effects := table.Apply(at(1000*ms), a)
	assert.DeepEqual(t, effects, []Effect{
		AnswerAnnouncement{BackendServer: "b1", Released: true, Owners: []string{"127.0.0.1:1"}},
		HandoverDone{},
	})
	assert.Assert(t, !table.Dispatch(at(1000*ms), r.ID), "dispatch after release")
}
