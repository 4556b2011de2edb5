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
	// accountDelay is how long records are collected before they are sent in one
	// batch, which saves traffic. A VM that is killed loses the records of that
	// time; they show as gaps in the account.
	accountDelay = time.Second
	// accountTimeout bounds an append in addition to the round trip, with room for
	// a slow disk sync.
	accountTimeout = time.Second
	// maxAccountBytes bounds the records in memory that are not yet synced on two
	// control VMs.
	maxAccountBytes = 16 << 20
	// maxUnnumbered bounds the requests whose records wait for a number. The wait is
	// short: a VM gets its first range of numbers soon after it has found the leader.
	maxUnnumbered = 4096
	// otherRegionRTT is the assumed round-trip time to control VMs in other regions.
	otherRegionRTT = 40 * time.Millisecond
	// closeTimeout bounds sending the remaining records when the VM stops.
	closeTimeout = 500 * time.Millisecond
)

// accountWriter numbers the requests of an entry VM and replicates their account
// records to control VMs in two failure domains. It implements shfront.Account.
type accountWriter struct {
	settings   shsettings.Fleet
	client     *shpeer.Client
	watcher    *shwatch.Watcher
	allocator  *shaccount.Allocator
	outbox     *shaccount.Outbox
	reportLost func(requests int, err error)

	mu      sync.Mutex
	waiting [][]shrecord.Record // by request, without a number yet
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
		Replication: shreplication.Config{Self: p.Settings.VM, Place: place, AppendTimeout: accountTimeout},
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
		a.reportLost(1, errors.New("too many requests wait for a record number"))
		return
	}
	a.waiting = append(a.waiting, records)
}

// numberWaiting numbers the waiting records and writes them. Those for which there
// is still no number wait again.
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

// run reserves numbers and updates the list of control VMs until ctx ends.
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

// targets returns the announced control VMs with their distances. Those in the
// last answer of the leader count as healthy.
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

// Release implements shaccount.Replicator. It does nothing, because all stores
// here have a disk and keep their records.
func (a *accountWriter) Release(context.Context, shmodel.VM, shaccount.ReleaseRequest) error {
	return nil
}

// close numbers the waiting records and sends those that are not sent yet.
func (a *accountWriter) close() error {
	a.outbox.SetTargets(a.targets())
	a.numberWaiting()
	a.mu.Lock()
	if n := len(a.waiting); n > 0 {
		a.reportLost(n, errors.New("the VM stopped before it had record numbers"))
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return a.outbox.Close(ctx)
}
