package shaccount

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// BenchmarkWrite measures Write by one and by many callers, with stores on real
// disks and no network between.
func BenchmarkWrite(b *testing.B) {
	for _, callers := range []int{1, 80} {
		for name, level := range map[string]Level{"deferred": Deferred, "copied": Copied, "durable": Durable} {
			b.Run(fmt.Sprintf("%s-%dcallers", name, callers), func(b *testing.B) {
				n, targets, _ := deployment(b)
				for vm := range n.stores {
					n.stores[vm] = openReal(b)
				}
				o := testOutbox(n, targets)
				o.options.MaxBytes = 8 << 30
				run(b, callers, func(id uint64) error {
					return o.Write(context.Background(), []shrecord.Record{opened(shmodel.RequestID(id))}, level)
				})
				b.StopTimer()
				settle(b, o)
				assert.NilError(b, o.Close(context.Background()))
			})
		}
	}
}

// run calls f with ascending numbers from callers goroutines.
func run(b *testing.B, callers int, f func(id uint64) error) {
	b.ResetTimer()
	var next atomic.Uint64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for id := next.Add(1); id <= uint64(b.N); id = next.Add(1) {
				if err := f(id); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
}

func openReal(b *testing.B) *Store {
	b.Helper()
	s, err := OpenStore(StoreOptions{Folder: b.TempDir()})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.Check(b, s.Close() == nil) })
	return s
}

// BenchmarkStoreAppend measures appends of one record with a sync, alone and
// with others that share it.
func BenchmarkStoreAppend(b *testing.B) {
	for _, callers := range []int{1, 80} {
		b.Run(fmt.Sprintf("%dcallers", callers), func(b *testing.B) {
			s := openReal(b)
			run(b, callers, func(id uint64) error {
				return appendOne(b, s, id, true, opened(shmodel.RequestID(id)))
			})
		})
	}
}
