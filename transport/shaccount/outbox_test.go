package shaccount

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// waitUntilReplicated waits until two account VMs have synced all records of the
// outbox, for at most a minute.
func waitUntilReplicated(t testing.TB, o *Outbox) {
	t.Helper()
	for range 6000 {
		if records, _ := o.Unreplicated(); records == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	records, _ := o.Unreplicated()
	t.Fatalf("%d records are still unreplicated", records)
}

func write(t testing.TB, o *Outbox, level Level, records ...shrecord.Record) error {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return o.Write(ctx, records, level)
}

// Guards against a fault that makes Write fail although other targets are left,
// or that leaves a record on fewer than two account VMs.
func TestOutboxFaults(t *testing.T) {
	always := func(vm shmodel.VM, f fault) func(shmodel.VM) fault {
		return func(target shmodel.VM) fault {
			if target == vm {
				return f
			}
			return fault{}
		}
	}
	lostAcks := func() func(shmodel.VM) fault {
		lost := make(map[shmodel.VM]int)
		return func(target shmodel.VM) fault {
			lost[target]++
			return fault{loseAnswer: lost[target] <= 2}
		}
	}
	tests := []struct {
		name    string
		fault   func(shmodel.VM) fault
		prepare func(disks map[shmodel.VM]*fakeDisk)
		holders []shmodel.VM
		longest time.Duration
	}{
		{"none", nil, nil, []shmodel.VM{"b", "c"}, 0},
		{"first target unreachable", always("b", fault{loseRequest: true}), nil, []shmodel.VM{"c", "d"}, 0},
		{"second target unreachable", always("c", fault{loseRequest: true}), nil, []shmodel.VM{"b", "d"}, 0},
		{"slow target", always("b", fault{delay: time.Hour}), nil, []shmodel.VM{"c", "d"}, 400 * time.Millisecond},
		{"slow answers", always("b", fault{delay: 50 * time.Millisecond}), nil, []shmodel.VM{"b", "c"}, 50 * time.Millisecond},
		{"lost acknowledgements", lostAcks(), nil, nil, 500 * time.Millisecond},
		{
			"full disk", nil,
			func(disks map[shmodel.VM]*fakeDisk) { disks["b"].capacity = 0 },
			[]shmodel.VM{"c", "d"},
			0,
		},
		{
			"failed sync", nil,
			func(disks map[shmodel.VM]*fakeDisk) { disks["c"].failSync = true },
			nil, 0,
		},
	}
	for _, test := range tests {
		for _, level := range []Level{Deferred, Copied, Durable} {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n, targets, disks := newNetwork(t)
					if test.prepare != nil {
						test.prepare(disks)
					}
					n.setFault(test.fault)
					o := testOutbox(n, targets)
					start := time.Now()
					assert.NilError(t, write(t, o, level, openingRecord(1)))
					assert.Assert(t, time.Since(start) <= test.longest, "took %v", time.Since(start))
					waitUntilReplicated(t, o)
					holders := n.holders(t, openingRecord(1).Identity())
					if test.holders != nil {
						assert.DeepEqual(t, holders, test.holders)
					}
					assert.Assert(t, len(holders) >= 2)
					assert.NilError(t, o.Close(t.Context()))
				})
			})
		}
	}
}

// Guards against a record that is left with one copy when a target fails before
// it has synced its copy.
func TestOutboxTargetFailsBetweenCopyAndSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, disks := newNetwork(t)
		disks["b"].syncBlock = make(chan struct{})
		o := testOutbox(n, targets)
		assert.NilError(t, write(t, o, Copied, openingRecord(1)))
		disks["b"].failSync = true
		close(disks["b"].syncBlock)
		n.setStore("b", openFakeStore(t, disks["b"].crash(func(int) int { return 0 })))
		waitUntilReplicated(t, o)
		holders := n.holders(t, openingRecord(1).Identity())
		assert.Assert(t, len(holders) >= 2, "%v", holders)
		assert.NilError(t, o.Close(t.Context()))
	})
}

