package shaccount

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

func appendOne(t testing.TB, s *Store, batch uint64, sync bool, records ...shrecord.Record) error {
	t.Helper()
	_, err := s.Append(t.Context(), AppendRequest{Origin: Origin{VM: "self"}, Batch: batch, Records: records, Sync: sync})
	return err
}

// ids reads the whole store and returns the request IDs in order.
func ids(t testing.TB, s *Store, limit int) []shmodel.RequestID {
	t.Helper()
	var all []shmodel.RequestID
	for r, err := range Pages(t.Context(), ReadRequest{Limit: limit}, s.Read) {
		assert.NilError(t, err)
		all = append(all, r.RequestID)
	}
	return all
}

// Guards against records that are lost, reordered or repeated between pages.
func TestStoreReadsInOrderPageByPage(t *testing.T) {
	for _, folder := range []string{"", t.TempDir()} {
		s, err := OpenStore(StoreOptions{Folder: folder, SegmentBytes: 2000})
		assert.NilError(t, err)
		var want []shmodel.RequestID
		for i := range 60 {
			id := shmodel.RequestID(1 + (i*700)%42_000)
			want = append(want, id, id)
			assert.NilError(t, appendOne(t, s, uint64(i), false, closingRecord(id), openingRecord(id)))
		}
		slices.Sort(want)
		for _, limit := range []int{1, 7, 1000} {
			assert.DeepEqual(t, ids(t, s, limit), want)
		}
		assert.NilError(t, s.Close())
		if folder == "" {
			continue
		}
		s, err = OpenStore(StoreOptions{Folder: folder})
		assert.NilError(t, err)
		assert.Equal(t, len(s.OpenReport().Damage), 0)
		assert.DeepEqual(t, ids(t, s, 11), want)
		assert.NilError(t, s.Close())
	}
}

// Guards against a resent batch that is stored twice, before or after a restart,
// and against a dropped record that has the identity of another but different
// content.
func TestStoreAppendIsIdempotent(t *testing.T) {
	disk := newFakeDisk()
	for range 2 {
		s := openFakeStore(t, disk)
		for range 3 {
			assert.NilError(t, appendOne(t, s, 1, true, openingRecord(1), openingRecord(1), openingRecord(2)))
		}
		assert.DeepEqual(t, ids(t, s, 0), []shmodel.RequestID{1, 2})
	}
	s := openFakeStore(t, disk)
	other := openingRecord(1)
	other.Caller = "10.0.0.2"
	assert.NilError(t, appendOne(t, s, 2, true, other))
	assert.DeepEqual(t, ids(t, s, 1), []shmodel.RequestID{1, 1, 2})
}

// Guards against a torn entry that is read, and against intact entries that are
// truncated with it.
func TestStoreTornTailAtEveryOffset(t *testing.T) {
	disk := newFakeDisk()
	s := openFakeStore(t, disk)
	assert.NilError(t, appendOne(t, s, 1, true, openingRecord(1)))
	assert.NilError(t, appendOne(t, s, 2, false, openingRecord(2)))
	unsynced := len(disk.onlyFile().data) - len(disk.onlyFile().synced)
	for kept := range unsynced {
		restarted := disk.crash(func(int) int { return kept })
		s := openFakeStore(t, restarted)
		assert.DeepEqual(t, ids(t, s, 0), []shmodel.RequestID{1})
		assert.Equal(t, s.OpenReport().TornBytes, int64(kept))
		assert.NilError(t, appendOne(t, s, 3, true, openingRecord(3)))
		assert.DeepEqual(t, ids(t, openFakeStore(t, restarted), 0), []shmodel.RequestID{1, 3})
	}
}

// Guards against damage that hides intact records or is not reported.
func TestStoreSkipsDamage(t *testing.T) {
	disk := newFakeDisk()
	s := openFakeStore(t, disk)
	size := 0
	for i := range 3 {
		assert.NilError(t, appendOne(t, s, uint64(i), true, openingRecord(shmodel.RequestID(i+1))))
		if i == 0 {
			size = len(disk.onlyFile().data)
		}
	}
	for at := size; at < 2*size; at++ {
		damaged := disk.crash(nil)
		damaged.onlyFile().data[at] ^= 0x40
		s := openFakeStore(t, damaged)
		assert.DeepEqual(t, ids(t, s, 0), []shmodel.RequestID{1, 3})
		assert.Equal(t, len(s.OpenReport().Damage), 1)
		d := s.OpenReport().Damage[0]
		assert.Equal(t, d.FirstSequence, uint64(2))
		assert.Equal(t, d.Entries, uint64(1))
	}
}

// Guards against an export that ends at an entry damaged after opening.
func TestStoreReportsUnreadableRecords(t *testing.T) {
	disk := newFakeDisk()
	s := openFakeStore(t, disk)
	assert.NilError(t, appendOne(t, s, 1, true, openingRecord(1), openingRecord(2)))
	disk.onlyFile().data[40] ^= 1
	page, err := s.Read(t.Context(), ReadRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1)
	assert.DeepEqual(t, page.Unreadable, []shrecord.Identity{openingRecord(1).Identity()})
}

