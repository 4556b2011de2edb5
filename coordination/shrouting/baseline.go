package shrouting

import (
	"slices"

	"sequoiahollow/state/shmodel"
)

// RoundRobin is a baseline: it chooses all healthy VMs in turn, those of other
// regions only if the region has none. It ignores load and deadlines. It keeps
// its position and is not safe for concurrent use.
type RoundRobin struct{ next int }

func (*RoundRobin) policy() {}

// Choose implements Policy.
func (b *RoundRobin) Choose(s *Snapshot, r Request) Choice {
	candidates := baselineCandidates(s, r)
	if len(candidates) == 0 {
		return Refuse{Reason: NoCapacity, RetryAfter: minRetryAfter}
	}
	b.next++
	return candidates[b.next%len(candidates)].choice
}

// LeastReported is a baseline: it chooses the healthy VM with the most reported
// free slots. It does not correct reports by their age or by forwards in flight.
type LeastReported struct{}

func (LeastReported) policy() {}

// Choose implements Policy.
func (LeastReported) Choose(s *Snapshot, r Request) Choice {
	candidates := baselineCandidates(s, r)
	if len(candidates) == 0 {
		return Refuse{Reason: NoCapacity, RetryAfter: minRetryAfter}
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.free > best.free {
			best = c
		}
	}
	return best.choice
}

type baselineCandidate struct {
	choice Choice
	free   int
}

// baselineCandidates lists the healthy VMs that have slots: those of the region,
// or, if there are none, those of other regions that the request can shift to.
func baselineCandidates(s *Snapshot, r Request) []baselineCandidate {
	tried := func(vm shmodel.VM) bool { return slices.Contains(r.Tried, vm) }
	var out []baselineCandidate
	if s.Own.Usable > 0 && !tried(s.Own.VM) {
		var c Choice = ServeOwn{}
		if s.Own.Free == 0 {
			wait, _ := s.expectedWait(r.Forwarded)
			c = Wait{Expected: wait}
		}
		out = append(out, baselineCandidate{choice: c, free: s.Own.Free})
	}
	if r.Forwarded {
		return out
	}
	for _, p := range s.Peers {
		if p.Healthy && p.Usable > 0 && !tried(p.VM) {
			out = append(out, baselineCandidate{choice: Forward{VM: p.VM, Address: p.Address}, free: p.Free})
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, m := range s.Regions {
		if m.Healthy && m.Credits > 0 && m.LinkFreeBytes >= r.Bytes && !tried(m.VM) {
			c := Shift{VM: m.VM, Address: m.Address, Region: m.Place.Region, Credit: m.Credit}
			out = append(out, baselineCandidate{choice: c, free: m.Free})
		}
	}
	return out
}
