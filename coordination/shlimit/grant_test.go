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
	step       = 20 * time.Millisecond
	second     = int(time.Second / step)
	linkCap    = 280_000_000
	linkSpared = 8_000_000
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// clock runs at its own speed from its own origin.
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
	clock   clock
	waiting int64
	frozen  int
	sent    int64
}

// world is one link with its holders and the replicated state. Time counts
// steps of real time.
type world struct {
	*rand.Rand
	now     int
	state   shcontrol.State
	holders []*holder
	// leader has its own clock and expirer; leaderless is until when nothing
	// commits.
	leader     clock
	term       uint64
	expirer    shcontrol.GrantExpirer
	leaderless int
	later      map[int][]func()
	sent       []int64
	faults     bool
	// limit is the cap in force less the reserve, granted the last sum of
	// grants, and broken what was found wrong first.
	limit   int64
	granted int64
	broken  string
}

func newWorld(seed uint64, vms int, faults bool) *world {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{Rand: r, leader: newClock(r), term: 1, later: map[int][]func(){}, faults: faults}
	for i := range vms {
		h := &holder{clock: newClock(r)}
		h.VM = shmodel.VM(fmt.Sprintf("vm%d", i))
		h.From, h.To = "a", "b"
		w.holders = append(w.holders, h)
	}
	w.setCap(linkCap)
	return w
}

func (w *world) setCap(bitsPerSecond int64) {
	w.limit = bitsPerSecond - linkSpared
	revision, _ := w.state.Config()
	link := shconfig.Link{From: "a", To: "b", CapBitsPerSecond: bitsPerSecond, ControlBitsPerSecond: linkSpared}
	w.state.Apply(start, shcontrol.ApplyConfig{
		EditID:       fmt.Sprint(revision),
		BaseRevision: revision,
		Config:       shconfig.Config{Links: map[string]shconfig.Link{"ab": link}},
	})
}

func (w *world) after(steps int, f func()) { w.later[w.now+steps] = append(w.later[w.now+steps], f) }

// stamp is the time of the leader.
func (w *world) stamp() time.Time { return w.leader.at(w.now) }

// fault reports whether a fault of this probability happens.
func (w *world) fault(probability float64) bool { return w.faults && w.Float64() < probability }

// propose commits a command after a while, perhaps late or twice.
func (w *world) propose(c shcontrol.Command, done func(shcontrol.Result)) {
	delay := 1 + w.IntN(6)
	if w.fault(0.03) {
		delay = 5 * second
	}
	if w.fault(0.05) {
		w.after(delay+w.IntN(second), func() { w.state.Apply(w.stamp(), c) })
	}
	var commit func()
	commit = func() {
		if w.now < w.leaderless {
			w.after(w.leaderless-w.now, commit)
			return
		}
		done(w.state.Apply(w.stamp(), c))
	}
	w.after(delay, commit)
}

func (w *world) run(steps int) {
	for range steps {
		w.now++
		for _, f := range w.later[w.now] {
			f()
		}
		delete(w.later, w.now)
		w.lead()
		sent := int64(0)
		for _, h := range w.holders {
			sent += w.send(h)
		}
		w.sent = append(w.sent, sent)
		w.check()
	}
}

// check compares what holders may use with the grants that the state counts,
// and these with the cap.
func (w *world) check() {
	counted := map[shmodel.VM]int64{}
	granted := int64(0)
	for _, g := range w.state.Grants() {
		counted[g.VM] += g.BitsPerSecond
		granted += g.BitsPerSecond
	}
	if granted > w.limit && granted > w.granted {
		w.broken = fmt.Sprintf("step %d: granted %d above the limit of %d", w.now, granted, w.limit)
	}
	w.granted = granted
	for _, h := range w.holders {
		probe := h.GrantHolder
		if usable := probe.BitsPerSecond(h.clock.at(w.now)); usable > counted[h.VM] {
			w.broken = fmt.Sprintf("step %d: %s uses %d of %d", w.now, h.VM, usable, counted[h.VM])
		}
	}
}

