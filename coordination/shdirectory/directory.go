// Package shdirectory keeps the soft state about entry VMs: which of them are up,
// where they are, how to reach them and how many slots they own.
//
// Entry VMs send a Heartbeat every 500 ms to a control VM. Each control VM
// keeps a Directory and passes new heartbeats on to the other control VMs. The
// heartbeats of one VM are ordered by incarnation, then by sequence. A VM without
// a new heartbeat for 2 s is removed. Entry VMs follow the Directory of one
// control VM with a Follower and answer lookups from it with Lookup.
//
// The caller passes times, with their monotonic reading. Messages carry ages, not
// times, because the clocks of VMs differ.
package shdirectory

import (
	"maps"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// HeartbeatInterval is the time between heartbeats of an entry VM.
	HeartbeatInterval = 500 * time.Millisecond

	// ExpireAfter is how long a VM is listed without a new heartbeat. It permits
	// three lost heartbeats.
	ExpireAfter = 2 * time.Second

	// forgetAfter is how long the record of a removed VM is kept, so that an old
	// heartbeat that another control VM passes on does not add the VM again.
	forgetAfter = 10 * time.Minute
)

// Heartbeat is the state of one entry VM.
type Heartbeat struct {
	VM    shmodel.VM    `json:"vm"`
	Place shmodel.Place `json:"place"`
	// Incarnation increases with each start of the process, Sequence with each
	// heartbeat.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Addresses are IP:port.
	CallerAddress string `json:"callerAddress"`
	ServerAddress string `json:"serverAddress"`
	PeerAddress   string `json:"peerAddress"`
	// Revision is the configuration revision in effect on the VM. A new revision
	// alone is not sent to entry VMs, since every edit would send them the whole
	// list.
	Revision uint64                    `json:"revision"`
	Leaving  bool                      `json:"leaving,omitempty"`
	Services map[shmodel.Service]Slots `json:"services,omitempty"`
	// Age is the time since the VM sent the heartbeat, as far as the sender of the
	// message knows it.
	Age time.Duration `json:"age"`
}

// Slots counts the slots that a VM owns for one service.
type Slots struct {
	Free  int `json:"free"`
	Total int `json:"total"`
}

// Source identifies a Directory in one process of a control VM. Versions of
// different sources cannot be compared.
type Source struct {
	VM          shmodel.VM `json:"vm"`
	Incarnation uint64     `json:"incarnation"`
}

// Delta is what changed in a Directory after version Since. If Whole is set it
// replaces everything that was known.
type Delta struct {
	Source  Source       `json:"source"`
	Since   uint64       `json:"since"`
	Version uint64       `json:"version"`
	Whole   bool         `json:"whole,omitempty"`
	Present []Heartbeat  `json:"present,omitempty"`
	Removed []shmodel.VM `json:"removed,omitempty"`
}

// Directory is the list of entry VMs on a control VM. Set Source once per
// process. The zero value of the rest is an empty list.
type Directory struct {
	Source Source

	version uint64
	records map[shmodel.VM]*record
	// changes orders the records by their last change of state, heartbeats by
	// their last heartbeat.
	changes    versionList
	heartbeats versionList
	// forgottenVersion is the latest version at which a VM was removed whose
	// record is no longer kept.
	forgottenVersion uint64
}

// record is the last known state of a VM.
type record struct {
	heartbeat Heartbeat
	// sentAt is when the heartbeat was sent, by the local clock.
	sentAt    time.Time
	removed   bool
	removedAt time.Time
}

// Receive processes a heartbeat from its VM or from another control VM. It
// reports whether the heartbeat was accepted: it is not expired, and it is newer
// than the known one or comes from a later process of a removed VM.
func (d *Directory) Receive(now time.Time, h Heartbeat) bool {
	if h.VM == "" || h.Age >= ExpireAfter {
		return false
	}
	old := d.records[h.VM]
	if old != nil && !isNewer(h, old.heartbeat) && !old.isReplacedBy(h) {
		return false
	}
	r := &record{heartbeat: h, sentAt: now.Add(-max(0, h.Age))}
	if d.records == nil {
		d.records = map[shmodel.VM]*record{}
	}
	d.records[h.VM] = r
	d.version++
	d.heartbeats.moveToEnd(h.VM, d.version)
	if old == nil || old.removed || !sameState(h, old.heartbeat) {
		d.changes.moveToEnd(h.VM, d.version)
	}
	return true
}

