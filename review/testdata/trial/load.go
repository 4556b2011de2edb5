package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// answered is called with what became of a request.
type answered func(q request, entry string, status int, err error)

// load sends requests at a rate per second, each on a new connection to an entry VM that
// the directory names for the zone of the client, until ctx ends.
func (f *fleet) load(ctx context.Context, perSecond float64, next func(i int) request, done answered) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	caches := make([]addressCache, len(zones))
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		zone := i % len(zones)
		addresses := caches[zone].get(ctx, f, zones[zone])
		if len(addresses) == 0 {
			continue
		}
		q := next(i)
		q.id = newID()
		go func() {
			address := addresses[rand.IntN(len(addresses))]
			f.record.add("send %s %s %s to %s", q.id, q.method, q.path, address)
			status, _, _, err := q.send(ctx, address)
			if ctx.Err() != nil {
				return
			}
			f.record.add("answer %s: status %d, error %v", q.id, status, err)
			if done != nil {
				done(q, address, status, err)
			}
		}()
	}
}

// addressCache keeps an answer of the directory for a second.
type addressCache struct {
	at        time.Time
	addresses []string
}

func (c *addressCache) get(ctx context.Context, f *fleet, zone string) []string {
	if time.Since(c.at) < time.Second {
		return c.addresses
	}
	for _, m := range f.entries {
		if regionOf[m.zone] != regionOf[zone] && len(c.addresses) > 0 {
			continue
		}
		if list, err := resolve(ctx, m, zone); err == nil {
			c.addresses, c.at = list, time.Now()
			break
		}
	}
	return c.addresses
}
