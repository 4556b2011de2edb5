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
	// drift is the largest clock drift of a VM against true time.
	drift = 0.02
)

// fakeRequest is a request that runs at a fakeBackend.
type fakeRequest struct {
	owner *fakeOwner
	id    ReservationID
	until time.Duration
	// abandonAt is when the owner gives up although the request still runs.
	// Zero means never.
	abandonAt time.Duration
}

// fakeBackend is a backend server that follows the announcement protocol. It
// turns to the other owner after a lease plus 5% without an answer, which covers
// two clocks that drift 2% in opposite directions.
type fakeBackend struct {
	Announced
	clockRate  float64
	owner      int
	nextAt     time.Duration
	answeredAt time.Duration
	leavingAt  time.Duration
	running    []fakeRequest
}

type fakeOwner struct {
	table       *Table
	clockRate   float64
	frozenUntil time.Duration
	reserved    []Reservation
	ended       []ReservationID
	senders     []*fakeBackend
	inbox       []Announced
}

func (o *fakeOwner) now(d time.Duration) time.Time {
	return at(time.Duration(float64(d) * o.clockRate))
}

type simulation struct {
	t          *testing.T
	rand       *rand.Rand
	owners     []*fakeOwner
	backends   []*fakeBackend
	dispatched int
}

func newSimulation(t *testing.T, seed int64) *simulation {
	sim := &simulation{t: t, rand: rand.New(rand.NewSource(seed))}
	for i := range 2 {
		clock := 1 + drift*(2*sim.rand.Float64()-1)
		sim.owners = append(sim.owners, &fakeOwner{table: New(fmt.Sprint(i), 0.2), clockRate: clock})
	}
	for i := range 3 {
		a := announcement()
		a.BackendServer = shmodel.BackendServer(fmt.Sprint("b", i))
		a.Slots = 1 + sim.rand.Intn(3)
		sim.backends = append(sim.backends, &fakeBackend{Announced: a, clockRate: 1 + drift*(2*sim.rand.Float64()-1), owner: sim.rand.Intn(2)})
	}
	sim.backends[0].leavingAt = time.Duration(8+sim.rand.Intn(4)) * time.Second
	return sim
}

func (sim *simulation) chance(perMille int) bool { return sim.rand.Intn(1000) < perMille }

// announce sends the announcement that is due, if any. Announcements to a frozen
// owner wait in its inbox.
func (sim *simulation) announce(d time.Duration, f *fakeBackend) {
	limit := time.Duration(float64(LeaseDuration) * 1.05 / f.clockRate)
	if d-f.answeredAt > limit {
		f.owner = 1 - f.owner
		f.Nonce = ""
		f.answeredAt = d
	}
	if d < f.nextAt {
		return
	}
	f.nextAt = d + time.Duration(float64(500*ms)/f.clockRate)
	a := f.Announced
	a.InFlight = len(f.running)
	a.Leaving = f.leavingAt > 0 && d >= f.leavingAt
	o := sim.owners[f.owner]
	o.senders = append(o.senders, f)
	o.inbox = append(o.inbox, a)
}

// runOwner lets an owner read its inbox, dispatch requests and sometimes freeze.
func (sim *simulation) runOwner(d time.Duration, o *fakeOwner) {
	if d < o.frozenUntil {
		return
	}
	now := o.now(d)
	// Reservations from before a freeze are dispatched before the inbox is read,
	// which is the worst order.
	for _, r := range o.reserved {
		sim.dispatch(d, o, r)
	}
	o.reserved = nil
	for i, f := range o.senders {
		for _, e := range o.table.Apply(now, o.inbox[i]) {
			if a, ok := e.(AnswerAnnouncement); ok && sim.owners[f.owner] == o && !sim.chance(50) {
				f.Nonce, f.answeredAt = a.Nonce, d
			}
		}
	}
	o.senders, o.inbox = nil, nil
	for _, id := range o.ended {
		o.table.Release(now, id, Completed)
	}
	o.ended = nil
	reported := crashes(o.table.Apply(now, Tick{}))
	assert.Assert(sim.t, len(reported) == 0, "at %v: crashes reported although none occurred: %+v", d, reported)
	for range 2 {
		if r, ok := reserve(o.table, now); ok {
			o.reserved = append(o.reserved, r)
		}
	}
	// Most freezes happen between Reserve and Dispatch.
	if sim.chance(2) || len(o.reserved) > 0 && sim.chance(40) {
		o.frozenUntil = d + time.Duration(sim.rand.Intn(4000))*ms
		return
	}
	for _, r := range o.reserved {
		sim.dispatch(d, o, r)
	}
	o.reserved = nil
}

