package shrouting

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// PeerTracker keeps the reports of peers about one service and the forwards of
// this VM that the reports do not include yet. The zero PeerTracker is ready to
// use. It is not safe for concurrent use.
type PeerTracker struct {
	peers map[shmodel.VM]*trackedPeer
	next  ForwardID
	// inFlight maps each forward to its peer and start.
	inFlight map[ForwardID]forward
}

// ForwardID identifies a forward in a PeerTracker.
type ForwardID uint64

// Report is what a peer reported about its slots for the service. At is when the
// peer counted them, by the clock of this VM: the time of arrival less the age
// of the report.
type Report struct {
	VM      shmodel.VM
	Address string
	Place   shmodel.Place
	Free    int
	Usable  int
	At      time.Time
}

type trackedPeer struct {
	Report
	healthy   bool
	refusedAt time.Time
}

type forward struct {
	vm shmodel.VM
	at time.Time
}

// Observe replaces the report of a peer. An older report than the known one is
// ignored, and one with impossible numbers counts as no free slots.
func (t *PeerTracker) Observe(r Report) {
	if t.peers == nil {
		t.peers = map[shmodel.VM]*trackedPeer{}
	}
	e := t.peers[r.VM]
	if e == nil {
		e = &trackedPeer{healthy: true}
		t.peers[r.VM] = e
	}
	if r.At.Before(e.At) {
		return
	}
	if r.Free < 0 || r.Usable < 0 || r.Free > r.Usable {
		r.Free = 0
	}
	e.Report = r
}

// SetHealthy sets whether the connection to a peer works.
func (t *PeerTracker) SetHealthy(vm shmodel.VM, healthy bool) {
	if e := t.peers[vm]; e != nil {
		e.healthy = healthy
	}
}

// Forget removes a peer that left.
func (t *PeerTracker) Forget(vm shmodel.VM) { delete(t.peers, vm) }

// Begin counts a forward to vm as in flight.
func (t *PeerTracker) Begin(now time.Time, vm shmodel.VM) ForwardID {
	if t.inFlight == nil {
		t.inFlight = map[ForwardID]forward{}
	}
	t.next++
	t.inFlight[t.next] = forward{vm: vm, at: now}
	return t.next
}

// End removes a forward that has ended. Refused says that the peer had no slot.
func (t *PeerTracker) End(now time.Time, id ForwardID, refused bool) {
	f, ok := t.inFlight[id]
	delete(t.inFlight, id)
	if e := t.peers[f.vm]; ok && refused && e != nil {
		e.refusedAt = now
	}
}

// Peers returns the peers in the order of their names.
func (t *PeerTracker) Peers(now time.Time) []Peer {
	unreported := map[shmodel.VM]int{}
	for _, f := range t.inFlight {
		if e := t.peers[f.vm]; e != nil && !f.at.Before(e.At) {
			unreported[f.vm]++
		}
	}
	out := make([]Peer, 0, len(t.peers))
	for vm, e := range t.peers {
		refused := !e.refusedAt.IsZero() && now.Sub(e.refusedAt) < refusedFor
		out = append(out, Peer{
			VM:        vm,
			Address:   e.Address,
			Place:     e.Place,
			Free:      e.Free,
			Usable:    e.Usable,
			ReportAge: now.Sub(e.At),
			Forwarded: unreported[vm],
			Refused:   refused,
			Healthy:   e.healthy,
		})
	}
	slices.SortFunc(out, func(x, y Peer) int { return cmp.Compare(x.VM, y.VM) })
	return out
}
