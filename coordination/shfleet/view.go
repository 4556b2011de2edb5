package shfleet

import (
	"maps"
	"slices"

	"sequoiahollow/state/shmodel"
)

// Change is the difference between the state that an observer knows and a later
// state. Fields that did not change are nil.
type Change struct {
	// From is the log index of the observer. If From is zero, the change holds
	// the whole state and replaces the view.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Version and Table are set together.
	Version     uint64                   `json:"version,omitempty"`
	Table       *Table                   `json:"table,omitempty"`
	Evacuated   *[]shmodel.FailureDomain `json:"evacuated,omitempty"`
	Backends    []Backend                `json:"backends,omitempty"`
	Removed     []Instance               `json:"removed,omitempty"`
	Entries     *[]Entry                 `json:"entries,omitempty"`
	Controls    *[]Control               `json:"controls,omitempty"`
	CrashCounts *[]CrashCount            `json:"strikes,omitempty"`
}

// Since returns the change from a log index to the current one. If the index is
// too old or unknown, the change holds the whole state.
func (s *State) Since(index uint64) Change {
	if index < s.RemovedUpTo || index > s.Index {
		index = 0
	}
	whole := index == 0
	c := Change{From: index, To: s.Index}
	if s.DocumentAt > index {
		c.Version, c.Table = s.Document.Version, &s.Document.Table
	}
	if whole || s.EvacuateAt > index {
		zones := s.Evacuated
		c.Evacuated = &zones
	}
	for _, b := range s.Backends {
		if b.At > index {
			c.Backends = append(c.Backends, b)
		}
	}
	if !whole {
		for _, r := range s.Removals {
			if r.At > index {
				c.Removed = append(c.Removed, r.Instance)
			}
		}
	}
	if whole || s.EntriesAt > index {
		entries := s.EntryVMs()
		c.Entries = &entries
	}
	if whole || s.ControlsAt > index {
		controls := s.ControlVMs()
		c.Controls = &controls
	}
	if whole || s.CrashCountsAt > index {
		counts := s.crashCounts()
		c.CrashCounts = &counts
	}
	return c
}

// View is an observer's copy of the state. Views are immutable; Apply returns a
// new one.
type View struct {
	Index   uint64
	Version uint64
	// Table is nil before the first routing table.
	Table       *RouteIndex
	Limits      Limits
	Evacuated   map[shmodel.FailureDomain]bool
	Backends    map[shmodel.BackendServer]Backend
	Entries     []Entry
	Controls    []Control
	CrashCounts map[shmodel.Digest]int
}

// Apply returns the view after a change. A change that starts after the index of
// the view, or ends before it, is ignored.
func (v View) Apply(c Change) View {
	if c.To < v.Index || c.From > v.Index {
		return v
	}
	next := v
	if c.From == 0 {
		// In JSON, a part that is empty is left out or null.
		next = View{Version: v.Version, Table: v.Table, Limits: v.Limits}
	}
	next.Index = c.To
	if c.Table != nil {
		next.Version, next.Table, next.Limits = c.Version, NewRouteIndex(*c.Table), c.Table.Limits
	}
	if c.Evacuated != nil {
		next.Evacuated = map[shmodel.FailureDomain]bool{}
		for _, z := range *c.Evacuated {
			next.Evacuated[z] = true
		}
	}
	next.Backends = v.backends(c)
	if c.Entries != nil {
		next.Entries = slices.Clone(*c.Entries)
	}
	if c.Controls != nil {
		next.Controls = slices.Clone(*c.Controls)
	}
	if c.CrashCounts != nil {
		next.CrashCounts = map[shmodel.Digest]int{}
		for _, s := range *c.CrashCounts {
			next.CrashCounts[s.Digest] = s.Count
		}
	}
	return next
}

func (v View) backends(c Change) map[shmodel.BackendServer]Backend {
	if c.From > 0 && len(c.Backends) == 0 && len(c.Removed) == 0 {
		return v.Backends
	}
	backends := map[shmodel.BackendServer]Backend{}
	if c.From > 0 {
		maps.Copy(backends, v.Backends)
	}
	for _, i := range c.Removed {
		if known, ok := backends[i.ID]; ok && known.Born <= i.Born {
			delete(backends, i.ID)
		}
	}
	for _, b := range c.Backends {
		backends[b.ID] = b
	}
	return backends
}
