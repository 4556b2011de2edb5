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
	w := &simulation{Rand: r, leader: newClock(r), term: 1, scheduled: map[int][]func(){}, faultsEnabled: faults}
	for i := range vms {
		h := &holder{clock: newClock(r)}
		h.VM = shmodel.VM(fmt.Sprintf("vm%d", i))
		h.From, h.To = "a", "b"
		w.holders = append(w.holders, h)
	}
	w.setCap(linkCap)
	return w
}

func (w *simulation) setCap(bitsPerSecond int64) {
	w.grantLimit = bitsPerSecond - linkReserved
	revision, _ := w.state.Config()
	link := shconfig.Link{From: "a", To: "b", CapBitsPerSecond: bitsPerSecond, ControlBitsPerSecond: linkReserved}
	w.state.Apply(start, shcontrol.ApplyConfig{
		EditID:       fmt.Sprint(revision),
		BaseRevision: revision,
		Config:       shconfig.Config{Links: map[string]shconfig.Link{"ab": link}},
	})
}

// schedule calls f after a number of steps.
func (w *simulation) schedule(steps int, f func()) {
	w.scheduled[w.now+steps] = append(w.scheduled[w.now+steps], f)
}

// leaderTime returns the current time of the leader's clock.
func (w *simulation) leaderTime() time.Time { return w.leader.at(w.now) }

// faultOccurs reports whether to inject a fault that has this probability.
func (w *simulation) faultOccurs(probability float64) bool {
	return w.faultsEnabled && w.Float64() < probability
}

// propose commits a command after a delay. Injected faults lengthen the delay or
// commit the command twice.
func (w *simulation) propose(c shcontrol.Command, done func(shcontrol.Result)) {
	delay := 1 + w.IntN(6)
	if w.faultOccurs(0.03) {
		delay = 5 * second
	}
	if w.faultOccurs(0.05) {
		w.schedule(delay+w.IntN(second), func() { w.state.Apply(w.leaderTime(), c) })
	}
	var commit func()
	commit = func() {
		if w.now < w.noLeaderUntil {
			w.schedule(w.noLeaderUntil-w.now, commit)
			return
		}
		done(w.state.Apply(w.leaderTime(), c))
	}
	w.schedule(delay, commit)
}

func (w *simulation) run(steps int) {
	for range steps {
		w.now++
		for _, f := range w.scheduled[w.now] {
			f()
		}
		delete(w.scheduled, w.now)
		w.stepLeader()
		sent := int64(0)
		for _, h := range w.holders {
			sent += w.stepHolder(h)
		}
		w.sent = append(w.sent, sent)
		w.check()
	}
}

// check compares what each holder may use with its grants in the replicated
// state, and the sum of the grants with the cap.
func (w *simulation) check() {
	counted := map[shmodel.VM]int64{}
	granted := int64(0)
	for _, g := range w.state.Grants() {
		counted[g.VM] += g.BitsPerSecond
		granted += g.BitsPerSecond
	}
	if granted > w.grantLimit && granted > w.granted {
		w.violation = fmt.Sprintf("step %d: granted %d above the limit of %d", w.now, granted, w.grantLimit)
	}
	w.granted = granted
	for _, h := range w.holders {
		probe := h.GrantHolder
		if usable := probe.BitsPerSecond(h.clock.at(w.now)); usable > counted[h.VM] {
			w.violation = fmt.Sprintf("step %d: %s uses %d of %d", w.now, h.VM, usable, counted[h.VM])
		}
	}
}

// stepLeader proposes the expiry of grants and sometimes changes the leader.
func (w *simulation) stepLeader() {
	if w.faultOccurs(0.002) {
		w.leader = newClock(w.Rand)
		w.term++
		w.noLeaderUntil = w.now + w.IntN(2*second)
	}
	if w.faultOccurs(0.002) {
		w.noLeaderUntil = w.now + w.IntN(4*second)
	}
	if w.now < w.noLeaderUntil || w.now%5 != 0 {
		return
	}
	for _, c := range w.expirer.Due(w.leader.at(w.now), w.term, w.state.Grants()) {
		w.propose(c, func(shcontrol.Result) {})
	}
}

// stepHolder lets a holder send bytes and request grants, unless it is frozen.
func (w *simulation) stepHolder(h *holder) int64 {
	if w.faultOccurs(0.001) {
		h.frozenUntil = w.now + w.IntN(5*second)
	}
	if w.now < h.frozenUntil {
		return 0
	}
	now := h.clock.at(w.now)
	if more := int64(1 << (16 + w.IntN(6))); h.waitingBytes < 1<<22 {
		h.waitingBytes += more
		h.AddDemand(now, more)
	}
	taken := h.Take(now, h.waitingBytes)
	h.waitingBytes -= taken
	h.sentBytes += taken
	if request, ok := h.NextRequest(now); ok {
		w.request(h, request)
	}
	return taken
}

func (w *simulation) request(h *holder, request shlimit.GrantRequest) {
	answered := false
	w.propose(request.Command, func(r shcontrol.Result) {
		if w.faultOccurs(0.05) {
			return
		}
		var arrive func()
		arrive = func() {
			if w.now < h.frozenUntil {
				w.schedule(h.frozenUntil-w.now, arrive)
				return
			}
			answered = true
			h.Granted(h.clock.at(w.now), request, r.(shcontrol.GrantResult))
		}
		w.schedule(1+w.IntN(2), arrive)
	})
	w.schedule(2*second, func() {
		if !answered {
			h.RequestFailed(h.clock.at(w.now))
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
	w := newSimulation(seed, 7, true)
	w.run(8 * second)
	high := len(w.sent)
	w.setCap(linkCap / 4)
	// The lower cap is in effect once the grants fit into it.
	for w.granted > w.grantLimit {
		w.run(1)
		assert.Assert(t, len(w.sent)-high < 30*second, "seed %d: the lowered cap never took effect", seed)
	}
	low := len(w.sent)
	w.run(4 * second)
	assert.Equal(t, w.violation, "", "seed %d", seed)
	assert.Assert(t, worstSecond(w.sent) <= linkCap-linkReserved, "seed %d", seed)
	assert.Assert(t, worstSecond(w.sent[low:]) <= w.grantLimit, "seed %d", seed)
	return worstSecond(w.sent)
}

// Guards against grants of one VM that leave no capacity for the others, and
// against a link that is idle while grants are renewed.
func TestLinkIsUsedAndShared(t *testing.T) {
	w := newSimulation(1, 7, false)
	first := w.holders[0]
	all := w.holders
	w.holders = all[:1]
	w.run(20 * second)
	alone := first.sentBytes
	w.run(10 * second)
	assert.Assert(t, (first.sentBytes-alone)*8 > 10*(linkCap-linkReserved)*7/10, "one VM alone sent %d", first.sentBytes-alone)

	w.holders = all
	w.run(30 * second)
	before := make([]int64, len(all))
	total := int64(0)
	for i, h := range all {
		before[i] = h.sentBytes
	}
	w.run(20 * second)
	for i, h := range all {
		sent := (h.sentBytes - before[i]) * 8
		total += sent
		assert.Assert(t, sent > 20*linkCap/7/3, "%s sent %d", h.VM, sent)
	}
	assert.Assert(t, total > 20*(linkCap-linkReserved)*6/10, "all sent %d", total)
}
