// Package shload adds up the requests that entry VMs have in flight at each backend
// server, so that each entry VM knows the load that the others cause.
//
// # Model
//
// An entry VM of a large fleet sends few of the requests of one backend server, and
// learns its load only from answers, so that requests of others queue up unnoticed:
// longest where answers take long. Entry VMs therefore report their requests in flight
// to the leader of the control VMs, every some hundred milliseconds, and get back the
// sums of the others. What a VM reports counts until its next report, or until it is
// silent for Lifetime.
//
// Only backend servers with at least half of their slots in use are returned. The
// others have room whatever their load is.
package shload

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// Lifetime is the time for which a report counts: three intervals of the largest
// example deployment.
const Lifetime = 1500 * time.Millisecond

// InFlight is the number of requests at each backend server.
type InFlight map[shmodel.BackendServer]int

// Sums adds up reports. The zero value is ready to use. It is not safe for concurrent
// use.
type Sums struct {
	reports map[shmodel.VM]report
	total   InFlight
}

type report struct {
	at       time.Time
	inFlight InFlight
}

// Report replaces the report of an entry VM. The Sums keep inFlight.
func (s *Sums) Report(now time.Time, vm shmodel.VM, inFlight InFlight) {
	if s.reports == nil {
		s.reports, s.total = map[shmodel.VM]report{}, InFlight{}
	}
	for other, r := range s.reports {
		if other == vm || now.Sub(r.at) > Lifetime {
			s.remove(other)
		}
	}
	s.reports[vm] = report{now, inFlight}
	for id, n := range inFlight {
		s.total[id] += n
	}
}

func (s *Sums) remove(vm shmodel.VM) {
	for id, n := range s.reports[vm].inFlight {
		if s.total[id] -= n; s.total[id] <= 0 {
			delete(s.total, id)
		}
	}
	delete(s.reports, vm)
}

// Busy returns what all entry VMs but vm have in flight at each backend server of which
// half of the slots or more are in use. Slots returns the slots of a backend server.
func (s *Sums) Busy(vm shmodel.VM, slots func(shmodel.BackendServer) int) InFlight {
	own := s.reports[vm].inFlight
	busy := InFlight{}
	for id, n := range s.total {
		if others := n - own[id]; others > 0 && 2*n >= slots(id) {
			busy[id] = others
		}
	}
	return busy
}
