package shbalance

import (
	"time"

	"sequoiahollow/coordination/shhome"
)

// maxSightings bounds the keys that wait for a call of Sightings. Others are reported
// with a later request.
const maxSightings = 4096

// sight notes that a key was requested, so that the homes of keys become known.
func (b *Balancer) sight(now time.Time, r Request, k *key) {
	if !r.Route.Sticky || r.Key == "" || len(b.sightings) >= maxSightings {
		return
	}
	if !k.reportedAt.IsZero() && now.Sub(k.reportedAt) < shhome.RefreshInterval {
		return
	}
	k.reportedAt = now
	b.sightings = append(b.sightings, shhome.Home{Key: shhome.Key{Route: r.Route.Name, Name: r.Key}, Region: k.home})
}

// Sightings returns the keys to report to the table of homes, each once in
// shhome.RefreshInterval.
func (b *Balancer) Sightings() []shhome.Home {
	b.mu.Lock()
	defer b.mu.Unlock()
	sightings := b.sightings
	b.sightings = nil
	return sightings
}

// SetHomes sets the regions of keys. With all set, the table has a new owner, to which
// all keys are reported again.
func (b *Balancer) SetHomes(homes []shhome.Home, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range homes {
		b.homes.Put(h.Route, h.Key, h.Region)
	}
	for id, k := range b.keys.All() {
		if home, ok := b.homes.Get(shhome.Key{Route: id.space.route, Name: id.name}); ok {
			k.home = home
		}
		if all {
			k.reportedAt = time.Time{}
		}
	}
}
