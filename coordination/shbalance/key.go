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

// anchors are the backend servers that rendezvous hashing names for a key.
type anchors struct {
	// homes are the first ones of all, on which the entry VMs of a region agree.
	homes []*node
	// backup follows the homes, nil if there is none.
	backup *node
	// inRegion and inZone are the first in the place of the entry VM, nil if
	// there is none to use.
	inRegion, inZone *node
}

func (a anchors) includes(n *node) bool {
	return n == a.backup || n == a.inRegion || n == a.inZone || slices.Contains(a.homes, n)
}

// anchor returns the anchors of a key among the backend servers that may be used.
func (b *Balancer) anchor(nodes []*node, k *key) anchors {
	var a anchors
	copies := b.copies()
	for _, n := range nodes {
		if n.region == b.place.Region && prefers(k.hash, n, a.inRegion) {
			a.inRegion = n
		}
		if n.backend.Zone == b.place.Zone && prefers(k.hash, n, a.inZone) {
			a.inZone = n
		}
	}
	first := b.first(nodes, k.hash, copies+1)
	if len(first) > copies {
		a.homes, a.backup = first[:copies], first[copies]
	} else {
		a.homes = first
	}
	return a
}

// copies returns the number of homes of a key.
func (b *Balancer) copies() int {
	if len(b.entries) >= manyEntries {
		return homesOfMany
	}
	return 1
}

// first returns the backend servers that come first in the order of hashing.
func (b *Balancer) first(nodes []*node, hash uint64, count int) []*node {
	type ranked struct {
		node *node
		rank float64
	}
	best := make([]ranked, 0, count+1)
	for _, n := range nodes {
		x := ranked{node: n, rank: b.rank(hash, n)}
		i := len(best)
		for i > 0 && best[i-1].rank < x.rank {
			i--
		}
		if i == count {
			continue
		}
		best = slices.Insert(best, i, x)
		best = best[:min(len(best), count)]
	}
	list := make([]*node, len(best))
	for i, x := range best {
		list[i] = x.node
	}
	return list
}

// prefers reports whether a node comes before another one, which may be nil, in
// the order of hashing.
func prefers(hash uint64, n, other *node) bool {
	return other == nil || mix(hash, n.hash) > mix(hash, other.hash)
}

// rank orders backend servers for a key, with those of the own region nearWeight
// times as likely to come first as others.
func (b *Balancer) rank(hash uint64, n *node) float64 {
	u := (float64(mix(hash, n.hash)>>11) + 1) / (1 << 53)
	weight := 1.0
	if n.region == b.place.Region {
		weight = nearWeight
	}
	return -weight / math.Log(u)
}
