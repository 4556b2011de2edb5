package shraft

import (
	"fmt"
	"slices"
)

// raftLog is the part of the log in memory. The entries follow the entry at
// prevIndex, which was dropped and whose term is kept.
type raftLog struct {
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry
}

// newLog combines a snapshot with stored entries. It reports whether the
// entries are superseded by the snapshot and must be dropped from disk.
func newLog(s Snapshot, entries []Entry) (l raftLog, reset bool, err error) {
	l = raftLog{prevIndex: s.Index, prevTerm: s.Term}
	if len(entries) == 0 {
		return l, false, nil
	}
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) {
			return l, false, fmt.Errorf("entry %d where %d was expected", e.Index, entries[0].Index+uint64(i))
		}
	}
	first, last := entries[0], entries[len(entries)-1]
	switch {
	case first.Index > s.Index+1:
		return l, false, fmt.Errorf("entries start at %d and the snapshot ends at %d", first.Index, s.Index)
	case first.Index == s.Index+1:
		l.entries = entries
		return l, false, nil
	case last.Index < s.Index, entries[s.Index-first.Index].Term != s.Term:
		return l, true, nil
	}
	// The term before the first entry is not stored, so the first entry itself
	// becomes the one that was dropped.
	return raftLog{prevIndex: first.Index, prevTerm: first.Term, entries: entries[1:]}, false, nil
}

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, if it is known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.lastIndex():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *raftLog) at(index uint64) Entry { return l.entries[index-l.prevIndex-1] }

// between returns the entries after index from, up to index to.
func (l *raftLog) between(from, to uint64) []Entry {
	return slices.Clone(l.entries[from-l.prevIndex : to-l.prevIndex])
}

// batch returns entries from index on, up to limit entries and maxBytes of data.
// The first entry is returned even if it is larger.
func (l *raftLog) batch(index, limit uint64, maxBytes int) []Entry {
	if index > l.lastIndex() || limit == 0 {
		return nil
	}
	rest := l.entries[index-l.prevIndex-1:]
	if uint64(len(rest)) > limit {
		rest = rest[:limit]
	}
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			rest = rest[:i]
			break
		}
	}
	return slices.Clone(rest)
}

// replace appends entries in place of those from the index of the first one on.
func (l *raftLog) replace(entries []Entry) {
	keep := entries[0].Index - l.prevIndex - 1
	l.entries = append(l.entries[:keep], entries...)
}

func (l *raftLog) append(e Entry) { l.entries = append(l.entries, e) }

// dropBefore drops the entries before index first. Their last term is kept.
func (l *raftLog) dropBefore(first uint64) {
	if first <= l.prevIndex+1 {
		return
	}
	term, _ := l.term(first - 1)
	l.entries = slices.Clone(l.entries[first-1-l.prevIndex:])
	l.prevIndex, l.prevTerm = first-1, term
}

// trailing returns the first of the entries up to index that are kept: at most limit
// of them, with at most maxBytes of data.
func (l *raftLog) trailing(index, limit uint64, maxBytes int) uint64 {
	first, size := index+1, 0
	for first > l.prevIndex+1 && index-first+1 < limit {
		size += len(l.at(first - 1).Data)
		if size > maxBytes {
			break
		}
		first--
	}
	return first
}

// findConflictByTerm returns the largest index up to the given one whose entry
// may have a term of at most term, with the term of that entry if it is known.
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for {
		t, ok := l.term(index)
		if !ok {
			return index, 0
		}
		if t <= term {
			return index, t
		}
		index--
	}
}

// isUpToDate reports whether a log that ends with the given entry is at least as
// complete as this one.
func (l *raftLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}
