package shdirectory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// spanned is the number of first entries of a region that are not all in one
// failure domain. Callers try about as many.
const spanned = 3

// Query is a lookup of a caller.
type Query struct {
	Service shmodel.Service
	// Region is the region of the caller.
	Region shmodel.Region
	// Caller spreads callers over the VMs of a region. The same caller gets
	// the same order as long as the list does not change.
	Caller string
	// LatencyMS is the latency from Region to other regions. Regions that it
	// does not list come last.
	LatencyMS map[shmodel.Region]float64
	Drains    shcontrol.Drains
	// Limit bounds the length of the answer; 0 means no bound.
	Limit int
}

// Lookup returns the entry VMs for a query in the order of preference: those
// of the caller's region, then those of other regions, the nearest first.
// Within a region the order is a rendezvous hash, so that the callers of a VM
// spread over all others when it is lost, also those with cached answers. The
// first three entries of a region are in at least two failure domains if it has
// them. VMs that leave or drain are not listed.
func Lookup(entries []Heartbeat, q Query) []Heartbeat {
	regions := map[shmodel.Region][]ranked{}
	listed := 0
	for _, h := range entries {
		if q.excludes(h) {
			continue
		}
		region := h.Place.Region
		regions[region] = append(regions[region], ranked{Heartbeat: h, weight: q.weight(h.VM)})
		listed++
	}
	if q.Limit > 0 {
		listed = min(listed, q.Limit)
	}
	answer := make([]Heartbeat, 0, listed)
	for _, region := range q.order(regions) {
		for _, r := range spread(regions[region], listed-len(answer)) {
			answer = append(answer, r.Heartbeat)
		}
	}
	return answer
}

// ranked is an entry VM with its weight for one caller.
type ranked struct {
	Heartbeat
	weight uint64
}

func (q Query) excludes(h Heartbeat) bool {
	return h.Leaving ||
		slices.Contains(q.Drains.VMs, h.VM) ||
		slices.Contains(q.Drains.Regions, h.Place.Region)
}

func (q Query) weight(vm shmodel.VM) uint64 {
	return xxhash.Sum64String(q.Caller + "\x00" + string(q.Service) + "\x00" + string(vm))
}

// order returns the regions, the nearest first.
func (q Query) order(regions map[shmodel.Region][]ranked) []shmodel.Region {
	names := make([]shmodel.Region, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b shmodel.Region) int {
		return cmp.Or(
			compareFlags(a == q.Region, b == q.Region),
			q.compareLatency(a, b),
			cmp.Compare(a, b),
		)
	})
	return names
}

func (q Query) compareLatency(a, b shmodel.Region) int {
	latencyA, knownA := q.LatencyMS[a]
	latencyB, knownB := q.LatencyMS[b]
	return cmp.Or(compareFlags(knownA, knownB), cmp.Compare(latencyA, latencyB))
}

// compareFlags orders true before false.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// spread returns the first n VMs in the order of their weight. A strict
// alternation of failure domains would send all callers of a lost VM to the
// only VM of the other domain.
func spread(vms []ranked, n int) []ranked {
	slices.SortFunc(vms, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.VM, b.VM))
	})
	other := slices.IndexFunc(vms, func(r ranked) bool {
		return r.Place.FailureDomain != vms[0].Place.FailureDomain
	})
	if other >= spanned {
		moved := vms[other]
		vms = slices.Delete(vms, other, other+1)
		vms = slices.Insert(vms, spanned-1, moved)
	}
	return vms[:min(n, len(vms))]
}
