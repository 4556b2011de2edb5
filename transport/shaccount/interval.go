package shaccount

import (
	"cmp"
	"slices"

	"sequoiahollow/state/shmodel"
)

const (
	// maxIntervals bounds the intervals of a segment. Each entry VM uses the IDs of
	// its ranges in order, so that a segment has about as many as there are entry VMs.
	maxIntervals = 1024
	// maxAllIntervals bounds the intervals of all segments, which take 16 bytes each.
	maxAllIntervals = 1 << 18
)

// interval is the request IDs from first to last.
type interval struct{ first, last shmodel.RequestID }

// intervals are ascending and separate. They include all request IDs of a segment
// and may include others.
type intervals []interval

// extend adds an ID that is not below the last interval.
func (r intervals) extend(id shmodel.RequestID) intervals {
	if n := len(r); n > 0 && id <= r[n-1].last+1 {
		r[n-1].last = id
		return r
	}
	return append(r, interval{first: id, last: id})
}

// next returns the first ID of the intervals at or after id.
func (r intervals) next(id shmodel.RequestID) (shmodel.RequestID, bool) {
	at, _ := slices.BinarySearchFunc(r, id, func(i interval, id shmodel.RequestID) int { return cmp.Compare(i.last, id) })
	if at == len(r) {
		return 0, false
	}
	return max(id, r[at].first), true
}

func (r intervals) has(id shmodel.RequestID) bool {
	next, ok := r.next(id)
	return ok && next == id
}

// shorten joins intervals across the smallest gaps until at most limit are left.
func (r intervals) shorten(limit int) intervals {
	if len(r) <= limit {
		return r
	}
	gaps := make([]shmodel.RequestID, 0, len(r)-1)
	for i := range r[1:] {
		gaps = append(gaps, r[i+1].first-r[i].last)
	}
	slices.Sort(gaps)
	excess := len(r) - limit
	widest := gaps[excess-1]
	short := intervals{r[0]}
	for _, i := range r[1:] {
		if excess > 0 && i.first-short[len(short)-1].last <= widest {
			short[len(short)-1].last = i.last
			excess--
			continue
		}
		short = append(short, i)
	}
	return slices.Clip(short)
}
