package shbalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Guards against an explanation that changes what it explains, or that names another
// backend server than the next request gets.
func TestExplain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(3)
		cold, leaving := v.Backends["n2-0"], v.Backends["s1-0"]
		cold.ColdFor, cold.At, leaving.Leaving = 3000, 1, true
		v.Backends[cold.ID], v.Backends[leaving.ID] = cold, leaving
		b := balancer("e1", "n1", v)
		now := start
		var inFlight []shbalance.Choice
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause ms")) * time.Millisecond)
			r := shortRequest(true)
			r.Key = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))
			r.Left = time.Duration(rapid.IntRange(100, 1200).Draw(t, "left ms")) * time.Millisecond
			before := b.Snapshot()
			p := b.Explain(now, r)
			assert.Equal(t, b.Snapshot(), before)
			c, refusal := b.Pick(now, r)
			assert.Equal(t, p.Chosen, c.Backend.ID)
			assert.Equal(t, len(p.Candidates)+len(p.Excluded), len(v.Backends))
			if refusal != nil {
				assert.Equal(t, p.Why, string(refusal.Reason))
				continue
			}
			inFlight = append(inFlight, c)
			if rapid.Bool().Draw(t, "answer") {
				// Those that suspend, and after which learned times need a probe.
				seen := rapid.SampledFrom([]shbalance.Observation{
					shbalance.Unreachable{}, shbalance.Unreachable{}, shbalance.Slow{}, shbalance.Answered{},
				}).Draw(t, "observation")
				b.Done(now, inFlight[0], seen)
				inFlight = inFlight[1:]
			}
		}
	})
}

// Guards against an explanation that names another rule than the one that excludes a
// backend server.
func TestExplainRules(t *testing.T) {
	v := fleet(3)
	change := func(id shmodel.BackendServer, f func(b *shfleet.Backend)) {
		b := v.Backends[id]
		f(&b)
		v.Backends[id] = b
	}
	change("n1-0", func(b *shfleet.Backend) { b.Leaving = true })
	change("n1-1", func(b *shfleet.Backend) { b.ColdFor, b.At = 60_000, 1 })
	v.Evacuated = map[shmodel.FailureDomain]bool{"n2": true}
	b := balancer("e1", "n1", v)
	b.ObserveWait(start, v.Backends["n1-2"].Instance, 2*time.Second)
	r := request("k")
	r.Route.Regions, r.Tried = []shmodel.Region{"north"}, []shmodel.BackendServer{"n1-1"}
	p := b.Explain(start, r)
	assert.Equal(t, p.Chosen, shmodel.BackendServer(""))
	rules := map[shmodel.BackendServer]shbalance.Exclusion{}
	for _, x := range p.Excluded {
		rules[x.Backend] = x.Rule
	}
	assert.DeepEqual(t, rules, map[shmodel.BackendServer]shbalance.Exclusion{
		"n1-0": "leaving", "n1-1": "tried", "n1-2": "asked to wait", "n2-0": "evacuated", "n2-1": "evacuated", "n2-2": "evacuated",
		"s1-0": "region not allowed", "s1-1": "region not allowed", "s1-2": "region not allowed",
	})
}
