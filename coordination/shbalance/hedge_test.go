package shbalance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// hedgePattern is load on six backend servers of three slots, in three failure domains.
// A warm run takes 100 ms, a cold one 300 ms.
type hedgePattern struct {
	share float64
	rate  func(at time.Duration) float64 // requests per second
	keys  int
	// slowdown is the factor for a run that begins at a backend server now.
	slowdown func(random *rand.Rand, server int, at time.Duration) float64
}

const (
	hedgeRun = 100 * time.Millisecond
	hedgeVMs = 3
	hedgeSim = 60 * time.Second
)

// hedgeOutcome is what the callers see and what it costs.
type hedgeOutcome struct {
	took     []time.Duration
	requests int
	hedges   int
	won      int
	refused  map[shbalance.HedgeRefusal]int
	work     time.Duration // of the slots
}

func (o hedgeOutcome) quantile(q float64) time.Duration {
	slices.Sort(o.took)
	return o.took[int(q*float64(len(o.took)-1))]
}

// hedgeSimulation runs requests on simulated backend servers.
type hedgeSimulation struct {
	hedgePattern
	random  *rand.Rand
	now     time.Duration
	events  queue
	servers []*hedgeServer
	result  hedgeOutcome
}

type hedgeServer struct {
	running int
	waiting []*hedgeRunState
	warm    map[string]bool
}

// hedgeRunState is one send of a request.
type hedgeRunState struct {
	choice   shbalance.Choice
	server   int
	key      string
	began    time.Duration
	started  bool
	ended    bool
	answered func()
}

func (s *hedgeSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now + d, do})
}

func (s *hedgeSimulation) clock() time.Time { return start.Add(s.now) }

