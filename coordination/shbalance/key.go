package shbalance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/state/shmodel"
)

// keySpace is a set of keys that are spread together.
type keySpace struct {
	route   string
	service shmodel.Service
}

// keySet is the keys of a route that were seen at this VM.
type keySet struct {
	keys map[string]*key
}

// key is an object that requests are about.
type key struct {
	name string
	hash uint64
	// home, near and backup are its anchors, nil without a backend server to use.
	home, backup, inRegion, inZone *node
	// generation is that of the backend servers when the anchors were chosen.
	generation uint64
	// paid is what its requests have lost since the last investment.
	paid float64
}

func (k *key) isAnchor(n *node) bool {
	return n == k.home || n == k.backup || n == k.inRegion || n == k.inZone
}

// pay accounts for what a choice loses beyond that of a warm and idle backend
// server in the own failure domain. Losses by cold runs are not paid again.
func (k *key) pay(c Choice, least float64) {
	switch {
	case c.invest:
		k.paid = 0
	case c.Warm || c.home:
		k.paid += max(c.loss-least, 0)
	}
}

// key returns the key of a request with its anchors.
func (b *Balancer) key(now time.Time, r Request) *key {
	space := keySpace{route: r.Route.Name, service: r.Service}
	set := b.keys[space]
	if set == nil || len(set.keys) > maxKeys {
		set = &keySet{keys: map[string]*key{}}
		b.keys[space] = set
	}
	k := set.keys[r.Key]
	if k == nil {
		k = &key{name: r.Route.Name + " " + r.Key}
		k.hash = xxhash.Sum64String(k.name)
		set.keys[r.Key] = k
	}
	if k.generation != b.generation {
		b.anchor(now, k, r)
		k.generation = b.generation
	}
	return k
}

// anchor chooses the anchors of a key.
func (b *Balancer) anchor(now time.Time, k *key, r Request) {
	k.home, k.backup, k.inRegion, k.inZone = nil, nil, nil, nil
	for _, n := range b.services[r.Service] {
		if n.backend.Leaving || b.evacuated[n.backend.Zone] || n.isCold(now) {
			continue
		}
		if len(r.Route.Regions) > 0 && !slices.Contains(r.Route.Regions, n.region) {
			continue
		}
		if n.region == b.place.Region && k.prefers(n, k.inRegion) {
			k.inRegion = n
		}
		if n.backend.Zone == b.place.Zone && k.prefers(n, k.inZone) {
			k.inZone = n
		}
		switch {
		case k.prefers(n, k.home):
			k.home, k.backup = n, k.home
		case k.prefers(n, k.backup):
			k.backup = n
		}
	}
}

// prefers reports whether a node comes before another one, which may be nil, in
// the order of hashing.
func (k *key) prefers(n, other *node) bool {
	return other == nil || mix(k.hash, n.hash) > mix(k.hash, other.hash)
}
