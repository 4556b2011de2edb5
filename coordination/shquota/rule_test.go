package shquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shquota"
)

// lowering is how long before a window a higher limit may have been in force: the time
// for a table to reach all VMs in touch, and one window.
const lowering = 2500*time.Millisecond + 5*time.Second

// change is a limit with the time from which it is in force.
type change struct {
	at    time.Time
	limit shquota.Limit
}

// course is a fleet with one team whose events rapid draws.
type course struct {
	*fleet
	t       *rapid.T
	random  *rand.Rand
	changes []change
	// flow is the number of requests in a step, lossy the share of lost messages.
	flow      int
	lossy     float64
	processes uint64
}

func (c *course) drawLimit() shquota.Limit {
	return shquota.Limit{
		Rate:  rapid.SampledFrom([]float64{300, 30, 4, 0.5}).Draw(c.t, "rate"),
		Burst: rapid.SampledFrom([]float64{300, 5, 0}).Draw(c.t, "burst"),
	}
}

func (c *course) drawFlow() {
	c.flow = rapid.SampledFrom([]int{150, 40, 4, 1, 0}).Draw(c.t, "flow")
	c.greedy = rapid.Bool().Draw(c.t, "greedy")
}

func (c *course) delay() time.Duration {
	if c.random.Float64() < c.lossy {
		return -1
	}
	if c.t == nil {
		return step / 2
	}
	return time.Duration(c.random.IntN(4)) * step * time.Duration(1+c.random.IntN(20)/19*10)
}

// advanceBy lets steps pass with the current flow.
func (c *course) advanceBy(steps int) {
	for range steps {
		for range c.flow {
			c.arrive(c.random.IntN(len(c.entries)), "a")
		}
		c.advance(c.delay)
	}
}

// event draws one event and brings it about.
func (c *course) event() {
	i := c.random.IntN(len(c.entries))
	x := c.entries[i]
	switch rapid.IntRange(0, 9).Draw(c.t, "event") {
	case 0:
		c.drawFlow()
	case 1:
		for range rapid.IntRange(1, 2000).Draw(c.t, "burst") {
			c.arrive(i, "a")
		}
	case 2:
		c.leader = nil
	case 3:
		// A transfer of the leadership, which the old leader hears of last.
		c.old, c.oldUntil = c.leader, c.now.Add(50*time.Millisecond)
		c.elect()
	case 4:
		for _, y := range c.entries {
			y.cut = c.random.IntN(2) == 0
		}
	case 5:
		for j, y := range c.entries {
			y.cut = false
			c.update(j)
		}
	case 6:
		for _, y := range c.entries {
			y.frozenUntil = c.now.Add(time.Duration(c.random.IntN(3000)) * time.Millisecond)
		}
	case 7:
		c.processes++
		x.account, x.cut = newAccount(i, c.processes), false
		clear(x.waiting)
		c.update(i)
	case 8:
		c.changes = append(c.changes, change{c.now, c.drawLimit()})
		for _, y := range c.entries {
			y.cut = false
		}
		c.setLimits(map[string]shquota.Limit{"a": c.changes[len(c.changes)-1].limit})
	case 9:
		c.giveBack(rapid.IntRange(1, 500).Draw(c.t, "returned"))
	}
}

// giveBack returns the tickets of the last n requests.
func (c *course) giveBack(n int) {
	passed := c.passed["a"]
	for _, p := range passed[max(len(passed)-n, 0):] {
		if !p.returned {
			p.returned = true
			p.by.Return(c.now, p.ticket)
		}
	}
}

// most returns what may run in a window by the limits in force.
func (c *course) most(from, to time.Time) float64 {
	most := 0.0
	for i, x := range c.changes {
		if !x.at.After(to) && (i+1 == len(c.changes) || c.changes[i+1].at.After(from.Add(-lowering))) {
			most = max(most, rules.Most(x.limit))
		}
	}
	return most
}

