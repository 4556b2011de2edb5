package shaccount

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

const (
	faultRunSeeds    = 200
	faultRunWriters  = 3
	faultRunRequests = 8
	faultRunShards   = 4
)

// faultRun is one run of an outbox with random network faults and the loss of
// one VM.
type faultRun struct {
	t       *testing.T
	network *network
	outbox  *Outbox
	disks   map[shmodel.VM]*fakeDisk

	mu     sync.Mutex
	random *rand.Rand
	open   func(testing.TB, *fakeDisk) *Store
	next   shmodel.RequestID
	// acknowledged holds the records whose Write returned nil.
	acknowledged map[shrecord.Identity]Level
}

func (h *faultRun) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *faultRun) fault(shmodel.VM) fault {
	kind := h.intN(10)
	return fault{
		delay:       time.Duration(h.intN(30)) * time.Millisecond,
		loseRequest: kind == 0, loseAnswer: kind == 1,
	}
}

func (h *faultRun) write(r shrecord.Record, level Level) {
	if h.outbox.Write(h.t.Context(), []shrecord.Record{r}, level) == nil {
		h.mu.Lock()
		h.acknowledged[r.Identity()] = level
		h.mu.Unlock()
	}
}

func (h *faultRun) writer() {
	for range faultRunRequests {
		h.mu.Lock()
		h.next++
		id := h.next
		h.mu.Unlock()
		h.write(openingRecord(id), Level(1+h.intN(2)))
		time.Sleep(time.Duration(h.intN(10)) * time.Millisecond)
		h.write(closingRecord(id), Deferred)
	}
}

// restart replaces a store by one opened on the disk as a power loss leaves it:
// with all synced bytes and a random part of the others.
func (h *faultRun) restart(vm shmodel.VM) {
	h.network.replaceMu.Lock()
	defer h.network.replaceMu.Unlock()
	h.disks[vm] = h.disks[vm].crash(func(unsynced int) int { return h.intN(unsynced + 1) })
	h.network.setStore(vm, h.open(h.t, h.disks[vm]))
}

// injectDiskFault does one of three things at random: it fills a disk for a
// while, makes the syncs of the lost VM fail, or does nothing. Syncs fail on no
// other VM, because a failed sync counts as the loss of its VM.
func (h *faultRun) injectDiskFault(lostVM shmodel.VM) {
	switch h.intN(3) {
	case 0:
		d := h.disks[[]shmodel.VM{"b", "c", "d"}[h.intN(3)]]
		d.update(func() { d.capacity = d.used() + h.intN(500) })
		time.Sleep(100 * time.Millisecond)
		d.update(func() { d.capacity = 1 << 30 })
	case 1:
		if lostVM != "self" {
			d := h.disks[lostVM]
			d.update(func() { d.failSync = true })
		}
	}
}

// mergedRecords merges the records of all stores.
func (h *faultRun) mergedRecords() []shrecord.Merged {
	var merged []shrecord.Merged
	var sources []iter.Seq2[shrecord.Record, error]
	for _, s := range h.network.stores {
		if s != nil {
			sources = append(sources, Pages(h.t.Context(), ReadRequest{Limit: 7}, s.Read))
		}
	}
	for m, err := range shrecord.Merge(sources...) {
		assert.NilError(h.t, err)
		merged = append(merged, m)
	}
	return merged
}

// checkNoLoss checks that merged holds each record once, and at least the given
// number of copies of each record of want.
func (h *faultRun) checkNoLoss(seed uint64, merged []shrecord.Merged, want map[shrecord.Identity]Level, copies int) {
	held := make(map[shrecord.Identity]int)
	for _, m := range merged {
		assert.Equal(h.t, held[m.Identity()], 0, "seed %d: %v twice", seed, m.Identity())
		held[m.Identity()] = m.Copies
	}
	for id, level := range want {
		assert.Assert(h.t, held[id] >= copies, "seed %d: %v at level %d has %d copies", seed, id, level, held[id])
	}
}

