package shslot

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

const (
	seeds = 200
	step  = 10 * ms
	// drift is the clock drift between any VM and true time.
	drift = 0.02
)

// run is one request at the fake backend server.
type run struct {
	owner *fakeOwner
	id    ReservationID
	until time.Duration
	// abandonAt is when the owner gives up; the request runs on. Zero is never.
	abandonAt time.Duration
}

// fakeBackend is a backend server that obeys the announcement protocol. It
// turns to the next owner when no answer came for a lease plus 5%, which covers
// two clocks that drift 2% in opposite directions.
type fakeBackend struct {
	Announced
	clock     float64
	owner     int
	nextAt    time.Duration
	answered  time.Duration
	leavingAt time.Duration
	running   []run
}

type fakeOwner struct {
	table       *Table
	clock       float64
	frozenUntil time.Duration
	reserved    []Reservation
	ended       []ReservationID
	mail        []*fakeBackend
	sent        []Announced
}

func (o *fakeOwner) now(d time.Duration) time.Time {
	return at(time.Duration(float64(d) * o.clock))
}

type history struct {
	t      *testing.T
	rand   *rand.Rand
	owners []*fakeOwner
	fakes  []*fakeBackend
	served int
}

func newHistory(t *testing.T, seed int64) *history {
	h := &history{t: t, rand: rand.New(rand.NewSource(seed))}
	for i := range 2 {
		clock := 1 + drift*(2*h.rand.Float64()-1)
		h.owners = append(h.owners, &fakeOwner{table: New(fmt.Sprint(i), 0.2), clock: clock})
	}
	for i := range 3 {
		a := announcement()
		a.BackendServer = shmodel.BackendServer(fmt.Sprint("b", i))
		a.Slots = 1 + h.rand.Intn(3)
		h.fakes = append(h.fakes, &fakeBackend{Announced: a, clock: 1 + drift*(2*h.rand.Float64()-1), owner: h.rand.Intn(2)})
	}
	h.fakes[0].leavingAt = time.Duration(8+h.rand.Intn(4)) * time.Second
	return h
}

func (h *history) chance(perMille int) bool { return h.rand.Intn(1000) < perMille }

// announce sends what is due. Messages to a frozen owner wait for it.
func (h *history) announce(d time.Duration, f *fakeBackend) {
	limit := time.Duration(float64(LeaseDuration) * 1.05 / f.clock)
	if d-f.answered > limit {
		f.owner = 1 - f.owner
		f.Nonce = ""
		f.answered = d
	}
	if d < f.nextAt {
		return
	}
	f.nextAt = d + time.Duration(float64(500*ms)/f.clock)
	a := f.Announced
	a.InFlight = len(f.running)
	a.Leaving = f.leavingAt > 0 && d >= f.leavingAt
	o := h.owners[f.owner]
	o.mail = append(o.mail, f)
	o.sent = append(o.sent, a)
}

// work lets an owner read its messages, serve and sometimes freeze.
func (h *history) work(d time.Duration, o *fakeOwner) {
	if d < o.frozenUntil {
		return
	}
	now := o.now(d)
	// Reservations from before a freeze are sent first: the worst order.
	for _, r := range o.reserved {
		h.dispatch(d, o, r)
	}
	o.reserved = nil
	for i, f := range o.mail {
		for _, e := range o.table.Apply(now, o.sent[i]) {
			if a, ok := e.(AnswerAnnouncement); ok && h.owners[f.owner] == o && !h.chance(50) {
				f.Nonce, f.answered = a.Nonce, d
			}
		}
	}
	o.mail, o.sent = nil, nil
	for _, id := range o.ended {
		o.table.Release(now, id, Completed)
	}
	o.ended = nil
	reported := crashes(o.table.Apply(now, Tick{}))
	assert.Assert(h.t, len(reported) == 0, "at %v: no backend server died, yet %+v", d, reported)
	for range 2 {
		if r, ok := reserve(o.table, now); ok {
			o.reserved = append(o.reserved, r)
		}
	}
	// Most freezes hit between Reserve and Dispatch.
	if h.chance(2) || len(o.reserved) > 0 && h.chance(40) {
		o.frozenUntil = d + time.Duration(h.rand.Intn(4000))*ms
		return
	}
	for _, r := range o.reserved {
		h.dispatch(d, o, r)
	}
	o.reserved = nil
}

