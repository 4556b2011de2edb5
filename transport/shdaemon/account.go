package shdaemon

import (
	"context"
	"path/filepath"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shview"
)

// defaultLatency is the assumed one-way latency between regions for which the
// configuration has no link.
const defaultLatency = 50 * time.Millisecond

// openAccountStore opens the store of this VM: on disk with the account role,
// otherwise in memory, for copies of records that other entry VMs append.
func openAccountStore(s shsettings.Settings) (*shaccount.Store, error) {
	var o shaccount.StoreOptions
	if s.Has(shsettings.Account) {
		o.Folder = filepath.Join(s.DataFolder, "account")
	}
	return shaccount.OpenStore(o)
}

func registerAccountHandlers(server *shpeer.Server, store *shaccount.Store) {
	shpeer.Handle(server, shwire.MethodAccountAppend, store.HandleAppend)
	shpeer.Handle(server, shwire.MethodAccountRead, store.Read)
	shpeer.Handle(server, shwire.MethodRelease, func(ctx context.Context, r shaccount.ReleaseRequest) (shwire.Empty, error) {
		return shwire.Empty{}, store.Release(ctx, r)
	})
}

// replicator sends batches of records over jsonrpc2.
type replicator struct {
	client  *shpeer.Client
	address func(shmodel.VM) string
}

// Append implements shaccount.Replicator.
func (r replicator) Append(ctx context.Context, target shmodel.VM, q shaccount.AppendRequest) (shaccount.AppendResponse, error) {
	return shpeer.Call[shaccount.AppendResponse](ctx, r.client, r.address(target), shwire.MethodAccountAppend, q)
}

// Release implements shaccount.Replicator.
func (r replicator) Release(ctx context.Context, target shmodel.VM, q shaccount.ReleaseRequest) error {
	_, err := shpeer.Call[shwire.Empty](ctx, r.client, r.address(target), shwire.MethodRelease, q)
	return err
}

// newAllocator returns an allocator that reserves request IDs for one process
// of a VM.
func newAllocator(p *shview.Proposer, vm shmodel.VM, incarnation uint64) *shaccount.Allocator {
	obtained := uint64(0)
	return shaccount.NewAllocator(func(ctx context.Context, count uint64) (shrecord.Range, error) {
		r, err := shview.ProposeFor[shcontrol.RangeResult](ctx, p, shcontrol.ReserveRange{
			VM: vm, Incarnation: incarnation, Count: count, Sequence: obtained + 1,
		})
		if err == nil {
			obtained++
		}
		return r.Range, err
	})
}

// accountTargets lists the VMs that may store copies of records: the account
// VMs of the settings, and the other entry VMs of the region for copies in
// memory.
func accountTargets(s shsettings.Settings, v *shview.View) []shreplication.Target {
	latencies := v.LatencyMS(s.Region)
	latencyTo := func(p shmodel.Place) time.Duration {
		if p.Region == s.Region {
			return innerLatency(v, s.Region)
		}
		ms, ok := latencies[p.Region]
		if !ok {
			return defaultLatency
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	up := map[shmodel.VM]bool{}
	for _, h := range v.Entries {
		up[h.VM] = true
	}
	var targets []shreplication.Target
	listed := map[shmodel.VM]bool{}
	for _, p := range s.Peers {
		if !p.Has(shsettings.Account) {
			continue
		}
		place := shmodel.Place{Region: p.Region, FailureDomain: p.FailureDomain}
		listed[p.VM] = true
		targets = append(targets, shreplication.Target{
			VM: p.VM, Place: place, Disk: true, Healthy: len(up) == 0 || up[p.VM], Distance: latencyTo(place),
		})
	}
	for _, h := range v.Entries {
		if !listed[h.VM] && h.Place.Region == s.Region {
			targets = append(targets, shreplication.Target{VM: h.VM, Place: h.Place, Healthy: true, Distance: latencyTo(h.Place)})
		}
	}
	return targets
}

func innerLatency(v *shview.View, region shmodel.Region) time.Duration {
	if !v.Ready() {
		return time.Millisecond
	}
	return time.Duration(v.Config.Config.Regions[region].InnerLatencyMS * float64(time.Millisecond))
}

// adoptInterval is the time between searches for records of processes that have
// ended.
const adoptInterval = 2 * time.Second

// adoptRecords copies the records that this VM holds for processes that have
// ended to two account VMs. Every VM that holds such records may do so, because
// appends are idempotent.
func (d *daemon) adoptRecords(ctx context.Context) {
	every(ctx, adoptInterval, func() {
		v := d.syncer.View()
		if !v.Confirmed(time.Now()) {
			return
		}
		for _, o := range d.store.Origins() {
			if isRunning(o, v.Entries) {
				continue
			}
			d.log.Info("adopting the account records of a process that has ended", "origin", o.VM)
			if err := d.store.Adopt(ctx, o, d.outbox); err != nil {
				d.log.Warn("not all account records were adopted; retrying later", "origin", o.VM, "error", err)
			}
		}
	})
}

func isRunning(o shaccount.Origin, entries []shdirectory.Heartbeat) bool {
	for _, h := range entries {
		if h.VM == o.VM && h.Incarnation == o.Incarnation {
			return true
		}
	}
	return false
}

// peerAddresses returns a function from VM to peer address. Addresses from the
// directory take precedence over those of the settings.
func peerAddresses(s shsettings.Settings, entries func() []shdirectory.Heartbeat) func(shmodel.VM) string {
	configured := map[shmodel.VM]string{}
	for _, p := range s.Peers {
		configured[p.VM] = p.PeerAddress
	}
	return func(vm shmodel.VM) string {
		for _, h := range entries() {
			if h.VM == vm {
				return h.PeerAddress
			}
		}
		return configured[vm]
	}
}
