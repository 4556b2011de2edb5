package main

import (
	"slices"
	"time"

	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// requestBytes is the size of a request, which is added to that of its answer on
// a link.
const requestBytes = 1 << 10

// vm is one entry VM.
type vm struct {
	sim         *simulation
	index       int
	region      int
	name        shmodel.VM
	place       shmodel.Place
	policy      shrouting.Policy
	alive       bool
	reportsIdle bool
	// incarnation increases with each failure. Events of earlier incarnations have
	// no effect.
	incarnation int
	table       *shslot.Table
	trackers    []shrouting.PeerTracker
	waiting     [][]*idempotentRequest
	meanService []time.Duration
	// creditsWanted is set for services for which credits would have been of use
	// since the last tick.
	creditsWanted []bool
	credits       []map[int]*heldCredits
	// spare is the number of slots that each VM can lend, from its last report.
	spare   []map[int]int
	buckets map[int]*bucket
}

// heldCredits holds credits for slots of another VM.
type heldCredits struct {
	id    shslot.CreditID
	left  int
	until time.Duration
}

// bucket is the token bucket of one link.
type bucket struct {
	tokens float64
	at     time.Duration
}

// idempotentRequest is one request of a caller.
type idempotentRequest struct {
	ID      shmodel.RequestID
	service service
	index   int
	region  int
	sentAt  time.Duration
	// returnLatency is the latency from the entry VM to the caller.
	returnLatency time.Duration
	origin        *vm
	tried         []shmodel.VM
	// forwarded is set while the request is at another VM than the one that
	// received it from the caller.
	forwarded bool
	credit    shslot.CreditID
	forward   shrouting.ForwardID
	waits     bool
	// stay counts how often the request was queued. Timers of an earlier stay in a
	// queue have no effect.
	stay int
}

func (q *idempotentRequest) remaining(now time.Duration) time.Duration {
	return q.sentAt + q.service.timeout - now - q.returnLatency
}

func (v *vm) reset() {
	n := len(v.sim.services)
	limits := shconfig.Limits{}.WithDefaults(v.sim.objective())
	v.table = shslot.New(string(v.name)+"-"+time.Duration(v.incarnation).String(), limits.ReserveShare)
	v.trackers = make([]shrouting.PeerTracker, n)
	v.waiting = make([][]*idempotentRequest, n)
	v.meanService = make([]time.Duration, n)
	v.creditsWanted = make([]bool, n)
	v.credits = make([]map[int]*heldCredits, n)
	v.spare = make([]map[int]int, n)
	for i := range n {
		v.credits[i] = map[int]*heldCredits{}
		v.spare[i] = map[int]int{}
	}
	v.buckets = map[int]*bucket{}
}

func (v *vm) fail() {
	v.alive = false
	v.incarnation++
	for _, other := range v.sim.vms {
		for i := range other.trackers {
			other.trackers[i].SetHealthy(v.name, false)
		}
	}
}

func (v *vm) restart() {
	v.alive = true
	v.reset()
}

// receive handles a request that arrives from its caller.
func (v *vm) receive(q *idempotentRequest) {
	if !v.alive {
		v.sim.after(callerRetry, func() { v.sim.send(q) })
		return
	}
	q.origin = v
	q.forwarded = false
	q.tried = nil
	v.choose(q)
}

func (v *vm) snapshot(q *idempotentRequest) *shrouting.Snapshot {
	now := v.sim.time()
	load := v.table.Load(now, q.service.name)
	queued := len(v.waiting[q.index])
	if q.waits {
		queued = slices.Index(v.waiting[q.index], q)
	}
	s := &shrouting.Snapshot{
		Objective:      v.sim.objective(),
		Own:            shrouting.Own{VM: v.name, Place: v.place, Free: load.Free, Usable: load.Usable, Queued: queued},
		Peers:          v.trackers[q.index].Peers(now),
		InnerRoundTrip: 2 * v.sim.domainLatency,
		MeanService:    v.meanService[q.index],
	}
	for i, other := range v.sim.vms {
		c := v.credits[q.index][i]
		if other.region == v.region {
			continue
		}
		m := shrouting.Remote{
			VM: other.name, Place: other.place, LinkFreeBytes: v.linkFree(other.region),
			RoundTrip: 2 * v.sim.regionLatency, Free: v.spare[q.index][i], Healthy: other.alive,
		}
		if c != nil && v.sim.now < c.until {
			m.Credits, m.Credit = c.left, uint64(c.id)
		}
		s.Regions = append(s.Regions, m)
	}
	return s
}

func (v *vm) choose(q *idempotentRequest) {
	s := v.snapshot(q)
	r := shrouting.Request{
		ID: q.ID, Kind: shmodel.Idempotent, Remaining: q.remaining(v.sim.now),
		Bytes: q.service.answerBytes + requestBytes, Forwarded: q.forwarded, Tried: q.tried,
	}
	choice := v.policy.Choose(s, r)
	v.creditsWanted[q.index] = v.creditsWanted[q.index] || s.WantsCredits(r)
	switch c := choice.(type) {
	case shrouting.ServeOwn:
		if !v.serve(q) {
			v.wait(q)
		}
	case shrouting.Forward:
		q.forward = v.trackers[q.index].Begin(v.sim.time(), c.VM)
		v.forwardTo(q, v.sim.vm(c.VM))
	case shrouting.Shift:
		to := v.sim.vm(c.VM)
		v.credits[q.index][to.index].left--
		v.useLink(to.region, q.service.answerBytes+requestBytes)
		q.credit = shslot.CreditID(c.Credit)
		v.forwardTo(q, to)
	case shrouting.Wait:
		v.wait(q)
	case shrouting.Refuse:
		v.refuse(q)
	}
}

func (w *simulation) vm(name shmodel.VM) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	return w.vms[i]
}

