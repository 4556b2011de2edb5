package shaccount

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Guards against a control VM that runs out of memory on a long day, because the
// store indexes every record since its first. The bound is what control may take
// at a daemon (32 MB); the records are those of 200,000 requests, about two
// minutes at one of five control VMs of the large deployment. Pattern: state that grows with the age of
// a process.
func TestStoreMemoryDoesNotGrowWithAge(t *testing.T) {
	s, err := OpenStore(StoreOptions{Folder: t.TempDir()})
	assert.NilError(t, err)
	defer s.Close()
	before := heapAfterGC()
	const requests, perBatch = 200_000, 1000
	id := uint64(0)
	for batch := range uint64(requests / perBatch) {
		var records []shrecord.Record
		for range perBatch {
			id++
			for attempt := range uint32(3) {
				r := openingRecord(shmodel.RequestID(id))
				if attempt > 0 {
					r.Kind, r.Attempt, r.BackendServer = shrecord.Attempted, attempt, shmodel.BackendServer(fmt.Sprint("b", id%1000))
				}
				records = append(records, r)
			}
		}
		assert.NilError(t, appendOne(t, s, batch+1, false, records...))
	}
	grown := heapAfterGC() - before
	assert.Assert(t, grown < 32<<20, "%d requests take %d MiB of memory", requests, grown>>20)
	runtime.KeepAlive(s)
}

func heapAfterGC() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
