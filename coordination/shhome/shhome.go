// Package shhome decides in which region each key has its backend servers, for all
// entry VMs of a fleet.
//
// # Model
//
// Backend servers answer faster for keys that they handled recently, and most requests
// for a key come from callers of one region. If callers move, entry VMs of another
// region get requests for keys that they do not know. Sent to backend servers there,
// they run cold, although others are warm.
//
// The leader of the control VMs keeps a Table: the region that reported a key first is
// its home. Entry VMs report the keys that they see, learn the homes of the others, and
// choose the backend servers of a key as an entry VM of its home does. While a key has
// no home, an entry VM takes its own region.
//
// The Table is soft state. Entry VMs report a key again every RefreshInterval while
// they see it; without a report from its home for HomeLifetime the next region that
// reports the key becomes its home. A new leader starts empty, under another Epoch:
// entry VMs then report everything again, with the homes that they know, so that homes
// stay as they are.
package shhome

import (
	"sort"
	"time"

	"sequoiahollow/coordination/shfair"
	"sequoiahollow/state/shmodel"
)

const (
	// RefreshInterval is the time after which an entry VM reports a key again.
	RefreshInterval = 20 * time.Second
	// HomeLifetime is the time without a report from its home after which a key may get
	// another one: two lost reports.
	HomeLifetime = 60 * time.Second
	// MaxKeys bounds the keys of a Table. The example deployments have up to 1,500.
	MaxKeys = 16384
)

// Key is a key of a route.
type Key struct {
	Route string `json:"r"`
	Name  string `json:"k"`
}

// Home is the region of a key. In a report it is empty if the entry VM knows none.
type Home struct {
	Key
	Region shmodel.Region `json:"h,omitempty"`
}

// Table holds the homes. The zero value is an empty table. It is not safe for
// concurrent use.
type Table struct {
	homes shfair.Map[string, Key, *entry] // by route
	// changes are the homes in the order in which they were set. Outdated ones are
	// removed now and then.
	changes []change
	next    uint64
	// sweptAt is the time of the last removal of expired homes.
	sweptAt time.Time
}

type entry struct {
	region   shmodel.Region
	sequence uint64
	// seen is the time of the last report from the home.
	seen time.Time
}

type change struct {
	sequence uint64
	key      Key
}

// Report records the keys that an entry VM of a region has seen.
func (t *Table) Report(now time.Time, region shmodel.Region, keys []Home) {
	t.homes.Max = MaxKeys
	for _, k := range keys {
		e, ok := t.homes.Get(k.Key)
		switch {
		case !ok:
			t.add(now, region, k)
		case e.region == region:
			e.seen = now
			t.homes.Put(k.Route, k.Key, e)
		case now.Sub(e.seen) > HomeLifetime:
			t.set(now, k.Key, region)
		}
	}
}

// add gives a key that was not known a home, if there is room for it. Beyond MaxKeys the
// key of another route makes room if that one has more, so that a route with very many
// keys does not leave others without homes. Keys of the same route do not: each one would
// move as soon as another one is seen.
func (t *Table) add(now time.Time, region shmodel.Region, k Home) {
	if t.homes.Len() >= MaxKeys {
		t.removeExpired(now)
	}
	if t.homes.Len() >= MaxKeys && t.homes.LargestLen() <= t.homes.GroupLen(k.Route)+1 {
		return
	}
	if k.Region != "" {
		region = k.Region
	}
	t.set(now, k.Key, region)
}

func (t *Table) set(now time.Time, k Key, region shmodel.Region) {
	t.next++
	t.homes.Put(k.Route, k, &entry{region: region, sequence: t.next, seen: now})
	t.changes = append(t.changes, change{t.next, k})
	if len(t.changes) > 2*t.homes.Len() {
		t.compact()
	}
}

// compact removes the changes that are outdated.
func (t *Table) compact() {
	kept := t.changes[:0]
	for _, c := range t.changes {
		if e, ok := t.homes.Get(c.key); ok && e.sequence == c.sequence {
			kept = append(kept, c)
		}
	}
	t.changes = kept
}

func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.sweptAt) < RefreshInterval {
		return
	}
	t.sweptAt = now
	for k, e := range t.homes.All() {
		if now.Sub(e.seen) > HomeLifetime {
			t.homes.Delete(k)
		}
	}
	t.compact()
}

// Since returns the homes that were set after a sequence number, and the number of the
// last one.
func (t *Table) Since(sequence uint64) ([]Home, uint64) {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].sequence > sequence })
	var homes []Home
	for _, c := range t.changes[first:] {
		if e, ok := t.homes.Get(c.key); ok && e.sequence == c.sequence {
			homes = append(homes, Home{c.key, e.region})
		}
	}
	return homes, t.next
}

// Len returns the number of keys with a home.
func (t *Table) Len() int { return t.homes.Len() }
