package shbalance

import (
	"fmt"
	"maps"
)

// Snapshot returns all state that requests may change, as text.
func (b *Balancer) Snapshot() string {
	type content struct {
		backends, routes, trips, zones, keys map[string]string
	}
	c := content{map[string]string{}, map[string]string{}, map[string]string{}, map[string]string{}, map[string]string{}}
	for id, n := range b.backends {
		c.backends[string(id)] = fmt.Sprintf("%+v", *n)
	}
	for name, t := range b.routes.All() {
		c.routes[name] = fmt.Sprintf("%+v", *t)
	}
	for name, t := range b.roundTrips {
		c.trips[string(name)] = fmt.Sprintf("%+v", *t)
	}
	for name, z := range b.zones {
		c.zones[string(name)] = fmt.Sprintf("%+v", *z)
	}
	for id, k := range b.keys.All() {
		c.keys[fmt.Sprint(id)] = fmt.Sprintf("%+v", *k)
	}
	return fmt.Sprintf("%+v %v %v %v", c, maps.Collect(b.homes.All()), b.sightings, maps.Collect(b.absent.All()))
}
