package shbalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Guards against a new backend server that gets a first request from each of
// hundreds of entry VMs at once: it may be cold although nobody has reported that.
// It joins in an evacuated failure domain, so that all entry VMs may use it from the
// same moment on. Pattern: many deciders, one new target.
func TestNewBackendIsNotFlooded(t *testing.T) {
	for _, entries := range []int{7, 30, 118, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			v := fleet(20)
			v.Entries = nil
			for i := range entries {
				v.Entries = append(v.Entries, shfleet.Entry{VM: shmodel.VM(fmt.Sprint("e", i)), Ready: true})
			}
			var balancers []*shbalance.Balancer
			for _, e := range v.Entries {
				b := balancer(e.VM, "n1", v)
				c := pick(t, b, start, request("k"))
				b.Done(start.Add(200*time.Millisecond), c, shbalance.Answered{Load: &shbalance.Load{Slots: 3}})
				balancers = append(balancers, b)
			}
			v.Backends["new"] = shfleet.Backend{
				Instance: shfleet.Instance{ID: "new", Born: 2}, Service: "s", Address: "new", Zone: "n2", Slots: 3, At: 2,
			}
			v.Evacuated = map[shmodel.FailureDomain]bool{"n2": true}
			now := start.Add(time.Second)
			for _, b := range balancers {
				b.Update(now, v)
			}
			v.Evacuated = nil
			now = now.Add(9 * time.Second)
			sent := 0
			for i, b := range balancers {
				b.Update(now, v)
				if pick(t, b, now, request(fmt.Sprint("key", i))).Backend.ID == "new" {
					sent++
				}
			}
			// Three entry VMs may try it; one in 60 of the keys is its own.
			assert.Assert(t, sent >= 1 && sent <= 3+max(entries/20, 1), "%d of %d entry VMs sent to the new backend server at once", sent, entries)
		})
	}
}
