package shregistry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shwatch"
)

// group is a started group with an observer.
type group struct {
	t        *testing.T
	vms      []*vm
	observer *shwatch.Watcher
	markers  int
}

// startNamedGroup starts a group whose document names the service of the backend servers.
func startNamedGroup(t *testing.T) *group {
	t.Helper()
	vms := startGroup(t)
	d := shfleet.Document{Version: 1, Source: []byte("d"), Table: shfleet.Table{Services: []shfleet.Service{{Name: "s"}}}}
	retry(t, func(ctx context.Context) error { return vms[0].PutDocument(ctx, d) })
	return &group{t: t, vms: vms, observer: startObserver(t, vms[0])}
}

func (g *group) announce(v *vm, sequence int64, change func(*shfleet.Backend)) {
	g.t.Helper()
	a := announcement("a", sequence)
	change(&a.Backend)
	retry(g.t, func(ctx context.Context) error { return v.Announce(ctx, a) })
}

// seen returns the backend server as the observer sees it when it has all commands.
func (g *group) seen() shfleet.Backend {
	g.t.Helper()
	g.markers++
	last := announcement(fmt.Sprint("marker", g.markers), 1)
	retry(g.t, func(ctx context.Context) error { return g.vms[0].Announce(ctx, last) })
	eventually(g.t, "the view has all commands", func() bool { return g.observer.View().Backends[last.ID].ID != "" })
	return g.observer.View().Backends["a"]
}

func (g *group) leader() *vm {
	g.t.Helper()
	var leader *vm
	eventually(g.t, "a leader is known", func() bool {
		i := slices.IndexFunc(g.vms, func(v *vm) bool { return v.Status().Leader.VM == v.config.VM })
		if i < 0 {
			return false
		}
		leader = g.vms[i]
		return true
	})
	return leader
}

func cold(b *shfleet.Backend)     { b.ColdFor = 3000 }
func warm(*shfleet.Backend)       {}
func draining(b *shfleet.Backend) { b.Leaving = true }

// Guards against a late announcement that ends the cold period of a backend server, or its
// leaving, because the control VM that it reaches has not received the later one, has
// restarted, is a new leader, or has dropped the backend server.
func TestLateAnnouncement(t *testing.T) {
	g := startNamedGroup(t)
	vms := g.vms
	g.announce(vms[0], 5, warm)
	g.announce(vms[1], 7, cold)
	for _, v := range vms {
		g.announce(v, 6, warm)
	}
	assert.Equal(t, g.seen().ColdFor, shfleet.Millis(3000))

	vms[2].stop()
	vms[2].start(t)
	g.announce(vms[2], 6, warm)
	assert.Equal(t, g.seen().ColdFor, shfleet.Millis(3000), "after a restart of the VM")

	former := g.leader()
	retry(t, func(ctx context.Context) error { return former.Resign(ctx) })
	eventually(t, "another VM leads", func() bool { return g.leader() != former })
	for _, v := range vms {
		g.announce(v, 6, warm)
	}
	assert.Equal(t, g.seen().ColdFor, shfleet.Millis(3000), "after a change of the leader")

	g.announce(vms[3], 8, draining)
	assert.Assert(t, g.seen().Leaving)
	eventually(t, "the silent backend server is removed", func() bool { return g.observer.View().Backends["a"].ID == "" })
	for _, v := range vms {
		g.announce(v, 6, warm)
	}
	assert.Equal(t, g.seen(), shfleet.Backend{}, "after the removal")
	g.announce(vms[4], 9, warm)
	assert.Assert(t, g.seen().Leaving, "after the removal")
}

// Guards against a second cold period that entry VMs don't learn of, because the control VM
// takes it for the one that it knows.
func TestEachColdAnnouncementIsRecorded(t *testing.T) {
	g := startNamedGroup(t)
	vms := g.vms
	at := uint64(0)
	for i, v := range vms {
		g.announce(v, int64(i), cold)
		b := g.seen()
		assert.Assert(t, b.At > at)
		at = b.At
	}
}

// Guards against an order that is carried out although its caller has left and a later one
// was acknowledged, because it was held up before it reached the control VM or between two
// control VMs.
func TestLateEvacuationOrder(t *testing.T) {
	g := startNamedGroup(t)
	vms := g.vms
	order := func(v *vm, evacuated bool) {
		t.Helper()
		retry(t, func(ctx context.Context) error { return v.SetEvacuation(ctx, "z", evacuated) })
	}
	evacuated := func() bool {
		t.Helper()
		g.seen()
		return g.observer.View().Evacuated["z"]
	}
	base := g.observer.View().Index
	for i, v := range vms {
		order(v, i%2 == 0)
		assert.Equal(t, evacuated(), i%2 == 0)
	}

	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	assert.Assert(t, vms[2].SetEvacuation(ctx, "z", false) != nil)
	assert.Assert(t, evacuated(), "the caller had left")

	late := shfleet.SetEvacuation{Zone: "z", Base: &base}
	for _, v := range vms {
		retry(t, func(ctx context.Context) error {
			result, err := v.Propose(ctx, late)
			if err == nil {
				assert.Equal(t, result, shfleet.Conflict)
			}
			return err
		})
	}
	assert.Assert(t, evacuated(), "held up between control VMs")

	var both sync.WaitGroup
	for i, zone := range []shmodel.FailureDomain{"z", "y"} {
		both.Go(func() {
			retry(t, func(ctx context.Context) error { return vms[i].SetEvacuation(ctx, zone, zone == "y") })
		})
	}
	both.Wait()
	assert.Assert(t, !evacuated())
	assert.Assert(t, g.observer.View().Evacuated["y"])
}
