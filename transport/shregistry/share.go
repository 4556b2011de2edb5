package shregistry

import (
	"context"
	"fmt"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shhome"
	"sequoiahollow/coordination/shload"
	"sequoiahollow/coordination/shspread"
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
	// Delay is the delay of the link of the entry VM.
	Delay shfleet.Millis `json:"delayMs,omitempty"`
}

// ShareResponse carries homes and the number of the last one, and the requests of other
// entry VMs at busy backend servers. If Epoch is not that of the request, the table of
// homes is another one and Homes are all of its homes.
type ShareResponse struct {
	Homes []shhome.Home   `json:"homes,omitempty"`
	Epoch string          `json:"epoch"`
	Last  uint64          `json:"last"`
	Busy  shload.InFlight `json:"busy,omitempty"`
	// Delays are those of the links of entry VMs, as far as they matter.
	Delays map[shmodel.VM]shfleet.Millis `json:"delaysMs,omitempty"`
}

// minReportedDelay is the delay of a link from which it is told to others.
const minReportedDelay = shfleet.Millis(shspread.TargetDelay / time.Millisecond / 4)

// linkDelay is the delay of the link of an entry VM as it reported it.
type linkDelay struct {
	at    time.Time
	delay shfleet.Millis
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
	r.linkDelays[q.VM] = linkDelay{now, q.Delay}
	response.Delays = r.reportedDelays(now)
	return response, nil
}

// reportedDelays returns the delays of the links of entry VMs that matter. One that has
// been silent has the greatest. The caller holds the mutex.
func (r *Registry) reportedDelays(now time.Time) map[shmodel.VM]shfleet.Millis {
	delays := map[shmodel.VM]shfleet.Millis{}
	for vm := range r.state.Entries {
		reported := r.linkDelays[vm]
		switch {
		case now.Sub(later(reported.at, r.leaderSince)) > shload.Lifetime:
			delays[vm] = shfleet.Millis(shspread.MaxDelay.Milliseconds())
		case reported.delay >= minReportedDelay:
			delays[vm] = reported.delay
		}
	}
	return delays
}

// EntryVMs returns the entry VMs that this VM knows, and the delays of their links as the
// leader knows them.
func (r *Registry) EntryVMs(ctx context.Context) ([]shfleet.Entry, map[shmodel.VM]shfleet.Millis, error) {
	response, err := leaderCall[delaysResponse](ctx, r, methodDelays, empty{})
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.EntryVMs(), response.Delays, err
}

type delaysResponse struct {
	Delays map[shmodel.VM]shfleet.Millis `json:"delaysMs"`
}

// delays handles methodDelays.
func (r *Registry) delays(context.Context, empty) (delaysResponse, error) {
	if !r.isLeading() {
		return delaysResponse{}, r.notLeader(methodDelays)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return delaysResponse{r.reportedDelays(time.Now())}, nil
}

// HasBoundRoutes reports whether a route of the table that this VM knows is bound to
// regions.
func (r *Registry) HasBoundRoutes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Document.Table.HasBoundRoutes()
}
