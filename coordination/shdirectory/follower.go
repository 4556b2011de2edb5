package shdirectory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sequoiahollow/state/shmodel"
)

// Follower is the copy of a Directory on an entry VM. The zero value is an empty
// list. When no control VM can be reached, the Follower keeps the last list,
// since the entry VM goes on serving its region, and Stale returns true.
type Follower struct {
	// Source and Version identify the current list in the request for the next
	// delta.
	Source  Source
	Version uint64

	entries     map[shmodel.VM]Heartbeat
	confirmedAt time.Time
}

// Apply applies the answer to a request for changes that was sent at askedAt. It
// returns false, and changes nothing, if the delta does not continue the current
// list, as with an answer that arrives late.
func (f *Follower) Apply(askedAt time.Time, d Delta) bool {
	if d.Source == f.Source && (d.Since > f.Version || d.Version < f.Version) {
		return false
	}
	if d.Source != f.Source && (!d.Whole || askedAt.Before(f.confirmedAt)) {
		return false
	}
	if d.Whole || f.entries == nil {
		f.entries = map[shmodel.VM]Heartbeat{}
	}
	for _, vm := range d.Removed {
		delete(f.entries, vm)
	}
	for _, h := range d.Present {
		f.entries[h.VM] = h
	}
	f.Source = d.Source
	f.Version = d.Version
	if askedAt.After(f.confirmedAt) {
		f.confirmedAt = askedAt
	}
	return true
}

// Stale reports whether no answer was applied to a request sent within the last
// ExpireAfter.
func (f *Follower) Stale(now time.Time) bool {
	return f.confirmedAt.IsZero() || now.Sub(f.confirmedAt) >= ExpireAfter
}

// Entries returns the list sorted by VM. The caller owns the slice.
func (f *Follower) Entries() []Heartbeat { return sortedByVM(f.entries) }

// Entries returns the list sorted by VM. The caller owns the slice.
func (d *Directory) Entries(now time.Time) []Heartbeat {
	present := map[shmodel.VM]Heartbeat{}
	for vm, r := range d.records {
		if !r.removed {
			present[vm] = r.withAge(now)
		}
	}
	return sortedByVM(present)
}

func sortedByVM(entries map[shmodel.VM]Heartbeat) []Heartbeat {
	return slices.SortedFunc(maps.Values(entries), func(a, b Heartbeat) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
}
