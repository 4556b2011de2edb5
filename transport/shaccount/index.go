package shaccount

import (
	"cmp"
	"maps"
	"slices"

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

// index finds records by identity and lists them in the order of export. Its
// zero value is empty. It is not safe for concurrent use.
type index struct {
	chunks map[uint64]map[key]entry
	// order holds the numbers of all chunks, ascending.
	order []uint64
	// names and numbers map VMs to numbers and back, so that a key holds no
	// string.
	names   []shmodel.VM
	numbers map[shmodel.VM]uint16
	size    int
}

func contentHash(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

func (x *index) number(vm shmodel.VM) uint16 {
	n, ok := x.numbers[vm]
	if !ok {
		if x.numbers == nil {
			x.numbers = make(map[shmodel.VM]uint16)
		}
		n = uint16(len(x.names))
		x.numbers[vm] = n
		x.names = append(x.names, vm)
	}
	return n
}

func (x *index) key(id shrecord.Identity, content uint64) key {
	return key{request: id.RequestID, content: content, attempt: id.Attempt, vm: x.number(id.VM), rank: id.Kind.Rank()}
}

func (x *index) identity(k key) shrecord.Identity {
	return shrecord.Identity{RequestID: k.request, Kind: shrecord.KindOfRank(k.rank), Attempt: k.attempt, VM: x.names[k.vm]}
}

func (x *index) has(k key) bool {
	_, ok := x.chunks[uint64(k.request)/chunkIDs][k]
	return ok
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

func (x *index) compare(k key, c Cursor) int {
	return cmp.Or(x.identity(k).Compare(c.Identity), cmp.Compare(k.content, c.Content))
}

// page returns up to limit keys after the cursor within the bounds of request.
func (x *index) page(request ReadRequest, limit int) []key {
	first := max(request.First, request.After.Identity.RequestID)
	at, _ := slices.BinarySearch(x.order, uint64(first)/chunkIDs)
	var page []key
	for ; at < len(x.order) && len(page) < limit; at++ {
		n := x.order[at]
		if request.Last != 0 && n*chunkIDs > uint64(request.Last) {
			break
		}
		page = append(page, x.sortedKeys(n, request)...)
	}
	return page[:min(len(page), limit)]
}

// sortedKeys returns the keys of one chunk that request selects, in the order of
// export.
func (x *index) sortedKeys(chunk uint64, request ReadRequest) []key {
	keys := slices.Collect(maps.Keys(x.chunks[chunk]))
	keys = slices.DeleteFunc(keys, func(k key) bool {
		return k.request < request.First || request.Last != 0 && k.request > request.Last ||
			x.compare(k, request.After) <= 0
	})
	slices.SortFunc(keys, func(a, b key) int {
		return x.compare(a, Cursor{Identity: x.identity(b), Content: b.content})
	})
	return keys
}