// lead proposes expiries and changes the leader now and then.
func (w *world) lead() {
	if w.fault(0.002) {
		w.leader = newClock(w.Rand)
		w.term++
		w.leaderless = w.now + w.IntN(2*second)
	}
	if w.fault(0.002) {
		w.leaderless = w.now + w.IntN(4*second)
	}
	if w.now < w.leaderless || w.now%5 != 0 {
		return
	}
	for _, c := range w.expirer.Due(w.leader.at(w.now), w.term, w.state.Grants()) {
		w.propose(c, func(shcontrol.Result) {})
	}
}

// send lets a holder send and ask, unless it is frozen.
func (w *world) send(h *holder) int64 {
	if w.fault(0.001) {
		h.frozen = w.now + w.IntN(5*second)
	}
	if w.now < h.frozen {
		return 0
	}
	now := h.clock.at(w.now)
	if more := int64(1 << (16 + w.IntN(6))); h.waiting < 1<<22 {
		h.waiting += more
		h.AddDemand(now, more)
	}
	taken := h.Take(now, h.waiting)
	h.waiting -= taken
	h.sent += taken
	if ask, ok := h.NextRequest(now); ok {
		w.ask(h, ask)
	}
	return taken
}

func (w *world) ask(h *holder, ask shlimit.GrantRequest) {
	answered := false
	w.propose(ask.Command, func(r shcontrol.Result) {
		if w.fault(0.05) {
			return
		}
		var arrive func()
		arrive = func() {
			if w.now < h.frozen {
				w.after(h.frozen-w.now, arrive)
				return
			}
			answered = true
			h.Granted(h.clock.at(w.now), ask, r.(shcontrol.GrantResult))
		}
		w.after(1+w.IntN(2), arrive)
	})
	w.after(2*second, func() {
		if !answered {
			h.RequestFailed(h.clock.at(w.now))
		}
	})
}

// worstSecond returns the most bits in any second of steps.
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

// Guards against a link above its cap when clocks drift, holders freeze,
// leaders change, proposals are late, lost or repeated, and caps are lowered.
func TestLinkStaysUnderCap(t *testing.T) {
	const groups, seeds = 5, 40
	for group := range uint64(groups) {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			busy := 0
			for i := range uint64(seeds) {
				if lowerCap(t, group*seeds+i) > linkCap/3 {
					busy++
				}
			}
			assert.Assert(t, busy > seeds/2, "only %d seeds had enough traffic to prove anything", busy)
		})
	}
}

// lowerCap runs a link whose cap is lowered and returns the bits of its worst
// second.
func lowerCap(t *testing.T, seed uint64) int64 {
	w := newWorld(seed, 7, true)
	w.run(8 * second)
	high := len(w.sent)
	w.setCap(linkCap / 4)
	// The lower cap is in effect once the grants fit into it.
	for w.granted > w.limit {
		w.run(1)
		assert.Assert(t, len(w.sent)-high < 30*second, "seed %d: the lowered cap never took effect", seed)
	}
	low := len(w.sent)
	w.run(4 * second)
	assert.Equal(t, w.broken, "", "seed %d", seed)
	assert.Assert(t, worstSecond(w.sent) <= linkCap-linkSpared, "seed %d", seed)
	assert.Assert(t, worstSecond(w.sent[low:]) <= w.limit, "seed %d", seed)
	return worstSecond(w.sent)
}

// Guards against a division in which one VM keeps the others out, and against
// a link that lies idle while grants are renewed.
func TestLinkIsUsedAndShared(t *testing.T) {
	w := newWorld(1, 7, false)
	first := w.holders[0]
	all := w.holders
	w.holders = all[:1]
	w.run(20 * second)
	alone := first.sent
	w.run(10 * second)
	assert.Assert(t, (first.sent-alone)*8 > 10*(linkCap-linkSpared)*7/10, "one VM alone sent %d", first.sent-alone)

	w.holders = all
	w.run(30 * second)
	before := make([]int64, len(all))
	total := int64(0)
	for i, h := range all {
		before[i] = h.sent
	}
	w.run(20 * second)
	for i, h := range all {
		sent := (h.sent - before[i]) * 8
		total += sent
		assert.Assert(t, sent > 20*linkCap/7/3, "%s sent %d", h.VM, sent)
	}
	assert.Assert(t, total > 20*(linkCap-linkSpared)*6/10, "all sent %d", total)
}
