package shrouting

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// loadBound is the utilization of this VM, in percent of the mean utilization of
// the region, above which a peer is preferred: rendezvous hashing with bounded
// load.
const loadBound = 125

// Objectives is the policy of the system. It follows the objective in the
// Snapshot.
type Objectives struct{}

func (Objectives) policy() {}

// Choose implements Policy.
func (Objectives) Choose(s *Snapshot, r Request) Choice {
	serviceTime := s.meanServiceTime()
	if r.Remaining < serviceTime && s.MeanServiceAge <= ServiceTimeLifetime {
		return Refuse{Reason: PastDeadline, RetryAfter: minRetryAfter}
	}
	if c := s.inRegion(r); c != nil {
		return c
	}
	if r.Forwarded {
		return Refuse{Reason: NoCapacity, RetryAfter: minRetryAfter}
	}
	wait, served := s.expectedWait(false)
	waitFits := served && wait+serviceTime <= r.Remaining
	leave := !waitFits
	remote, found := s.nearestRemote(r)
	if s.Objective == shconfig.Latency && found {
		leave = leave || wait > remote.RoundTrip
	}
	if found && leave {
		return Shift{VM: remote.VM, Address: remote.Address, Region: remote.Place.Region, Credit: remote.Credit}
	}
	if p, ok := s.probe(r); ok {
		return Forward{VM: p.VM, Address: p.Address}
	}
	if waitFits {
		return Wait{Expected: wait}
	}
	return Refuse{Reason: NoCapacity, RetryAfter: max(minRetryAfter, wait.Round(time.Second))}
}

// inRegion chooses this VM or a peer, and returns nil if no slot is known to be
// free in the region. Own slots come first: their number is exact and no hop is
// needed. Headroom prefers a peer when this VM exceeds the load bound and the
// peer has a larger share of free slots.
func (s *Snapshot) inRegion(r Request) Choice {
	ownFree := s.Own.Free > 0 && !slices.Contains(r.Tried, s.Own.VM)
	if r.Forwarded {
		if ownFree {
			return ServeOwn{}
		}
		return nil
	}
	if ownFree && (s.Objective == shconfig.Latency || !s.exceedsLoadBound()) {
		return ServeOwn{}
	}
	if p, ok := s.choosePeer(r); ok && (!ownFree || p.available()*s.Own.Usable > s.Own.Free*p.Usable) {
		return Forward{VM: p.VM, Address: p.Address}
	}
	if ownFree {
		return ServeOwn{}
	}
	return nil
}

// exceedsLoadBound reports whether the utilization of this VM exceeds loadBound
// percent of the mean utilization of the region.
func (s *Snapshot) exceedsLoadBound() bool {
	usable, free := s.Own.Usable, s.Own.Free
	for _, p := range s.Peers {
		if p.isFresh() {
			usable += p.Usable
			free += p.available()
		}
	}
	return (s.Own.Usable-s.Own.Free)*usable*100 > (usable-free)*s.Own.Usable*loadBound
}

// choosePeer draws two peers by rendezvous hashing and returns the one with the
// larger share of free slots. Peers with old reports are drawn only if no other
// peer has a free slot.
func (s *Snapshot) choosePeer(r Request) (Peer, bool) {
	var first, second Peer
	var firstWeight, secondWeight uint64
	n := 0
	for _, onlyFresh := range []bool{true, false} {
		for _, p := range s.Peers {
			if p.isFresh() != onlyFresh || p.available() <= 0 || !p.Healthy || slices.Contains(r.Tried, p.VM) {
				continue
			}
			n++
			weight := rendezvousWeight(r.ID, p.VM)
			switch {
			case n == 1 || weight > firstWeight:
				second, secondWeight = first, firstWeight
				first, firstWeight = p, weight
			case n == 2 || weight > secondWeight:
				second, secondWeight = p, weight
			}
		}
		if n > 0 {
			break
		}
	}
	if n > 1 && second.available()*first.Usable > first.available()*second.Usable {
		return second, true
	}
	return first, n > 0
}

// WantsCredits reports whether a credit of another region would help a request
// like r, now or soon: the region has no free slot, and either nothing can serve
// the queue, the expected wait plus the service time exceeds half of the time
// left or, with the Latency objective, the wait exceeds a round trip.
func (s *Snapshot) WantsCredits(r Request) bool {
	if r.Forwarded || s.inRegion(r) != nil {
		return false
	}
	wait, served := s.expectedWait(false)
	if !served || wait+s.meanServiceTime() > r.Remaining/2 {
		return true
	}
	return s.Objective == shconfig.Latency && slices.ContainsFunc(s.Regions, func(m Remote) bool {
		return m.Healthy && wait > m.RoundTrip
	})
}

// probe returns the first peer in the order of rendezvous hashing that may have a
// free slot by now although its last report showed none.
func (s *Snapshot) probe(r Request) (Peer, bool) {
	var best Peer
	var bestWeight uint64
	found := false
	for _, p := range s.Peers {
		recent := p.ReportAge < s.meanServiceTime()
		if recent || p.Refused || !p.Healthy || p.Forwarded >= p.Usable || slices.Contains(r.Tried, p.VM) {
			continue
		}
		if weight := rendezvousWeight(r.ID, p.VM); !found || weight > bestWeight {
			best, bestWeight, found = p, weight, true
		}
	}
	return best, found
}

// isFresh reports whether the report is recent enough to be trusted.
func (p Peer) isFresh() bool { return p.ReportAge <= FreshFor }

// available returns the reported free slots less the forwards in flight from this
// VM that the report does not include, or 0 if the peer has just refused a
// forward.
func (p Peer) available() int {
	if p.Refused {
		return 0
	}
	return min(p.Free, p.Usable) - p.Forwarded
}

// nearestRemote returns the nearest VM that the request can shift to. Of equally
// near VMs, the one with more credits is chosen.
func (s *Snapshot) nearestRemote(r Request) (Remote, bool) {
	var best Remote
	found := false
	for _, m := range s.Regions {
		usable := m.Healthy && m.Credits > 0 && m.LinkFreeBytes >= r.Bytes &&
			m.RoundTrip+s.meanServiceTime() <= r.Remaining && !slices.Contains(r.Tried, m.VM)
		if !usable {
			continue
		}
		if !found || m.RoundTrip < best.RoundTrip || m.RoundTrip == best.RoundTrip && m.Credits > best.Credits {
			best, found = m, true
		}
	}
	return best, found
}

// expectedWait returns the time until the queue of this VM is served: by its own
// slots or, if it has none, by those of its peers. It returns false if nothing
// can serve the queue. The peers of a forwarded request do not count.
func (s *Snapshot) expectedWait(forwarded bool) (time.Duration, bool) {
	usable := s.Own.Usable
	if usable == 0 && !forwarded {
		for _, p := range s.Peers {
			if p.Healthy {
				usable += p.Usable
			}
		}
	}
	wait := s.meanServiceTime() * time.Duration(s.Own.Queued+1) / time.Duration(max(1, usable))
	return wait, usable > 0
}

func (s *Snapshot) meanServiceTime() time.Duration {
	if s.MeanService <= 0 {
		return defaultServiceTime
	}
	return s.MeanService
}

// rendezvousWeight returns the weight of a VM for a request in rendezvous
// hashing.
func rendezvousWeight(id shmodel.RequestID, vm shmodel.VM) uint64 {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(id))
	buf = append(buf, vm...)
	return xxhash.Sum64(buf)
}
