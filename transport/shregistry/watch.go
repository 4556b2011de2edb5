package shregistry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shstore"
)

// watch handles MethodWatch. On a VM that is not the leader it waits until the
// leader is known and returns an error that names it, so that observers find a new
// leader as soon as it is elected.
func (r *Registry) watch(ctx context.Context, w WatchRequest) (WatchResponse, error) {
	deadline := time.NewTimer(LongPollTimeout)
	defer deadline.Stop()
	recorded := false
	for {
		change, changed, leading := r.changesSince(w.Since)
		switch {
		case leading && !recorded:
			r.recordWatch(w)
			recorded = true
		case leading:
		case recorded || r.knowsOtherLeader():
			return WatchResponse{}, r.notLeader(MethodWatch)
		}
		if leading && (change.To > w.Since || w.Since == 0) {
			return WatchResponse{Change: change, Control: r.controlAddresses()}, nil
		}
		select {
		case <-changed:
			if leading {
				shleader.Pause(ctx, coalesceDelay)
			}
		case <-deadline.C:
			if !leading {
				return WatchResponse{}, r.notLeader(MethodWatch)
			}
			return WatchResponse{Change: change, Control: r.controlAddresses()}, nil
		case <-ctx.Done():
			return WatchResponse{}, ctx.Err()
		}
	}
}

func (r *Registry) knowsOtherLeader() bool {
	leader := r.store.Status().Leader.VM
	return leader != "" && leader != r.config.VM
}

func (r *Registry) changesSince(index uint64) (shfleet.Change, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Since(index), r.changed, !r.leaderSince.IsZero()
}

// recordWatch records the time of a watch call. If the announcement of an entry VM
// differs from the known one, recordWatch proposes it; the observer gets it back
// as a change.
func (r *Registry) recordWatch(w WatchRequest) {
	r.mu.Lock()
	r.lastWatch[w.VM] = time.Now()
	changed := false
	if w.Entry != nil {
		known, ok := r.state.Entries[w.VM]
		changed = known != *w.Entry && (ok || w.Entry.Ready)
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	r.config.Logger.Info("entry VM announced", "entry", w.VM, "address", w.Entry.Address, "ready", w.Entry.Ready)
	r.active.Go(func() { r.proposeAsLeader(shfleet.PutEntry{Entry: *w.Entry}) })
}

// runMaintenance does the periodic work until the registry is closed.
func (r *Registry) runMaintenance() {
	defer r.active.Done()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		r.announceSelf()
		r.forgetRemoved()
		if r.isLeading() {
			r.removeExpired()
		} else {
			r.reportHeartbeats()
		}
	}
}

// announceSelf proposes the entry of this control VM if it differs from the known
// one and the VM has a vote.
func (r *Registry) announceSelf() {
	self := shfleet.Control{VM: r.config.VM, Address: r.config.PeerAddress, Zone: r.config.Zone, Region: r.config.Region}
	status := r.store.Status()
	voter := slices.ContainsFunc(status.Voters, func(m shraft.Member) bool { return m.ID == status.ID })
	r.mu.Lock()
	known := r.state.Controls[self.VM]
	r.mu.Unlock()
	if known == self || !voter || status.Leader.VM == "" {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	if _, err := r.Propose(ctx, shfleet.PutControl{Control: self}); err != nil {
		r.config.Logger.Warn("control VM not announced; will be retried", "error", err)
	}
}

// reportHeartbeats sends the leader the backend servers that sent a heartbeat to
// this VM.
func (r *Registry) reportHeartbeats() {
	r.mu.Lock()
	ids := make([]shmodel.BackendServer, 0, len(r.unreportedHeartbeats))
	for id := range r.unreportedHeartbeats {
		ids = append(ids, id)
	}
	clear(r.unreportedHeartbeats)
	r.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	if _, err := leaderCall[empty](ctx, r, methodHeartbeats, heartbeatsRequest{IDs: ids}); err != nil {
		// Not retried: the backend servers send another heartbeat before they expire.
		r.config.Logger.Warn("heartbeats of backend servers not reported to the leader", "count", len(ids), "error", err)
	}
}

// removeExpired proposes the removal of backend servers and entry VMs whose
// timeouts have passed.
func (r *Registry) removeExpired() {
	backends, entries := r.expired(time.Now())
	if len(backends) > 0 {
		r.config.Logger.Info("silent backend servers removed", "instances", backends)
		r.proposeAsLeader(shfleet.RemoveBackends{Instances: backends})
	}
	if len(entries) > 0 {
		r.config.Logger.Info("entry VMs without a watch call removed", "vms", entries)
		r.proposeAsLeader(shfleet.RemoveEntries{VMs: entries})
	}
}

// forgetRemoved deletes the local data of backend servers that were removed.
func (r *Registry) forgetRemoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := func(id shmodel.BackendServer) bool {
		_, ok := r.state.Backends[id]
		return !ok
	}
	maps.DeleteFunc(r.lastHeartbeat, func(id shmodel.BackendServer, _ time.Time) bool { return removed(id) })
	maps.DeleteFunc(r.announcedAt, func(id shmodel.BackendServer, _ time.Time) bool { return removed(id) })
	maps.DeleteFunc(r.sequences, func(id shmodel.BackendServer, _ sequence) bool { return removed(id) })
}

func (r *Registry) expired(now time.Time) ([]shfleet.Instance, []shmodel.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var backends []shfleet.Instance
	for id, b := range r.state.Backends {
		// The commit of an announcement counts as a heartbeat: the VM that received
		// it reports the heartbeat up to maintenanceInterval later.
		lastSeen := later(r.lastHeartbeat[id], r.announcedAt[id])
		if now.Sub(later(lastSeen, r.leaderSince)) > r.config.BackendTimeout {
			backends = append(backends, b.Instance)
		}
	}
	var entries []shmodel.VM
	for vm := range r.state.Entries {
		if now.Sub(later(r.lastWatch[vm], r.leaderSince)) > EntryTimeout {
			entries = append(entries, vm)
		}
	}
	return backends, entries
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// proposeAsLeader proposes a command that the leader itself decided on. If that
// fails, the next maintenance run or watch call decides on it again.
func (r *Registry) proposeAsLeader(c shfleet.Command) {
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	data, err := shfleet.EncodeCommand(c)
	if err == nil {
		_, err = r.store.Propose(ctx, data)
	}
	if err != nil && shstore.KindOf(err) != shstore.KindNotLeader {
		r.config.Logger.Warn("command of the leader not committed", "command", fmt.Sprintf("%T", c), "error", err)
	}
}