// forwardTo forwards a request to another VM.
func (v *vm) forwardTo(q *idempotentRequest, to *vm) {
	v.leaveQueue(q)
	w := v.sim
	incarnation := v.incarnation
	w.after(w.distance(v, to), func() {
		if !to.alive {
			w.after(w.distance(v, to), func() { v.onRejected(q, to, incarnation) })
			return
		}
		q.forwarded = true
		if !to.serve(q) {
			to.choose(q)
		}
	})
}

// onRejected makes another choice after another VM has refused a forwarded
// request.
func (v *vm) onRejected(q *idempotentRequest, from *vm, incarnation int) {
	if incarnation != v.incarnation || !v.alive {
		v.sim.after(callerRetry, func() { v.sim.send(q) })
		return
	}
	v.trackers[q.index].End(v.sim.time(), q.forward, true)
	q.forwarded = false
	q.credit = 0
	q.tried = append(q.tried, from.name)
	v.choose(q)
}

func (v *vm) serve(q *idempotentRequest) bool {
	w := v.sim
	want := shslot.ReservationRequest{Service: q.service.name, RequestID: q.ID}
	if q.credit != 0 {
		want.Class, want.Credit = shslot.Remote, q.credit
	}
	r, ok := v.table.Reserve(w.time(), want)
	if !ok || !v.table.Dispatch(w.time(), r.ID) {
		return false
	}
	v.leaveQueue(q)
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.BackendServer == r.BackendServer })
	s, incarnation := w.servers[i], v.incarnation
	s.InFlight++
	d := w.serviceTime(s, q.service.mean)
	w.after(2*w.domainLatency+d, func() {
		s.InFlight--
		if incarnation != v.incarnation || !v.alive || !s.alive {
			w.after(callerRetry, func() { w.send(q) })
			return
		}
		v.table.Release(w.time(), r.ID, shslot.Completed)
		v.updateMean(q.index, d)
		v.answer(q)
		v.serveQueued(q.index)
	})
	return true
}

// updateMean updates the moving average of the service time, over about 20
// requests.
func (v *vm) updateMean(i int, d time.Duration) {
	if v.meanService[i] == 0 {
		v.meanService[i] = d
	}
	v.meanService[i] += (d - v.meanService[i]) / 20
}

func (v *vm) answer(q *idempotentRequest) {
	w := v.sim
	delay := q.returnLatency
	if q.forwarded {
		origin := q.origin
		delay += w.distance(v, origin)
		forward := q.forward
		w.after(w.distance(v, origin), func() { origin.trackers[q.index].End(w.time(), forward, false) })
	}
	w.result.recordAnswer(w.now, w.now+delay-q.sentAt, q.service.timeout)
}

// wait queues a request. A new choice is made every rechooseInterval while it
// waits.
func (v *vm) wait(q *idempotentRequest) {
	if !q.waits {
		q.waits = true
		q.stay++
		v.waiting[q.index] = append(v.waiting[q.index], q)
	}
	incarnation, stay := v.incarnation, q.stay
	v.sim.after(rechooseInterval, func() {
		switch {
		case !q.waits || q.stay != stay:
		case incarnation != v.incarnation:
			q.waits = false
			v.sim.after(callerRetry, func() { v.sim.send(q) })
		default:
			q.tried = nil
			v.choose(q)
		}
	})
}

func (v *vm) leaveQueue(q *idempotentRequest) {
	if q.waits {
		q.waits = false
		v.waiting[q.index] = slices.DeleteFunc(v.waiting[q.index], func(o *idempotentRequest) bool { return o == q })
	}
}

// serveQueued serves waiting requests while slots are free.
func (v *vm) serveQueued(i int) {
	for len(v.waiting[i]) > 0 && v.serve(v.waiting[i][0]) {
		continue
	}
}

func (v *vm) refuse(q *idempotentRequest) {
	v.leaveQueue(q)
	w := v.sim
	if q.forwarded && q.remaining(w.now) > q.service.mean {
		origin := q.origin
		incarnation := origin.incarnation
		w.after(w.distance(v, origin), func() { origin.onRejected(q, v, incarnation) })
		return
	}
	if q.forwarded {
		q.origin.trackers[q.index].End(w.time(), q.forward, true)
	}
	w.result.recordRefusal(w.now, w.servable(q))
}

// servable reports whether a slot was free that the request could have used: any
// slot in its region, or a spare slot in another region.
func (w *simulation) servable(q *idempotentRequest) bool {
	for _, v := range w.vms {
		if !v.alive || q.remaining(w.now) < q.service.mean {
			continue
		}
		load := v.table.Load(w.time(), q.service.name)
		local := v.region == q.origin.region && load.Free > 0
		remote := load.Spare > 0 && q.remaining(w.now) > q.service.mean+2*w.regionLatency && q.origin.linkFree(v.region) > q.service.answerBytes
		if local || remote {
			return true
		}
	}
	return false
}
