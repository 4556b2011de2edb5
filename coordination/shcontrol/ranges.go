package shcontrol

import (
	"math"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Ranges is the reserved ranges of request IDs, without gaps from ID 1 on. All
// ranges are kept, since the account of requests is verified against them. The
// zero value has no ranges.
type Ranges struct {
	Reserved []shrecord.Range `json:"reserved"`
}

// Reserve applies a ReserveRange.
func (r *Ranges) Reserve(at time.Time, c ReserveRange) Result {
	last := shmodel.RequestID(0)
	if n := len(r.Reserved); n > 0 {
		last = r.Reserved[n-1].Last
	}
	if c.VM == "" || c.Count == 0 || c.Count > math.MaxUint64-uint64(last) {
		return Rejected{Reason: "a range needs a VM and a count"}
	}
	if earlier, ok := r.FindReserved(c); ok {
		return RangeResult{Range: earlier}
	}
	reserved := shrecord.Range{
		First:       last + 1,
		Last:        last + shmodel.RequestID(c.Count),
		VM:          c.VM,
		Incarnation: c.Incarnation,
		ReservedAt:  at,
	}
	r.Reserved = append(r.Reserved, reserved)
	return RangeResult{Range: reserved}
}

// FindReserved returns the range that an earlier copy of the command reserved.
// It reports false if there is none.
func (r *Ranges) FindReserved(c ReserveRange) (shrecord.Range, bool) {
	if c.Sequence == 0 {
		return shrecord.Range{}, false
	}
	count := uint64(0)
	for _, x := range r.Reserved {
		if x.VM == c.VM && x.Incarnation == c.Incarnation {
			count++
		}
		if count == c.Sequence {
			return x, true
		}
	}
	return shrecord.Range{}, false
}

// List returns all ranges, the lowest first.
func (r *Ranges) List() []shrecord.Range { return slices.Clone(r.Reserved) }