// Guards against requests beyond an allowance when entry VMs hold tokens of a full
// bucket until they expire, or longer if they can, use them all with those of the next
// window, and are then cut off.
func TestHeldTokens(t *testing.T) {
	for _, limit := range []shquota.Limit{{Rate: 300, Burst: 300}, {Rate: 300}, {Rate: 10, Burst: 10}, {Rate: 0.2, Burst: 1}} {
		for _, lives := range []int{1, 3} {
			t.Run(fmt.Sprint(limit, lives), func(t *testing.T) { assertHeldTokens(t, 34, limit, lives) })
		}
		t.Run(fmt.Sprint(limit, "few VMs"), func(t *testing.T) { assertHeldTokens(t, 7, limit, 1) })
	}
	t.Run("many VMs", func(t *testing.T) { assertHeldTokens(t, 300, shquota.Limit{Rate: 10, Burst: 10}, 1) })
}

func assertHeldTokens(t *testing.T, size int, limit shquota.Limit, lives int) {
	t.Helper()
	c := &course{random: rand.New(rand.NewPCG(1, 0)), changes: []change{{start, limit}}}
	c.fleet = newFleet(size, map[string]shquota.Limit{"a": limit})
	c.advanceBy(int(20 * time.Second / step))
	c.greedy, c.flow = true, 1
	c.advanceBy(lives*int(rules.Plan(limit).TokenLife/step) - 4)
	c.greedy, c.flow = false, 10*size
	for i := range size * int(limit.Rate+limit.Burst) {
		c.arrive(i%size, "a")
	}
	c.advanceBy(int(rules.Window/step) - 5)
	for _, x := range c.entries {
		x.cut = true
	}
	c.advanceBy(int(rules.Window / step / 2))
	over := c.busiest("a", c.most)
	assert.Assert(t, over <= 0)
	t.Logf("%.0f below the %.0f permitted in a window", -over, rules.Most(limit))
}

// Guards against requests beyond an allowance when entry VMs that are cut off use their
// bridges while the leader, or a new one, serves the others.
func TestBridges(t *testing.T) {
	for _, elects := range []bool{false, true} {
		for _, apart := range []int{2, 4} {
			t.Run(fmt.Sprint(elects, apart), func(t *testing.T) {
				limit := shquota.Limit{Rate: 300}
				c := &course{random: rand.New(rand.NewPCG(1, 0)), changes: []change{{start, limit}}}
				c.fleet = newFleet(12, map[string]shquota.Limit{"a": limit})
				c.flow = 4
				c.advanceBy(int(4 * time.Second / step))
				for range 6 {
					c.flow = 40
					c.advanceBy(int(time.Second / step))
					for i, x := range c.entries {
						x.cut = i%apart > 0
					}
					if elects {
						c.elect()
					}
					c.advanceBy(int(2400 * time.Millisecond / step))
					for i, x := range c.entries {
						x.cut = false
						c.update(i)
					}
				}
				assert.Assert(t, bridged(c) > 100, "bridges are used")
				over := c.busiest("a", c.most)
				assert.Assert(t, over <= 0)
				t.Logf("%.0f below the %.0f permitted in a window", -over, rules.Most(limit))
			})
		}
	}
}

func bridged(c *course) uint64 {
	n := uint64(0)
	for _, x := range c.entries {
		n += x.account.Stats().Bridged
	}
	return n
}

// Guards against requests beyond an allowance by any course of demand, lost and late
// messages, changes of the leader, cuts, freezes and restarts of entry VMs, changes of
// the table and returned tickets.
func TestRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &course{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0)), processes: 1}
		c.changes = []change{{start, c.drawLimit()}}
		size := rapid.SampledFrom([]int{9, 40, 3, 1}).Draw(t, "size")
		c.fleet = newFleet(size, map[string]shquota.Limit{"a": c.changes[0].limit})
		c.lossy = rapid.SampledFrom([]float64{0, 0.02, 0.5}).Draw(t, "lossy")
		c.drawFlow()
		for range rapid.IntRange(0, 10).Draw(t, "events") {
			c.advanceBy(rapid.SampledFrom([]int{15, 25, 3, 1, 100, 250}).Draw(t, "steps"))
			c.event()
		}
		c.advanceBy(300)
		if over := c.busiest("a", c.most); over > 0 {
			t.Fatalf("%v requests more in a window than permitted", over)
		}
	})
}
