package shdirectory_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/state/shmodel"
)

func sevenVMs() []shdirectory.Heartbeat {
	var entries []shdirectory.Heartbeat
	for i := range 7 {
		entries = append(entries, vm(i))
	}
	return entries
}

func query(caller string) shdirectory.Query {
	return shdirectory.Query{
		Service:   "s",
		Region:    "r0",
		Caller:    caller,
		LatencyMS: map[shmodel.Region]float64{"r1": 35, "r2": 12},
	}
}

func names(entries []shdirectory.Heartbeat) []shmodel.VM {
	var vms []shmodel.VM
	for _, h := range entries {
		vms = append(vms, h.VM)
	}
	return vms
}

// forEachCaller calls f with the query and the answer of each of 1000 callers.
func forEachCaller(entries []shdirectory.Heartbeat, f func(q shdirectory.Query, answer []shdirectory.Heartbeat)) {
	for i := range 1000 {
		q := query(fmt.Sprint("caller", i))
		f(q, shdirectory.Lookup(entries, q))
	}
}

// Guards against lookup answers in a wrong order.
func TestLookupOrder(t *testing.T) {
	t.Run("nearest region first", func(t *testing.T) {
		forEachCaller(sevenVMs(), func(_ shdirectory.Query, answer []shdirectory.Heartbeat) {
			var regions []shmodel.Region
			for _, h := range answer {
				regions = append(regions, h.Place.Region)
			}
			assert.DeepEqual(t, regions, []shmodel.Region{"r0", "r0", "r0", "r2", "r2", "r1", "r1"})
		})
	})
	t.Run("a region of unknown latency comes last", func(t *testing.T) {
		q := query("c")
		q.LatencyMS = map[shmodel.Region]float64{"r2": 99}
		assert.Equal(t, shdirectory.Lookup(sevenVMs(), q)[6].Place.Region, shmodel.Region("r1"))
	})
	t.Run("the first three entries are in two failure domains", func(t *testing.T) {
		entries := sevenVMs()
		for i := range 5 {
			h := vm(0)
			h.VM = shmodel.VM(fmt.Sprint("more", i))
			entries = append(entries, h)
		}
		forEachCaller(entries, func(_ shdirectory.Query, answer []shdirectory.Heartbeat) {
			assert.Equal(t, len(answer), len(entries))
			domains := map[shmodel.FailureDomain]bool{}
			for _, h := range answer[:3] {
				domains[h.Place.FailureDomain] = true
			}
			assert.Equal(t, len(domains), 2)
		})
	})
	t.Run("leaving and draining VMs are never listed", func(t *testing.T) {
		entries := sevenVMs()
		entries[0].Leaving = true
		q := query("c")
		q.Drains = shcontrol.Drains{VMs: []shmodel.VM{"vm3"}, Regions: []shmodel.Region{"r2"}}
		answer := names(shdirectory.Lookup(entries, q))
		slices.Sort(answer)
		assert.DeepEqual(t, answer, []shmodel.VM{"vm1", "vm4", "vm6"})
	})
	t.Run("a limit keeps the first", func(t *testing.T) {
		q := query("c")
		all := shdirectory.Lookup(sevenVMs(), q)
		q.Limit = 4
		assert.DeepEqual(t, shdirectory.Lookup(sevenVMs(), q), all[:4])
	})
}

// Guards against a first entry that is the same VM for too many callers, before
// and after a VM is lost, and against a loss that moves callers of other VMs.
func TestLookupSpreadsCallers(t *testing.T) {
	first := map[shmodel.VM]int{}
	next := map[shmodel.VM]int{}
	forEachCaller(sevenVMs(), func(q shdirectory.Query, answer []shdirectory.Heartbeat) {
		first[answer[0].VM]++
		left := slices.DeleteFunc(sevenVMs(), func(h shdirectory.Heartbeat) bool { return h.VM == "vm0" })
		after := shdirectory.Lookup(left, q)
		if answer[0].VM == "vm0" {
			assert.Equal(t, after[0].VM, answer[1].VM)
			next[after[0].VM]++
			return
		}
		assert.Equal(t, after[0].VM, answer[0].VM)
	})
	for _, name := range []shmodel.VM{"vm0", "vm3", "vm6"} {
		assert.Assert(t, first[name] > 270 && first[name] < 400, "%v", first)
	}
	assert.Assert(t, next["vm3"] > 100 && next["vm6"] > 100, "%v", next)
}
