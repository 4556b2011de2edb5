package shcontrol

import (
	"container/list"
	"encoding/json"
	"time"
)

// agingMap is a map that keeps its entries in the order of their last change,
// so that the oldest ones are found without a search. The zero value is empty.
type agingMap[K comparable, V any] struct {
	entries map[K]*list.Element
	// order is a pointer because a list.List must not be copied.
	order *list.List
}

// agingEntry is one entry of an agingMap.
type agingEntry[K comparable, V any] struct {
	Key       K         `json:"key"`
	Value     V         `json:"value"`
	ChangedAt time.Time `json:"changedAt"`
}

func (m *agingMap[K, V]) size() int { return len(m.entries) }

func (m *agingMap[K, V]) get(key K) (V, bool) {
	e := m.entries[key]
	if e == nil {
		var none V
		return none, false
	}
	return e.Value.(agingEntry[K, V]).Value, true
}

// put stores a value and makes its entry the newest.
func (m *agingMap[K, V]) put(at time.Time, key K, value V) {
	m.remove(key)
	if m.entries == nil {
		m.entries = map[K]*list.Element{}
		m.order = list.New()
	}
	m.entries[key] = m.order.PushBack(agingEntry[K, V]{Key: key, Value: value, ChangedAt: at})
}

func (m *agingMap[K, V]) remove(key K) {
	e := m.entries[key]
	if e == nil {
		return
	}
	m.order.Remove(e)
	delete(m.entries, key)
}

func (m *agingMap[K, V]) oldest() (agingEntry[K, V], bool) {
	if m.size() == 0 {
		return agingEntry[K, V]{}, false
	}
	return m.order.Front().Value.(agingEntry[K, V]), true
}

// popExpired removes and returns the oldest entry if it is at least age old.
func (m *agingMap[K, V]) popExpired(at time.Time, age time.Duration) (agingEntry[K, V], bool) {
	e, ok := m.oldest()
	if !ok || at.Sub(e.ChangedAt) < age {
		return agingEntry[K, V]{}, false
	}
	m.remove(e.Key)
	return e, true
}

// MarshalJSON writes the entries from the oldest to the newest.
func (m *agingMap[K, V]) MarshalJSON() ([]byte, error) {
	entries := make([]agingEntry[K, V], 0, m.size())
	if m.size() == 0 {
		return json.Marshal(entries)
	}
	for e := m.order.Front(); e != nil; e = e.Next() {
		entries = append(entries, e.Value.(agingEntry[K, V]))
	}
	return json.Marshal(entries)
}

// UnmarshalJSON replaces the entries.
func (m *agingMap[K, V]) UnmarshalJSON(data []byte) error {
	var entries []agingEntry[K, V]
	if err := decodeStrict(data, &entries); err != nil {
		return err
	}
	*m = agingMap[K, V]{}
	for _, e := range entries {
		m.put(e.ChangedAt, e.Key, e.Value)
	}
	return nil
}
