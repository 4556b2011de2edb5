package shquota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/state/shmodel"
)

const (
	// vmMemory is how long a VM that is no longer an entry VM keeps its part of the
	// spare buckets. It covers cuts; after a lasting removal the others get its part.
	vmMemory = 5 * time.Minute
	// spareBurst is the part of a spare that may be used at once. The rest comes back
	// within a window.
	spareBurst = 0.8
)

// updateVMs records the entry VMs and reports whether the set of those known changed.
func (a *Account) updateVMs(now time.Time, vms []shmodel.VM) bool {
	changed := false
	listed := map[shmodel.VM]bool{}
	for _, vm := range append(slices.Clone(vms), a.VM) {
		if _, known := a.vms[vm]; !known {
			changed = true
		}
		listed[vm] = true
		a.vms[vm] = time.Time{}
	}
	for vm, absentSince := range a.vms {
		switch {
		case listed[vm]:
		case absentSince.IsZero():
			a.vms[vm] = now
		case now.Sub(absentSince) > vmMemory:
			delete(a.vms, vm)
			changed = true
		}
	}
	return changed
}

// spareOf returns the spare bucket of this VM for a team. If there is less than one
// token for each VM, those with the highest rendezvous hashes have one.
func (a *Account) spareOf(team string, p Plan) Limit {
	holders := min(int(p.Spare*spareBurst), len(a.vms))
	own := spareRank(team, a.VM)
	higher := 0
	for vm := range a.vms {
		if rank := spareRank(team, vm); rank > own || rank == own && vm > a.VM {
			higher++
		}
	}
	if higher >= holders {
		return Limit{}
	}
	part := p.Spare / float64(holders)
	return Limit{Rate: part * (1 - spareBurst) / a.Rules.Window.Seconds(), Burst: part * spareBurst}
}

func spareRank(team string, vm shmodel.VM) uint64 {
	return xxhash.Sum64String(team + "\x00" + string(vm))
}
