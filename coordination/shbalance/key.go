package shbalance

import (
	"math"
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

// key is an object that requests are about.
type key struct {
	name string
	hash uint64
	// paid is what count requests have lost since the last investment, or since
	// the first one.
	paid  float64
	count int
	since time.Time
}

// shouldInvest reports whether the requests have lost enough, or come so often
// that they soon will have, for one of them to make an anchor warm.
func (k *key) shouldInvest(now time.Time) bool {
	if k.paid >= investAfter {
		return true
	}
	age := now.Sub(k.since)
	return k.count >= investLeast && age > 0 && k.paid*float64(investHorizon)/float64(age) >= investAfter
}

// pay accounts for what a choice loses beyond that of a warm and idle backend
// server in the own failure domain. Losses by cold runs are not paid again.
func (k *key) pay(now time.Time, c Choice, least float64) {
	switch {
	case c.invest || k.since.IsZero():
		k.paid, k.count, k.since = 0, 0, now
	case c.Warm || c.home:
		k.paid += max(c.loss-least, 0)
		k.count++
	}
}

// key returns the key of a request.
func (b *Balancer) key(r Request) *key {
	space := keySpace{route: r.Route.Name, service: r.Service}
	set := b.keys[space]
	if set == nil || len(set) > maxKeys {
		set = map[string]*key{}
		b.keys[space] = set
	}
	k := set[r.Key]
	if k == nil {
		k = &key{name: r.Route.Name + " " + r.Key}
		k.hash = xxhash.Sum64String(k.name)
		set[r.Key] = k
	}
	return k
}

// anchors are the backend servers that hashing names for a key. All entry VMs of
// a region name the same ones.
type anchors struct {
	homes []*node
	// backup comes after the homes, nil if there is none.
	backup *node
}

// anchor returns the anchors of a key among the backend servers that may be used.
func (b *Balancer) anchor(nodes []*node, hash uint64) anchors {
	region := b.host(nodes, hash)
	copies := 1
	if region == b.place.Region && len(b.entries) >= manyEntries {
		copies = homesOfMany
	}
	var a anchors
	var zones []shmodel.FailureDomain
	for range copies {
		home := first(nodes, hash, func(n *node) bool {
			return n.region == region && !slices.Contains(zones, n.backend.Zone)
		})
		if home == nil {
			break
		}
		a.homes = append(a.homes, home)
		zones = append(zones, home.backend.Zone)
	}
	a.backup = first(nodes, hash, func(n *node) bool { return n.region == region && !slices.Contains(a.homes, n) })
	return a
}

// host returns the region whose backend servers a key is spread over: the own
// one, unless it has less than its share of the slots. Then it keeps that part of
// the keys, and the others go to the regions that have more than theirs.
func (b *Balancer) host(nodes []*node, hash uint64) shmodel.Region {
	slots := map[shmodel.Region]float64{}
	total := 0.0
	for _, n := range nodes {
		slots[n.region] += float64(n.backend.Slots)
		total += float64(n.backend.Slots)
	}
	fair := total / float64(max(len(slots), 1))
	if own := slots[b.place.Region]; own > 0 && unit(mix(hash, hostSalt))*fair <= own {
		return b.place.Region
	}
	var host shmodel.Region
	best := math.Inf(-1)
	for region, n := range slots {
		if region == b.place.Region {
			continue
		}
		spare := max(n-fair, leastSpare*fair)
		rank := -spare / math.Log(unit(mix(hash, xxhash.Sum64String(string(region)))))
		if rank > best {
			host, best = region, rank
		}
	}
	return host
}

// first returns the backend server that comes first in the order of hashing, nil
// if none is eligible.
func first(nodes []*node, hash uint64, eligible func(*node) bool) *node {
	var best *node
	for _, n := range nodes {
		if eligible(n) && prefers(hash, n, best) {
			best = n
		}
	}
	return best
}

// prefers reports whether a node comes before another one, which may be nil, in
// the order of hashing.
func prefers(hash uint64, n, other *node) bool {
	return other == nil || mix(hash, n.hash) > mix(hash, other.hash)
}

// unit maps a hash to the numbers between 0 and 1.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix combines two hashes for rendezvous hashing.
func mix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
