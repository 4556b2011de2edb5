package shsteer

import (
	"context"
	"time"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shregistry"
)

const (
	// homesInterval is the time between two calls for the homes of keys, and
	// homesPerEntry the part of it for each entry VM of a large fleet, so that a leader
	// gets at most 250 calls a second.
	homesInterval = 400 * time.Millisecond
	homesPerEntry = 4 * time.Millisecond
	// idleHomesCalls is the number of intervals after which an entry VM calls that has
	// seen no further keys.
	idleHomesCalls = 3
	// homesTimeout bounds a call. The keys of one that fails go into the next.
	homesTimeout = time.Second
)

// shareHomes reports the keys that this VM sees and learns the homes of keys.
func (e *Entry) shareHomes(ctx context.Context) {
	known := shregistry.HomesResponse{}
	var keys []shhome.Home
	idle := 0
	for ctx.Err() == nil {
		shleader.Pause(ctx, max(homesInterval, time.Duration(len(e.watcher.View().Entries))*homesPerEntry))
		keys = append(keys, e.balancer.Sightings()...)
		keys = keys[max(len(keys)-shhome.MaxKeys, 0):]
		if idle++; len(keys) == 0 && idle < idleHomesCalls {
			continue
		}
		idle = 0
		callCtx, cancel := context.WithTimeout(ctx, homesTimeout)
		response, err := e.watcher.ShareHomes(callCtx, shregistry.HomesRequest{
			Region: e.Settings.Region, Keys: keys, Epoch: known.Epoch, Since: known.Last,
		})
		cancel()
		if err != nil {
			e.Log.Warn("homes of keys not learned", "error", err)
			continue
		}
		e.balancer.SetHomes(response.Homes, known.Epoch != "" && known.Epoch != response.Epoch)
		known, keys = response, nil
	}
}