// Guards against an append to a full disk that succeeds or stores a part of a
// batch, and against a store that refuses records once the disk has space again.
func TestStoreFullDiskRecovers(t *testing.T) {
	disk := newFakeDisk()
	s := openFakeStore(t, disk)
	assert.NilError(t, appendOne(t, s, 1, true, openingRecord(1)))
	for missing := range 100 {
		disk.update(func() { disk.capacity = disk.used() + missing })
		assert.Equal(t, KindOf(appendOne(t, s, 2, true, openingRecord(2))), Full)
		assert.DeepEqual(t, ids(t, s, 0), []shmodel.RequestID{1})
	}
	disk.update(func() { disk.capacity = 1 << 20 })
	assert.NilError(t, appendOne(t, s, 2, true, openingRecord(2)))
	assert.DeepEqual(t, ids(t, openFakeStore(t, disk.crash(nil)), 0), []shmodel.RequestID{1, 2})
}

// Guards against a failed sync that is forgotten after a later successful one:
// the kernel may have dropped the unsynced pages.
func TestStoreFailedSyncIsSticky(t *testing.T) {
	disk := newFakeDisk()
	s := openFakeStore(t, disk)
	disk.update(func() { disk.failSync = true })
	assert.Equal(t, KindOf(appendOne(t, s, 1, true, openingRecord(1))), Failed)
	assert.Equal(t, KindOf(s.Err()), Failed)
	disk.update(func() { disk.failSync = false })
	assert.Equal(t, KindOf(appendOne(t, s, 1, true, openingRecord(1))), Failed)
	assert.Equal(t, KindOf(appendOne(t, s, 2, false, openingRecord(2))), Failed)
}

// Guards against one sync per append when many appends wait.
func TestStoreGroupsSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newFakeDisk()
		s := openFakeStore(t, disk)
		before := disk.syncs
		disk.syncBlock = make(chan struct{})
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				assert.Check(t, appendOne(t, s, uint64(i), true, openingRecord(shmodel.RequestID(i+1))) == nil)
			})
		}
		synctest.Wait()
		close(disk.syncBlock)
		wait.Wait()
		assert.Assert(t, disk.syncs-before <= 2)
		assert.Equal(t, len(ids(t, openFakeStore(t, disk.crash(nil)), 0)), 100)
	})
}

// Guards against a store without disk that never frees its memory or that
// acknowledges a requested sync.
func TestMemoryStoreHoldsUntilReleased(t *testing.T) {
	s, err := OpenStore(StoreOptions{MemoryRecords: 2})
	assert.NilError(t, err)
	origin := Origin{VM: "self"}
	assert.Equal(t, KindOf(appendOne(t, s, 1, true, openingRecord(1))), NoDisk)
	assert.NilError(t, appendOne(t, s, 1, false, openingRecord(1), openingRecord(2)))
	assert.Equal(t, KindOf(appendOne(t, s, 2, false, openingRecord(3))), Full)
	assert.NilError(t, s.Release(t.Context(), ReleaseRequest{Origin: origin, Batches: []uint64{1}}))
	assert.Equal(t, s.Records(), 0)
	assert.NilError(t, appendOne(t, s, 2, false, openingRecord(3)))
	_, err = s.Append(t.Context(), AppendRequest{Origin: origin, Batch: 3, Oldest: 3, Records: []shrecord.Record{openingRecord(4)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, ids(t, s, 0), []shmodel.RequestID{4})
	_, err = s.Append(t.Context(), AppendRequest{Origin: origin, Batch: 2, Confirm: true})
	assert.Equal(t, KindOf(err), Stale)
	assert.DeepEqual(t, s.Origins(), []Origin{origin})
}

// Guards against invalid records that enter the store and its export.
func TestStoreRefusesInvalidRecords(t *testing.T) {
	s := openFakeStore(t, newFakeDisk())
	r := openingRecord(1)
	r.At = time.Time{}
	assert.Equal(t, KindOf(appendOne(t, s, 1, false, r)), Invalid)
	assert.Equal(t, s.Records(), 0)
}

// Guards against a damaged or missing segment that hides the segments after it.
func TestStoreSkipsDamagedSegments(t *testing.T) {
	disk := newFakeDisk()
	s, err := OpenStore(StoreOptions{folder: disk, SegmentBytes: 1})
	assert.NilError(t, err)
	for i := range 4 {
		assert.NilError(t, appendOne(t, s, uint64(i), true, openingRecord(shmodel.RequestID(i+1))))
	}
	damages := map[string]func(d *fakeDisk, name string){
		"end cut off": func(d *fakeDisk, name string) { d.files[name].data = d.files[name].data[:50] },
		"all zero":    func(d *fakeDisk, name string) { clear(d.files[name].data) },
		"empty":       func(d *fakeDisk, name string) { d.files[name].data = nil },
		"missing":     func(d *fakeDisk, name string) { delete(d.files, name) },
	}
	for name, damage := range damages {
		for segment := 1; segment <= 3; segment++ {
			t.Run(fmt.Sprint(name, segment), func(t *testing.T) {
				damaged := disk.crash(nil)
				damage(damaged, fmt.Sprintf("%016x.segment", segment))
				s := openFakeStore(t, damaged)
				assert.DeepEqual(t, ids(t, s, 0), slices.DeleteFunc([]shmodel.RequestID{1, 2, 3, 4}, func(id shmodel.RequestID) bool {
					return int(id) == segment
				}))
				assert.Equal(t, len(s.OpenReport().Damage), 1)
				assert.Equal(t, s.OpenReport().Damage[0].FirstSequence, uint64(segment))
				assert.Equal(t, s.OpenReport().Damage[0].Entries, uint64(1))
			})
		}
	}
}
