package shaccount

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// ranges returns a reserve function whose ranges have 10 IDs each and gaps
// between them.
func ranges() func(context.Context, uint64) (shrecord.Range, error) {
	next := shmodel.RequestID(1)
	return func(context.Context, uint64) (shrecord.Range, error) {
		r := shrecord.Range{First: next, Last: next + 9, VM: "self"}
		next += 100
		return r, nil
	}
}

// Guards against a request ID that is assigned twice, skipped or outside the
// ranges.
func TestAllocatorAssignsEachIDOnce(t *testing.T) {
	a := NewAllocator(ranges())
	_, err := a.Next()
	assert.Equal(t, KindOf(err), Exhausted)
	assert.NilError(t, a.Fill(t.Context()))
	assert.Equal(t, a.Remaining(), uint64(20))
	var mu sync.Mutex
	seen := make(map[shmodel.RequestID]bool)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range 5 {
				id, err := a.Next()
				mu.Lock()
				assert.Check(t, err == nil && !seen[id])
				seen[id] = true
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	for id := shmodel.RequestID(1); id <= 10; id++ {
		assert.Assert(t, seen[id] && seen[id+100])
	}
	_, err = a.Next()
	assert.Equal(t, KindOf(err), Exhausted)
	assert.Equal(t, a.Remaining(), uint64(0))
}

// Guards against an allocator that stays empty after a failed reservation.
func TestAllocatorRunRefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures, reserve := 3, ranges()
		a := NewAllocator(func(ctx context.Context, count uint64) (shrecord.Range, error) {
			assert.Equal(t, count, uint64(RangeSize))
			if failures--; failures >= 0 {
				return shrecord.Range{}, errors.New("no leader")
			}
			return reserve(ctx, count)
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		time.Sleep(time.Second)
		for range 100 {
			_, err := a.Next()
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Assert(t, a.Remaining() > 10)
	})
}
