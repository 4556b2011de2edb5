package shdirectory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/state/shmodel"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// vm returns the heartbeat of one of 7 VMs in the failure domains of 3 regions.
func vm(i int) shdirectory.Heartbeat {
	return shdirectory.Heartbeat{
		VM:          shmodel.VM(fmt.Sprint("vm", i)),
		Incarnation: 1,
		Sequence:    1,
		Place: shmodel.Place{
			Region:        shmodel.Region(fmt.Sprint("r", i%3)),
			FailureDomain: shmodel.FailureDomain(fmt.Sprint("d", i/3%2)),
		},
		CallerAddress: fmt.Sprint("127.0.0.1:", 9000+i),
		Services:      map[shmodel.Service]shdirectory.Slots{"s": {Free: 3, Total: 9}},
	}
}

// state returns what a follower has to know exactly.
func state(entries []shdirectory.Heartbeat) map[shmodel.VM]string {
	states := map[shmodel.VM]string{}
	for _, h := range entries {
		states[h.VM] = fmt.Sprint(h.Incarnation, h.CallerAddress, h.Leaving, h.Services)
	}
	return states
}

// network is 7 entry VMs, 2 control VMs and a follower. Some messages between
// them are kept, and arrive late, repeatedly or in another order.
type network struct {
	*rapid.T
	now      time.Time
	vms      []shdirectory.Heartbeat
	up       []bool
	control  []*shdirectory.Directory
	follower shdirectory.Follower
	delayed  []func()
}

func (n *network) pick(count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(n.T, label)
}

// deliver delivers a message now, or late, or both.
func (n *network) deliver(message func()) {
	how := n.pick(4, "delivery")
	if how > 0 {
		message()
	}
	if how < 2 {
		n.delayed = append(n.delayed, message)
	}
}

func (n *network) sendHeartbeat(i, to int) {
	n.vms[i].Sequence++
	h := n.vms[i]
	n.deliver(func() { n.control[to].Receive(n.now, h) })
}

func (n *network) exchange(from int) {
	to := n.control[1-from]
	news := n.control[from].News(n.now, shdirectory.Source{}, 0)
	n.deliver(func() { to.Merge(n.now, news) })
}

func (n *network) follow(from int) {
	asked := n.now
	delta := n.control[from].Changes(n.now, n.follower.Source, n.follower.Version)
	n.deliver(func() { n.follower.Apply(asked, delta) })
}

// change changes the state of a VM, restarts it or stops it.
func (n *network) change(i int) {
	switch n.pick(4, "change") {
	case 0:
		n.vms[i].Services = map[shmodel.Service]shdirectory.Slots{"s": {Free: n.pick(9, "free"), Total: 9}}
	case 1:
		n.vms[i].Leaving = !n.vms[i].Leaving
	case 2:
		n.vms[i].Incarnation++
		n.vms[i].Sequence = 0
		n.up[i] = true
	case 3:
		n.up[i] = false
	}
}

func (n *network) step() {
	n.now = n.now.Add(time.Duration(n.pick(300, "ms")) * time.Millisecond)
	i := n.pick(len(n.vms), "vm")
	side := n.pick(2, "control")
	switch n.pick(7, "event") {
	case 0:
		n.change(i)
	case 1:
		n.exchange(side)
	case 2:
		n.follow(side * n.pick(2, "other"))
	case 3:
		n.control[side].Expire(n.now)
	case 4:
		if len(n.delayed) > 0 {
			k := n.pick(len(n.delayed), "late")
			n.delayed[k]()
		}
	default:
		if n.up[i] {
			n.sendHeartbeat(i, side)
		}
	}
}

// settle lets 3 s pass without faults.
func (n *network) settle() {
	n.delayed = nil
	for tick := range 30 {
		n.now = n.now.Add(100 * time.Millisecond)
		for i := range n.vms {
			if n.up[i] && tick%5 == 0 {
				n.vms[i].Sequence++
				n.control[i%2].Receive(n.now, n.vms[i])
			}
		}
		for from, d := range n.control {
			d.Expire(n.now)
			n.control[1-from].Merge(n.now, d.News(n.now, shdirectory.Source{}, 0))
		}
		delta := n.control[0].Changes(n.now, n.follower.Source, n.follower.Version)
		n.follower.Apply(n.now, delta)
	}
}

// Guards against a list on an entry VM that lacks running VMs, contains stopped
// ones or shows an old state, after any order of late and repeated messages.
func TestDirectoryIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{T: t, now: start}
		for i := range 7 {
			n.vms = append(n.vms, vm(i))
			n.vms[i].Sequence = 100
			n.up = append(n.up, true)
		}
		for _, name := range []shmodel.VM{"a", "b"} {
			source := shdirectory.Source{VM: name, Incarnation: 1}
			n.control = append(n.control, &shdirectory.Directory{Source: source})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n.step()
		}
		n.settle()
		var up []shdirectory.Heartbeat
		for i, h := range n.vms {
			if n.up[i] {
				up = append(up, h)
			}
		}
		assert.DeepEqual(t, state(n.follower.Entries()), state(up))
		for _, d := range n.control {
			assert.DeepEqual(t, state(d.Entries(n.now)), state(up))
		}
		assert.Assert(t, !n.follower.Stale(n.now))
		assert.Assert(t, n.follower.Stale(n.now.Add(2*time.Second)))
	})
}

