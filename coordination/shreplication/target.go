package shreplication

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// target is a Target with its appends in progress and its recent failures.
type target struct {
	Target
	inFlight     int
	failures     int
	backoffUntil time.Time
}

func (t *target) usable(now time.Time) bool {
	return t.Healthy && !now.Before(t.backoffUntil)
}

// rank orders targets by place: other failure domains of the region, other
// regions, the failure domain of the Machine, the VM of the Machine.
func (m *Machine) rank(t *target) int {
	switch {
	case t.VM == m.config.Self:
		return 3
	case t.Place == m.config.Place:
		return 2
	case t.Place.Region == m.config.Place.Region:
		return 0
	}
	return 1
}

// tieBreak returns an FNV-1a hash that orders equally preferred targets
// differently on each VM, so that entry VMs do not all use the same one.
func tieBreak(self, vm shmodel.VM) uint64 {
	hash := uint64(14695981039346656037)
	for _, c := range []byte(string(self) + "\x00" + string(vm)) {
		hash = (hash ^ uint64(c)) * 1099511628211
	}
	return hash
}

func (m *Machine) changeTargets(now time.Time, targets []Target) {
	known := m.targets
	m.targets = make(map[shmodel.VM]*target, len(targets))
	m.order = m.order[:0]
	for _, t := range targets {
		if t.VM == m.config.Self && !m.config.UseSelf {
			continue
		}
		kept := known[t.VM]
		if kept == nil {
			kept = &target{}
		}
		kept.Target = t
		m.targets[t.VM] = kept
		m.order = append(m.order, kept)
	}
	slices.SortFunc(m.order, func(a, b *target) int {
		return cmp.Or(
			cmp.Compare(m.rank(a), m.rank(b)),
			cmp.Compare(a.Distance, b.Distance),
			cmp.Compare(tieBreak(m.config.Self, a.VM), tieBreak(m.config.Self, b.VM)),
		)
	})
	for _, id := range slices.Clone(m.pending) {
		b := m.batches[id]
		for i := range b.replicas {
			if m.targets[b.replicas[i].vm] == nil {
				b.replicas[i].state = none
			}
		}
		m.place(now, b)
	}
}

// Reachable reports whether any target in another failure domain is healthy and
// not in backoff.
func (m *Machine) Reachable(now time.Time) bool {
	return slices.ContainsFunc(m.order, func(t *target) bool {
		return t.Place != m.config.Place && t.usable(now)
	})
}
