package shaccount

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// sealedBatches are batches whose request IDs lie in three chunks and overlap
// between segments. One of them has a contradicting copy.
func sealedBatches() [][]shrecord.Record {
	var batches [][]shrecord.Record
	for i := range shmodel.RequestID(12) {
		id := 1 + i%3*chunkIDs + i/3*2
		other := closingRecord(id + 1)
		other.VM = shmodel.VM(fmt.Sprint("vm", i%2))
		batches = append(batches, []shrecord.Record{openingRecord(id), closingRecord(id), other})
	}
	contradicting := closingRecord(1)
	contradicting.Status = 500
	return append(batches, []shrecord.Record{contradicting})
}

// openSmallSegments is openFakeStore with segments of a few records.
func openSmallSegments(t testing.TB, d *fakeDisk) *Store {
	t.Helper()
	s, err := OpenStore(StoreOptions{folder: d, SyncDelay: time.Hour, SegmentBytes: 1200})
	assert.NilError(t, err)
	return s
}

// exported returns the records of a store in the order of export.
func exported(t *testing.T, s *Store) (lines []string) {
	t.Helper()
	for r, err := range Pages(t.Context(), ReadRequest{Limit: 4}, s.Read) {
		assert.NilError(t, err)
		line, err := r.Encode()
		assert.NilError(t, err)
		lines = append(lines, string(line))
	}
	return lines
}

// assertSame checks that a store has the wanted records, takes none of them again,
// and passes verification.
func assertSame(t *testing.T, s *Store, want []string) {
	t.Helper()
	assert.DeepEqual(t, exported(t, s), want)
	for i, records := range sealedBatches() {
		response, err := s.Append(t.Context(), AppendRequest{Origin: Origin{VM: "self"}, Batch: uint64(i), Records: records, Sync: true})
		assert.NilError(t, err)
		assert.Equal(t, response.Duplicates, len(records))
		adopted, err := s.batch(Origin{VM: "self"}, uint64(i))
		assert.NilError(t, err)
		assert.Equal(t, len(adopted), len(records))
		for n, r := range adopted {
			assert.Equal(t, r.Identity(), records[n].Identity())
		}
	}
	assert.DeepEqual(t, exported(t, s), want)
	assert.Equal(t, s.Records(), len(want))
	report, err := shrecord.Verify([]shrecord.Range{{First: 1, Last: 9999, VM: "self"}}, shrecord.Merge(Pages(t.Context(), ReadRequest{}, s.Read)))
	assert.NilError(t, err)
	assert.Assert(t, report.Complete)
}

// writeSealed writes sealedBatches and waits until all closed segments are indexed.
func writeSealed(t *testing.T, s *Store) {
	t.Helper()
	for i, records := range sealedBatches() {
		assert.NilError(t, appendOne(t, s, uint64(i), true, records...))
	}
	s.tasks.Wait()
	assert.Equal(t, s.Usage().Unindexed, 0)
	assert.Assert(t, len(s.sealed) >= 3)
}

