package shregistry

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// Observers says which observers have the routing table in force.
type Observers struct {
	// Leader is the leader known to this VM. Only the leader fills in the rest.
	Leader shmodel.VM `json:"leader"`
	// Version is that of the routing table in force, and Index the log index that an
	// observer has if it has the table.
	Version uint64 `json:"version,omitempty"`
	Index   uint64 `json:"index,omitempty"`
	// Missing lists the observers that have not confirmed the table, Confirmed the
	// others, by name.
	Missing   []Observer `json:"missing"`
	Confirmed []Observer `json:"confirmed"`
}

// Observer is a VM that made a watch call, or an entry VM.
type Observer struct {
	VM shmodel.VM `json:"vm"`
	// Index is the log index that it had at its last watch call, zero if it has made
	// none since the election of the leader.
	Index uint64 `json:"index"`
	// SilentSeconds is the time since that call or that election. An entry VM that is
	// silent for longer than its permission lasts refuses keys.
	SilentSeconds float64 `json:"silentSeconds"`
}

// observed is the last watch call of an observer.
type observed struct {
	at    time.Time
	index uint64
}

// Observers returns which observers have the routing table in force. It returns false
// if this VM does not lead.
func (r *Registry) Observers() (Observers, bool) {
	list := Observers{Leader: r.store.Status().Leader.VM, Missing: []Observer{}, Confirmed: []Observer{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaderSince.IsZero() {
		return list, false
	}
	r.listObservers(time.Now(), &list)
	return list, true
}

// listObservers fills in the lists. The caller holds the mutex.
func (r *Registry) listObservers(now time.Time, list *Observers) {
	list.Version, list.Index = r.state.Document.Version, r.state.DocumentAt
	add := func(vm shmodel.VM, last observed) {
		o := Observer{VM: vm, Index: last.index, SilentSeconds: now.Sub(last.at).Seconds()}
		if o.Index >= list.Index {
			list.Confirmed = append(list.Confirmed, o)
		} else {
			list.Missing = append(list.Missing, o)
		}
	}
	for vm, last := range r.lastWatch {
		add(vm, last)
	}
	for vm := range r.state.Entries {
		if _, ok := r.lastWatch[vm]; !ok {
			add(vm, observed{at: r.leaderSince})
		}
	}
	for _, l := range [][]Observer{list.Missing, list.Confirmed} {
		slices.SortFunc(l, func(a, b Observer) int { return cmp.Compare(a.VM, b.VM) })
	}
}
