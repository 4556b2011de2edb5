package shspread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shspread"
	"sequoiahollow/state/shmodel"
)

// entries returns four entry VMs in each of the failure domains n1, n2 (region north) and
// s1 (region south). Their addresses are their names.
func entries() []shfleet.Entry {
	var list []shfleet.Entry
	for _, place := range []struct {
		zone   shmodel.FailureDomain
		region shmodel.Region
	}{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}} {
		for i := range 4 {
			vm := fmt.Sprintf("%s-%d", place.zone, i)
			list = append(list, shfleet.Entry{VM: shmodel.VM(vm), Address: vm, Zone: place.zone, Region: place.region, Ready: true})
		}
	}
	return list
}

// delays returns a delay for all entry VMs of failure domains.
func delays(d time.Duration, zones ...string) map[shmodel.VM]time.Duration {
	all := map[shmodel.VM]time.Duration{}
	for _, z := range zones {
		for i := range 4 {
			all[shmodel.VM(fmt.Sprintf("%s-%d", z, i))] = d
		}
	}
	return all
}

func update(s *shspread.Spread, times int, d map[shmodel.VM]time.Duration) {
	for range times {
		s.Update(d)
	}
}

// count returns how many addresses callers of n1 get in each failure domain.
func count(s *shspread.Spread, stay bool) map[string]int {
	n := map[string]int{}
	for _, a := range s.Addresses("north", "n1", stay) {
		n[a[:2]]++
	}
	return n
}

// Load: the callers of a failure domain send more than the links of its entry VMs carry.
// Guards against callers that wait there while links elsewhere have room, against callers
// that are sent far away without need, and against ones that never return.
func TestShortLinks(t *testing.T) {
	var s shspread.Spread
	s.SetEntries(entries())
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4})
	update(&s, 4, delays(200*time.Millisecond, "n1"))
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4, "n2": 3})
	update(&s, 100, delays(200*time.Millisecond, "n1"))
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4, "n2": 4, "s1": 4})
	assert.DeepEqual(t, count(&s, true), map[string]int{"n1": 4, "n2": 4})
	update(&s, 10, nil)
	assert.Assert(t, len(count(&s, false)) > 1, "all callers return at once")
	update(&s, 100, nil)
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4})
}

// Load: the links of a whole region are short. Guards against callers that are sent from
// one short link to another.
func TestShortRegion(t *testing.T) {
	var s shspread.Spread
	s.SetEntries(entries())
	update(&s, 100, delays(200*time.Millisecond, "n1", "n2"))
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4, "s1": 4})
}

// Guards against callers that are sent to an entry VM whose link does not move, and
// against an answer without any address because none does.
func TestDeadLinks(t *testing.T) {
	var s shspread.Spread
	s.SetEntries(entries())
	s.Update(map[shmodel.VM]time.Duration{"n1-2": shspread.MaxDelay})
	assert.Assert(t, !slices.Contains(s.Addresses("north", "n1", false), "n1-2"))
	update(&s, 1, delays(shspread.MaxDelay, "n1", "n2", "s1"))
	assert.DeepEqual(t, count(&s, false), map[string]int{"n1": 4})
}

// Load: callers come back to a failure domain whose links have stopped moving, so that
// its queues never end. Guards against an answer that names it, and against callers that
// all return at once when the queues have ended.
func TestDeadFailureDomain(t *testing.T) {
	var s shspread.Spread
	s.SetEntries(entries())
	update(&s, 20, delays(shspread.MaxDelay, "n1"))
	assert.DeepEqual(t, count(&s, true), map[string]int{"n2": 4})
	assert.DeepEqual(t, count(&s, false), map[string]int{"n2": 4, "s1": 4})
	update(&s, 1, nil)
	got := count(&s, false)
	assert.Assert(t, got["n1"] == 4 && got["n2"]+got["s1"] == 8, "%v", got)
}

// Guards against callers of a lost failure domain or region without any address.
func TestLostPlaces(t *testing.T) {
	var s shspread.Spread
	s.SetEntries(entries())
	assert.Equal(t, len(s.Addresses("north", "n3", false)), 8)
	assert.Equal(t, len(s.Addresses("west", "w1", false)), 12)
}
