package shcontrol

import (
	"math"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// ranges is the reserved ranges of request IDs, dense from 1. All of them are
// kept, since the account is verified against them.
type ranges struct {
	Reserved []shrecord.Range `json:"reserved"`
}

// reserve applies a ReserveRange.
func (r *ranges) reserve(at time.Time, c ReserveRange) Result {
	last := shmodel.RequestID(0)
	if n := len(r.Reserved); n > 0 {
		last = r.Reserved[n-1].Last
	}
	if c.VM == "" || c.Count == 0 || c.Count > math.MaxUint64-uint64(last) {
		return Rejected{Reason: "a range needs a VM and a count"}
	}
	if earlier, ok := r.reservedAs(c); ok {
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

// reservedAs returns the range that an earlier copy of the command reserved.
func (r *ranges) reservedAs(c ReserveRange) (shrecord.Range, bool) {
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

func (r *ranges) list() []shrecord.Range { return slices.Clone(r.Reserved) }
