// Package shspread chooses the entry VMs that the callers of a failure domain are told
// to use.
//
// # Model
//
// Callers use the entry VMs of their own failure domain: they are the nearest. If more
// requests come than the links of those carry, everything there waits: answers, opening
// packets and the calls to the control VMs. Entry VMs elsewhere then serve a part of
// these callers sooner, although they are farther away.
//
// Each entry VM measures the delay of its link by the round trips of its calls to the
// leader, beyond the shortest one. A Spread holds for each failure domain how many
// entry VMs of others are named beside its own. The number rises while the median delay
// of its own ones is above TargetDelay, and falls while it is below. Callers choose
// among all addresses at random, so the share of those that are sent elsewhere is known.
// The others are entry VMs without delay, of the same region first.
package shspread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

const (
	// TargetDelay is the delay of a link from which callers are sent elsewhere: about
	// twice the round trip to another region, which they then have in its place.
	TargetDelay = 50 * time.Millisecond
	// MaxDelay is the delay that is assumed of an entry VM that cannot report one.
	MaxDelay = time.Second
	// step is the change of the extra entry VMs, for each own one, at an update with a
	// delay of twice the target. Updates come every 300 ms and callers ask again after 1
	// to 3 s.
	step = 0.1
	// maxRise and maxFall bound the change in steps. Callers return slowly, so that they
	// do not overload the links once more.
	maxRise = 2.0
	maxFall = 0.25
	// maxExtra bounds the extra entry VMs for each own one.
	maxExtra = 2.0
	// deadDelay is the delay from which an entry VM is not named while others may be. What
	// its callers send only lengthens the queue, which then does not end for as long as
	// they come back.
	deadDelay = 400 * time.Millisecond
	// minSubstitutes is the least number of entry VMs that are named in place of those of
	// a failure domain whose links do not move.
	minSubstitutes = 8
)

// Spread chooses entry VMs. The zero value names those of the own failure domain. It is
// not safe for concurrent use.
type Spread struct {
	entries []shfleet.Entry
	delays  map[shmodel.VM]time.Duration
	// extra is the number of extra entry VMs for each own one, by failure domain.
	extra map[shmodel.FailureDomain]float64
}

// SetEntries replaces the entry VMs.
func (s *Spread) SetEntries(entries []shfleet.Entry) {
	s.entries = slices.DeleteFunc(slices.Clone(entries), func(e shfleet.Entry) bool { return !e.Ready })
	slices.SortFunc(s.entries, func(a, b shfleet.Entry) int { return cmp.Compare(a.VM, b.VM) })
}

// Update takes the delays of the links of entry VMs, as of now. It is called at regular
// intervals. Those that are not listed have none.
func (s *Spread) Update(delays map[shmodel.VM]time.Duration) {
	s.delays = delays
	if s.extra == nil {
		s.extra = map[shmodel.FailureDomain]float64{}
	}
	byZone := map[shmodel.FailureDomain][]time.Duration{}
	for _, e := range s.entries {
		byZone[e.Zone] = append(byZone[e.Zone], delays[e.VM])
	}
	for zone, list := range byZone {
		slices.Sort(list)
		median := list[len(list)/2]
		steps := float64(median-TargetDelay) / float64(TargetDelay)
		s.extra[zone] = min(max(s.extra[zone]+step*min(max(steps, -maxFall), maxRise), 0), maxExtra)
	}
}

// Extra returns how many entry VMs of other failure domains are named, for each own one.
func (s *Spread) Extra(zone shmodel.FailureDomain) float64 { return s.extra[zone] }

// Addresses returns the addresses that callers of a failure domain should use. With
// stay set they are not sent to other regions while there is an entry VM in their own.
func (s *Spread) Addresses(region shmodel.Region, zone shmodel.FailureDomain, stay bool) []string {
	own := s.nearest(region, zone)
	if len(own) == 0 {
		return nil
	}
	chosen := s.alive(own)
	switch {
	case own[0].Zone != zone:
	case len(chosen) == 0:
		chosen = s.others(region, zone, stay, max(int((1+s.extra[zone])*float64(len(own))), minSubstitutes))
	default:
		chosen = append(chosen, s.others(region, zone, stay, int(s.extra[zone]*float64(len(own))+0.5))...)
	}
	if len(chosen) == 0 {
		chosen = own
	}
	addresses := make([]string, len(chosen))
	for i, e := range chosen {
		addresses[i] = e.Address
	}
	return addresses
}

// nearest returns the entry VMs of the failure domain, else of its region, else all.
func (s *Spread) nearest(region shmodel.Region, zone shmodel.FailureDomain) []shfleet.Entry {
	for _, near := range []func(shfleet.Entry) bool{
		func(e shfleet.Entry) bool { return e.Zone == zone },
		func(e shfleet.Entry) bool { return e.Region == region },
	} {
		if list := s.matching(near); len(list) > 0 {
			return list
		}
	}
	return s.entries
}

func (s *Spread) matching(matches func(shfleet.Entry) bool) []shfleet.Entry {
	var list []shfleet.Entry
	for _, e := range s.entries {
		if matches(e) {
			list = append(list, e)
		}
	}
	return list
}

// alive leaves out the entry VMs whose links do not move.
func (s *Spread) alive(own []shfleet.Entry) []shfleet.Entry {
	var list []shfleet.Entry
	for _, e := range own {
		if s.delays[e.VM] < deadDelay {
			list = append(list, e)
		}
	}
	return list
}

// others returns up to n entry VMs of other failure domains whose links have room. The
// order differs between failure domains, so that they do not all choose the same.
func (s *Spread) others(region shmodel.Region, zone shmodel.FailureDomain, stay bool, n int) []shfleet.Entry {
	list := s.matching(func(e shfleet.Entry) bool {
		return e.Zone != zone && s.delays[e.VM] < TargetDelay/2 && (e.Region == region || !stay)
	})
	rank := func(e shfleet.Entry) uint64 { return xxhash.Sum64String(string(zone) + " " + string(e.VM)) }
	distance := func(e shfleet.Entry) int {
		if e.Region == region {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b shfleet.Entry) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(rank(a), rank(b)))
	})
	return list[:min(n, len(list))]
}
