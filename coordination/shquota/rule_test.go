package shquota_test

import (
	"testing"
	"time"

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

// Guards against requests beyond an allowance by any course of demand, lost and late
// messages, changes of the leader, cuts, freezes and restarts of entry VMs, changes of
// the table and returned tickets.
func TestRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawLimit := func(name string) shquota.Limit {
			return shquota.Limit{
				Rate:  rapid.SampledFrom([]float64{0.5, 4, 30, 300}).Draw(t, name+" rate"),
				Burst: rapid.SampledFrom([]float64{0, 5, 300}).Draw(t, name+" burst"),
			}
		}
		changes := []change{{start, drawLimit("first")}}
		f := newFleet(rapid.SampledFrom([]int{1, 3, 9, 40}).Draw(t, "size"), map[string]shquota.Limit{"a": changes[0].limit})
		flow := rapid.SampledFrom([]int{0, 1, 3, 20}).Draw(t, "flow")
		processes := uint64(1)
		delay := func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{0, 0, 20, 20, 20, 200, -1}).Draw(t, "delay")) * time.Millisecond
		}
		steps := rapid.IntRange(1, 500).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "vm")
			x := f.entries[i]
			for range flow {
				f.arrive(rapid.IntRange(0, len(f.entries)-1).Draw(t, "arrival"), "a")
			}
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				for range rapid.IntRange(1, 600).Draw(t, "burst") {
					f.arrive(i, "a")
				}
			case 1:
				f.leader = nil
			case 2:
				f.elect()
			case 3:
				x.cut = true
			case 4:
				x.cut = false
				f.update(i)
			case 5:
				x.frozenUntil = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "freeze")) * time.Millisecond)
			case 6:
				processes++
				x.account, x.waiting = newAccount(i, processes), nil
				f.update(i)
			case 7:
				for _, y := range f.entries {
					y.cut = false
				}
				changes = append(changes, change{f.now, drawLimit("next")})
				f.setLimits(map[string]shquota.Limit{"a": changes[len(changes)-1].limit})
			case 8:
				giveBack(f, x)
			case 9:
				flow = rapid.SampledFrom([]int{0, 1, 3, 20}).Draw(t, "flow")
			}
			f.advance(delay)
		}
		over := f.busiest("a", func(from, to time.Time) float64 {
			most := 0.0
			for i, c := range changes {
				if !c.at.After(to) && (i+1 == len(changes) || changes[i+1].at.After(from.Add(-lowering))) {
					most = max(most, rules.Most(c.limit))
				}
			}
			return most
		})
		if over > 0 {
			t.Fatalf("%v requests more in a window than permitted", over)
		}
	})
}

// giveBack returns the tickets of an entry VM's last requests.
func giveBack(f *fleet, x *entry) {
	passed := f.passed["a"]
	for _, p := range passed[max(len(passed)-20, 0):] {
		if !p.returned {
			p.returned = true
			x.account.Return(f.now, p.ticket)
		}
	}
}