// loseOutbox stops the outbox without waiting for its batches, checks that the
// records that it acknowledged are stored, and lets the other VMs adopt them.
func (h *faultRun) loseOutbox(seed uint64) {
	h.mu.Lock()
	acknowledged := maps.Clone(h.acknowledged)
	h.mu.Unlock()
	maps.DeleteFunc(acknowledged, func(_ shrecord.Identity, l Level) bool { return l == Deferred })
	h.outbox.cancel()
	ctx, cancel := context.WithCancel(h.t.Context())
	cancel()
	assert.Assert(h.t, h.outbox.Close(ctx) == nil || KindOf(h.outbox.Close(ctx)) == Closed)
	h.network.setFault(nil)
	h.checkNoLoss(seed, h.mergedRecords(), acknowledged, 1)
	for _, vm := range []shmodel.VM{"b", "c", "d"} {
		n, targets, _ := newNetwork(h.t)
		n.stores = h.network.stores
		adopter := NewOutbox(n, OutboxOptions{})
		adopter.SetTargets(targets)
		for _, origin := range n.stores[vm].Origins() {
			if origin == h.outbox.origin {
				assert.NilError(h.t, n.stores[vm].Adopt(h.t.Context(), origin, adopter))
			}
		}
		assert.NilError(h.t, adopter.Close(h.t.Context()))
	}
	h.checkNoLoss(seed, h.mergedRecords(), acknowledged, 2)
}

// loseStore removes a store or restarts it without some of its unsynced bytes,
// and checks that the outbox makes up for the lost copies.
func (h *faultRun) loseStore(seed uint64, lostVM shmodel.VM, writers *sync.WaitGroup) {
	permanent := h.intN(2) == 0
	if permanent {
		h.network.setStore(lostVM, nil)
	} else {
		h.restart(lostVM)
	}
	writers.Wait()
	h.network.setFault(nil)
	waitUntilReplicated(h.t, h.outbox)
	assert.NilError(h.t, h.outbox.Close(h.t.Context()))
	copies := 2
	if permanent {
		copies = 1
	}
	h.checkNoLoss(seed, h.mergedRecords(), h.acknowledged, copies)
	report, err := shrecord.Verify(
		[]shrecord.Range{{First: 1, Last: 1000, VM: "self"}},
		shrecord.Merge(Pages(h.t.Context(), ReadRequest{}, h.network.stores[otherStore(lostVM)].Read)),
	)
	assert.NilError(h.t, err)
	assert.Assert(h.t, report.Complete, "seed %d: %+v", seed, report)
}

func otherStore(lostVM shmodel.VM) shmodel.VM {
	if lostVM == "b" {
		return "c"
	}
	return "b"
}

// Guards against acknowledged records that are lost when one VM fails while
// messages are lost, delayed and resent, a disk is full or a sync fails, and
// against records that are exported twice.
func TestRandomFaultsLoseNoRecord(t *testing.T) {
	for shard := range uint64(faultRunShards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < faultRunSeeds; seed += faultRunShards {
				synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed) })
			}
		})
	}
}

func runWithFaults(t *testing.T, seed uint64) {
	n, targets, disks := newNetwork(t)
	h := &faultRun{
		t: t, network: n, disks: disks, random: rand.New(rand.NewPCG(seed, 4)),
		acknowledged: make(map[shrecord.Identity]Level), open: openFakeStore,
	}
	if seed%2 == 1 {
		// With small segments, index files are written during the run.
		h.open = openSmallSegments
		for vm, d := range disks {
			n.setStore(vm, h.open(t, d))
		}
	}
	n.setFault(h.fault)
	h.outbox = testOutbox(n, targets)
	lostVM := []shmodel.VM{"self", "b", "c", "d"}[h.intN(4)]
	var writers, diskFault sync.WaitGroup
	for range faultRunWriters {
		writers.Go(h.writer)
	}
	diskFault.Go(func() { h.injectDiskFault(lostVM) })
	time.Sleep(time.Duration(h.intN(400)) * time.Millisecond)
	if lostVM == "self" {
		h.loseOutbox(seed)
		writers.Wait()
	} else {
		h.loseStore(seed, lostVM, &writers)
	}
	diskFault.Wait()
}

// Guards against verification that does not report records whose copies are all
// lost.
func TestLossOfBothCopiesIsVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, _ := newNetwork(t)
		o := testOutbox(n, targets)
		for id := shmodel.RequestID(1); id <= 3; id++ {
			if id == 3 {
				n.stores["b"], n.stores["c"] = openFakeStore(t, newFakeDisk()), openFakeStore(t, newFakeDisk())
			}
			assert.NilError(t, write(t, o, Durable, openingRecord(id)))
		}
		assert.NilError(t, o.Close(t.Context()))
		report, err := shrecord.Verify([]shrecord.Range{{First: 1, Last: 9, VM: "self"}},
			shrecord.Merge(Pages(t.Context(), ReadRequest{}, n.stores["b"].Read), Pages(t.Context(), ReadRequest{}, n.stores["c"].Read)))
		assert.NilError(t, err)
		assert.Equal(t, report.Gaps, uint64(2))
		assert.Assert(t, report.Complete && !report.Clean)
	})
}
