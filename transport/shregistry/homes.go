package shregistry

import (
	"context"
	"fmt"
	"time"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/state/shmodel"
)

// HomesRequest reports keys that an entry VM has seen and asks for the homes that were
// set after Since in the table of Epoch.
type HomesRequest struct {
	Region shmodel.Region `json:"region"`
	Keys   []shhome.Home  `json:"keys,omitempty"`
	Epoch  string         `json:"epoch,omitempty"`
	Since  uint64         `json:"since,omitempty"`
}

// HomesResponse carries homes and the number of the last one. If Epoch is not that of
// the request, the table is another one and Homes are all of its homes.
type HomesResponse struct {
	Homes []shhome.Home `json:"homes,omitempty"`
	Epoch string        `json:"epoch"`
	Last  uint64        `json:"last"`
}

// shareHomes handles MethodHomes. The table is kept in the memory of the leader only.
func (r *Registry) shareHomes(_ context.Context, q HomesRequest) (HomesResponse, error) {
	if !r.isLeading() {
		return HomesResponse{}, r.notLeader(MethodHomes)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	response := HomesResponse{Epoch: fmt.Sprintf("%s %d", r.config.VM, r.leaderSince.UnixNano())}
	r.homes.Report(time.Now(), q.Region, q.Keys)
	since := q.Since
	if q.Epoch != response.Epoch {
		since = 0
	}
	response.Homes, response.Last = r.homes.Since(since)
	return response, nil
}
