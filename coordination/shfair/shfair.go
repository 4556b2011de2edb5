// Package shfair bounds what is learned from traffic so that one source of it does not
// push out what was learned from another.
//
// # Model
//
// A Map has entries that belong to groups, such as services. Beyond its bound it drops
// the oldest entry of the group that has the most. A group thus loses entries only while
// no other has more, and those that were put longest ago go first.
//
// # Use
//
// Set Max before the first Put. Put an entry again to keep it longer.
package shfair

import (
	"container/list"
	"iter"
)

// Map is a bounded map. The zero value is an empty map without a bound. A Map is not safe
// for concurrent use.
type Map[G, K comparable, V any] struct {
	// Max is the largest number of entries, zero for no bound.
	Max int

	entries map[K]*list.Element
	groups  map[G]*list.List // of *entry, the oldest first
}

type entry[G, K comparable, V any] struct {
	group G
	key   K
	value V
}

// Put sets the value of a key as the newest of a group. It returns the value that was
// dropped to stay within Max, if any.
func (m *Map[G, K, V]) Put(g G, k K, v V) (dropped V, ok bool) {
	if m.entries == nil {
		m.entries, m.groups = map[K]*list.Element{}, map[G]*list.List{}
	}
	l := m.groups[g]
	if e, known := m.entries[k]; known {
		if old := e.Value.(*entry[G, K, V]); old.group == g {
			old.value = v
			l.MoveToBack(e)
			return dropped, false
		}
		m.Delete(k)
	}
	if l == nil {
		l = list.New()
		m.groups[g] = l
	}
	m.entries[k] = l.PushBack(&entry[G, K, V]{g, k, v})
	if m.Max <= 0 || len(m.entries) <= m.Max {
		return dropped, false
	}
	// The new entry is counted: a group that is already the largest drops its own.
	largest := l
	for _, other := range m.groups {
		if other.Len() > largest.Len() {
			largest = other
		}
	}
	oldest := largest.Front().Value.(*entry[G, K, V])
	m.Delete(oldest.key)
	return oldest.value, true
}

// Get returns the value of a key.
func (m *Map[G, K, V]) Get(k K) (V, bool) {
	if e, ok := m.entries[k]; ok {
		return e.Value.(*entry[G, K, V]).value, true
	}
	var none V
	return none, false
}

// Oldest returns the key of a group that was put longest ago, and its value.
func (m *Map[G, K, V]) Oldest(g G) (k K, v V, ok bool) {
	l := m.groups[g]
	if l == nil {
		return k, v, false
	}
	e := l.Front().Value.(*entry[G, K, V])
	return e.key, e.value, true
}

// Delete removes a key.
func (m *Map[G, K, V]) Delete(k K) {
	e, ok := m.entries[k]
	if !ok {
		return
	}
	delete(m.entries, k)
	g := e.Value.(*entry[G, K, V]).group
	if l := m.groups[g]; l.Len() > 1 {
		l.Remove(e)
	} else {
		delete(m.groups, g)
	}
}

// Len returns the number of entries.
func (m *Map[G, K, V]) Len() int { return len(m.entries) }

// GroupLen returns the number of entries of a group.
func (m *Map[G, K, V]) GroupLen(g G) int {
	if l := m.groups[g]; l != nil {
		return l.Len()
	}
	return 0
}

// LargestLen returns the number of entries of the group that has the most.
func (m *Map[G, K, V]) LargestLen() int {
	largest := 0
	for _, l := range m.groups {
		largest = max(largest, l.Len())
	}
	return largest
}

// All returns the entries in no order. Entries may be deleted meanwhile.
func (m *Map[G, K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for k, e := range m.entries {
			if !yield(k, e.Value.(*entry[G, K, V]).value) {
				return
			}
		}
	}
}