func simulateHedges(p hedgePattern, seed uint64) hedgeOutcome {
	s := &hedgeSimulation{hedgePattern: p, random: rand.New(rand.NewPCG(seed, 2))}
	s.result.refused = map[shbalance.HedgeRefusal]int{}
	v := shfleet.View{Index: 1, Backends: map[shmodel.BackendServer]shfleet.Backend{}}
	v.Table = shfleet.NewRouteIndex(shfleet.Table{Services: []shfleet.Service{{Name: "s"}}})
	zones := []shmodel.FailureDomain{"n1", "n2", "n3"}
	for i := range 6 {
		id := shmodel.BackendServer(fmt.Sprint(i))
		v.Backends[id] = shfleet.Backend{
			Instance: shfleet.Instance{ID: id, Born: 1}, Service: "s", Address: string(id), Zone: zones[i%3], Slots: 3,
		}
		s.servers = append(s.servers, &hedgeServer{warm: map[string]bool{}})
	}
	regions := map[shmodel.FailureDomain]shmodel.Region{"n1": "n", "n2": "n", "n3": "n"}
	var balancers []*shbalance.Balancer
	for i := range hedgeVMs {
		v.Entries = append(v.Entries, shfleet.Entry{VM: shmodel.VM(fmt.Sprint("e", i)), Ready: true})
	}
	for i, e := range v.Entries {
		b := shbalance.New(shbalance.Place{VM: e.VM, Zone: zones[i], Region: "n", Regions: regions})
		b.HedgeShare = p.share
		b.Update(start, v)
		balancers = append(balancers, b)
	}
	var next func()
	next = func() {
		s.request(balancers[s.random.IntN(hedgeVMs)], fmt.Sprint(s.random.IntN(p.keys)))
		s.after(time.Duration(s.random.ExpFloat64()/p.rate(s.now)*float64(time.Second)), next)
	}
	next()
	for len(s.events) > 0 && s.now < hedgeSim {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *hedgeSimulation) request(b *shbalance.Balancer, key string) {
	r := request(key)
	r.Route.Objective = 1000
	c, refusal := b.Pick(s.clock(), r)
	s.result.requests++
	if refusal != nil {
		return
	}
	sentAt := s.now
	var first, second *hedgeRunState
	end := func(winner, loser *hedgeRunState) {
		b.Done(s.clock(), winner.choice, shbalance.Answered{Load: s.load(winner.server)})
		s.result.took = append(s.result.took, s.now-sentAt)
		if loser != nil {
			s.cancel(loser)
			b.Done(s.clock(), loser.choice, shbalance.Outrun{})
			if winner == second {
				s.result.won++
			}
		}
	}
	first = s.send(c, key, func() { end(first, second) })
	delay := b.HedgeDelay(s.clock(), c)
	if delay == 0 {
		return
	}
	r.Tried = []shmodel.BackendServer{c.Backend.ID}
	checks := 0
	var consider func()
	consider = func() {
		if first.ended {
			return
		}
		r.Elapsed, r.Left = s.now-sentAt, 4*time.Second-(s.now-sentAt)
		d := b.Hedge(s.clock(), s.clock(), c, r)
		if d.Refused == "" {
			s.result.hedges++
			second = s.send(d.Choice, key, func() { end(second, first) })
			return
		}
		s.result.refused[d.Refused]++
		if checks++; checks < 3 {
			s.after((s.now-sentAt)/2, consider)
		}
	}
	s.after(delay, consider)
}

func (s *hedgeSimulation) load(server int) *shbalance.Load {
	n := s.servers[server]
	return &shbalance.Load{Running: n.running, Waiting: len(n.waiting), Slots: 3}
}

func (s *hedgeSimulation) send(c shbalance.Choice, key string, answered func()) *hedgeRunState {
	server := int(c.Backend.ID[0] - '0')
	run := &hedgeRunState{choice: c, server: server, key: key, answered: answered}
	s.servers[server].waiting = append(s.servers[server].waiting, run)
	s.startRuns(server)
	return run
}

func (s *hedgeSimulation) startRuns(server int) {
	n := s.servers[server]
	for n.running < 3 && len(n.waiting) > 0 {
		run := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		run.began, run.started = s.now, true
		took := hedgeRun
		if !n.warm[run.key] {
			took = 3 * hedgeRun
		}
		took = time.Duration(float64(took) * math.Exp(0.15*s.random.NormFloat64()) * s.slowdown(s.random, server, s.now))
		s.after(took, func() {
			if run.ended {
				return
			}
			n.warm[run.key] = true
			s.finish(run)
			run.answered()
		})
	}
}

// finish ends a send and frees its slot.
func (s *hedgeSimulation) finish(run *hedgeRunState) {
	run.ended = true
	if run.started {
		s.result.work += s.now - run.began
		s.servers[run.server].running--
		s.startRuns(run.server)
	}
}

func (s *hedgeSimulation) cancel(run *hedgeRunState) {
	if run.ended {
		return
	}
	n := s.servers[run.server]
	n.waiting = slices.DeleteFunc(n.waiting, func(o *hedgeRunState) bool { return o == run })
	s.finish(run)
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func even(*rand.Rand, int, time.Duration) float64 { return 1 }

// within reports whether at is in one of the spells of 4 s that begin every 15 s.
func within(at time.Duration) bool { return at%(15*time.Second) >= 11*time.Second }

// Guards against second sends that make the slowest answers slower, that exceed the
// operator's share, or that are not made where another backend server is sooner.
func TestHedgePatterns(t *testing.T) {
	slowHost := func(_ *rand.Rand, server int, at time.Duration) float64 {
		if server == 1 && within(at) {
			return 8
		}
		return 1
	}
	for _, c := range []struct {
		name    string
		pattern hedgePattern
		// cuts says that the 99.5th percentile must fall; otherwise it may not rise by
		// over a tenth.
		cuts bool
	}{
		{"one slow host in a spell", hedgePattern{0.05, steady(60), 60, slowHost}, true},
		{"single slow runs", hedgePattern{0.05, steady(60), 60, func(random *rand.Rand, _ int, _ time.Duration) float64 {
			if random.Float64() < 0.02 {
				return 10
			}
			return 1
		}}, true},
		{"limit used up", hedgePattern{0.005, steady(60), 60, slowHost}, false},
		{"short of slots", hedgePattern{0.2, steady(140), 60, even}, false},
		{"burst", hedgePattern{0.1, func(at time.Duration) float64 {
			if within(at) {
				return 160
			}
			return 40
		}, 60, even}, false},
		{"cold runs", hedgePattern{0.1, steady(25), 4000, even}, false},
		{"all hosts slow", hedgePattern{0.1, steady(30), 60, func(_ *rand.Rand, _ int, at time.Duration) float64 {
			if within(at) {
				return 4
			}
			return 1
		}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var without, with hedgeOutcome
			for seed := range uint64(8) {
				off := c.pattern
				off.share = 0
				without.add(simulateHedges(off, seed))
				one := simulateHedges(c.pattern, seed)
				limit := c.pattern.share * float64(one.requests)
				assert.Assert(t, float64(one.hedges) <= limit, "%d second sends, %.0f permitted", one.hedges, limit)
				with.add(one)
			}
			t.Logf("without: %v", without)
			t.Logf("with:    %v", with)
			before, after := without.quantile(0.995), with.quantile(0.995)
			if c.cuts {
				assert.Assert(t, after < before && with.hedges > 0, "%v, %v without", after, before)
			}
			assert.Assert(t, float64(after) <= 1.1*float64(before), "%v, %v without", after, before)
			extra := float64(with.work)/float64(without.work) - 1
			assert.Assert(t, extra <= 2*c.pattern.share, "%.3f more work", extra)
		})
	}
}

func (o *hedgeOutcome) add(p hedgeOutcome) {
	if o.refused == nil {
		o.refused = map[shbalance.HedgeRefusal]int{}
	}
	o.took = append(o.took, p.took...)
	o.requests += p.requests
	o.hedges += p.hedges
	o.won += p.won
	o.work += p.work
	for cause, n := range p.refused {
		o.refused[cause] += n
	}
}

// String implements fmt.Stringer.
func (o hedgeOutcome) String() string {
	return fmt.Sprintf("%d requests, 50 %v, 90 %v, 99 %v, 99.5 %v, 99.9 %v, %d hedges, %d won, refused %v, work %v",
		o.requests, o.quantile(0.5), o.quantile(0.9), o.quantile(0.99), o.quantile(0.995), o.quantile(0.999),
		o.hedges, o.won, o.refused, o.work.Round(time.Second))
}
