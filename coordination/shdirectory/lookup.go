package shdirectory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// spreadPrefix is the number of first entries of a region that are not all in one
// failure domain. Callers try about that many entries.
const spreadPrefix = 3

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
// Within a region the order is that of rendezvous hashing, so that the callers of
// a VM spread over all others when it is lost, also callers with cached answers.
// The first three entries of a region are in at least two failure domains if the
// region has two. VMs that leave or drain are not listed.
func Lookup(entries []Heartbeat, q Query) []Heartbeat {
	regions := map[shmodel.Region][]weightedEntry{}
	listed := 0
	for _, h := range entries {
		if q.excludes(h) {
			continue
		}
		region := h.Place.Region
		regions[region] = append(regions[region], weightedEntry{Heartbeat: h, weight: q.weight(h.VM)})
		listed++
	}
	if q.Limit > 0 {
		listed = min(listed, q.Limit)
	}
	answer := make([]Heartbeat, 0, listed)
	for _, region := range q.sortRegions(regions) {
		for _, r := range rank(regions[region], listed-len(answer)) {
			answer = append(answer, r.Heartbeat)
		}
	}
	return answer
}

// weightedEntry is an entry VM with its weight for one caller.
type weightedEntry struct {
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

// sortRegions returns the regions, the nearest first.
func (q Query) sortRegions(regions map[shmodel.Region][]weightedEntry) []shmodel.Region {
	names := make([]shmodel.Region, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b shmodel.Region) int {
		return cmp.Or(
			trueFirst(a == q.Region, b == q.Region),
			q.compareLatency(a, b),
			cmp.Compare(a, b),
		)
	})
	return names
}

func (q Query) compareLatency(a, b shmodel.Region) int {
	latencyA, knownA := q.LatencyMS[a]
	latencyB, knownB := q.LatencyMS[b]
	return cmp.Or(trueFirst(knownA, knownB), cmp.Compare(latencyA, latencyB))
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// rank returns the first n VMs in the order of their weight. If the first
// spreadPrefix are in one failure domain, the first VM of another failure domain
// becomes the last of these. A strict alternation of failure domains would send
// all callers of a lost VM to the only VM of the other domain.
func rank(vms []weightedEntry, n int) []weightedEntry {
	slices.SortFunc(vms, func(a, b weightedEntry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.VM, b.VM))
	})
	other := slices.IndexFunc(vms, func(r weightedEntry) bool {
		return r.Place.FailureDomain != vms[0].Place.FailureDomain
	})
	if other >= spreadPrefix {
		moved := vms[other]
		vms = slices.Delete(vms, other, other+1)
		vms = slices.Insert(vms, spreadPrefix-1, moved)
	}
	return vms[:min(n, len(vms))]
}
