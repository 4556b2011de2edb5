package shaccount

import (
	"context"
	"sync"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

const (
	// RangeSize is the number of request IDs per range.
	RangeSize = 100_000
	// rangesHeld is the number of ranges that Fill keeps reserved. While the
	// replicated state has no leader, requests get the remaining IDs of these
	// ranges.
	rangesHeld = 2
	// reserveBackoff is the pause after a failed reservation.
	reserveBackoff = 250 * time.Millisecond
)

// Allocator assigns request IDs from reserved ranges, in the order of the
// reservations; a range is used up before the next one begins. Run keeps ranges
// reserved. Its methods are safe for concurrent use.
type Allocator struct {
	reserve func(ctx context.Context, count uint64) (shrecord.Range, error)
	// fillRequested holds a value when fewer than rangesHeld ranges are left.
	fillRequested chan struct{}

	mu     sync.Mutex
	ranges []shrecord.Range
	// next is the next ID to assign, in the first range.
	next shmodel.RequestID
}

// NewAllocator returns an Allocator that reserves ranges through reserve.
func NewAllocator(reserve func(ctx context.Context, count uint64) (shrecord.Range, error)) *Allocator {
	return &Allocator{reserve: reserve, fillRequested: make(chan struct{}, 1)}
}

// Next assigns a request ID. Its error has the kind Exhausted if none is left.
func (a *Allocator) Next() (shmodel.RequestID, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ranges) == 0 {
		a.requestFill()
		return 0, &Error{Op: "allocate", Kind: Exhausted}
	}
	id := a.next
	if id < a.ranges[0].Last {
		a.next++
		return id, nil
	}
	a.ranges = a.ranges[1:]
	if len(a.ranges) > 0 {
		a.next = a.ranges[0].First
	}
	a.requestFill()
	return id, nil
}

// Remaining returns the number of request IDs that are left.
func (a *Allocator) Remaining() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var n uint64
	for i, r := range a.ranges {
		first := r.First
		if i == 0 {
			first = a.next
		}
		n += uint64(r.Last-first) + 1
	}
	return n
}

func (a *Allocator) requestFill() {
	select {
	case a.fillRequested <- struct{}{}:
	default:
	}
}

// Fill reserves ranges until rangesHeld are held. Only one Fill or Run may be in
// progress. Fill returns the error of reserve.
func (a *Allocator) Fill(ctx context.Context) error {
	for {
		a.mu.Lock()
		held := len(a.ranges)
		a.mu.Unlock()
		if held >= rangesHeld {
			return nil
		}
		r, err := a.reserve(ctx, RangeSize)
		if err != nil {
			return err
		}
		if r.First == 0 || r.Last < r.First {
			return &Error{Op: "allocate", Kind: Invalid, Err: shrecord.ErrRanges.Errorf("%v to %v", r.First, r.Last)}
		}
		a.mu.Lock()
		if len(a.ranges) == 0 {
			a.next = r.First
		}
		a.ranges = append(a.ranges, r)
		a.mu.Unlock()
	}
}

// Run keeps ranges reserved until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	for {
		pause := make(<-chan time.Time)
		if err := a.Fill(ctx); err != nil {
			pause = time.After(reserveBackoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.fillRequested:
		case <-pause:
		}
	}
}
