package shrecord

import (
	"container/heap"
	"iter"
	"slices"
)

// Merged is a record and the number of sources that hold it.
type Merged struct {
	Record
	Copies int
}

// Merge merges sources that are each in the order of Identity.Compare. Equal
// copies become one record. Copies with the same identity and different
// content contradict each other; all of them are yielded, in the order of
// their content, so that Export and Verify can report them. Memory use is
// bounded by the number of sources. The first error ends the sequence.
func Merge(sources ...iter.Seq2[Record, error]) iter.Seq2[Merged, error] {
	return func(yield func(Merged, error) bool) {
		m := &merger{}
		defer m.stop()
		for _, s := range sources {
			if err := m.addSource(s); err != nil {
				yield(Merged{}, err)
				return
			}
		}
		for len(m.heads) > 0 {
			group, err := m.group()
			if err != nil {
				yield(Merged{}, err)
				return
			}
			for _, r := range group {
				if !yield(r, nil) {
					return
				}
			}
		}
	}
}

// head is the next record of one source and the function that reads the record
// after it.
type head struct {
	record Record
	next   func() (Record, error, bool)
}

// merger is a heap of the heads of all sources.
type merger struct {
	heads []*head
	stops []func()
}

// Len implements heap.Interface.
func (m *merger) Len() int { return len(m.heads) }

// Less implements heap.Interface.
func (m *merger) Less(i, j int) bool {
	return m.heads[i].record.Identity().Compare(m.heads[j].record.Identity()) < 0
}

// Swap implements heap.Interface.
func (m *merger) Swap(i, j int) { m.heads[i], m.heads[j] = m.heads[j], m.heads[i] }

// Push implements heap.Interface.
func (m *merger) Push(x any) { m.heads = append(m.heads, x.(*head)) }

// Pop implements heap.Interface.
func (m *merger) Pop() any {
	last := m.heads[len(m.heads)-1]
	m.heads = m.heads[:len(m.heads)-1]
	return last
}

func (m *merger) stop() {
	for _, f := range m.stops {
		f()
	}
}

func (m *merger) addSource(source iter.Seq2[Record, error]) error {
	next, stop := iter.Pull2(source)
	m.stops = append(m.stops, stop)
	r, err, ok := next()
	if !ok {
		return nil
	}
	if err != nil {
		return err
	}
	heap.Push(m, &head{record: r, next: next})
	return nil
}

// group removes all copies with the lowest identity and returns the distinct
// ones.
func (m *merger) group() ([]Merged, error) {
	id := m.heads[0].record.Identity()
	var group []Merged
	for len(m.heads) > 0 && m.heads[0].record.Identity() == id {
		group = addCopy(group, m.heads[0].record)
		if err := m.advance(); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(group, func(a, b Merged) int { return compareContent(a.Record, b.Record) })
	return group, nil
}

func addCopy(group []Merged, r Record) []Merged {
	for i := range group {
		if compareContent(group[i].Record, r) == 0 {
			group[i].Copies++
			return group
		}
	}
	return append(group, Merged{Record: r, Copies: 1})
}

// advance moves the source with the lowest record to its next record.
func (m *merger) advance() error {
	h := m.heads[0]
	r, err, ok := h.next()
	if !ok {
		heap.Pop(m)
		return nil
	}
	if err != nil {
		return err
	}
	if r.Identity().Compare(h.record.Identity()) < 0 {
		return ErrUnsorted.Errorf("%v follows %v", r.RequestID, h.record.RequestID)
	}
	h.record = r
	heap.Fix(m, 0)
	return nil
}
