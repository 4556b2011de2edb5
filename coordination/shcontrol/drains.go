package shcontrol

import (
	"maps"
	"slices"

	"sequoiahollow/state/shmodel"
)

// Drains lists the VMs and regions that are draining, sorted by name.
type Drains struct {
	VMs     []shmodel.VM     `json:"vms,omitempty"`
	Regions []shmodel.Region `json:"regions,omitempty"`
}

// drains is the replicated form of Drains.
type drains struct {
	VMs     map[shmodel.VM]bool     `json:"vms"`
	Regions map[shmodel.Region]bool `json:"regions"`
}

// set applies a SetDrain.
func (d *drains) set(c SetDrain) Result {
	if (c.VM == "") == (c.Region == "") {
		return Rejected{Reason: "a drain needs either a VM or a region"}
	}
	if c.VM != "" {
		d.VMs = setMember(d.VMs, c.VM, c.Draining)
	} else {
		d.Regions = setMember(d.Regions, c.Region, c.Draining)
	}
	return DrainResult{Draining: c.Draining}
}

func (d *drains) list() Drains {
	return Drains{
		VMs:     slices.Sorted(maps.Keys(d.VMs)),
		Regions: slices.Sorted(maps.Keys(d.Regions)),
	}
}

// setMember adds a name to a set or, if in is false, removes the name.
func setMember[K comparable](set map[K]bool, name K, in bool) map[K]bool {
	if !in {
		delete(set, name)
		return set
	}
	if set == nil {
		set = map[K]bool{}
	}
	set[name] = true
	return set
}
