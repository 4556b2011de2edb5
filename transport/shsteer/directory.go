package shsteer

import (
	"context"
	"sync"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shspread"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shleader"
)

// Directory tells callers which entry VMs to use. An entry VM and a control VM have one;
// it is safe for concurrent use.
type Directory struct {
	// CacheSeconds is how long callers may use an answer.
	CacheSeconds float64

	mu     sync.Mutex
	spread shspread.Spread
	stay   bool
}

// Addresses returns the addresses of the entry VMs that a caller in a region and failure
// domain should use: the ready ones of its failure domain, else of its region, else all
// ready ones. If their links are short, some of other failure domains are added, and of
// other regions unless the routing table binds routes to regions.
func (d *Directory) Addresses(region shmodel.Region, zone shmodel.FailureDomain) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spread.Addresses(region, zone, d.stay)
}

func (d *Directory) setEntries(entries []shfleet.Entry, stay bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spread.SetEntries(entries)
	d.stay = stay
}

func (d *Directory) updateDelays(delays map[shmodel.VM]shfleet.Millis) {
	list := make(map[shmodel.VM]time.Duration, len(delays))
	for vm, delay := range delays {
		list[vm] = delay.Duration()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spread.Update(list)
}

// followEntries keeps the directory of a control VM up to date. While the registry is
// closed or the leader cannot be reached, what is known stays in use.
func (c *Control) followEntries(ctx context.Context) {
	for ctx.Err() == nil {
		shleader.Pause(ctx, shareInterval)
		r := c.Registry()
		if r == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		entries, delays, err := r.EntryVMs(callCtx)
		cancel()
		c.directory.setEntries(entries, r.HasBoundRoutes())
		if err != nil {
			c.Log.Debug("delays of entry VMs not learned", "error", err)
			continue
		}
		c.directory.updateDelays(delays)
	}
}