func (h *history) dispatch(d time.Duration, o *fakeOwner, r Reservation) {
	if !o.table.Dispatch(o.now(d), r.ID) {
		o.table.Release(o.now(d), r.ID, NotDispatched)
		return
	}
	for _, f := range h.fakes {
		if f.BackendServer != r.BackendServer {
			continue
		}
		h.served++
		// Some runs last longer than a lease, so that another owner inherits them.
		length := 1 + h.rand.Intn(300)
		if h.chance(200) {
			length = 3000
		}
		started := run{owner: o, id: r.ID, until: d + time.Duration(length)*ms}
		if h.chance(200) {
			started.abandonAt = d + time.Duration(h.rand.Intn(700))*ms
		}
		f.running = append(f.running, started)
		assert.Assert(h.t, len(f.running) <= f.Slots, "at %v: slots of %s exceeded", d, r.BackendServer)
		late := f.leavingAt > 0 && d > f.leavingAt+2*time.Second
		assert.Assert(h.t, !late, "at %v: new work for %s, which is leaving since %v", d, r.BackendServer, f.leavingAt)
	}
}

// gaveUp is how an owner loses a request that runs on: most connections that
// break do so without a crash.
func (h *history) gaveUp() Result {
	if h.chance(500) {
		return Broken
	}
	return Abandoned
}

func (h *history) finish(d time.Duration, f *fakeBackend) {
	kept := f.running[:0]
	for _, r := range f.running {
		if r.abandonAt > 0 && d >= r.abandonAt && d >= r.owner.frozenUntil {
			r.owner.table.Release(r.owner.now(d), r.id, h.gaveUp())
		}
		if d < r.until {
			kept = append(kept, r)
			continue
		}
		r.owner.ended = append(r.owner.ended, r.id)
	}
	f.running = kept
}

// Guards against slots that two owners fill, with owners that freeze for up to
// 4 s at any point before Dispatch, lost answers and 2% clock drift; against
// new work 2 s after a backend server began to leave; and against reports of
// crashes when only connections broke.
func TestSlotsNeverExceeded(t *testing.T) {
	served := 0
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHistory(t, seed)
			for d := step; d < 20*time.Second; d += step {
				for _, f := range h.fakes {
					h.finish(d, f)
					h.announce(d, f)
				}
				for _, o := range h.owners {
					h.work(d, o)
				}
			}
			served += h.served
		})
	}
	assert.Assert(t, served > 40*seeds, "only %d requests served", served)
}

// lender drives a table that lends to one VM of another region.
type lender struct {
	t       *testing.T
	rand    *rand.Rand
	table   *Table
	held    []CreditGranted
	heldAt  []time.Duration
	running []ReservationID
}

func (l *lender) reserve(now time.Duration, w ReservationRequest) bool {
	r, ok := l.table.Reserve(at(now), w)
	if ok {
		l.table.Dispatch(at(now), r.ID)
		l.running = append(l.running, r.ID)
	}
	return ok
}

func (l *lender) borrow(now time.Duration) {
	before := l.table.Load(at(now), "s")
	c := l.table.Apply(at(now), CreditRequested{VM: "v", Service: "s", Count: 1 + l.rand.Intn(5)})[0].(CreditGranted)
	if c.Count == 0 {
		return
	}
	assert.Assert(l.t, before.Free-c.Count >= 4, "lent from the reserve of 20%% of 20 slots")
	ramp := 1 + int(20*(now-500*ms)/(10*time.Second))
	assert.Assert(l.t, c.Count <= ramp, "at %v: %d credits without ramp", now, c.Count)
	l.held = append(l.held, c)
	l.heldAt = append(l.heldAt, now)
}

// use takes a slot with the oldest credit.
func (l *lender) use(now time.Duration) {
	if len(l.held) == 0 {
		return
	}
	ok := l.reserve(now, ReservationRequest{Service: "s", Class: Remote, Credit: l.held[0].ID})
	valid := now-l.heldAt[0] <= CreditDuration
	assert.Assert(l.t, ok || !valid, "at %v: credit without a slot", now)
	l.held[0].Count--
	if !ok || l.held[0].Count == 0 {
		l.held = l.held[1:]
		l.heldAt = l.heldAt[1:]
	}
}

// Guards against credits without a free slot behind them, credits from the
// reserve, and shifts without a ramp.
func TestCreditsAreBacked(t *testing.T) {
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			table, a := leasedSlots(t, 20)
			l := &lender{t: t, rand: rand.New(rand.NewSource(seed)), table: table}
			for now := 500 * ms; now < 20*time.Second; now += 50 * ms {
				if now%(500*ms) == 0 {
					a.InFlight = len(l.running)
					a.Nonce = answerTo(t, table, at(now), a).Nonce
				}
				switch l.rand.Intn(5) {
				case 0:
					l.borrow(now)
				case 1, 2:
					l.reserve(now, ReservationRequest{Service: "s"})
				case 3:
					l.use(now)
				case 4:
					if len(l.running) > 0 {
						table.Release(at(now), l.running[0], Completed)
						l.running = l.running[1:]
					}
				}
				load := table.Load(at(now), "s")
				assert.Assert(t, load.Occupied+load.Lent <= load.Slots, "at %v: %+v", now, load)
			}
		})
	}
}
