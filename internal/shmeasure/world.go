package main

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// Times of a run. The warm-up covers slow start.
const (
	warmUp    = 12 * time.Second
	faultAt   = 15 * time.Second
	backAt    = 22 * time.Second
	runFor    = 32 * time.Second
	announce  = 500 * time.Millisecond
	tick      = 100 * time.Millisecond
	rechoose  = 50 * time.Millisecond
	viaLeader = 30 * time.Millisecond
	// callerRetry is how long a caller takes to turn to another entry VM.
	callerRetry = 300 * time.Millisecond
	coldFor     = 10 * time.Second
	// rollingInterval is the time between two restarts, and rollingDown how long
	// a VM is down.
	rollingInterval = 2300 * time.Millisecond
	rollingDown     = time.Second
	coldFactor      = 4
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run of a deployment under a scenario and a policy.
type world struct {
	deployment
	scenario
	rand    *rand.Rand
	seed    int64
	now     time.Duration
	order   int
	queue   events
	vms     []*vm
	servers []*server
	nextID  shmodel.RequestID
	links   map[[2]int]int64
	result  *result
}

// server is a backend server. It answers at the speed of its cache.
type server struct {
	shslot.Announced
	region int
	// fast is when its cache is warm.
	fast     time.Duration
	owner    *vm
	answered time.Duration
	alive    bool
}

func newWorld(d deployment, s scenario, policy func() shrouting.Policy, seed int64) *world {
	w := &world{deployment: d, scenario: s, seed: seed, rand: rand.New(rand.NewSource(seed)), links: map[[2]int]int64{}, result: newResult()}
	for region, n := range d.vms {
		for i := range n {
			w.addVM(region, i, policy())
		}
	}
	for _, service := range d.services {
		for i := range service.servers {
			w.addServer(service, i)
		}
	}
	return w
}

func (w *world) addVM(region, i int, policy shrouting.Policy) {
	v := &vm{
		world:      w,
		index:      len(w.vms),
		region:     region,
		name:       shmodel.VM(fmt.Sprintf("vm%d", len(w.vms))),
		place:      place(region, i%2),
		policy:     policy,
		alive:      true,
		claimsIdle: w.claimIdle && i == 0,
	}
	v.reset()
	w.vms = append(w.vms, v)
}

func place(region, domain int) shmodel.Place {
	return shmodel.Place{
		Region:        shmodel.Region(fmt.Sprint("r", region)),
		FailureDomain: shmodel.FailureDomain(fmt.Sprint("d", domain)),
	}
}

func (w *world) addServer(service service, i int) {
	region := i % len(w.deployment.vms)
	s := &server{region: region, alive: true}
	s.Announced = shslot.Announced{
		BackendServer: shmodel.BackendServer(fmt.Sprintf("%s-%d", service.name, i)),
		Service:       service.name,
		Address:       "127.0.0.1:1",
		Place:         place(region, i/len(w.deployment.vms)%2),
		Incarnation:   1,
		Slots:         service.slots,
	}
	w.servers = append(w.servers, s)
	w.after(time.Duration(w.rand.Int63n(int64(announce))), func() { w.announce(s) })
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) run() *result {
	for _, v := range w.vms {
		w.every(tick, func() { v.tick() })
		w.every(announce, func() { v.report() })
	}
	w.every(tick, w.sample)
	w.every(time.Second, w.sampleLinks)
	for i := range w.services {
		for region := range w.callers {
			w.arrivals(i, region)
		}
	}
	w.after(faultAt, w.fault)
	for len(w.queue) > 0 && w.now < runFor {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

// every repeats do with the period d from a random phase on.
func (w *world) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(time.Duration(w.rand.Int63n(int64(d))), again)
}

func (w *world) fault() {
	if w.loseVM {
		w.vms[0].fail()
	}
	if w.rolling {
		for i, v := range w.vms {
			begin := time.Duration(i) * rollingInterval
			w.after(begin, v.fail)
			w.after(begin+rollingDown, v.restart)
		}
	}
	if !w.loseRegion {
		return
	}
	for _, v := range w.vms {
		if v.region == 0 {
			v.fail()
			w.after(backAt-faultAt, v.restart)
		}
	}
	for _, s := range w.servers {
		if s.region == 0 {
			s.alive = false
			w.after(backAt-faultAt, func() {
				s.alive = true
				s.Incarnation++
				s.Cold = true
				s.fast = w.now + coldFor
				s.owner = nil
			})
		}
	}
}

// announce sends an announcement and the answer to it.
func (w *world) announce(s *server) {
	w.after(announce, func() { w.announce(s) })
	lost := w.now-s.answered > shslot.LeaseDuration*21/20
	if !s.alive || s.owner != nil && !s.owner.alive && !lost {
		return
	}
	if s.owner == nil || lost {
		s.owner = w.nearOwner(s)
		s.Nonce = ""
	}
	if s.owner == nil {
		return
	}
	s.answered = w.now
	s.Cold = w.now < s.fast
	for _, e := range s.owner.table.Apply(w.time(), s.Announced) {
		if a, ok := e.(shslot.AnswerAnnouncement); ok {
			s.Nonce = a.Nonce
		}
	}
}

// nearOwner spreads backend servers over the entry VMs of their region.
func (w *world) nearOwner(s *server) *vm {
	owned := map[*vm]int{}
	for _, other := range w.servers {
		if other.Service == s.Service && other.owner != nil {
			owned[other.owner]++
		}
	}
	var best *vm
	for _, v := range w.vms {
		if v.region == s.region && v.alive && (best == nil || owned[v] < owned[best]) {
			best = v
		}
	}
	return best
}

// arrivals lets callers of a region send lookups of a service. They have their
// own random numbers, so that all policies get the same arrivals.
func (w *world) arrivals(i, region int) {
	service := w.services[i]
	rate := service.capacity() * w.load * w.callers[region]
	random := rand.New(rand.NewSource(w.seed<<8 + int64(16*i+region)))
	var next func()
	next = func() {
		w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
		w.nextID++
		q := &lookup{ID: w.nextID, service: service, index: i, region: region, born: w.now}
		w.send(q)
	}
	w.after(0, next)
}

// send is a caller that uses an entry VM of its region. Without one, lookup
// answers spread callers over the other regions.
func (w *world) send(q *lookup) {
	first := 1 + w.rand.Intn(len(w.callers)-1)
	for _, offset := range []int{0, first, len(w.callers) - first} {
		region := (q.region + offset) % len(w.callers)
		var candidates []*vm
		for _, v := range w.vms {
			if v.region == region && v.alive {
				candidates = append(candidates, v)
			}
		}
		if len(candidates) == 0 {
			continue
		}
		delay := w.client
		if offset > 0 {
			delay += w.region
		}
		q.back = delay
		v := candidates[w.rand.Intn(len(candidates))]
		w.after(delay, func() { v.receive(q) })
		return
	}
}

// distance is the one-way latency between two VMs.
func (w *world) distance(a, b *vm) time.Duration {
	if a.region != b.region {
		return w.region
	}
	return w.domain
}

func (w *world) serviceTime(s *server, mean time.Duration) time.Duration {
	d := time.Duration(w.rand.ExpFloat64() * float64(mean))
	if w.now < s.fast {
		d *= coldFactor
	}
	return d
}

func (w *world) objective() shconfig.Objective { return w.deployment.objective }
