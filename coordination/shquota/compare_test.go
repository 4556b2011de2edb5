package shquota_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shquota"
)

// load is a course of demand and failures of 30 s for one team.
type load struct {
	name string
	// rate is the demand at a time as a multiple of the rate, and pick the entry VM that
	// the next request goes to.
	rate func(second float64) float64
	pick func(second float64, r *rand.Rand, size int) int
	// event is called before each step.
	event func(f *fleet, stepNumber int, limit shquota.Limit)
	// lost says that some entry VMs cannot reach a leader for some time.
	lost bool
}

const compareSteps = 1500

func anyVM(_ float64, r *rand.Rand, size int) int { return r.IntN(size) }

func steady(float64) float64 { return 0.8 }

func seconds(n int) int { return n * int(time.Second/step) }

var loads = []load{
	{"even", steady, anyVM, nil, false},
	{"one VM", steady, func(float64, *rand.Rand, int) int { return 0 }, nil, false},
	{"ten times for 5 s", func(s float64) float64 {
		if s >= 10 && s < 15 {
			return 8
		}
		return 0.8
	}, anyVM, nil, false},
	{"callers move", steady, func(s float64, r *rand.Rand, size int) int {
		third := max(size/3, 1)
		return (int(s/5)%3*third + r.IntN(third)) % size
	}, nil, false},
	{"leader lost for 2 s", steady, anyVM, func(f *fleet, n int, _ shquota.Limit) {
		switch n {
		case seconds(10):
			f.leader = nil
		case seconds(12):
			f.elect()
		}
	}, true},
	{"leader replaced at half", func(float64) float64 { return 0.5 }, anyVM, func(f *fleet, n int, _ shquota.Limit) {
		if n == seconds(10) {
			f.elect()
		}
	}, false},
	{"leader replaced", steady, anyVM, func(f *fleet, n int, _ shquota.Limit) {
		if n == seconds(10) {
			f.elect()
		}
	}, false},
	{"third of VMs cut for 4 s", steady, anyVM, func(f *fleet, n int, _ shquota.Limit) {
		if n == seconds(10) || n == seconds(14) {
			for i := range len(f.entries) / 3 {
				f.entries[i].cut = n == seconds(10)
			}
		}
	}, true},
	{"halved for 10 s", steady, anyVM, func(f *fleet, n int, limit shquota.Limit) {
		switch n {
		case seconds(10):
			f.setLimits(map[string]shquota.Limit{"a": {Rate: limit.Rate / 2, Burst: limit.Burst / 2}})
		case seconds(20):
			f.setLimits(map[string]shquota.Limit{"a": limit})
		}
	}, false},
}

// level is a plain token bucket: the measure of what is owed, and a fixed part.
type level struct {
	tokens float64
	at     time.Time
}

func (l *level) take(now time.Time, limit shquota.Limit) bool {
	l.tokens = min(l.tokens+limit.Rate*now.Sub(l.at).Seconds(), limit.Burst)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// outcome is the share of owed requests that were refused, and the most that ran in a
// window as a part of what is permitted.
type outcome struct{ refused, busiest float64 }

// way is how requests are decided on.
type way string

const (
	fixedParts way = "fixed parts"
	tokens     way = "tokens"
	spareOnly  way = "spare only"
)

func play(w way, l load, size int, limit shquota.Limit) outcome {
	random := rand.New(rand.NewPCG(7, 0))
	f := newFleet(size, map[string]shquota.Limit{"a": limit})
	if w == spareOnly {
		f.leader = nil
	}
	// A new leader knows after this time which rates the last one granted.
	for range seconds(3) {
		f.advance(func() time.Duration { return step / 2 })
	}
	began := f.now
	parts := make([]level, size)
	owed := level{tokens: limit.Burst, at: f.now}
	var owedAt, ranAt [compareSteps/50 + 2]float64
	due := 0.0
	for n := range compareSteps {
		if l.event != nil {
			l.event(f, n, limit)
		}
		if w == spareOnly {
			f.leader = nil
		}
		second := float64(n) * step.Seconds()
		// Single steps vary much, seconds little.
		due += l.rate(second) * limit.Rate * step.Seconds() * random.ExpFloat64()
		for ; due >= 1; due-- {
			if owed.take(f.now, f.limits["a"]) {
				owedAt[n/50]++
			}
			i := l.pick(second, random, size)
			part := f.limits["a"]
			part.Rate /= float64(size)
			part.Burst = max(part.Burst/float64(size), 1)
			switch {
			case w != fixedParts:
				f.arrive(i, "a")
			case parts[i].take(f.now, part):
				f.passed["a"] = append(f.passed["a"], &pass{at: f.now})
			}
		}
		if w == fixedParts {
			f.now = f.now.Add(step)
			continue
		}
		f.advance(func() time.Duration { return step / 2 })
	}
	for _, p := range f.passed["a"] {
		ranAt[int(p.at.Sub(began).Seconds())]++
	}
	return outcome{missing(owedAt[:], ranAt[:]), f.share(limit)}
}

// missing returns the share of what is owed that did not run in the same second or in
// the next one, in which requests of its end may run.
func missing(owed, ran []float64) float64 {
	total, missed, carried := 0.0, 0.0, 0.0
	for i := range owed {
		total += owed[i]
		late := min(carried, ran[i])
		missed += carried - late
		carried = max(owed[i]-(ran[i]-late), 0)
	}
	return (missed + carried) / max(total, 1)
}

// share returns the most that ran in a window as a part of what is permitted.
func (f *fleet) share(limit shquota.Limit) float64 {
	most := rules.Most(limit)
	if len(f.passed["a"]) == 0 {
		return 0
	}
	return (f.busiest("a", func(time.Time, time.Time) float64 { return most }) + most) / most
}

// mostRefused is the share of owed requests that may be refused while the leader
// answers.
const mostRefused = 0.05

// Guards against owed requests that tokens refuse while the leader can be reached, and
// prints how the ways compare, each cell with fixed parts / tokens / spare only: per cent
// of owed requests refused by number of entry VMs, and the most that ran in a window as
// per cent of what is permitted.
func TestCompareWays(t *testing.T) {
	var table strings.Builder
	for _, limit := range []shquota.Limit{{Rate: 300, Burst: 300}, {Rate: 10, Burst: 10}} {
		for _, l := range loads {
			fmt.Fprintf(&table, "| %v | %s |", limit.Rate, l.name)
			var most [3]float64
			for _, size := range []int{7, 34, 109, 300} {
				var refused [3]float64
				for i, w := range []way{fixedParts, tokens, spareOnly} {
					o := play(w, l, size, limit)
					assert.Check(t, o.busiest <= 1 || w == fixedParts, "%s, %s, %d VMs: %v", w, l.name, size, o)
					assert.Check(t, l.lost || w != tokens || o.refused <= mostRefused, "%s, %d VMs: %v", l.name, size, o)
					refused[i] = 100 * o.refused
					most[i] = max(most[i], 100*o.busiest)
				}
				fmt.Fprintf(&table, " %.1f / %.1f / %.0f |", refused[0], refused[1], refused[2])
			}
			fmt.Fprintf(&table, " %.0f / %.0f / %.0f |\n", most[0], most[1], most[2])
		}
	}
	t.Log("\n" + table.String())
}
