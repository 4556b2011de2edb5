package shbalance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/state/shmodel"
)

// keySpace identifies a set of keys: those of a route at a service.
type keySpace struct {
	route   string
	service shmodel.Service
}

type keyID struct {
	space keySpace
	name  string
}

// key is the state kept for the requests with one key.
type key struct {
	name string
	hash uint64
	// home is the region that has the primaries of the key, if that is known.
	home shmodel.Region
	// reportedAt is the time at which Sightings last returned the key.
	reportedAt time.Time
	// extraLoss is what requests have lost, beyond the least loss possible, since
	// the backup was last warmed, or since the first request.
	extraLoss float64
	requests  int
	since     time.Time
}

// shouldWarmBackup reports whether the requests have lost enough for one of them
// to warm the backup, or come so often that they will have within
// warmBackupHorizon.
func (k *key) shouldWarmBackup(now time.Time) bool {
	if k.extraLoss >= warmBackupLoss {
		return true
	}
	age := now.Sub(k.since)
	return k.requests >= warmBackupMinRequests && age > 0 && k.extraLoss*float64(warmBackupHorizon)/float64(age) >= warmBackupLoss
}

// addLoss adds what a choice loses beyond least, the loss of a warm and idle
// backend server in the own failure domain. Cold runs away from the primaries are
// not counted, since a cold run loses only once.
func (k *key) addLoss(now time.Time, c Choice, least float64) {
	switch {
	case c.warmsBackup || k.since.IsZero():
		k.extraLoss, k.requests, k.since = 0, 0, now
	case c.Warm || c.primary:
		k.extraLoss += max(c.loss-least, 0)
		k.requests++
	}
}

// key returns the key of a request. Beyond maxKeys the one that was used longest ago is
// forgotten, of the route that has the most.
func (b *Balancer) key(r Request) *key {
	id := keyIDOf(r)
	k, ok := b.keys.Get(id)
	if !ok {
		k = &key{name: r.Route.Name + " " + r.Key}
		k.hash = xxhash.Sum64String(k.name)
		k.home, _ = b.homes.Get(shhome.Key{Route: r.Route.Name, Name: r.Key})
	}
	b.keys.Put(id.space, id, k)
	return k
}

func keyIDOf(r Request) keyID {
	return keyID{keySpace{route: r.Route.Name, service: r.Service}, r.Key}
}

// preferredBackends are the backend servers that rendezvous hashing names for a
// key. All entry VMs of a region name the same ones.
type preferredBackends struct {
	primaries []*backendState
	// backup is the next after the primaries in the order of rendezvous hashing,
	// nil if there is none.
	backup *backendState
}

// preferred returns the primaries and the backup of a key among the backend
// servers that may be used.
func (b *Balancer) preferred(backends []*backendState, k *key) preferredBackends {
	hash, home := k.hash, b.place.Region
	if k.home != "" {
		home = k.home
	}
	region := keyRegion(backends, hash, home)
	copies := 1
	if region == home && len(b.entries) >= largeFleetEntries {
		copies = largeFleetPrimaries
	}
	var p preferredBackends
	var zones []shmodel.FailureDomain
	for range copies {
		primary := highestRanked(backends, hash, func(n *backendState) bool {
			return n.region == region && !slices.Contains(zones, n.backend.Zone)
		})
		if primary == nil {
			break
		}
		p.primaries = append(p.primaries, primary)
		zones = append(zones, primary.backend.Zone)
		if b.uploads && b.loadsShared && primary.backend.Slots >= manySlots {
			break
		}
	}
	p.backup = highestRanked(backends, hash, func(n *backendState) bool { return n.region == region && !slices.Contains(p.primaries, n) })
	return p
}

// keyRegion returns the region in which a key has its primaries and its backup: its
// home, if that has at least an equal share of the slots. Otherwise that region keeps
// only a part of its keys (half of them if it has half of an equal share), and the
// others go to the regions that have more than an equal share.
func keyRegion(backends []*backendState, hash uint64, home shmodel.Region) shmodel.Region {
	slots := map[shmodel.Region]float64{}
	total := 0.0
	for _, n := range backends {
		slots[n.region] += float64(n.backend.Slots)
		total += float64(n.backend.Slots)
	}
	fair := total / float64(max(len(slots), 1))
	if own := slots[home]; own > 0 && unitInterval(mix(hash, keyRegionSalt))*fair <= own {
		return home
	}
	var chosen shmodel.Region
	best := math.Inf(-1)
	for region, n := range slots {
		if region == home {
			continue
		}
		spare := max(n-fair, minSpareShare*fair)
		rank := -spare / math.Log(unitInterval(mix(hash, xxhash.Sum64String(string(region)))))
		if rank > best {
			chosen, best = region, rank
		}
	}
	return chosen
}

// highestRanked returns the first eligible backend server in the order of
// rendezvous hashing, nil if none is eligible.
func highestRanked(backends []*backendState, hash uint64, eligible func(*backendState) bool) *backendState {
	var best *backendState
	for _, n := range backends {
		if eligible(n) && ranksBefore(hash, n, best) {
			best = n
		}
	}
	return best
}

// ranksBefore reports whether n comes before other, which may be nil, in the
// order of rendezvous hashing.
func ranksBefore(hash uint64, n, other *backendState) bool {
	return other == nil || mix(hash, n.hash) > mix(hash, other.hash)
}

// unitInterval maps a hash to a number between 0 and 1, both excluded.
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix combines two hashes for rendezvous hashing.
func mix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
