package shbalance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// hedgeService is a service of 18 slots in three failure domains that handles 180 warm
// requests per second.
func hedgeService(rate float64, objects int) simConfig {
	return simConfig{
		zones: []shmodel.FailureDomain{"a", "b", "c"}, regions: map[shmodel.FailureDomain]shmodel.Region{"a": "r", "b": "r", "c": "r"},
		entries: []int{1, 1, 1}, backends: []int{2, 2, 2}, slots: 3, warmObjects: 60, objects: objects, rate: rate / 3,
		coldTime: 300 * time.Millisecond, warmTime: 100 * time.Millisecond, objective: time.Second, deadline: 4 * time.Second,
		inRegion: time.Millisecond,
	}
}

// inSpell reports whether at is in one of the spells of 4 s that begin every 15 s.
func inSpell(at time.Duration) bool { return at%(15*time.Second) >= 11*time.Second }

func (o outcome) quantile(q float64) time.Duration {
	slices.Sort(o.took)
	return o.took[int(q*float64(len(o.took)-1))].Round(time.Millisecond)
}

// Guards against second sends that make the slowest answers slower, that exceed the
// operator's share, or that are not made where another backend server is sooner.
func TestHedgePatterns(t *testing.T) {
	slowHost := func(sim *simulation, s *server) float64 {
		if s.number == 1 && inSpell(sim.now) {
			return 8
		}
		return 1
	}
	for _, c := range []struct {
		name     string
		share    float64
		config   simConfig
		slowdown func(*simulation, *server) float64
		load     func(at time.Duration) float64
		// cuts says that the 99.5th percentile must fall.
		cuts bool
	}{
		{"one slow host in a spell", 0.05, hedgeService(60, 40), slowHost, nil, true},
		{"single slow runs", 0.05, hedgeService(60, 40), func(sim *simulation, _ *server) float64 {
			if sim.random.Float64() < 0.02 {
				return 10
			}
			return 1
		}, nil, true},
		{"limit used up", 0.005, hedgeService(60, 40), slowHost, nil, false},
		{"short of slots", 0.2, hedgeService(140, 40), nil, nil, false},
		{"burst", 0.1, hedgeService(40, 40), nil, func(at time.Duration) float64 {
			if inSpell(at) {
				return 4
			}
			return 1
		}, false},
		{"cold runs", 0.1, hedgeService(25, 4000), nil, nil, false},
		{"all hosts slow", 0.1, hedgeService(30, 40), func(sim *simulation, _ *server) float64 {
			if inSpell(sim.now) {
				return 4
			}
			return 1
		}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var without, with outcome
			for seed := range uint64(8) {
				config := c.config
				config.slowdown, config.load = c.slowdown, c.load
				without.add(simulate(config, time.Minute, seed))
				config.hedgeShare = c.share
				one := simulate(config, time.Minute, seed)
				limit := c.share * float64(one.total)
				assert.Assert(t, float64(one.hedges) <= limit, "%d second sends, %.0f permitted", one.hedges, limit)
				with.add(one)
			}
			for name, o := range map[string]outcome{"without": without, "with": with} {
				t.Logf("%-7s %d requests, %d sent twice, %d of them won; 50 %v, 99 %v, 99.5 %v, 99.9 %v; work %v", name, o.total, o.hedges, o.won,
					o.quantile(0.5), o.quantile(0.99), o.quantile(0.995), o.quantile(0.999), o.work.Round(time.Second))
			}
			before, after := without.quantile(0.995), with.quantile(0.995)
			if c.cuts {
				assert.Assert(t, after < before && with.won > 0, "%v, %v without", after, before)
			}
			assert.Assert(t, float64(after) <= 1.1*float64(before), "%v, %v without", after, before)
			extra := float64(with.work)/float64(without.work) - 1
			assert.Assert(t, extra <= 2*c.share, "%.3f more work", extra)
		})
	}
}

// Guards against a second send to a backend server that must not get one, or that is in
// the failure domain of the first without need, and against one after a pause of the VM.
func TestHedgeNeverChosen(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b *shfleet.Backend) // of those in other failure domains
		late   time.Duration
		want   shmodel.FailureDomain // of the second, "" for none
	}{
		"other failure domain": {func(*shfleet.Backend) {}, 0, "n2"},
		"leaving":              {func(b *shfleet.Backend) { b.Leaving = true }, 0, "n1"},
		"cold":                 {func(b *shfleet.Backend) { b.ColdFor, b.At = 60_000, 2 }, 0, "n1"},
		"paused":               {func(*shfleet.Backend) {}, time.Second, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := fleet(2)
			v.Entries = v.Entries[:1] // one that may send to cold backend servers
			b := balancer("e1", "n1", v)
			b.HedgeShare = 0.2
			r := request("")
			r.Route.Sticky, r.Route.Regions = false, []shmodel.Region{"north"}
			now := start
			for range 60 {
				now = now.Add(50 * time.Millisecond)
				first := pick(t, b, now, r)
				b.Done(now.Add(40*time.Millisecond), first, shbalance.Answered{})
			}
			first := pick(t, b, now, r)
			for id, x := range v.Backends {
				if x.Zone != first.Backend.Zone {
					c.change(&x)
					v.Backends[id] = x
				}
			}
			b.Update(now, v)
			due := now.Add(b.HedgeDelay(now, first)).Add(time.Second)
			r.Tried = []shmodel.BackendServer{first.Backend.ID}
			d := b.Hedge(due.Add(c.late), due, first, r)
			assert.Equal(t, d.Refused == "", c.want != "", fmt.Sprint(d.Refused))
			assert.Equal(t, d.Choice.Backend.Zone, c.want)
			assert.Assert(t, c.want == "" || d.Choice.Backend.ID != first.Backend.ID)
		})
	}
}
