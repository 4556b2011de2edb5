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

// Times of a run. The warm-up covers the slow start of backend servers.
const (
	warmUp           = 12 * time.Second
	faultAt          = 15 * time.Second
	recoverAt        = 22 * time.Second
	runFor           = 32 * time.Second
	announceInterval = 500 * time.Millisecond
	tickInterval     = 100 * time.Millisecond
	rechooseInterval = 50 * time.Millisecond
	reportLatency    = 30 * time.Millisecond
	// callerRetry is the time until a caller tries another entry VM.
	callerRetry = 300 * time.Millisecond
	coldFor     = 10 * time.Second
	// rollingInterval is the time between two restarts, and rollingDown how long
	// a VM is down.
	rollingInterval = 2300 * time.Millisecond
	rollingDown     = time.Second
	// coldFactor multiplies the service times while a cache is cold.
	coldFactor = 4
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

// simulation is one run of a deployment under a scenario and a policy.
type simulation struct {
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
	// links holds the bytes sent on each link since sampleLinks last ran.
	links  map[[2]int]int64
	result *result
}

// server is a backend server. Its service times are longer while its cache is
// cold.
type server struct {
	shslot.Announced
	region int
	// warmAt is when its cache is warm.
	warmAt     time.Duration
	owner      *vm
	answeredAt time.Duration
	alive      bool
}

func newSimulation(d deployment, s scenario, policy func() shrouting.Policy, seed int64) *simulation {
	w := &simulation{deployment: d, scenario: s, seed: seed, rand: rand.New(rand.NewSource(seed)), links: map[[2]int]int64{}, result: newResult()}
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

func (w *simulation) addVM(region, i int, policy shrouting.Policy) {
	v := &vm{
		sim:         w,
		index:       len(w.vms),
		region:      region,
		name:        shmodel.VM(fmt.Sprintf("vm%d", len(w.vms))),
		place:       place(region, i%2),
		policy:      policy,
		alive:       true,
		reportsIdle: w.reportIdle && i == 0,
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

func (w *simulation) addServer(service service, i int) {
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
	w.after(time.Duration(w.rand.Int63n(int64(announceInterval))), func() { w.announce(s) })
}

func (w *simulation) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

func (w *simulation) time() time.Time { return epoch.Add(w.now) }

func (w *simulation) run() *result {
	for _, v := range w.vms {
		w.every(tickInterval, func() { v.tick() })
		w.every(announceInterval, func() { v.report() })
	}
	w.every(tickInterval, w.sample)
	w.every(time.Second, w.sampleLinks)
	for i := range w.services {
		for region := range w.callers {
			w.arrivals(i, region)
		}
	}
	w.after(faultAt, w.injectFault)
	for len(w.queue) > 0 && w.now < runFor {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

// every repeats do with the period d, with a random phase.
func (w *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(time.Duration(w.rand.Int63n(int64(d))), again)
}

func (w *simulation) injectFault() {
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
			w.after(recoverAt-faultAt, v.restart)
		}
	}
	for _, s := range w.servers {
		if s.region == 0 {
			s.alive = false
			w.after(recoverAt-faultAt, func() {
				s.alive = true
				s.Incarnation++
				s.Cold = true
				s.warmAt = w.now + coldFor
				s.owner = nil
			})
		}
	}
}

// announce sends an announcement to the owner of a backend server and handles
// the answer. A backend server without an owner, or with a lost one, first
// chooses one.
func (w *simulation) announce(s *server) {
	w.after(announceInterval, func() { w.announce(s) })
	lost := w.now-s.answeredAt > shslot.LeaseDuration*21/20
	if !s.alive || s.owner != nil && !s.owner.alive && !lost {
		return
	}
	if s.owner == nil || lost {
		s.owner = w.chooseOwner(s)
		s.Nonce = ""
	}
	if s.owner == nil {
		return
	}
	s.answeredAt = w.now
	s.Cold = w.now < s.warmAt
	for _, e := range s.owner.table.Apply(w.time(), s.Announced) {
		if a, ok := e.(shslot.AnswerAnnouncement); ok {
			s.Nonce = a.Nonce
		}
	}
}

// chooseOwner returns the entry VM of the region that owns the fewest backend
// servers of the service.
func (w *simulation) chooseOwner(s *server) *vm {
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

// arrivals generates the idempotent requests that callers of a region send to a
// service. It uses a random generator of its own, so that the arrivals are the
// same under all policies.
func (w *simulation) arrivals(i, region int) {
	service := w.services[i]
	rate := service.capacity() * w.load * w.callers[region]
	random := rand.New(rand.NewSource(w.seed<<8 + int64(16*i+region)))
	var next func()
	next = func() {
		w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
		w.nextID++
		q := &idempotentRequest{ID: w.nextID, service: service, index: i, region: region, sentAt: w.now}
		w.send(q)
	}
	w.after(0, next)
}

// send sends a request from its caller to an entry VM of the same region. If
// none is alive, callers are spread over the other regions, as by the directory
// of entry VMs.
func (w *simulation) send(q *idempotentRequest) {
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
		delay := w.clientLatency
		if offset > 0 {
			delay += w.regionLatency
		}
		q.returnLatency = delay
		v := candidates[w.rand.Intn(len(candidates))]
		w.after(delay, func() { v.receive(q) })
		return
	}
}

// distance returns the one-way latency between two VMs.
func (w *simulation) distance(a, b *vm) time.Duration {
	if a.region != b.region {
		return w.regionLatency
	}
	return w.domainLatency
}

func (w *simulation) serviceTime(s *server, mean time.Duration) time.Duration {
	d := time.Duration(w.rand.ExpFloat64() * float64(mean))
	if w.now < s.warmAt {
		d *= coldFactor
	}
	return d
}

func (w *simulation) objective() shconfig.Objective { return w.deployment.objective }
