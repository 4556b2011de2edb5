package shbalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shhome"
)

// Load: callers move to an entry VM of another region. Guards against requests for
// their keys that run cold there, although the backend servers that the first entry VM
// chose are warm.
func TestMovedCallersFindWarmBackends(t *testing.T) {
	v := fleet(4)
	north, south := balancer("e1", "n1", v), balancer("e3", "s1", v)
	var table shhome.Table
	const keys = 200
	chosen := make([]shbalance.Choice, keys)
	for i := range keys {
		chosen[i] = pick(t, north, start, request(fmt.Sprint(i)))
		north.Done(start.Add(100*time.Millisecond), chosen[i], shbalance.Answered{})
	}
	table.Report(start, "north", north.Sightings())
	homes, _ := table.Since(0)
	south.SetHomes(homes, false)
	moved := start.Add(time.Second)
	for i := range keys {
		c := pick(t, south, moved, request(fmt.Sprint(i)))
		assert.Equal(t, c.Backend.ID, chosen[i].Backend.ID, "key %d", i)
		south.Done(moved.Add(100*time.Millisecond), c, shbalance.Answered{})
	}
}

// Guards against keys that are reported with each request, or never again, so that the
// table loses them.
func TestSightings(t *testing.T) {
	b := balancer("e1", "n1", fleet(4))
	request := request("17")
	see := func(now time.Time) int {
		c := pick(t, b, now, request)
		b.Done(now, c, shbalance.Canceled{})
		return len(b.Sightings())
	}
	assert.Equal(t, see(start), 1)
	assert.Equal(t, see(start.Add(time.Second)), 0)
	assert.Equal(t, see(start.Add(shhome.RefreshInterval)), 1)
	b.SetHomes(nil, true)
	assert.Equal(t, see(start.Add(shhome.RefreshInterval+time.Second)), 1)
}

// Guards against a key that is forgotten although it is in use, because the same route or
// another one has very many keys.
func TestKeysInUseAreKept(t *testing.T) {
	b := balancer("e1", "n1", fleet(4))
	reports := 0
	see := func(route, key string) {
		r := request(key)
		busy := *r.Route
		busy.Name = route
		r.Route = &busy
		c := pick(t, b, start, r)
		b.Done(start, c, shbalance.Canceled{})
		for _, h := range b.Sightings() {
			if h.Name == "quiet" || h.Name == "used" {
				reports++
			}
		}
	}
	see("other", "quiet")
	for i := range 20_000 {
		if i%1000 == 0 {
			see("busy", "used")
		}
		see("busy", fmt.Sprint(i))
	}
	see("other", "quiet")
	assert.Equal(t, reports, 2)
}

// Guards against the homes of a route that are forgotten because another route has very
// many keys.
func TestHomesOfOtherRoutesAreKept(t *testing.T) {
	b := balancer("e3", "s1", fleet(4))
	homes := func(route string, first, n int) []shhome.Home {
		list := make([]shhome.Home, n)
		for i := range list {
			list[i] = shhome.Home{Key: shhome.Key{Route: route, Name: fmt.Sprint(first + i)}, Region: "north"}
		}
		return list
	}
	quiet := homes(request("").Route.Name, 0, 20)
	b.SetHomes(quiet, false)
	for round := range 5 {
		b.SetHomes(homes("busy", round*shhome.MaxKeys, shhome.MaxKeys), false)
	}
	for _, h := range quiet {
		assert.Equal(t, pick(t, b, start, request(h.Name)).Backend.Zone[0], byte('n'), "key %s", h.Name)
	}
}