func (d *fakeDisk) indexFiles() (names []string) {
	for name := range d.files {
		if strings.HasSuffix(name, indexSuffix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Guards against an index file that is trusted although it is damaged, missing or
// that of another segment, at opening and while the store is open: records would
// be missing from the export or stored twice.
func TestStoreRestoresIndexFiles(t *testing.T) {
	disk := newFakeDisk()
	s := openSmallSegments(t, disk)
	writeSealed(t, s)
	want := exported(t, s)
	names := disk.indexFiles()
	faults := map[string]func(d *fakeDisk, name string){
		"missing": func(d *fakeDisk, name string) { delete(d.files, name) },
		"empty":   func(d *fakeDisk, name string) { d.files[name].data = nil },
		"other":   func(d *fakeDisk, name string) { d.files[name].data = slices.Clone(d.files[names[2]].data) },
	}
	for at := 0; at < len(disk.files[names[0]].data); at += 4 {
		if at%28 == 0 {
			faults[fmt.Sprint("cut at ", at)] = func(d *fakeDisk, name string) { d.files[name].data = d.files[name].data[:at] }
		}
		faults[fmt.Sprint("changed at ", at)] = func(d *fakeDisk, name string) { d.files[name].data[at] ^= 0x40 }
	}
	for fault, inject := range faults {
		for _, damageWhileOpen := range []bool{false, true} {
			t.Run(fmt.Sprint(fault, " while open ", damageWhileOpen), func(t *testing.T) {
				damaged := disk.crash(nil)
				var s *Store
				if damageWhileOpen {
					s = openSmallSegments(t, damaged)
				}
				inject(damaged, names[0])
				if !damageWhileOpen {
					s = openSmallSegments(t, damaged)
				}
				assertSame(t, s, want)
				assert.Assert(t, bytes.Equal(damaged.files[names[0]].data, disk.files[names[0]].data))
			})
		}
	}
}

// Guards against records that are lost or doubled by a power loss between any two
// changes of files, among them those between the closing of a segment and the sync of
// its index file.
func TestStorePowerLossAtEachStep(t *testing.T) {
	disk := newFakeDisk()
	random := rand.New(rand.NewPCG(1, 1))
	var crashed []*fakeDisk
	// pending counts power losses after the closing of a segment and before the sync of
	// its index file.
	pending := 0
	disk.step = func(name string) {
		c := disk.crash(func(unsynced int) int { return random.IntN(unsynced + 1) })
		if strings.HasSuffix(name, indexSuffix) && len(disk.files[name].synced) == 0 {
			pending++
		}
		crashed = append(crashed, c)
	}
	s := openSmallSegments(t, disk)
	writeSealed(t, s)
	want := exported(t, s)
	assert.NilError(t, s.Close())
	disk.step = nil
	assert.Assert(t, pending >= 6)
	for _, c := range crashed {
		s := openSmallSegments(t, c)
		for i, records := range sealedBatches() {
			assert.NilError(t, appendOne(t, s, uint64(i), true, records...))
		}
		assertSame(t, s, want)
		assert.NilError(t, s.Close())
		s = openSmallSegments(t, c)
		assertSame(t, s, want)
		assert.Equal(t, len(s.OpenReport().Damage), 0)
	}
}

// Guards against memory that grows while a full disk takes no index files, and
// against a store that stays closed to appends once the disk has space again.
func TestStoreFullDiskWithoutIndexFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newFakeDisk()
		disk.step = func(name string) {
			if strings.HasSuffix(name, indexSuffix) {
				disk.update(func() { disk.capacity = disk.used() })
			}
		}
		s := openSmallSegments(t, disk)
		refused := 0
		for i, records := range sealedBatches() {
			if err := appendOne(t, s, uint64(i), true, records...); err != nil {
				assert.Equal(t, KindOf(err), Full)
				refused++
			}
			synctest.Wait()
			disk.update(func() { disk.capacity = disk.used() + 3000 })
		}
		assert.Assert(t, refused > 0)
		assert.Equal(t, s.Usage().Refused, uint64(refused))
		assert.Equal(t, s.Usage().Unindexed, maxUnindexed)
		assert.Equal(t, KindOf(appendOne(t, s, 99, true, openingRecord(5000))), Full)
		kept := exported(t, s)
		full := disk.crash(nil)
		full.capacity = full.used()
		assert.DeepEqual(t, exported(t, openSmallSegments(t, full)), kept)
		disk.step = nil
		disk.update(func() { disk.capacity = 1 << 30 })
		time.Sleep(2 * indexRetryPause)
		writeSealed(t, s)
		assertSame(t, s, exported(t, s))
	})
}

// Guards against appends that fill the memory or wait for ever while the disk hangs at
// an index file.
func TestStoreWaitsForIndexFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newFakeDisk()
		s := openSmallSegments(t, disk)
		blocked := make(chan struct{})
		name := indexName(1)
		disk.files[name] = &fakeFile{disk: disk, name: name, syncBlock: blocked}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for i, records := range sealedBatches() {
			if _, err = s.Append(ctx, AppendRequest{Batch: uint64(i), Records: records}); err != nil {
				break
			}
		}
		assert.Equal(t, KindOf(err), Canceled)
		assert.Equal(t, s.Usage().Unindexed, maxUnindexed)
		close(blocked)
		writeSealed(t, s)
		assertSame(t, s, exported(t, s))
	})
}

// Guards against shortened intervals that leave out a request ID.
func TestIntervalsShorten(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		var all intervals
		var ids []shmodel.RequestID
		for id := shmodel.RequestID(1); id < 300; id += 1 + shmodel.RequestID(random.IntN(4)*random.IntN(9)) {
			all, ids = all.extend(id), append(ids, id)
		}
		limit := 1 + random.IntN(20)
		short := all.shorten(limit)
		assert.Assert(t, len(short) <= limit)
		for _, id := range ids {
			assert.Assert(t, all.has(id) && short.has(id))
		}
		assert.Assert(t, !short.has(ids[len(ids)-1]+1) && !short.has(0))
	}
}

// Guards against an account that takes more of the disk than its bound, and against a
// bound that refuses what is stored already.
func TestStoreMaxBytes(t *testing.T) {
	disk := newFakeDisk()
	open := func(maxBytes int64) *Store {
		s, err := OpenStore(StoreOptions{folder: disk, SyncDelay: time.Hour, SegmentBytes: 1200, MaxBytes: maxBytes})
		assert.NilError(t, err)
		return s
	}
	const bound = 5000
	s := open(bound)
	taken := 0
	for i, records := range sealedBatches() {
		err := appendOne(t, s, uint64(i), true, records...)
		s.tasks.Wait()
		assert.Assert(t, disk.used() <= bound)
		if err != nil {
			assert.Equal(t, KindOf(err), Full)
			continue
		}
		taken++
	}
	assert.Assert(t, taken >= 3 && taken < len(sealedBatches()))
	assert.Assert(t, s.Usage().Refused > 0 && KindOf(s.Usage().Refusal) == Full)
	assert.NilError(t, appendOne(t, s, 0, true, sealedBatches()[0]...))
	assert.NilError(t, s.Close())
	s = open(bound)
	assert.Equal(t, KindOf(appendOne(t, s, 50, true, sealedBatches()[11]...)), Full)
	assert.NilError(t, s.Close())
	s = open(0)
	writeSealed(t, s)
	assertSame(t, s, exported(t, s))
	assert.NilError(t, s.Close())
}
