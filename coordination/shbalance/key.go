package shbalance

import (
	"math"
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

// anchors are the backend servers that rendezvous hashing names for a key, nil
// if there is none to use.
type anchors struct {
	// home and backup are the first two of all.
	home, backup *node
	// inRegion and inZone are the first in the place of the entry VM.
	inRegion, inZone *node
}

func (a anchors) includes(n *node) bool {
	return n == a.home || n == a.backup || n == a.inRegion || n == a.inZone
}

func (b *Balancer) anchor(nodes []*node, hash uint64) anchors {
	var a anchors
	for _, n := range nodes {
		if n.region == b.place.Region && prefers(hash, n, a.inRegion) {
			a.inRegion = n
		}
		if n.backend.Zone == b.place.Zone && prefers(hash, n, a.inZone) {
			a.inZone = n
		}
		switch {
		case b.ranks(hash, n, a.home):
			a.home, a.backup = n, a.home
		case b.ranks(hash, n, a.backup):
			a.backup = n
		}
	}
	return a
}

// prefers reports whether a node comes before another one, which may be nil, in
// the order of hashing.
func prefers(hash uint64, n, other *node) bool {
	return other == nil || mix(hash, n.hash) > mix(hash, other.hash)
}

// ranks is prefers with the backend servers of the own region nearWeight times
// as likely to come first as others.
func (b *Balancer) ranks(hash uint64, n, other *node) bool {
	return other == nil || b.rank(hash, n) > b.rank(hash, other)
}

func (b *Balancer) rank(hash uint64, n *node) float64 {
	u := (float64(mix(hash, n.hash)>>11) + 1) / (1 << 53)
	weight := 1.0
	if n.region == b.place.Region {
		weight = nearWeight
	}
	return -weight / math.Log(u)
}
