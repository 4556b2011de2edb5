package shbalance_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shload"
	"sequoiahollow/state/shmodel"
)

// simConfig describes a simulated service, scaled down from an example
// deployment: entry VMs and backend servers by zone, callers that ask for
// objects, and the latencies between them.
type simConfig struct {
	zones          []shmodel.FailureDomain
	regions        map[shmodel.FailureDomain]shmodel.Region
	entries        []int // by zone
	backends       []int // by zone
	slots          int
	warmObjects    int     // objects that a backend server stays warm for
	objects        int     // of each region, whose callers alone ask for them
	rate           float64 // requests per second and zone
	coldTime       time.Duration
	warmTime       time.Duration
	objective      time.Duration
	deadline       time.Duration
	inRegion       time.Duration // one way
	betweenRegions time.Duration // one way

	// share is the time between exchanges of loads between the entry VMs, zero for none.
	share time.Duration
	// hedgeShare is the HedgeShare of the balancers. slowdown and load are the factors
	// for a run that begins and for the rate now; nil means 1.
	hedgeShare float64
	slowdown   func(sim *simulation, s *server) float64
	load       func(at time.Duration) float64
}

// outcome counts requests.
type outcome struct {
	total, inTime, late, refused, coldRuns, otherZone, otherRegion int
	hedges, won                                                    int
	took                                                           []time.Duration
	work                                                           time.Duration // of the slots
}

func (o *outcome) add(p outcome) {
	o.total += p.total
	o.inTime += p.inTime
	o.late += p.late
	o.refused += p.refused
	o.coldRuns += p.coldRuns
	o.otherZone += p.otherZone
	o.otherRegion += p.otherRegion
	o.hedges += p.hedges
	o.won += p.won
	o.took = append(o.took, p.took...)
	o.work += p.work
}

func (o *outcome) report(b *testing.B) {
	for name, n := range map[string]int{
		"in-time": o.inTime, "late": o.late, "refused": o.refused, "cold": o.coldRuns,
		"other-zone": o.otherZone, "other-region": o.otherRegion,
	} {
		b.ReportMetric(float64(n)/float64(o.total), name)
	}
	b.ReportMetric(0, "ns/op")
}

type event struct {
	at time.Duration
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// server is a simulated backend server. It is warm for the objects used last, and
// maps each of them to the end of its last request.
type server struct {
	zone    shmodel.FailureDomain
	number  int
	running int
	waiting []*job
	warm    map[string]time.Duration
}

// job is a request at a server.
type job struct {
	run    func()
	began  time.Duration
	starts bool // has a slot, or had one
	ended  bool
}

type simulation struct {
	simConfig
	random  *rand.Rand
	now     time.Duration
	events  queue
	servers map[shmodel.BackendServer]*server
	result  outcome
}

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, event{sim.now + d, do})
}

func (sim *simulation) clock() time.Time { return start.Add(sim.now) }

func (sim *simulation) trip(a, b shmodel.FailureDomain) time.Duration {
	switch {
	case a == b:
		return 100 * time.Microsecond
	case sim.regions[a] == sim.regions[b]:
		return sim.inRegion
	}
	return sim.betweenRegions
}

