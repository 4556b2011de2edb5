package shaccount

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount/internal/shsegment"
)

// key identifies a stored record and its content. Records with the same identity
// and different content are all kept, so that the export shows the
// contradiction.
type key struct {
	request shmodel.RequestID
	content uint64
	attempt uint32
	vm      uint16
	rank    uint8
}

// entry tells where a record is stored: in memory if record is set, otherwise at
// location in the log.
type entry struct {
	location shsegment.Location
	record   *shrecord.Record
}

// chunkIDs is the number of request IDs per chunk. Request IDs are dense, so a
// page reads few chunks, and only those are sorted.
const chunkIDs = 1024

// index finds records by key. Its zero value is empty. It is not safe for concurrent
// use.
type index struct {
	// segment is the number of the segment that has the records, if the store has a
	// data folder.
	segment uint32
	chunks  map[uint64]map[key]entry
	// order holds the numbers of all chunks, ascending.
	order []uint64
	size  int
}

// vmTable maps VMs to numbers and back, so that a key holds no string. Its zero
// value is empty. It is safe for concurrent use.
type vmTable struct {
	mu      sync.RWMutex
	names   []shmodel.VM
	numbers map[shmodel.VM]uint16
}

// vmNames are the VMs of a vmTable by number.
type vmNames []shmodel.VM

func contentHash(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

func (t *vmTable) number(vm shmodel.VM) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.numbers[vm]
	if !ok {
		if t.numbers == nil {
			t.numbers = make(map[shmodel.VM]uint16)
		}
		n = uint16(len(t.names))
		t.numbers[vm] = n
		t.names = append(t.names, vm)
	}
	return n
}

// all returns the VMs so far.
func (t *vmTable) all() vmNames {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.names[:len(t.names):len(t.names)]
}

func (t *vmTable) key(id shrecord.Identity, content uint64) key {
	return key{request: id.RequestID, content: content, attempt: id.Attempt, vm: t.number(id.VM), rank: id.Kind.Rank()}
}

func (n vmNames) identity(k key) shrecord.Identity {
	return shrecord.Identity{RequestID: k.request, Kind: shrecord.KindOfRank(k.rank), Attempt: k.attempt, VM: n[k.vm]}
}

func (n vmNames) compare(k key, c Cursor) int {
	return cmp.Or(n.identity(k).Compare(c.Identity), cmp.Compare(k.content, c.Content))
}

// sort sorts keys in the order of export.
func (n vmNames) sort(keys []key) {
	slices.SortFunc(keys, func(a, b key) int {
		if a.request != b.request {
			return cmp.Compare(a.request, b.request)
		}
		return n.compare(a, Cursor{Identity: n.identity(b), Content: b.content})
	})
}

func (x *index) get(k key) (entry, bool) {
	e, ok := x.chunks[uint64(k.request)/chunkIDs][k]
	return e, ok
}

func (x *index) put(k key, e entry) {
	n := uint64(k.request) / chunkIDs
	c, ok := x.chunks[n]
	if !ok {
		if x.chunks == nil {
			x.chunks = make(map[uint64]map[key]entry)
		}
		c = make(map[key]entry)
		x.chunks[n] = c
		at, _ := slices.BinarySearch(x.order, n)
		x.order = slices.Insert(x.order, at, n)
	}
	if _, ok := c[k]; !ok {
		x.size++
	}
	c[k] = e
}

func (x *index) remove(k key) {
	n := uint64(k.request) / chunkIDs
	c := x.chunks[n]
	if _, ok := c[k]; !ok {
		return
	}
	x.size--
	delete(c, k)
	if len(c) > 0 {
		return
	}
	delete(x.chunks, n)
	if at, ok := slices.BinarySearch(x.order, n); ok {
		x.order = slices.Delete(x.order, at, at+1)
	}
}

// next returns the number of the first chunk at or after chunk.
func (x *index) next(chunk uint64) (uint64, bool) {
	at, _ := slices.BinarySearch(x.order, chunk)
	if at == len(x.order) {
		return 0, false
	}
	return x.order[at], true
}

// sorted returns the keys of one chunk in the order of export.
func (x *index) sorted(names vmNames, chunk uint64) []key {
	keys := slices.Collect(maps.Keys(x.chunks[chunk]))
	names.sort(keys)
	return keys
}
