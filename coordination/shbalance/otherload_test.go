package shbalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shload"
	"sequoiahollow/state/shmodel"
)

// Load: many entry VMs send to the same backend servers, whose answers take long.
// Guards against requests that queue up at a busy primary because each entry VM knows
// only its own, and against a load that stays known after it has ended.
func TestBusyPrimaryOfOthersSpills(t *testing.T) {
	v := fleet(4)
	b := balancer("e1", "n1", v)
	r := request("17")
	first := pick(t, b, start, r)
	b.Done(start.Add(50*time.Millisecond), first, shbalance.Answered{})
	now := start.Add(time.Second)
	b.SetOtherLoads(now, shload.InFlight{first.Backend.ID: 14})
	second := pick(t, b, now, r)
	assert.Assert(t, second.Backend.ID != first.Backend.ID, "sent behind 14 requests of others at 3 slots")
	b.Done(now, second, shbalance.Canceled{})
	now = now.Add(time.Second)
	b.SetOtherLoads(now, nil)
	assert.Equal(t, pick(t, b, now, r).Backend.ID, first.Backend.ID)
}

// Guards against sums that replace the newer report of the backend server.
func TestReportGoesBeforeSums(t *testing.T) {
	b := balancer("e1", "n1", fleet(4))
	c := pick(t, b, start, request("17"))
	now := start.Add(time.Second)
	b.Done(now, c, shbalance.Answered{Load: &shbalance.Load{Running: 3, Waiting: 9, Slots: 3}})
	b.SetOtherLoads(now.Add(10*time.Millisecond), nil)
	assert.Assert(t, pick(t, b, now.Add(20*time.Millisecond), request("17")).Backend.ID != c.Backend.ID)
	assert.DeepEqual(t, b.InFlight(), shload.InFlight{onlyInFlight(b): 1})
}

func onlyInFlight(b *shbalance.Balancer) shmodel.BackendServer {
	for id := range b.InFlight() {
		return id
	}
	return ""
}