// simulate runs a service for the given simulated time and counts the requests.
func simulate(s simConfig, length time.Duration, seed uint64) outcome {
	sim := &simulation{simConfig: s, random: rand.New(rand.NewPCG(seed, 1)), servers: map[shmodel.BackendServer]*server{}}
	v := shfleet.View{Index: 1, Backends: map[shmodel.BackendServer]shfleet.Backend{}}
	v.Table = shfleet.NewRouteIndex(shfleet.Table{Services: []shfleet.Service{{Name: "s"}}, Routes: []shfleet.Route{{Upload: true}}})
	for i, zone := range s.zones {
		for n := range s.backends[i] {
			id := shmodel.BackendServer(fmt.Sprintf("i-%x", sim.random.Uint64()))
			sim.servers[id] = &server{zone: zone, number: len(sim.servers), warm: map[string]time.Duration{}}
			v.Backends[id] = shfleet.Backend{
				Instance: shfleet.Instance{ID: id, Born: int64(n) + 1}, Service: "s", Address: string(id), Zone: zone, Slots: s.slots,
			}
		}
		for n := range s.entries[i] {
			v.Entries = append(v.Entries, shfleet.Entry{VM: shmodel.VM(fmt.Sprintf("%s-%d", zone, n)), Zone: zone, Region: s.regions[zone], Ready: true})
		}
	}
	balancers := map[shmodel.FailureDomain][]*shbalance.Balancer{}
	for _, e := range v.Entries {
		b := shbalance.New(shbalance.Place{VM: e.VM, Zone: e.Zone, Region: e.Region, Regions: s.regions})
		b.HedgeShare = s.hedgeShare
		b.Update(start, v)
		balancers[e.Zone] = append(balancers[e.Zone], b)
	}
	if s.share > 0 {
		sim.shareLoads(balancers, s.slots)
	}
	weights := make([]float64, s.objects)
	total := 0.0
	for i := range weights {
		total += math.Pow(float64(i+1), -0.2)
		weights[i] = total
	}
	for _, zone := range s.zones {
		var sendNext func()
		sendNext = func() {
			x := sim.random.Float64() * total
			object := 0
			for weights[object] < x {
				object++
			}
			list := balancers[zone]
			sim.request(list[sim.random.IntN(len(list))], zone, fmt.Sprint(s.regions[zone], object))
			rate := s.rate
			if s.load != nil {
				rate *= s.load(sim.now)
			}
			sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), sendNext)
		}
		sim.after(0, sendNext)
	}
	for len(sim.events) > 0 && sim.now < length {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	return sim.result
}

// shareLoads exchanges the loads of the entry VMs now and after each interval.
func (sim *simulation) shareLoads(balancers map[shmodel.FailureDomain][]*shbalance.Balancer, slots int) {
	var sums shload.Sums
	name := func(zone shmodel.FailureDomain, i int) shmodel.VM { return shmodel.VM(fmt.Sprint(zone, i)) }
	for _, zone := range sim.zones {
		for i, b := range balancers[zone] {
			sums.Report(sim.clock(), name(zone, i), b.InFlight())
		}
	}
	for _, zone := range sim.zones {
		for i, b := range balancers[zone] {
			b.SetOtherLoads(sim.clock(), sums.Busy(name(zone, i), func(shmodel.BackendServer) int { return slots }))
		}
	}
	sim.after(sim.share, func() { sim.shareLoads(balancers, slots) })
}

func (sim *simulation) request(b *shbalance.Balancer, zone shmodel.FailureDomain, object string) {
	r := request(object)
	r.Route.Objective = shfleet.Millis(sim.objective.Milliseconds())
	r.Left = sim.deadline
	c, refusal := b.Pick(sim.clock(), r)
	sim.result.total++
	if refusal != nil {
		sim.result.refused++
		return
	}
	s := sim.servers[c.Backend.ID]
	if s.zone != zone {
		sim.result.otherZone++
		if sim.regions[s.zone] != sim.regions[zone] {
			sim.result.otherRegion++
		}
	}
	sentAt := sim.now
	var first, second *job
	var other shbalance.Choice
	end := func() {
		took := sim.now - sentAt
		sim.result.took = append(sim.result.took, took)
		if took <= sim.objective {
			sim.result.inTime++
		} else {
			sim.result.late++
		}
	}
	first = sim.send(b, c, zone, object, func() {
		end()
		if second != nil {
			sim.cancel(b, other, second)
		}
	})
	delay := b.HedgeDelay(sim.clock(), c)
	if delay == 0 {
		return
	}
	r.Tried = append(r.Tried, c.Backend.ID)
	checks := 0
	var consider func()
	consider = func() {
		if first.ended {
			return
		}
		r.Elapsed, r.Left = sim.now-sentAt, sim.deadline-(sim.now-sentAt)
		d := b.Hedge(sim.clock(), sim.clock(), c, r)
		if checks++; d.Refused != "" && checks < 3 {
			sim.after((sim.now-sentAt)/2, consider)
		}
		if d.Refused != "" {
			return
		}
		sim.result.hedges++
		other = d.Choice
		second = sim.send(b, other, zone, object, func() {
			sim.result.won++
			end()
			sim.cancel(b, c, first)
		})
	}
	sim.after(delay, consider)
}

