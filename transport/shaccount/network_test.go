package shaccount

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

var errNetwork = errors.New("network fault")

// network is a Replicator that calls stores in this process. The function fault
// returns the fault of each append.
type network struct {
	// replaceMu is held for reading during an append and for writing while a
	// store restarts, so that the replaced store answers no later append.
	replaceMu sync.RWMutex
	mu        sync.Mutex
	stores    map[shmodel.VM]*Store
	fault     func(target shmodel.VM) fault
	calls     map[shmodel.VM]int
}

// fault is a fault of one append: a delay, after which the request or the
// answer may be lost.
type fault struct {
	delay       time.Duration
	loseRequest bool
	loseAnswer  bool
}

func (n *network) Append(ctx context.Context, target shmodel.VM, request AppendRequest) (AppendResponse, error) {
	n.mu.Lock()
	f := fault{}
	if n.fault != nil {
		f = n.fault(target)
	}
	n.calls[target]++
	n.mu.Unlock()
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-ctx.Done():
			return AppendResponse{}, ctx.Err()
		}
	}
	n.replaceMu.RLock()
	defer n.replaceMu.RUnlock()
	n.mu.Lock()
	store := n.stores[target]
	n.mu.Unlock()
	if f.loseRequest || store == nil {
		return AppendResponse{}, errNetwork
	}
	response, err := store.HandleAppend(ctx, request)
	if f.loseAnswer {
		return AppendResponse{}, errNetwork
	}
	return response, err
}

func (n *network) Release(ctx context.Context, target shmodel.VM, request ReleaseRequest) error {
	n.mu.Lock()
	store := n.stores[target]
	n.mu.Unlock()
	if store == nil {
		return errNetwork
	}
	return store.Release(ctx, request)
}

func (n *network) setFault(f func(shmodel.VM) fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

func (n *network) setStore(vm shmodel.VM, s *Store) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stores[vm] = s
}

var selfPlace = shmodel.Place{Region: "tasmania-south", FailureDomain: "a"}

func target(vm shmodel.VM, region shmodel.Region, domain shmodel.FailureDomain, distance time.Duration) shreplication.Target {
	return shreplication.Target{
		VM: vm, Place: shmodel.Place{Region: region, FailureDomain: domain},
		Disk: true, Healthy: true, Distance: distance,
	}
}

// newNetwork returns a network with the targets b (other failure domain of the
// region), c (another region) and d (a region farther away), with stores on fake
// disks.
func newNetwork(t testing.TB) (*network, []shreplication.Target, map[shmodel.VM]*fakeDisk) {
	n := &network{stores: make(map[shmodel.VM]*Store), calls: make(map[shmodel.VM]int)}
	disks := make(map[shmodel.VM]*fakeDisk)
	for _, vm := range []shmodel.VM{"b", "c", "d"} {
		disks[vm] = newFakeDisk()
		n.stores[vm] = openFakeStore(t, disks[vm])
	}
	return n, []shreplication.Target{
		target("b", "tasmania-south", "b", time.Millisecond),
		target("c", "tasmania-north", "a", 12*time.Millisecond),
		target("d", "victoria", "a", 20*time.Millisecond),
	}, disks
}

// openFakeStore opens a store on d that syncs only on request.
func openFakeStore(t testing.TB, d *fakeDisk) *Store {
	t.Helper()
	s, err := OpenStore(StoreOptions{folder: d, SyncDelay: time.Hour})
	assert.NilError(t, err)
	return s
}

func testOutbox(n *network, targets []shreplication.Target) *Outbox {
	o := NewOutbox(n, OutboxOptions{Replication: shreplication.Config{Self: "self", Place: selfPlace}, Incarnation: 7})
	o.SetTargets(targets)
	return o
}

func openingRecord(id shmodel.RequestID) shrecord.Record {
	return shrecord.Record{
		RequestID: id, Kind: shrecord.Opened, VM: "self", At: time.Unix(1_700_000_000, 0),
		Service: "field-sampling-records", Method: "GET", Path: fmt.Sprintf("/records/%d", id), Caller: "10.0.0.1",
	}
}

func closingRecord(id shmodel.RequestID) shrecord.Record {
	r := openingRecord(id)
	r.Kind, r.Outcome, r.Status, r.AnswerBytes = shrecord.Closed, shmodel.Answered, 200, 512
	return r
}

// holders returns the VMs whose store holds the record.
func (n *network) holders(t testing.TB, id shrecord.Identity) []shmodel.VM {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []shmodel.VM
	for _, vm := range []shmodel.VM{"b", "c", "d"} {
		if n.stores[vm] == nil {
			continue
		}
		page, err := n.stores[vm].Read(t.Context(), ReadRequest{First: id.RequestID, Last: id.RequestID})
		assert.NilError(t, err)
		for _, r := range page.Records {
			if r.Identity() == id {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}
