package shlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

const (
	step         = 20 * time.Millisecond
	second       = int(time.Second / step)
	linkCap      = 280_000_000
	linkReserved = 8_000_000
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// clock has its own origin and runs at speed relative to real time.
type clock struct {
	origin time.Time
	speed  float64
}

func (c clock) at(now int) time.Time {
	return c.origin.Add(time.Duration(float64(now) * c.speed * float64(step)))
}

func newClock(r *rand.Rand) clock {
	return clock{
		origin: start.Add(time.Duration(r.IntN(100)) * time.Second),
		speed:  1 + shcontrol.ClockDrift*(2*r.Float64()-1),
	}
}

// holder is an entry VM with traffic for the link.
type holder struct {
	shlimit.GrantHolder
	clock        clock
	waitingBytes int64
	frozenUntil  int
	sentBytes    int64
}

// simulation is one link with its holders and the replicated state. Time counts
// steps of real time.
type simulation struct {
	*rand.Rand
	now     int
	state   shcontrol.State
	holders []*holder
	// leader is the clock of the leader. Nothing commits before noLeaderUntil.
	leader        clock
	term          uint64
	expirer       shcontrol.GrantExpirer
	noLeaderUntil int
	scheduled     map[int][]func()
	sent          []int64
	faultsEnabled bool
	// grantLimit is the cap in force less the rate reserved for control, granted
	// is the last sum of grants, and violation is the last one that was found.
	grantLimit int64
	granted    int64
	violation  string
}

func newSimulation(seed uint64, vms int, faults bool) *simulation {
	r := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{Rand: r, leader: newClock(r), term: 1, scheduled: map[int][]func(){}, faultsEnabled: faults}
	for i := range vms {
		h := &holder{clock: newClock(r)}
		h.VM = shmodel.VM(fmt.Sprintf("vm%d", i))
		h.From, h.To = "a", "b"
		sim.holders = append(sim.holders, h)
	}
	sim.setCap(linkCap)
	return sim
}

func (sim *simulation) setCap(bitsPerSecond int64) {
	sim.grantLimit = bitsPerSecond - linkReserved
	revision, _ := sim.state.Config()
	link := shconfig.Link{From: "a", To: "b", CapBitsPerSecond: bitsPerSecond, ControlBitsPerSecond: linkReserved}
	sim.state.Apply(start, shcontrol.ApplyConfig{
		EditID:       fmt.Sprint(revision),
		BaseRevision: revision,
		Config:       shconfig.Config{Links: map[string]shconfig.Link{"ab": link}},
	})
}

// schedule calls f after a number of steps.
func (sim *simulation) schedule(steps int, f func()) {
	sim.scheduled[sim.now+steps] = append(sim.scheduled[sim.now+steps], f)
}

// leaderTime returns the current time of the leader's clock.
func (sim *simulation) leaderTime() time.Time { return sim.leader.at(sim.now) }

// faultOccurs reports whether to inject a fault that has this probability.
func (sim *simulation) faultOccurs(probability float64) bool {
	return sim.faultsEnabled && sim.Float64() < probability
}

// propose commits a command after a delay. Injected faults lengthen the delay or
// commit the command twice.
func (sim *simulation) propose(c shcontrol.Command, done func(shcontrol.Result)) {
	delay := 1 + sim.IntN(6)
	if sim.faultOccurs(0.03) {
		delay = 5 * second
	}
	if sim.faultOccurs(0.05) {
		sim.schedule(delay+sim.IntN(second), func() { sim.state.Apply(sim.leaderTime(), c) })
	}
	var commit func()
	commit = func() {
		if sim.now < sim.noLeaderUntil {
			sim.schedule(sim.noLeaderUntil-sim.now, commit)
			return
		}
		done(sim.state.Apply(sim.leaderTime(), c))
	}
	sim.schedule(delay, commit)
}

func (sim *simulation) run(steps int) {
	for range steps {
		sim.now++
		for _, f := range sim.scheduled[sim.now] {
			f()
		}
		delete(sim.scheduled, sim.now)
		sim.stepLeader()
		sent := int64(0)
		for _, h := range sim.holders {
			sent += sim.stepHolder(h)
		}
		sim.sent = append(sim.sent, sent)
		sim.check()
	}
}

// check compares what each holder may use with its grants in the replicated
// state, and the sum of the grants with the cap.
func (sim *simulation) check() {
	counted := map[shmodel.VM]int64{}
	granted := int64(0)
	for _, g := range sim.state.Grants() {
		counted[g.VM] += g.BitsPerSecond
		granted += g.BitsPerSecond
	}
	if granted > sim.grantLimit && granted > sim.granted {
		sim.violation = fmt.Sprintf("step %d: granted %d above the limit of %d", sim.now, granted, sim.grantLimit)
	}
	sim.granted = granted
	for _, h := range sim.holders {
		probe := h.GrantHolder
		if usable := probe.BitsPerSecond(h.clock.at(sim.now)); usable > counted[h.VM] {
			sim.violation = fmt.Sprintf("step %d: %s uses %d of %d", sim.now, h.VM, usable, counted[h.VM])
		}
	}
}

// stepLeader proposes the expiry of grants and sometimes changes the leader.
func (sim *simulation) stepLeader() {
	if sim.faultOccurs(0.002) {
		sim.leader = newClock(sim.Rand)
		sim.term++
		sim.noLeaderUntil = sim.now + sim.IntN(2*second)
	}
	if sim.faultOccurs(0.002) {
		sim.noLeaderUntil = sim.now + sim.IntN(4*second)
	}
	if sim.now < sim.noLeaderUntil || sim.now%5 != 0 {
		return
	}
	for _, c := range sim.expirer.Due(sim.leader.at(sim.now), sim.term, sim.state.Grants()) {
		sim.propose(c, func(shcontrol.Result) {})
	}
}

// stepHolder lets a holder send bytes and request grants, unless it is frozen.
func (sim *simulation) stepHolder(h *holder) int64 {
	if sim.faultOccurs(0.001) {
		h.frozenUntil = sim.now + sim.IntN(5*second)
	}
	if sim.now < h.frozenUntil {
		return 0
	}
	now := h.clock.at(sim.now)
	if more := int64(1 << (16 + sim.IntN(6))); h.waitingBytes < 1<<22 {
		h.waitingBytes += more
		h.AddDemand(now, more)
	}
	taken := h.Take(now, h.waitingBytes)
	h.waitingBytes -= taken
	h.sentBytes += taken
	if request, ok := h.NextRequest(now); ok {
		sim.request(h, request)
	}
	return taken
}

func (sim *simulation) request(h *holder, request shlimit.GrantRequest) {
	answered := false
	sim.propose(request.Command, func(r shcontrol.Result) {
		if sim.faultOccurs(0.05) {
			return
		}
		var arrive func()
		arrive = func() {
			if sim.now < h.frozenUntil {
				sim.schedule(h.frozenUntil-sim.now, arrive)
				return
			}
			answered = true
			h.Granted(h.clock.at(sim.now), request, r.(shcontrol.GrantResult))
		}
		sim.schedule(1+sim.IntN(2), arrive)
	})
	sim.schedule(2*second, func() {
		if !answered {
			h.RequestFailed(h.clock.at(sim.now))
		}
	})
}

// worstSecond returns the maximum number of bits sent in any second.
func worstSecond(sent []int64) int64 {
	worst, sum := int64(0), int64(0)
	for i, bytes := range sent {
		sum += bytes
		if i > second {
			sum -= sent[i-second-1]
		}
		worst = max(worst, sum*8)
	}
	return worst
}

// Guards against traffic above the cap of a link when clocks drift, holders
// freeze, leaders change, proposals are late, lost or repeated, and caps are
// lowered.
func TestLinkStaysUnderCap(t *testing.T) {
	const groups, seeds = 5, 40
	for group := range uint64(groups) {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			busy := 0
			for i := range uint64(seeds) {
				if runWithLoweredCap(t, group*seeds+i) > linkCap/3 {
					busy++
				}
			}
			assert.Assert(t, busy > seeds/2, "only %d seeds had traffic of more than a third of the cap", busy)
		})
	}
}

