package shsteer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shwatch"
)

const (
	// accountDelay groups the records of a VM into one batch, so that few bytes
	// travel. A VM that is killed leaves that much of its account as gaps.
	accountDelay = time.Second
	// accountTimeout bounds an append beyond the round trips, with room for a
	// slow sync.
	accountTimeout = time.Second
	// maxAccountBytes bounds the records that wait in memory for control VMs.
	maxAccountBytes = 16 << 20
	// maxUnnumbered bounds the requests that wait for a number. A VM has numbers
	// soon after it found the leader.
	maxUnnumbered = 4096
	// otherRegionRTT stands for the round trip to control VMs of other regions.
	otherRegionRTT = 40 * time.Millisecond
	closeTimeout   = 500 * time.Millisecond
)

// accountWriter numbers the requests of an entry VM and brings their records to
// control VMs in two failure domains. It implements shfront.Account.
type accountWriter struct {
	settings   shsettings.Fleet
	client     *shpeer.Client
	watcher    *shwatch.Watcher
	allocator  *shaccount.Allocator
	outbox     *shaccount.Outbox
	reportLost func(requests int, err error)

	mu      sync.Mutex
	waiting [][]shrecord.Record // without a number
}

func newAccountWriter(p *process, w *shwatch.Watcher) *accountWriter {
	incarnation := uint64(time.Now().UnixNano())
	a := &accountWriter{settings: p.Settings, client: p.client, watcher: w}
	a.reportLost = func(requests int, err error) {
		p.metrics.GetOrCreateCounter("sequoiahollow_account_lost_total").Add(requests)
		p.Log.Error("account records lost", "requests", requests, "error", err)
	}
	obtained := uint64(0)
	a.allocator = shaccount.NewAllocator(func(ctx context.Context, count uint64) (shrecord.Range, error) {
		r, err := w.Reserve(ctx, shcontrol.ReserveRange{
			VM: p.Settings.VM, Incarnation: incarnation, Count: count, Sequence: obtained + 1,
		})
		if err == nil {
			obtained++
		}
		return r, err
	})
	place := shmodel.Place{Region: p.Settings.Region, FailureDomain: p.Settings.Zone}
	a.outbox = shaccount.NewOutbox(a, shaccount.OutboxOptions{
		Replication: shreplication.Config{Self: p.Settings.VM, Place: place, Timeout: accountTimeout},
		MaxBytes:    maxAccountBytes, DeferredDelay: accountDelay, Incarnation: incarnation,
	})
	return a
}

// Next implements shfront.Account.
func (a *accountWriter) Next() shmodel.RequestID {
	id, err := a.allocator.Next()
	if err != nil {
		return 0
	}
	return id
}

// Write implements shfront.Account.
func (a *accountWriter) Write(records []shrecord.Record) {
	if records[0].RequestID == 0 {
		a.queueUnnumbered(records)
		return
	}
	if err := a.outbox.Write(context.Background(), records, shaccount.Deferred); err != nil {
		a.reportLost(1, err)
	}
}

func (a *accountWriter) queueUnnumbered(records []shrecord.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= maxUnnumbered {
		a.reportLost(1, errors.New("no number for the account"))
		return
	}
	a.waiting = append(a.waiting, records)
}

// numberWaiting gives the waiting records their numbers.
func (a *accountWriter) numberWaiting() {
	a.mu.Lock()
	waiting := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	for _, records := range waiting {
		id := a.Next()
		for i := range records {
			records[i].RequestID = id
		}
		a.Write(records)
	}
}

// run keeps numbers reserved and the control VMs known until ctx ends.
func (a *accountWriter) run(ctx context.Context) {
	go a.allocator.Run(ctx)
	ticker := time.NewTicker(accountDelay)
	defer ticker.Stop()
	for {
		a.outbox.SetTargets(a.targets())
		a.numberWaiting()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// targets are the control VMs that are members now, the near ones first.
func (a *accountWriter) targets() []shreplication.Target {
	members := a.watcher.ControlAddresses()
	var targets []shreplication.Target
	for _, c := range a.watcher.View().Controls {
		t := shreplication.Target{
			VM: c.VM, Place: shmodel.Place{Region: c.Region, FailureDomain: c.Zone},
			Disk: true, Healthy: slices.Contains(members, c.Address),
		}
		switch {
		case c.Zone == a.settings.Zone:
		case c.Region == a.settings.Region:
			t.Distance = time.Millisecond
		default:
			t.Distance = otherRegionRTT
		}
		targets = append(targets, t)
	}
	return targets
}

func (a *accountWriter) address(vm shmodel.VM) string {
	for _, c := range a.watcher.View().Controls {
		if c.VM == vm {
			return c.Address
		}
	}
	return ""
}

// Append implements shaccount.Replicator.
func (a *accountWriter) Append(ctx context.Context, target shmodel.VM, q shaccount.AppendRequest) (shaccount.AppendResponse, error) {
	return shpeer.Call[shaccount.AppendResponse](ctx, a.client, a.address(target), shwire.MethodAccountAppend, q)
}

// Release implements shaccount.Replicator. Stores with a disk need none.
func (a *accountWriter) Release(context.Context, shmodel.VM, shaccount.ReleaseRequest) error {
	return nil
}

// close sends what waits.
func (a *accountWriter) close() error {
	a.outbox.SetTargets(a.targets())
	a.numberWaiting()
	a.mu.Lock()
	if n := len(a.waiting); n > 0 {
		a.reportLost(n, errors.New("the VM stopped before it had numbers for the account"))
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return a.outbox.Close(ctx)
}