// send sends a request to a backend server. It calls answered unless it is canceled.
func (sim *simulation) send(b *shbalance.Balancer, c shbalance.Choice, zone shmodel.FailureDomain, object string, answered func()) *job {
	s, j := sim.servers[c.Backend.ID], &job{}
	trip := sim.trip(zone, s.zone)
	sim.after(trip, func() {
		sim.arrive(s, object, j, func(o shbalance.Observation) {
			sim.after(trip, func() {
				if j.ended {
					return
				}
				j.ended = true
				b.Done(sim.clock(), c, o)
				answered()
			})
		})
	})
	return j
}

// cancel ends a request whose answer is not needed, and frees its slot.
func (sim *simulation) cancel(b *shbalance.Balancer, c shbalance.Choice, j *job) {
	s := sim.servers[c.Backend.ID]
	b.Done(sim.clock(), c, shbalance.Outrun{})
	j.ended = true
	if j.starts {
		sim.release(s, j)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(o *job) bool { return o == j })
}

// release frees the slot of a job, once, and starts the next one.
func (sim *simulation) release(s *server, j *job) {
	if j.run == nil {
		return
	}
	j.run = nil
	sim.result.work += sim.now - j.began
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next.run()
	}
}

// arrive queues a request at a backend server.
func (sim *simulation) arrive(s *server, object string, j *job, done func(shbalance.Observation)) {
	if j.ended {
		return
	}
	load := func() *shbalance.Load {
		return &shbalance.Load{Running: s.running, Waiting: len(s.waiting), Slots: sim.slots}
	}
	j.run = func() {
		s.running++
		j.began, j.starts = sim.now, true
		took := sim.coldTime
		if _, ok := s.warm[object]; ok {
			took = sim.warmTime
		} else {
			sim.result.coldRuns++
		}
		took = time.Duration(float64(took) * math.Exp(0.15*sim.random.NormFloat64()))
		if sim.slowdown != nil {
			took = time.Duration(float64(took) * sim.slowdown(sim, s))
		}
		sim.after(took, func() {
			if j.ended {
				return
			}
			sim.addWarmObject(s, object)
			answer := shbalance.Answered{Load: load()}
			answer.Load.Running--
			sim.release(s, j)
			done(answer)
		})
	}
	switch {
	case s.running < sim.slots:
		j.run()
	case len(s.waiting) < 3*sim.slots:
		s.waiting = append(s.waiting, j)
	default:
		done(shbalance.Shed{Load: load()})
	}
}

func (sim *simulation) addWarmObject(s *server, object string) {
	s.warm[object] = sim.now
	if len(s.warm) <= sim.warmObjects {
		return
	}
	oldest := object
	for o, at := range s.warm {
		if at < s.warm[oldest] {
			oldest = o
		}
	}
	delete(s.warm, oldest)
}

var sixZones = []shmodel.FailureDomain{"s-a", "n-a", "m-a", "s-b", "n-b", "m-b"}

var sixRegions = map[shmodel.FailureDomain]shmodel.Region{"s-a": "s", "s-b": "s", "n-a": "n", "n-b": "n", "m-a": "m", "m-b": "m"}

var nineZones = []shmodel.FailureDomain{"s-a", "n-a", "m-a", "s-b", "n-b", "m-b", "s-c", "n-c", "m-c"}

var nineRegions = map[shmodel.FailureDomain]shmodel.Region{
	"s-a": "s", "s-b": "s", "s-c": "s", "n-a": "n", "n-b": "n", "n-c": "n", "m-a": "m", "m-b": "m", "m-c": "m",
}