func (sim *simulation) dispatch(d time.Duration, o *fakeOwner, r Reservation) {
	if !o.table.Dispatch(o.now(d), r.ID) {
		o.table.Release(o.now(d), r.ID, NotDispatched)
		return
	}
	for _, f := range sim.backends {
		if f.BackendServer != r.BackendServer {
			continue
		}
		sim.dispatched++
		// Some requests last longer than a lease, so that another owner inherits
		// them.
		length := 1 + sim.rand.Intn(300)
		if sim.chance(200) {
			length = 3000
		}
		started := fakeRequest{owner: o, id: r.ID, until: d + time.Duration(length)*ms}
		if sim.chance(200) {
			started.abandonAt = d + time.Duration(sim.rand.Intn(700))*ms
		}
		f.running = append(f.running, started)
		assert.Assert(sim.t, len(f.running) <= f.Slots, "at %v: slots of %s exceeded", d, r.BackendServer)
		late := f.leavingAt > 0 && d > f.leavingAt+2*time.Second
		assert.Assert(sim.t, !late, "at %v: new work for %s, which is leaving since %v", d, r.BackendServer, f.leavingAt)
	}
}

// lossResult returns the result with which an owner ends the reservation of a
// request that still runs. Broken is included, because most connections break
// without a crash.
func (sim *simulation) lossResult() Result {
	if sim.chance(500) {
		return Broken
	}
	return Abandoned
}

// endRequests abandons and completes the requests of f that are due.
func (sim *simulation) endRequests(d time.Duration, f *fakeBackend) {
	kept := f.running[:0]
	for _, r := range f.running {
		if r.abandonAt > 0 && d >= r.abandonAt && d >= r.owner.frozenUntil {
			r.owner.table.Release(r.owner.now(d), r.id, sim.lossResult())
		}
		if d < r.until {
			kept = append(kept, r)
			continue
		}
		r.owner.ended = append(r.owner.ended, r.id)
	}
	f.running = kept
}

// Guards against slots that two owners use at the same time, with owners that
// freeze for up to 4 s at any point before Dispatch, lost answers and 2% clock
// drift; against new work later than 2 s after a backend server began to leave;
// and against crashes that are reported when only connections broke.
func TestSlotsNeverExceeded(t *testing.T) {
	dispatched := 0
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			for d := step; d < 20*time.Second; d += step {
				for _, f := range sim.backends {
					sim.endRequests(d, f)
					sim.announce(d, f)
				}
				for _, o := range sim.owners {
					sim.runOwner(d, o)
				}
			}
			dispatched += sim.dispatched
		})
	}
	assert.Assert(t, dispatched > 40*seeds, "only %d requests dispatched", dispatched)
}

// creditSimulation drives a table that lends slots to one VM of another region.
type creditSimulation struct {
	t          *testing.T
	rand       *rand.Rand
	table      *Table
	credits    []CreditGranted
	creditedAt []time.Duration
	running    []ReservationID
}

func (sim *creditSimulation) reserve(now time.Duration, q ReservationRequest) bool {
	r, ok := sim.table.Reserve(at(now), q)
	if ok {
		sim.table.Dispatch(at(now), r.ID)
		sim.running = append(sim.running, r.ID)
	}
	return ok
}

func (sim *creditSimulation) borrow(now time.Duration) {
	before := sim.table.Load(at(now), "s")
	c := sim.table.Apply(at(now), CreditRequested{VM: "v", Service: "s", Count: 1 + sim.rand.Intn(5)})[0].(CreditGranted)
	if c.Count == 0 {
		return
	}
	assert.Assert(sim.t, before.Free-c.Count >= 4, "slots of the reserve were lent, which is 20%% of 20 slots")
	ramp := 1 + int(20*(now-500*ms)/(10*time.Second))
	assert.Assert(sim.t, c.Count <= ramp, "at %v: %d credits exceed the ramp", now, c.Count)
	sim.credits = append(sim.credits, c)
	sim.creditedAt = append(sim.creditedAt, now)
}

// use reserves a slot with the oldest credit.
func (sim *creditSimulation) use(now time.Duration) {
	if len(sim.credits) == 0 {
		return
	}
	ok := sim.reserve(now, ReservationRequest{Service: "s", Class: Remote, Credit: sim.credits[0].ID})
	valid := now-sim.creditedAt[0] <= CreditDuration
	assert.Assert(sim.t, ok || !valid, "at %v: credit without a slot", now)
	sim.credits[0].Count--
	if !ok || sim.credits[0].Count == 0 {
		sim.credits = sim.credits[1:]
		sim.creditedAt = sim.creditedAt[1:]
	}
}

// Guards against valid credits for which no slot is free, credits granted from
// the reserve of the region, and shifts of load without a ramp.
func TestCreditsAreBacked(t *testing.T) {
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			table, a := leasedTableWithSlots(t, 20)
			sim := &creditSimulation{t: t, rand: rand.New(rand.NewSource(seed)), table: table}
			for now := 500 * ms; now < 20*time.Second; now += 50 * ms {
				if now%(500*ms) == 0 {
					a.InFlight = len(sim.running)
					a.Nonce = answerTo(t, table, at(now), a).Nonce
				}
				switch sim.rand.Intn(5) {
				case 0:
					sim.borrow(now)
				case 1, 2:
					sim.reserve(now, ReservationRequest{Service: "s"})
				case 3:
					sim.use(now)
				case 4:
					if len(sim.running) > 0 {
						table.Release(at(now), sim.running[0], Completed)
						sim.running = sim.running[1:]
					}
				}
				load := table.Load(at(now), "s")
				assert.Assert(t, load.Occupied+load.Lent <= load.Slots, "at %v: %+v", now, load)
			}
		})
	}
}
