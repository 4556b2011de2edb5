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
	"sequoiahollow/transport/shstore"
)

// watch handles MethodWatch. On a VM that is not the leader it waits until the
// leader is known and returns an error that names it, so that observers find a new
// leader as soon as it is elected.
func (r *Registry) watch(ctx context.Context, w WatchRequest) (WatchResponse, error) {
	deadline := time.NewTimer(LongPollTimeout)
	defer deadline.Stop()
	hold := time.NewTimer(w.hold())
	defer hold.Stop()
	recorded, held := false, false
	for {
		behind, changed, leading := r.isBehind(w.Since)
		switch {
		case leading && !recorded:
			r.recordWatch(w)
			recorded = true
		case leading:
		case recorded || r.knowsOtherLeader():
			return WatchResponse{}, r.notLeader(MethodWatch)
		}
		if leading && (behind || held) {
			return r.watchResponse(w)
		}
		select {
		case <-changed:
		case <-hold.C:
			held = true
		case <-deadline.C:
			if !leading {
				return WatchResponse{}, r.notLeader(MethodWatch)
			}
			return r.watchResponse(w)
		case <-ctx.Done():
			return WatchResponse{}, ctx.Err()
		}
	}
}

func (r *Registry) knowsOtherLeader() bool {
	leader := r.store.Status().Leader.VM
	return leader != "" && leader != r.config.VM
}

// isBehind reports whether changes after a log index have been released, and
// whether this VM leads. The channel is closed when either may change.
func (r *Registry) isBehind(index uint64) (behind bool, changed <-chan struct{}, leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind = index == 0 || index < r.releasedIndex
	return behind, r.changed, !r.leaderSince.IsZero()
}

// watchResponse returns the answer to a watch call. It fails if this VM has just
// lost the leadership, since its state may then be old. The confirmation is read before
// the state, so that the state contains what was acknowledged before the confirmation.
func (r *Registry) watchResponse(w WatchRequest) (WatchResponse, error) {
	response := WatchResponse{Control: r.controlAddresses(), Confirmed: r.confirmedAge()}
	if !r.isLeading() {
		return WatchResponse{}, r.notLeader(MethodWatch)
	}
	if !w.AcceptsPacked {
		r.mu.Lock()
		defer r.mu.Unlock()
		response.Change = r.state.Since(w.Since)
		return response, nil
	}
	var err error
	response.Change, response.Packed, err = r.packer.pack(r, w.Since)
	return response, err
}

// scheduleRelease releases the changes that come until the next release. The
// caller holds the mutex.
func (r *Registry) scheduleRelease() {
	if r.releasePending {
		return
	}
	r.releasePending = true
	time.AfterFunc(releaseInterval(len(r.lastWatch)), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.releasePending = false
		r.release()
	})
}

// release makes waiting watch calls read the state. The caller holds the mutex.
func (r *Registry) release() {
	r.releasedIndex = r.state.Index
	close(r.changed)
	r.changed = make(chan struct{})
}

// releaseInterval returns the time between two releases for a number of observers.
func releaseInterval(observers int) time.Duration {
	return min(max(time.Duration(observers)*releasePerObserver, minReleaseInterval), maxReleaseInterval)
}

// recordWatch records the time of a watch call. If the announcement of an entry VM
// differs from the known one, recordWatch proposes it; the observer gets it back
// as a change.
func (r *Registry) recordWatch(w WatchRequest) {
	r.mu.Lock()
	r.lastWatch[w.VM] = observed{at: time.Now(), index: w.Since}
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
		if now.Sub(later(r.lastWatch[vm].at, r.leaderSince)) > EntryTimeout {
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
