package main

import (
	"slices"
	"time"

	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// requestBytes is what a request adds to the bytes of its answer on a link.
const requestBytes = 1 << 10

// vm is one entry VM.
type vm struct {
	world      *world
	index      int
	region     int
	name       shmodel.VM
	place      shmodel.Place
	policy     shrouting.Policy
	alive      bool
	claimsIdle bool
	// life rises with each restart; events of earlier lives have no effect.
	life    int
	table   *shslot.Table
	books   []shrouting.PeerTracker
	waiting [][]*lookup
	mean    []time.Duration
	// wanted says that credits would have helped since the last tick.
	wanted  []bool
	credits []map[int]*held
	// spare is the reported number of slots that VMs can lend.
	spare   []map[int]int
	buckets map[int]*bucket
}

// held are credits of another VM.
type held struct {
	id    shslot.CreditID
	left  int
	until time.Duration
}

// bucket paces one link.
type bucket struct {
	tokens float64
	at     time.Duration
}

// lookup is one request of a caller.
type lookup struct {
	ID      shmodel.RequestID
	service service
	index   int
	region  int
	born    time.Duration
	// back is the latency from the entry VM to the caller.
	back   time.Duration
	origin *vm
	tried  []shmodel.VM
	// forwarded is set while the lookup is at another VM.
	forwarded bool
	credit    shslot.CreditID
	forward   shrouting.ForwardID
	waits     bool
	// visit counts stays in a queue; a timer of an earlier stay has no effect.
	visit int
}

func (q *lookup) remaining(now time.Duration) time.Duration {
	return q.born + q.service.timeout - now - q.back
}

func (v *vm) reset() {
	n := len(v.world.services)
	limits := shconfig.Limits{}.WithDefaults(v.world.objective())
	v.table = shslot.New(string(v.name)+"-"+time.Duration(v.life).String(), limits.ReserveShare)
	v.books = make([]shrouting.PeerTracker, n)
	v.waiting = make([][]*lookup, n)
	v.mean = make([]time.Duration, n)
	v.wanted = make([]bool, n)
	v.credits = make([]map[int]*held, n)
	v.spare = make([]map[int]int, n)
	for i := range n {
		v.credits[i] = map[int]*held{}
		v.spare[i] = map[int]int{}
	}
	v.buckets = map[int]*bucket{}
}

func (v *vm) fail() {
	v.alive = false
	v.life++
	for _, other := range v.world.vms {
		for i := range other.books {
			other.books[i].SetHealthy(v.name, false)
		}
	}
}

func (v *vm) restart() {
	v.alive = true
	v.reset()
}

// receive is the arrival of a lookup from its caller.
func (v *vm) receive(q *lookup) {
	if !v.alive {
		v.world.after(callerRetry, func() { v.world.send(q) })
		return
	}
	q.origin = v
	q.forwarded = false
	q.tried = nil
	v.choose(q)
}

func (v *vm) snapshot(q *lookup) *shrouting.Snapshot {
	now := v.world.time()
	load := v.table.Load(now, q.service.name)
	ahead := len(v.waiting[q.index])
	if q.waits {
		ahead = slices.Index(v.waiting[q.index], q)
	}
	s := &shrouting.Snapshot{
		Objective:      v.world.objective(),
		Own:            shrouting.Own{VM: v.name, Place: v.place, Free: load.Free, Usable: load.Usable, Queued: ahead},
		Peers:          v.books[q.index].Peers(now),
		InnerRoundTrip: 2 * v.world.domain,
		MeanService:    v.mean[q.index],
	}
	for i, other := range v.world.vms {
		c := v.credits[q.index][i]
		if other.region == v.region {
			continue
		}
		m := shrouting.Remote{
			VM: other.name, Place: other.place, LinkFreeBytes: v.linkFree(other.region),
			RoundTrip: 2 * v.world.region, Free: v.spare[q.index][i], Healthy: other.alive,
		}
		if c != nil && v.world.now < c.until {
			m.Credits, m.Credit = c.left, uint64(c.id)
		}
		s.Regions = append(s.Regions, m)
	}
	return s
}

func (v *vm) choose(q *lookup) {
	s := v.snapshot(q)
	r := shrouting.Request{
		ID: q.ID, Kind: shmodel.Idempotent, Remaining: q.remaining(v.world.now),
		Bytes: q.service.bytes + requestBytes, Forwarded: q.forwarded, Tried: q.tried,
	}
	choice := v.policy.Choose(s, r)
	v.wanted[q.index] = v.wanted[q.index] || s.WantsCredits(r)
	switch c := choice.(type) {
	case shrouting.ServeOwn:
		if !v.serve(q) {
			v.wait(q)
		}
	case shrouting.Forward:
		q.forward = v.books[q.index].Begin(v.world.time(), c.VM)
		v.hand(q, v.world.vm(c.VM))
	case shrouting.Shift:
		to := v.world.vm(c.VM)
		v.credits[q.index][to.index].left--
		v.spend(to.region, q.service.bytes+requestBytes)
		q.credit = shslot.CreditID(c.Credit)
		v.hand(q, to)
	case shrouting.Wait:
		v.wait(q)
	case shrouting.Refuse:
		v.refuse(q)
	}
}

func (w *world) vm(name shmodel.VM) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	return w.vms[i]
}

