package shsteer

import (
	"context"
	"time"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shregistry"
)

const (
	// shareInterval is the time between two calls that share what entry VMs know. It is
	// below the service times of the example deployments (0.1 to 2 s). sharePerEntry is
	// the part of it for each entry VM of a large fleet, so that a leader gets at most
	// 330 calls a second.
	shareInterval = 300 * time.Millisecond
	sharePerEntry = 3 * time.Millisecond
	// shareTimeout bounds a call. The keys of one that fails go into the next.
	shareTimeout = 500 * time.Millisecond
)

// share tells the leader which keys this VM sees and what it has in flight, and learns
// the homes of keys and the loads that other VMs cause.
func (e *Entry) share(ctx context.Context) {
	known := shregistry.ShareResponse{}
	var keys []shhome.Home
	failed := false
	for ctx.Err() == nil {
		shleader.Pause(ctx, max(shareInterval, time.Duration(len(e.watcher.View().Entries))*sharePerEntry))
		keys = append(keys, e.balancer.Sightings()...)
		keys = keys[max(len(keys)-shhome.MaxKeys, 0):]
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		response, err := e.watcher.Share(callCtx, shregistry.ShareRequest{
			VM: e.Settings.VM, Region: e.Settings.Region, Keys: keys, Epoch: known.Epoch, Since: known.Last,
			InFlight: e.balancer.InFlight(),
		})
		cancel()
		if failed != (err != nil) {
			failed = err != nil
			e.Log.Info("exchange with other entry VMs", "failed", failed, "error", err)
		}
		if err != nil {
			continue
		}
		e.balancer.SetHomes(response.Homes, known.Epoch != "" && known.Epoch != response.Epoch)
		e.balancer.SetOtherLoads(time.Now(), response.Busy)
		known, keys = response, nil
	}
}
