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
	historySeeds    = 200
	historyWriters  = 3
	historyRequests = 8
	historyShards   = 4
)

// history is one run of an outbox with random network faults and the loss of
// one VM.
type history struct {
	t       *testing.T
	network *network
	outbox  *Outbox
	disks   map[shmodel.VM]*fakeDisk

	mu     sync.Mutex
	random *rand.Rand
	next   shmodel.RequestID
	// acknowledged holds the records whose Write returned nil.
	acknowledged map[shrecord.Identity]Level
}

func (h *history) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) fault(shmodel.VM) fault {
	kind := h.intN(10)
	return fault{
		delay:       time.Duration(h.intN(30)) * time.Millisecond,
		loseRequest: kind == 0, loseAnswer: kind == 1,
	}
}

func (h *history) write(r shrecord.Record, level Level) {
	if h.outbox.Write(h.t.Context(), []shrecord.Record{r}, level) == nil {
		h.mu.Lock()
		h.acknowledged[r.Identity()] = level
		h.mu.Unlock()
	}
}

func (h *history) writer() {
	for range historyRequests {
		h.mu.Lock()
		h.next++
		id := h.next
		h.mu.Unlock()
		h.write(opened(id), Level(1+h.intN(2)))
		time.Sleep(time.Duration(h.intN(10)) * time.Millisecond)
		h.write(closedRecord(id), Deferred)
	}
}

// restart replaces a store by what a power loss leaves of its disk.
func (h *history) restart(vm shmodel.VM) {
	h.network.power.Lock()
	defer h.network.power.Unlock()
	h.disks[vm] = h.disks[vm].crash(func(unsynced int) int { return h.intN(unsynced + 1) })
	h.network.setStore(vm, openFake(h.t, h.disks[vm]))
}

// disturb lets one disk be full, or a sync of it fail, which is the loss of
// that VM in this history. It returns the VM that may not be lost in addition.
func (h *history) disturb(victim shmodel.VM) {
	switch h.intN(3) {
	case 0:
		d := h.disks[[]shmodel.VM{"b", "c", "d"}[h.intN(3)]]
		d.set(func() { d.capacity = d.used() + h.intN(500) })
		time.Sleep(100 * time.Millisecond)
		d.set(func() { d.capacity = 1 << 30 })
	case 1:
		if victim != "self" {
			d := h.disks[victim]
			d.set(func() { d.failSync = true })
		}
	}
}

// remaining merges what the stores hold.
func (h *history) remaining() []shrecord.Merged {
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

// checkNoLoss checks that each record of want is in merged, at least copies
// times.
func (h *history) checkNoLoss(seed uint64, merged []shrecord.Merged, want map[shrecord.Identity]Level, copies int) {
	held := make(map[shrecord.Identity]int)
	for _, m := range merged {
		assert.Equal(h.t, held[m.Identity()], 0, "seed %d: %v twice", seed, m.Identity())
		held[m.Identity()] = m.Copies
	}
	for id, level := range want {
		assert.Assert(h.t, held[id] >= copies, "seed %d: %v at level %d has %d copies", seed, id, level, held[id])
	}
}

// loseSelf ends the outbox at once, checks what it acknowledged, and lets
// another VM adopt its batches.
func (h *history) loseSelf(seed uint64) {
	h.mu.Lock()
	acknowledged := maps.Clone(h.acknowledged)
	h.mu.Unlock()
	maps.DeleteFunc(acknowledged, func(_ shrecord.Identity, l Level) bool { return l == Deferred })
	h.outbox.cancel()
	ctx, cancel := context.WithCancel(h.t.Context())
	cancel()
	assert.Assert(h.t, h.outbox.Close(ctx) == nil || KindOf(h.outbox.Close(ctx)) == Closed)
	h.network.setFault(nil)
	h.checkNoLoss(seed, h.remaining(), acknowledged, 1)
	for _, vm := range []shmodel.VM{"b", "c", "d"} {
		n, targets, _ := deployment(h.t)
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
	h.checkNoLoss(seed, h.remaining(), acknowledged, 2)
}

// loseStore loses a store for good or restarts it without its unsynced bytes.
func (h *history) loseStore(seed uint64, victim shmodel.VM, writers *sync.WaitGroup) {
	forGood := h.intN(2) == 0
	if forGood {
		h.network.setStore(victim, nil)
	} else {
		h.restart(victim)
	}
	writers.Wait()
	h.network.setFault(nil)
	settle(h.t, h.outbox)
	assert.NilError(h.t, h.outbox.Close(h.t.Context()))
	copies := 2
	if forGood {
		copies = 1
	}
	h.checkNoLoss(seed, h.remaining(), h.acknowledged, copies)
	report, err := shrecord.Verify(
		[]shrecord.Range{{First: 1, Last: 1000, VM: "self"}},
		shrecord.Merge(Pages(h.t.Context(), ReadRequest{}, h.network.stores[firstOther(victim)].Read)),
	)
	assert.NilError(h.t, err)
	assert.Assert(h.t, report.Complete, "seed %d: %+v", seed, report)
}

func firstOther(victim shmodel.VM) shmodel.VM {
	if victim == "b" {
		return "c"
	}
	return "b"
}

// Guards against the loss of an acknowledged record with any one VM, while
// messages are lost, late and repeated, a disk is full or a sync fails; and
// against records that are exported twice.
func TestSeededHistories(t *testing.T) {
	for shard := range uint64(historyShards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < historySeeds; seed += historyShards {
				synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
			}
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	n, targets, disks := deployment(t)
	h := &history{
		t: t, network: n, disks: disks, random: rand.New(rand.NewPCG(seed, 4)),
		acknowledged: make(map[shrecord.Identity]Level),
	}
	n.setFault(h.fault)
	h.outbox = testOutbox(n, targets)
	victim := []shmodel.VM{"self", "b", "c", "d"}[h.intN(4)]
	var writers, disturbed sync.WaitGroup
	for range historyWriters {
		writers.Go(h.writer)
	}
	disturbed.Go(func() { h.disturb(victim) })
	time.Sleep(time.Duration(h.intN(400)) * time.Millisecond)
	if victim == "self" {
		h.loseSelf(seed)
		writers.Wait()
	} else {
		h.loseStore(seed, victim, &writers)
	}
	disturbed.Wait()
}

// Guards against a loss of both copies that stays hidden.
func TestLossOfBothCopiesIsVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, _ := deployment(t)
		o := testOutbox(n, targets)
		for id := shmodel.RequestID(1); id <= 3; id++ {
			if id == 3 {
				n.stores["b"], n.stores["c"] = openFake(t, newFakeDisk()), openFake(t, newFakeDisk())
			}
			assert.NilError(t, write(t, o, Durable, opened(id)))
		}
		assert.NilError(t, o.Close(t.Context()))
		report, err := shrecord.Verify([]shrecord.Range{{First: 1, Last: 9, VM: "self"}},
			shrecord.Merge(Pages(t.Context(), ReadRequest{}, n.stores["b"].Read), Pages(t.Context(), ReadRequest{}, n.stores["c"].Read)))
		assert.NilError(t, err)
		assert.Equal(t, report.Gaps, uint64(2))
		assert.Assert(t, report.Complete && !report.Clean)
	})
}