func simConfigs() map[string]simConfig {
	return map[string]simConfig{
		"small": {
			zones: sixZones, regions: sixRegions, entries: []int{2, 1, 1, 1, 1, 1}, backends: []int{3, 4, 1, 3, 4, 1},
			slots: 3, warmObjects: 18, objects: 24, rate: 11, coldTime: 880 * time.Millisecond, warmTime: 264 * time.Millisecond,
			objective: 600 * time.Millisecond, deadline: 4 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 12 * time.Millisecond,
		},
		"grown audit": {
			zones: sixZones, regions: sixRegions, entries: []int{5, 5, 4, 5, 4, 4}, backends: []int{18, 22, 4, 18, 22, 4},
			slots: 3, warmObjects: 9, objects: 70, rate: 56, coldTime: 1160 * time.Millisecond, warmTime: 348 * time.Millisecond,
			objective: 800 * time.Millisecond, deadline: 6 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 12 * time.Millisecond,
		},
		"grown method": {
			zones: sixZones, regions: sixRegions, entries: []int{5, 5, 4, 5, 4, 4}, backends: []int{3, 4, 1, 3, 4, 1},
			slots: 3, warmObjects: 31, objects: 43, rate: 35, coldTime: 352 * time.Millisecond, warmTime: 106 * time.Millisecond,
			objective: 250 * time.Millisecond, deadline: 2 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 12 * time.Millisecond,
		},
		"leadlight proof": {
			zones: sixZones, regions: sixRegions, entries: []int{2, 1, 1, 1, 1, 1}, backends: []int{4, 1, 4, 4, 1, 4},
			slots: 9, warmObjects: 70, objects: 101, rate: 80, coldTime: 480 * time.Millisecond, warmTime: 144 * time.Millisecond,
			objective: 400 * time.Millisecond, deadline: 2500 * time.Millisecond, inRegion: 1400 * time.Microsecond, betweenRegions: 35 * time.Millisecond,
		},
		"leadlight grown proof": {
			zones: nineZones, regions: nineRegions, entries: []int{4, 4, 4, 4, 4, 4, 4, 3, 3}, backends: []int{55, 11, 46, 55, 11, 46, 55, 11, 46},
			slots: 9, warmObjects: 12, objects: 225, rate: 120, coldTime: 2880 * time.Millisecond, warmTime: 864 * time.Millisecond,
			objective: 2 * time.Second, deadline: 15 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 35 * time.Millisecond,
		},
		"leadlight grown glass": {
			zones: nineZones, regions: nineRegions, entries: []int{4, 4, 4, 4, 4, 4, 4, 3, 3}, backends: []int{14, 3, 11, 14, 3, 11, 14, 3, 11},
			slots: 9, warmObjects: 18, objects: 81, rate: 44, coldTime: 2040 * time.Millisecond, warmTime: 612 * time.Millisecond,
			objective: 1500 * time.Millisecond, deadline: 10 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 35 * time.Millisecond,
		},
		"taxi position": {
			zones: sixZones, regions: sixRegions, entries: []int{6, 6, 6, 5, 6, 5}, backends: []int{47, 56, 11, 47, 56, 11},
			slots: 9, warmObjects: 17, objects: 310, rate: 200, coldTime: 2 * time.Second, warmTime: 600 * time.Millisecond,
			objective: 1200 * time.Millisecond, deadline: 3 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 12 * time.Millisecond,
		},
		"grown": {
			zones: sixZones, regions: sixRegions, entries: []int{5, 5, 4, 5, 4, 4}, backends: []int{31, 37, 8, 31, 37, 8},
			slots: 3, warmObjects: 12, objects: 157, rate: 126, coldTime: 880 * time.Millisecond, warmTime: 264 * time.Millisecond,
			objective: 600 * time.Millisecond, deadline: 4 * time.Second, inRegion: 1400 * time.Microsecond, betweenRegions: 12 * time.Millisecond,
		},
	}
}

// BenchmarkSite simulates scaled-down services of the example deployments,
// without faults, and reports the shares of requests that ended in time or late,
// were refused, ran cold, and left the failure domain or the region.
func BenchmarkSite(b *testing.B) {
	all := simConfigs()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b.Run(name, func(b *testing.B) {
			var o outcome
			for i := range b.N {
				o.add(simulate(all[name], 24*time.Second, uint64(i+1)))
			}
			o.report(b)
		})
	}
}