// runWithLoweredCap runs a link whose cap is lowered and returns the maximum
// number of bits that it carried in any second.
func runWithLoweredCap(t *testing.T, seed uint64) int64 {
	sim := newSimulation(seed, 7, true)
	sim.run(8 * second)
	high := len(sim.sent)
	sim.setCap(linkCap / 4)
	// The lower cap is in effect once the grants fit into it.
	for sim.granted > sim.grantLimit {
		sim.run(1)
		assert.Assert(t, len(sim.sent)-high < 30*second, "seed %d: the lowered cap never took effect", seed)
	}
	low := len(sim.sent)
	sim.run(4 * second)
	assert.Equal(t, sim.violation, "", "seed %d", seed)
	assert.Assert(t, worstSecond(sim.sent) <= linkCap-linkReserved, "seed %d", seed)
	assert.Assert(t, worstSecond(sim.sent[low:]) <= sim.grantLimit, "seed %d", seed)
	return worstSecond(sim.sent)
}

// Guards against grants of one VM that leave no capacity for the others, and
// against a link that is idle while grants are renewed.
func TestLinkIsUsedAndShared(t *testing.T) {
	sim := newSimulation(1, 7, false)
	first := sim.holders[0]
	all := sim.holders
	sim.holders = all[:1]
	sim.run(20 * second)
	alone := first.sentBytes
	sim.run(10 * second)
	assert.Assert(t, (first.sentBytes-alone)*8 > 10*(linkCap-linkReserved)*7/10, "one VM alone sent %d", first.sentBytes-alone)

	sim.holders = all
	sim.run(30 * second)
	before := make([]int64, len(all))
	total := int64(0)
	for i, h := range all {
		before[i] = h.sentBytes
	}
	sim.run(20 * second)
	for i, h := range all {
		sent := (h.sentBytes - before[i]) * 8
		total += sent
		assert.Assert(t, sent > 20*linkCap/7/3, "%s sent %d", h.VM, sent)
	}
	assert.Assert(t, total > 20*(linkCap-linkReserved)*6/10, "all sent %d", total)
}
