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

// watch answers an observer. On a VM that does not lead it waits until it knows
// the leader, so that observers learn of an election at once.
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

// recordWatch notes a sign of life of an observer. What an entry VM says of itself
// is committed if it is news; the observer sees that as a change.
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

// runMaintenance does the periodic work until the registry closes.
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

// announceSelf proposes what this VM says of itself if that is news and the VM
// has a vote.
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
		r.config.Logger.Warn("control VM not announced; it tries again", "error", err)
	}
}

// reportSeen tells the leader which backend servers were seen here.
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
		// The backend servers announce themselves again before they expire.
		r.config.Logger.Warn("backend servers seen here not reported", "count", len(ids), "error", err)
	}
}

// removeExpired proposes the removal of what has been silent.
func (r *Registry) removeExpired() {
	backends, entries := r.expired(time.Now())
	if len(backends) > 0 {
		r.config.Logger.Info("silent backend servers removed", "instances", backends)
		r.proposeAsLeader(shfleet.RemoveBackends{Instances: backends})
	}
	if len(entries) > 0 {
		r.config.Logger.Info("silent entry VMs removed", "vms", entries)
		r.proposeAsLeader(shfleet.RemoveEntries{VMs: entries})
	}
}

// forgetRemoved drops what is remembered of backend servers that are gone.
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
		// The VM that took an announcement reports it as seen a little later.
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

// proposeAsLeader proposes a command of the leader itself, which is tried again by
// the next look if it fails.
func (r *Registry) proposeAsLeader(c shfleet.Command) {
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	data, err := shfleet.EncodeCommand(c)
	if err == nil {
		_, err = r.store.Propose(ctx, data)
	}
	if err != nil && shstore.KindOf(err) != shstore.KindNotLeader {
		r.config.Logger.Warn("own command not committed", "command", fmt.Sprintf("%T", c), "error", err)
	}
}
