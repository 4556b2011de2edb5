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

var start = time.Unix(1_700_000_000, 0)

var regions = map[shmodel.FailureDomain]shmodel.Region{"n1": "north", "n2": "north", "s1": "south"}

func route() *shfleet.Route {
	return &shfleet.Route{
		Name: "lookup", Kind: shmodel.Idempotent, Objective: 600, Timeout: 4000, Attempts: 2, Sticky: true,
		Parts: []shfleet.Part{{Service: "s", Weight: 1}},
	}
}

// fleet returns a view with backend servers in each zone and three entry VMs.
func fleet(perZone int) shfleet.View {
	v := shfleet.View{Index: 1, Backends: map[shmodel.BackendServer]shfleet.Backend{}}
	v.Table = shfleet.NewRouteIndex(shfleet.Table{Services: []shfleet.Service{{Name: "s", ColdRate: 3}}})
	for _, zone := range []shmodel.FailureDomain{"n1", "n2", "s1"} {
		for i := range perZone {
			id := shmodel.BackendServer(fmt.Sprintf("%s-%d", zone, i))
			v.Backends[id] = shfleet.Backend{
				Instance: shfleet.Instance{ID: id, Born: 1}, Service: "s", Address: string(id), Zone: zone, Slots: 3,
			}
		}
	}
	for _, vm := range []shmodel.VM{"e1", "e2", "e3", "e4", "e5"} {
		v.Entries = append(v.Entries, shfleet.Entry{VM: vm, Ready: true})
	}
	return v
}

func balancer(vm shmodel.VM, zone shmodel.FailureDomain, v shfleet.View) *shbalance.Balancer {
	b := shbalance.New(shbalance.Place{VM: vm, Zone: zone, Region: regions[zone], Regions: regions})
	b.Update(start, v)
	return b
}

func request(key string) shbalance.Request {
	return shbalance.Request{Route: route(), Service: "s", Key: key, Left: 4 * time.Second}
}

func pick(t *testing.T, b *shbalance.Balancer, now time.Time, r shbalance.Request) shbalance.Choice {
	t.Helper()
	c, refusal := b.Pick(now, r)
	assert.Assert(t, refusal == nil, "refused: %+v", refusal)
	return c
}

// Guards against entry VMs that warm several backend servers for one key without
// need: those of one region must choose the same primary for every key. Guards
// also against a region that keeps more or fewer of its keys than its share of
// the slots.
func TestEntryVMsAgreeOnPrimaries(t *testing.T) {
	v := fleet(4)
	north1, north2, south := balancer("e1", "n1", v), balancer("e2", "n2", v), balancer("e3", "s1", v)
	const keys = 400
	inSouth := 0
	for i := range keys {
		r := request(fmt.Sprint(i))
		now := start.Add(time.Duration(i) * time.Second)
		c := pick(t, north1, now, r)
		o := pick(t, north2, now, r)
		assert.Equal(t, c.Backend.ID, o.Backend.ID, r.Key)
		s := pick(t, south, now, r)
		if s.Backend.Zone == "s1" {
			inSouth++
		}
		north1.Done(now.Add(200*time.Millisecond), c, shbalance.Answered{})
		north2.Done(now.Add(200*time.Millisecond), o, shbalance.Answered{})
		south.Done(now.Add(200*time.Millisecond), s, shbalance.Answered{})
	}
	// 4 of 12 backend servers are in one of two regions.
	share := float64(inSouth) / keys
	assert.Assert(t, share > 0.6 && share < 0.73, "%v of the primaries are in the own region, 0.67 expected", share)
}

// Guards against a key that leaves a warm backend server without need.
func TestKeyStaysWhereItIsWarm(t *testing.T) {
	b := balancer("e1", "n1", fleet(4))
	now := start
	first := pick(t, b, now, request("k"))
	for range 5 {
		b.Done(now.Add(200*time.Millisecond), first, shbalance.Answered{})
		now = now.Add(time.Second)
		c := pick(t, b, now, request("k"))
		assert.Equal(t, c.Backend.ID, first.Backend.ID)
		first = c
	}
}

// Guards against a queue at one backend server while others are free.
func TestBusyPrimarySpills(t *testing.T) {
	b := balancer("e1", "n1", fleet(4))
	used := map[shmodel.BackendServer]int{}
	for range 24 {
		used[pick(t, b, start, request("k")).Backend.ID]++
	}
	assert.Assert(t, len(used) > 2, "used %v", used)
	for id, n := range used {
		assert.Assert(t, n <= 9, "%d requests at %s with 3 slots", n, id)
	}
}