// Expire removes the VMs without a new heartbeat for ExpireAfter and returns
// them, sorted. It deletes the records of VMs that were removed forgetAfter ago.
func (d *Directory) Expire(now time.Time) []shmodel.VM {
	var expired []shmodel.VM
	for _, vm := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[vm]
		switch {
		case !r.removed && now.Sub(r.sentAt) >= ExpireAfter:
			expired = append(expired, vm)
			d.remove(now, r)
		case r.removed && now.Sub(r.removedAt) >= forgetAfter:
			d.forget(vm)
		}
	}
	return expired
}

func (d *Directory) remove(now time.Time, r *record) {
	vm := r.heartbeat.VM
	r.removed = true
	r.removedAt = now
	d.version++
	d.changes.moveToEnd(vm, d.version)
	d.heartbeats.remove(vm)
}

func (d *Directory) forget(vm shmodel.VM) {
	d.forgottenVersion = max(d.forgottenVersion, d.changes.remove(vm))
	delete(d.records, vm)
}

// Missing returns the last heartbeats of the VMs that were removed within
// forgetAfter and have not returned, sorted by VM.
func (d *Directory) Missing(now time.Time) []Heartbeat {
	missing := map[shmodel.VM]Heartbeat{}
	for vm, r := range d.records {
		if r.removed {
			missing[vm] = r.withAge(now)
		}
	}
	return sortedByVM(missing)
}

// Changes returns what changed for an entry VM that has version since of source.
// Heartbeats that only confirm the state of a VM are not included.
func (d *Directory) Changes(now time.Time, source Source, since uint64) Delta {
	if source != d.Source || since < d.forgottenVersion || since > d.version {
		since = 0
	}
	delta := Delta{
		Source:  d.Source,
		Since:   since,
		Version: d.version,
		Whole:   since == 0,
	}
	for vm := range d.changes.after(since) {
		r := d.records[vm]
		switch {
		case !r.removed:
			delta.Present = append(delta.Present, r.withAge(now))
		case !delta.Whole:
			delta.Removed = append(delta.Removed, vm)
		}
	}
	return delta
}

// News returns every heartbeat after version since of source, for another
// control VM. Removals are not included: each control VM decides them itself.
func (d *Directory) News(now time.Time, source Source, since uint64) Delta {
	if source != d.Source || since > d.version {
		since = 0
	}
	delta := Delta{Source: d.Source, Since: since, Version: d.version}
	for vm := range d.heartbeats.after(since) {
		delta.Present = append(delta.Present, d.records[vm].withAge(now))
	}
	return delta
}

// Merge processes the News of another control VM.
func (d *Directory) Merge(now time.Time, news Delta) {
	for _, h := range news.Present {
		d.Receive(now, h)
	}
}

// isReplacedBy reports whether a heartbeat comes from a later process of a VM that
// was removed. The incarnation of the later process may be lower, if the clock of
// the VM went back. The limit on the age of a heartbeat in Receive bounds how
// late a heartbeat of the earlier process can arrive.
func (r *record) isReplacedBy(h Heartbeat) bool {
	return r.removed && h.Incarnation != r.heartbeat.Incarnation
}

func (r *record) withAge(now time.Time) Heartbeat {
	h := r.heartbeat
	h.Age = max(0, now.Sub(r.sentAt))
	return h
}

// isNewer reports whether a was sent after b by the same VM.
func isNewer(a, b Heartbeat) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// sameState reports whether a and b, heartbeats of one VM, differ at most in
// sequence, revision and age.
func sameState(a, b Heartbeat) bool {
	return a.Place == b.Place &&
		a.Incarnation == b.Incarnation &&
		a.CallerAddress == b.CallerAddress &&
		a.ServerAddress == b.ServerAddress &&
		a.PeerAddress == b.PeerAddress &&
		a.Leaving == b.Leaving &&
		maps.Equal(a.Services, b.Services)
}
