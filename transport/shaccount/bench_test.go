package shaccount

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/internal/shusage"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// BenchmarkWrite measures Write by one and by many callers, with stores on real
// disks and without a network.
func BenchmarkWrite(b *testing.B) {
	for _, callers := range []int{1, 80} {
		for name, level := range map[string]Level{"deferred": Deferred, "copied": Copied, "durable": Durable} {
			b.Run(fmt.Sprintf("%s-%dcallers", name, callers), func(b *testing.B) {
				n, targets, _ := newNetwork(b)
				for vm := range n.stores {
					n.stores[vm] = openDiskStore(b)
				}
				o := testOutbox(n, targets)
				o.options.MaxBytes = 8 << 30
				run(b, callers, func(id uint64) error {
					return o.Write(context.Background(), []shrecord.Record{openingRecord(shmodel.RequestID(id))}, level)
				})
				b.StopTimer()
				waitUntilReplicated(b, o)
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

func openDiskStore(b *testing.B) *Store {
	b.Helper()
	s, err := OpenStore(StoreOptions{Folder: b.TempDir()})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.Check(b, s.Close() == nil) })
	return s
}

// BenchmarkStoreAppend measures appends of one record with a sync, by one caller
// and by many that share syncs.
func BenchmarkStoreAppend(b *testing.B) {
	for _, callers := range []int{1, 80} {
		b.Run(fmt.Sprintf("%dcallers", callers), func(b *testing.B) {
			s := openDiskStore(b)
			run(b, callers, func(id uint64) error {
				return appendOne(b, s, id, true, openingRecord(shmodel.RequestID(id)))
			})
		})
	}
}

// requestRecords returns the three records of an answered request.
func requestRecords(id shmodel.RequestID) []shrecord.Record {
	attempted := closingRecord(id)
	attempted.Kind, attempted.Attempt, attempted.BackendServer = shrecord.Attempted, 1, "field-sampling-records-s1"
	return []shrecord.Record{openingRecord(id), attempted, closingRecord(id)}
}

// BenchmarkRequestRecords measures what one answered request costs an account
// store: CPU time, and bytes of messages and files. Each request is one append
// without a sync of its own.
func BenchmarkRequestRecords(b *testing.B) {
	folder := b.TempDir()
	s, err := OpenStore(StoreOptions{Folder: folder})
	assert.NilError(b, err)
	message := 0
	var cpu time.Duration
	for id := uint64(1); b.Loop(); id++ {
		b.StopTimer()
		q := AppendRequest{Origin: Origin{VM: "self", Incarnation: 7}, Batch: id, Records: requestRecords(shmodel.RequestID(id))}
		data, err := json.Marshal(q)
		assert.NilError(b, err)
		message = len(data)
		b.StartTimer()
		before := shusage.CPU()
		q = AppendRequest{}
		if err := json.Unmarshal(data, &q); err != nil {
			b.Fatal(err)
		}
		if _, err := s.Append(b.Context(), q); err != nil {
			b.Fatal(err)
		}
		cpu += shusage.CPU() - before
	}
	assert.NilError(b, s.Close())
	files := int64(0)
	assert.NilError(b, filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		files += info.Size()
		return err
	}))
	b.ReportMetric(float64(message), "message-B")
	b.ReportMetric(float64(files)/float64(b.N), "file-B")
	b.ReportMetric(float64(cpu.Nanoseconds())/float64(b.N)/1000, "cpu-µs/op")
}

// BenchmarkStoreMemory measures the live memory of a store on disk per record.
func BenchmarkStoreMemory(b *testing.B) {
	const n = 30_000
	for b.Loop() {
		before := shusage.Heap()
		s, err := OpenStore(StoreOptions{Folder: b.TempDir()})
		assert.NilError(b, err)
		for id := range shmodel.RequestID(n / 3) {
			assert.NilError(b, appendOne(b, s, uint64(id), false, requestRecords(id+1)...))
		}
		b.ReportMetric(float64(int64(shusage.Heap())-int64(before))/n, "B/record")
		assert.NilError(b, s.Close())
	}
}
