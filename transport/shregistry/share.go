package shregistry

import (
	"context"
	"fmt"
	"time"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/coordination/shload"
	"sequoiahollow/state/shmodel"
)

// ShareRequest reports what an entry VM knows: the keys that it has seen and its
// requests in flight. It asks for the homes of keys that were set after Since in the
// table of Epoch.
type ShareRequest struct {
	VM       shmodel.VM      `json:"vm"`
	Region   shmodel.Region  `json:"region"`
	Keys     []shhome.Home   `json:"keys,omitempty"`
	Epoch    string          `json:"epoch,omitempty"`
	Since    uint64          `json:"since,omitempty"`
	InFlight shload.InFlight `json:"inFlight,omitempty"`
}

// ShareResponse carries homes and the number of the last one, and the requests of other
// entry VMs at busy backend servers. If Epoch is not that of the request, the table of
// homes is another one and Homes are all of its homes.
type ShareResponse struct {
	Homes []shhome.Home   `json:"homes,omitempty"`
	Epoch string          `json:"epoch"`
	Last  uint64          `json:"last"`
	Busy  shload.InFlight `json:"busy,omitempty"`
}

// share handles MethodShare. What is shared is kept in the memory of the leader only.
func (r *Registry) share(_ context.Context, q ShareRequest) (ShareResponse, error) {
	if !r.isLeading() {
		return ShareResponse{}, r.notLeader(MethodShare)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	response := ShareResponse{Epoch: fmt.Sprintf("%s %d", r.config.VM, r.leaderSince.UnixNano())}
	r.homes.Report(now, q.Region, q.Keys)
	since := q.Since
	if q.Epoch != response.Epoch {
		since = 0
	}
	response.Homes, response.Last = r.homes.Since(since)
	r.loads.Report(now, q.VM, q.InFlight)
	response.Busy = r.loads.Busy(q.VM, func(id shmodel.BackendServer) int { return r.state.Backends[id].Slots })
	return response, nil
}