// Guards against requests to backend servers that must not get any.
func TestNeverChosen(t *testing.T) {
	base := fleet(1)
	cases := []struct {
		name   string
		change func(v *shfleet.View, r *shbalance.Request)
		want   []shmodel.BackendServer
	}{
		{"leaving", func(v *shfleet.View, _ *shbalance.Request) {
			b := v.Backends["n1-0"]
			b.Leaving = true
			v.Backends["n1-0"] = b
		}, []shmodel.BackendServer{"n2-0", "s1-0"}},
		{"evacuated", func(v *shfleet.View, _ *shbalance.Request) {
			v.Evacuated = map[shmodel.FailureDomain]bool{"n2": true}
		}, []shmodel.BackendServer{"n1-0", "s1-0"}},
		{"other region", func(_ *shfleet.View, r *shbalance.Request) {
			r.Route.Regions = []shmodel.Region{"south"}
		}, []shmodel.BackendServer{"s1-0"}},
		{"tried", func(_ *shfleet.View, r *shbalance.Request) {
			r.Tried = []shmodel.BackendServer{"s1-0", "n1-0"}
		}, []shmodel.BackendServer{"n2-0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v, r := fleet(1), request("")
			v.Backends = map[shmodel.BackendServer]shfleet.Backend{}
			for id, x := range base.Backends {
				v.Backends[id] = x
			}
			c.change(&v, &r)
			b := balancer("e1", "n1", v)
			for i := range 40 {
				r.Key = fmt.Sprint(i)
				choice, refusal := b.Pick(start, r)
				if refusal == nil {
					assert.Assert(t, slices.Contains(c.want, choice.Backend.ID), "%s", choice.Backend.ID)
				}
			}
		})
	}
}

// Guards against more requests to a cold backend server than it tolerates, summed
// over entry VMs in every second.
func TestColdShares(t *testing.T) {
	v := fleet(1)
	cold := v.Backends["n1-0"]
	cold.ColdFor, cold.At = 60_000, 1
	v.Backends = map[shmodel.BackendServer]shfleet.Backend{cold.ID: cold}
	var all []*shbalance.Balancer
	for _, e := range v.Entries {
		all = append(all, balancer(e.VM, "n1", v))
	}
	const rate, excess = 3.0, 5.0
	var sent []time.Time
	for step := range 1000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, b := range all {
			if c, refusal := b.Pick(now, request("k")); refusal == nil {
				sent = append(sent, now)
				b.Done(now, c, shbalance.Answered{})
			}
		}
	}
	assert.Assert(t, len(sent) > 20, "a cold backend server got only %d requests in 10 s", len(sent))
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= rate*1.5+excess, "%d requests in the second after %v", n, at.Sub(start))
	}
}

// Guards against a refusal although a cold run may end in time, and against a
// request that waits for an answer that cannot come.
func TestRefusals(t *testing.T) {
	b := balancer("e1", "n1", fleet(1))
	short := request("k")
	short.Left = 500 * time.Millisecond
	_, refusal := b.Pick(start, short)
	assert.Assert(t, refusal == nil, "a cold run may be faster than expected")
	for range 27 {
		b.Pick(start, request("k"))
	}
	_, refusal = b.Pick(start, request("k"))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, shbalance.Overloaded)
	assert.Assert(t, refusal.RetryAfter > 0)
	assert.Equal(t, refusal.Candidates, 3)
	assert.Assert(t, refusal.Utilization > 0.9 && refusal.Soonest.Warm > 0 && refusal.Soonest.Backend != "", "%+v", *refusal)
}

// Guards against repeated attempts at an address that cannot be reached, and
// against a backend server that is never tried again.
func TestUnreachableBackendIsSuspended(t *testing.T) {
	v := fleet(1)
	v.Backends = map[shmodel.BackendServer]shfleet.Backend{"n1-0": v.Backends["n1-0"]}
	b := balancer("e1", "n1", v)
	b.Done(start, pick(t, b, start, request("k")), shbalance.Unreachable{})
	_, refusal := b.Pick(start.Add(100*time.Millisecond), request("k"))
	assert.Assert(t, refusal != nil)
	pick(t, b, start.Add(time.Second), request("k"))
}

// Guards against requests that each meet another unreachable backend server of a
// lost failure domain, and against a failure domain that stays suspended after it
// is back.
func TestUnreachableFailureDomainIsSuspended(t *testing.T) {
	b := balancer("e1", "n1", fleet(6))
	now := start
	lost := map[shmodel.FailureDomain]bool{"n1": true}
	send := func(length time.Duration) (unreachable int) {
		for i := 0; i < int(length/(10*time.Millisecond)); i++ {
			now = now.Add(10 * time.Millisecond)
			c := pick(t, b, now, request(fmt.Sprint(i)))
			if !lost[c.Backend.Zone] {
				b.Done(now, c, shbalance.Answered{})
				continue
			}
			unreachable++
			b.Done(now, c, shbalance.Unreachable{})
		}
		return unreachable
	}
	n := send(2 * time.Second)
	assert.Assert(t, n > 0 && n <= 8, "%d requests went to the lost failure domain", n)
	lost["n1"] = false
	used := 0
	for i := range 200 {
		now = now.Add(30 * time.Millisecond)
		c := pick(t, b, now, request(fmt.Sprint(i)))
		b.Done(now, c, shbalance.Answered{})
		if c.Backend.Zone == "n1" {
			used++
		}
	}
	assert.Assert(t, used > 20, "%d of 200 requests went to the failure domain that is back", used)
}