// Guards against a store that restarts without its unsynced records but still
// confirms that it holds them.
func TestOutboxResendsToRestartedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, disks := newNetwork(t)
		o := testOutbox(n, targets)
		down := fault{loseRequest: true}
		n.setFault(func(vm shmodel.VM) fault {
			if vm == "b" && n.calls["b"] == 0 {
				return fault{}
			}
			return down
		})
		assert.NilError(t, write(t, o, Copied, openingRecord(1)))
		restarted := disks["b"].crash(func(int) int { return 0 })
		n.setStore("b", openFakeStore(t, restarted))
		n.setFault(nil)
		waitUntilReplicated(t, o)
		assert.DeepEqual(t, n.holders(t, openingRecord(1).Identity())[0], shmodel.VM("b"))
		n.setStore("b", openFakeStore(t, restarted.crash(nil)))
		assert.DeepEqual(t, n.holders(t, openingRecord(1).Identity())[0], shmodel.VM("b"))
		assert.NilError(t, o.Close(t.Context()))
	})
}

// Guards against records that are dropped while no account VM is reachable, and
// against an outbox that grows without bound.
func TestOutboxWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, _ := newNetwork(t)
		o := NewOutbox(n, OutboxOptions{
			Replication: shreplication.Config{Self: "self", Place: selfPlace}, MaxBytes: 20_000,
		})
		assert.Equal(t, KindOf(o.Ready()), Unreachable)
		assert.Equal(t, KindOf(write(t, o, Copied, openingRecord(1))), Unreachable)
		last := shmodel.RequestID(1)
		for write(t, o, Deferred, openingRecord(last+1)) == nil {
			last++
		}
		assert.Equal(t, KindOf(o.Ready()), Full)
		assert.Equal(t, KindOf(write(t, o, Durable, openingRecord(last+1))), Full)
		assert.NilError(t, write(t, o, Deferred, closingRecord(1)))
		o.SetTargets(targets)
		waitUntilReplicated(t, o)
		assert.NilError(t, o.Ready())
		for id := shmodel.RequestID(1); id <= last; id++ {
			assert.Equal(t, len(n.holders(t, openingRecord(id).Identity())), 2)
		}
		assert.NilError(t, o.Close(t.Context()))
		assert.Equal(t, KindOf(write(t, o, Deferred, openingRecord(1))), Closed)
	})
}

// Guards against copies in a store without disk that are never freed, and
// against copies that are lost although their sender failed and the store still
// holds them.
func TestOutboxUsesStoreWithoutDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, _ := newNetwork(t)
		memory, err := OpenStore(StoreOptions{})
		assert.NilError(t, err)
		n.setStore("m", memory)
		m := target("m", "tasmania-south", "b", time.Microsecond)
		m.Disk = false
		o := testOutbox(n, append(targets, m))
		onlyMemory := func(vm shmodel.VM) fault { return fault{loseRequest: vm != "m"} }
		n.setFault(onlyMemory)
		assert.NilError(t, write(t, o, Copied, openingRecord(1)))
		assert.Equal(t, memory.Records(), 1)
		n.setFault(nil)
		waitUntilReplicated(t, o)
		time.Sleep(time.Second)
		assert.Equal(t, memory.Records(), 0)

		n.setFault(onlyMemory)
		assert.NilError(t, write(t, o, Copied, openingRecord(2)))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, KindOf(o.Close(ctx)), Unreachable)
		n.setFault(nil)
		adopter := NewOutbox(n, OutboxOptions{Replication: shreplication.Config{
			Self: "m", Place: shmodel.Place{Region: "tasmania-south", FailureDomain: "b"},
		}})
		adopter.SetTargets(targets)
		assert.NilError(t, memory.Adopt(t.Context(), memory.Origins()[0], adopter))
		assert.NilError(t, adopter.Close(t.Context()))
		assert.Equal(t, len(n.holders(t, openingRecord(2).Identity())), 2)
		assert.Equal(t, memory.Records(), 0)
	})
}

// Guards against a grouping delay while the outbox is idle, and against one
// message per record while it is busy.
func TestOutboxGroupsOnlyWhenBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, targets, _ := newNetwork(t)
		n.setFault(func(shmodel.VM) fault { return fault{delay: 5 * time.Millisecond} })
		o := testOutbox(n, targets)
		start := time.Now()
		done := make(chan time.Duration)
		for i := range 500 {
			go func() {
				assert.Check(t, write(t, o, Durable, openingRecord(shmodel.RequestID(i+1))) == nil)
				done <- time.Since(start)
			}()
		}
		var took []time.Duration
		for range 500 {
			took = append(took, <-done)
		}
		assert.Equal(t, slices.Min(took), 5*time.Millisecond)
		assert.Assert(t, slices.Max(took) <= 5*time.Millisecond+DefaultGroupDelay)
		assert.Assert(t, n.calls["b"] <= 4, "%d messages", n.calls["b"])
		assert.NilError(t, o.Close(t.Context()))
	})
}