// hand sends a lookup to another VM.
func (v *vm) hand(q *lookup, to *vm) {
	v.leaveQueue(q)
	w := v.world
	life := v.life
	w.after(w.distance(v, to), func() {
		if !to.alive {
			w.after(w.distance(v, to), func() { v.handedBack(q, to, life) })
			return
		}
		q.forwarded = true
		if !to.serve(q) {
			to.choose(q)
		}
	})
}

// handedBack makes another choice after a VM refused a lookup.
func (v *vm) handedBack(q *lookup, from *vm, life int) {
	if life != v.life || !v.alive {
		v.world.after(callerRetry, func() { v.world.send(q) })
		return
	}
	v.books[q.index].End(v.world.time(), q.forward, true)
	q.forwarded = false
	q.credit = 0
	q.tried = append(q.tried, from.name)
	v.choose(q)
}

func (v *vm) serve(q *lookup) bool {
	w := v.world
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
	s, life := w.servers[i], v.life
	s.InFlight++
	d := w.serviceTime(s, q.service.mean)
	w.after(2*w.domain+d, func() {
		s.InFlight--
		if life != v.life || !v.alive || !s.alive {
			w.after(callerRetry, func() { w.send(q) })
			return
		}
		v.table.Release(w.time(), r.ID, shslot.Completed)
		v.learn(q.index, d)
		v.answer(q)
		v.drain(q.index)
	})
	return true
}

// learn keeps a moving average of the service time over about 20 requests.
func (v *vm) learn(i int, d time.Duration) {
	if v.mean[i] == 0 {
		v.mean[i] = d
	}
	v.mean[i] += (d - v.mean[i]) / 20
}

func (v *vm) answer(q *lookup) {
	w := v.world
	delay := q.back
	if q.forwarded {
		origin := q.origin
		delay += w.distance(v, origin)
		forward := q.forward
		w.after(w.distance(v, origin), func() { origin.books[q.index].End(w.time(), forward, false) })
	}
	w.result.answered(w.now, w.now+delay-q.born, q.service.timeout)
}

// wait queues a lookup; another choice is made while it waits.
func (v *vm) wait(q *lookup) {
	if !q.waits {
		q.waits = true
		q.visit++
		v.waiting[q.index] = append(v.waiting[q.index], q)
	}
	life, visit := v.life, q.visit
	v.world.after(rechoose, func() {
		switch {
		case !q.waits || q.visit != visit:
		case life != v.life:
			q.waits = false
			v.world.after(callerRetry, func() { v.world.send(q) })
		default:
			q.tried = nil
			v.choose(q)
		}
	})
}

func (v *vm) leaveQueue(q *lookup) {
	if q.waits {
		q.waits = false
		v.waiting[q.index] = slices.DeleteFunc(v.waiting[q.index], func(o *lookup) bool { return o == q })
	}
}

// drain serves waiting lookups with freed slots.
func (v *vm) drain(i int) {
	for len(v.waiting[i]) > 0 && v.serve(v.waiting[i][0]) {
		continue
	}
}

func (v *vm) refuse(q *lookup) {
	v.leaveQueue(q)
	w := v.world
	if q.forwarded && q.remaining(w.now) > q.service.mean {
		origin := q.origin
		life := origin.life
		w.after(w.distance(v, origin), func() { origin.handedBack(q, v, life) })
		return
	}
	if q.forwarded {
		q.origin.books[q.index].End(w.time(), q.forward, true)
	}
	w.result.refused(w.now, w.servable(q))
}

// servable says whether a slot was free that the lookup could have used: in
// the region, or spare in another one.
func (w *world) servable(q *lookup) bool {
	for _, v := range w.vms {
		if !v.alive || q.remaining(w.now) < q.service.mean {
			continue
		}
		load := v.table.Load(w.time(), q.service.name)
		near := v.region == q.origin.region && load.Free > 0
		far := load.Spare > 0 && q.remaining(w.now) > q.service.mean+2*w.region && q.origin.linkFree(v.region) > q.service.bytes
		if near || far {
			return true
		}
	}
	return false
}