// Guards against a backend server that joins and never gets a request.
func TestNewBackendGetsARequest(t *testing.T) {
	v := fleet(2)
	b := balancer("e1", "n1", v)
	now := start
	for i := range 20 {
		b.Done(now.Add(100*time.Millisecond), pick(t, b, now, request(fmt.Sprint(i))), shbalance.Answered{})
		now = now.Add(time.Second)
	}
	next := fleet(2)
	next.Index = 2
	joined := shfleet.Backend{Instance: shfleet.Instance{ID: "new", Born: 2}, Service: "s", Address: "new", Zone: "s1", Slots: 3}
	next.Backends["new"] = joined
	b.Update(now, next)
	c := pick(t, b, now, request("1"))
	assert.Equal(t, c.Backend.ID, joined.ID)
	assert.Assert(t, pick(t, b, now, request("1")).Backend.ID != joined.ID)
}

// Guards against a slow or failing backend server that keeps its keys.
func TestDegradedLosesItsKeys(t *testing.T) {
	for name, o := range map[string]shbalance.Observation{
		"failing": shbalance.Answered{Failed: true}, "broken": shbalance.Broken{}, "slow": shbalance.Slow{},
	} {
		t.Run(name, func(t *testing.T) {
			b := balancer("e1", "n1", fleet(2))
			now := start
			primary := pick(t, b, now, request("k"))
			b.Done(now.Add(200*time.Millisecond), primary, shbalance.Answered{})
			other := 0
			for range 30 {
				now = now.Add(time.Second)
				c := pick(t, b, now, request("k"))
				if c.Backend.ID == primary.Backend.ID {
					b.Done(now.Add(3*time.Second), c, o)
					continue
				}
				other++
				b.Done(now.Add(200*time.Millisecond), c, shbalance.Answered{})
			}
			assert.Assert(t, other > 15, "%d of 30 requests went elsewhere", other)
		})
	}
}

// Guards against a cold period that depends on the clock of another VM, or that
// starts again with each change of the fleet.
func TestColdPeriod(t *testing.T) {
	v := fleet(1)
	cold := v.Backends["n1-0"]
	cold.ColdFor, cold.At = 3000, 5
	v.Backends = map[shmodel.BackendServer]shfleet.Backend{cold.ID: cold}
	v.Entries = v.Entries[:1]
	// The clock of this VM is an hour ahead of that of the backend server.
	now := start.Add(time.Hour)
	b := shbalance.New(shbalance.Place{VM: "e1", Zone: "n1", Region: "north", Regions: regions})
	b.Update(now, v)
	inOneSecond := func(now time.Time) int {
		n := 0
		for i := range 100 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			if c, refusal := b.Pick(at, request("k")); refusal == nil {
				n++
				b.Done(at, c, shbalance.Answered{})
			}
		}
		return n
	}
	assert.Assert(t, inOneSecond(now) <= 4)
	next := v
	next.Index = 9
	b.Update(now.Add(2*time.Second), next)
	assert.Assert(t, inOneSecond(now.Add(2*time.Second)) <= 4)
	assert.Equal(t, inOneSecond(now.Add(3*time.Second)), 100)
}

// Guards against a large fleet whose entry VMs all send the load of a key to one
// backend server, since none of them sees enough of the load to move away. Guards
// also against a second cold run for each key in a small fleet.
func TestPrimariesByFleetSize(t *testing.T) {
	for entries, want := range map[int]int{7: 1, 27: 2} {
		assert.Equal(t, mostPrimaries(t, entries, 4, false), want, "primaries of a key with %d entry VMs", entries)
	}
}

// Guards against a second cold run for each key where one backend server has slots for
// all requests for its keys, and against a full one that is left late because loads are
// not known or its slots are few.
func TestPrimariesBySlots(t *testing.T) {
	assert.Equal(t, mostPrimaries(t, 27, 9, true), 1)
	assert.Equal(t, mostPrimaries(t, 27, 9, false), 2)
	assert.Equal(t, mostPrimaries(t, 27, 3, true), 2)
}

// mostPrimaries returns the most backend servers that entry VMs send first requests for a
// key to.
func mostPrimaries(t *testing.T, entries, slots int, shared bool) int {
	t.Helper()
	v := fleet(4)
	v.Table = shfleet.NewRouteIndex(shfleet.Table{Routes: []shfleet.Route{{Upload: true}}})
	for id, b := range v.Backends {
		b.Slots = slots
		v.Backends[id] = b
	}
	v.Entries = nil
	for i := range entries {
		v.Entries = append(v.Entries, shfleet.Entry{VM: shmodel.VM(fmt.Sprintf("e%d", i)), Ready: true})
	}
	most := 0
	for key := range 40 {
		primaries := map[shmodel.BackendServer]bool{}
		for i, e := range v.Entries {
			zone := []shmodel.FailureDomain{"n1", "n2"}[i%2]
			b := balancer(e.VM, zone, v)
			if shared {
				b.SetOtherLoads(start, nil)
			}
			primaries[pick(t, b, start, request(fmt.Sprint(key))).Backend.ID] = true
		}
		most = max(most, len(primaries))
	}
	return most
}