// Guards against an expiry that is too early or too late, and against an old
// heartbeat that adds a removed VM again.
func TestExpiry(t *testing.T) {
	var d shdirectory.Directory
	h := vm(0)
	h.Age = 500 * time.Millisecond
	assert.Assert(t, d.Receive(start, h))
	assert.Equal(t, d.News(start.Add(time.Second), d.Source, 0).Present[0].Age, 1500*time.Millisecond)
	assert.Equal(t, len(d.Expire(start.Add(1499*time.Millisecond))), 0)
	assert.DeepEqual(t, d.Expire(start.Add(1500*time.Millisecond)), []shmodel.VM{"vm0"})
	h.Age = 0
	assert.Assert(t, !d.Receive(start.Add(2*time.Second), h))
	h.Sequence++
	assert.Assert(t, d.Receive(start.Add(2*time.Second), h))
	old := vm(1)
	old.Age = 2 * time.Second
	assert.Assert(t, !d.Receive(start, old))
}

// Guards against deltas whose size depends on the number of VMs instead of the
// number of changes.
func TestDeltasHoldOnlyChanges(t *testing.T) {
	d := shdirectory.Directory{Source: shdirectory.Source{VM: "a", Incarnation: 1}}
	for i := range 7 {
		d.Receive(start, vm(i))
	}
	var f shdirectory.Follower
	sync := func(at time.Duration) shdirectory.Delta {
		delta := d.Changes(start.Add(at), f.Source, f.Version)
		assert.Assert(t, f.Apply(start.Add(at), delta))
		return delta
	}
	assert.Equal(t, len(sync(0).Present), 7)
	assert.Equal(t, len(sync(0).Present), 0)
	for i := range 6 {
		h := vm(i)
		h.Sequence, h.Revision = 2, 5
		h.Leaving = i == 3
		d.Receive(start.Add(time.Second), h)
	}
	news := d.News(start, d.Source, 7)
	assert.Equal(t, len(news.Present), 6)
	delta := sync(time.Second)
	assert.Equal(t, len(delta.Present), 1)
	assert.Equal(t, delta.Present[0].VM, shmodel.VM("vm3"))
	d.Expire(start.Add(2 * time.Second))
	delta = sync(2 * time.Second)
	assert.DeepEqual(t, delta.Removed, []shmodel.VM{"vm6"})
	assert.Equal(t, len(delta.Present), 0)

	assert.Equal(t, len(d.News(start, d.Source, 0).Present), 6)

	// A removal whose record is deleted can only be shown by the whole list.
	version := f.Version - 1
	d.Expire(start.Add(time.Hour))
	d.Expire(start.Add(2 * time.Hour))
	assert.Assert(t, d.Changes(start, d.Source, version).Whole)
}

// Guards against a list that returns to an earlier state because an answer
// arrives late.
func TestFollowerRefusesLateAnswers(t *testing.T) {
	a := shdirectory.Directory{Source: shdirectory.Source{VM: "a", Incarnation: 1}}
	b := shdirectory.Directory{Source: shdirectory.Source{VM: "b", Incarnation: 1}}
	for _, d := range []*shdirectory.Directory{&a, &b} {
		d.Receive(start, vm(0))
	}
	early := a.Changes(start, shdirectory.Source{}, 0)
	other := b.Changes(start, shdirectory.Source{}, 0)
	a.Receive(start, vm(1))
	var f shdirectory.Follower
	assert.Assert(t, f.Apply(start.Add(time.Second), a.Changes(start, f.Source, f.Version)))
	assert.Assert(t, !f.Apply(start.Add(2*time.Second), early), "older version")
	assert.Assert(t, !f.Apply(start, other), "asked before the list was current")
	a.Receive(start, vm(2))
	late := a.Changes(start, f.Source, f.Version)
	assert.Assert(t, f.Apply(start.Add(2*time.Second), other), "another control VM")
	assert.Assert(t, !f.Apply(start.Add(3*time.Second), late), "part of another list")
	assert.Equal(t, len(f.Entries()), 1)
	var g shdirectory.Follower
	assert.Assert(t, g.Apply(start, early))
	assert.Assert(t, !g.Apply(start, late), "a change is missing")
}

// Guards against a VM that is missing from the directory for ten minutes after a
// restart, because its clock went back and its incarnation is lower.
func TestClockWentBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var d shdirectory.Directory
	earlier := vm(1)
	earlier.Incarnation = 9
	assert.Assert(t, d.Receive(now, earlier))
	later := vm(1)
	later.Incarnation = 5
	assert.Assert(t, !d.Receive(now, later), "taken before the removal")
	now = now.Add(shdirectory.ExpireAfter)
	d.Expire(now)
	assert.Equal(t, len(d.Missing(now)), 1)
	assert.Assert(t, !d.Receive(now, earlier), "a copy of the earlier process")
	assert.Assert(t, d.Receive(now, later))
	assert.Equal(t, len(d.Missing(now)), 0)
}
