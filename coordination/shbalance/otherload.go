package shbalance

import (
	"time"

	"sequoiahollow/coordination/shload"
)

// reportPrecedence is how long the report of a backend server goes before the sums of
// the requests in flight, which are older by the interval of their exchange.
const reportPrecedence = 200 * time.Millisecond

// InFlight returns the requests of this entry VM at each backend server.
func (b *Balancer) InFlight() shload.InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight := shload.InFlight{}
	for id, n := range b.backends {
		if n.inFlight > 0 {
			inFlight[id] = n.inFlight
		}
	}
	return inFlight
}

// SetOtherLoads sets the requests that the other entry VMs have in flight at busy backend
// servers, as of now. Those that are not listed have less than half of their slots in
// use.
func (b *Balancer) SetOtherLoads(now time.Time, busy shload.InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadsShared = true
	for id, n := range b.backends {
		if now.Sub(n.reportedAt) < reportPrecedence {
			continue
		}
		others, listed := busy[id]
		if !listed {
			n.otherLoad = min(n.otherLoad, max(float64(n.backend.Slots)/2-float64(n.inFlight), 0))
			continue
		}
		n.otherLoad = min(float64(others), float64(maxReportFactor*max(n.backend.Slots, 1)))
		n.reportedAt = now
	}
}
