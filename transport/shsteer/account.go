package shsteer

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
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
	// accountBytes bounds the records that wait in memory for control VMs.
	accountBytes = 16 << 20
	// unnumbered bounds the requests that wait for a number. A VM has numbers
	// soon after it found the leader.
	unnumbered = 4096
	// maxUnpacked bounds an unpacked batch, in bytes.
	maxUnpacked = 16 << 20
	// otherRegionTrip stands for the round trip to control VMs of other regions.
	otherRegionTrip = 40 * time.Millisecond
	closeTimeout    = 500 * time.Millisecond
	// exportTimeout bounds the reading of one page of a store.
	exportTimeout = 5 * time.Second
)

// methodAppend takes a packedAppend.
const methodAppend = "account.packed"

// packedAppend is a shaccount.AppendRequest with compressed records.
type packedAppend struct {
	Request shaccount.AppendRequest `json:"request"`
	// Records is the compressed JSON of the records.
	Records []byte `json:"records,omitempty"`
}

func pack(records []shrecord.Record) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	err = errors.Join(json.NewEncoder(w).Encode(records), w.Close())
	return b.Bytes(), err
}

func unpack(data []byte) ([]shrecord.Record, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var records []shrecord.Record
	r := flate.NewReader(bytes.NewReader(data))
	err := json.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&records)
	return records, errors.Join(err, r.Close())
}

// accountant numbers the requests of an entry VM and brings their records to
// control VMs in two failure domains. It implements shfront.Account.
type accountant struct {
	settings  shsettings.Fleet
	client    *shpeer.Client
	watcher   *shwatch.Watcher
	allocator *shaccount.Allocator
	outbox    *shaccount.Outbox
	lost      func(requests int, err error)

	mu      sync.Mutex
	waiting [][]shrecord.Record // without a number
}

func newAccountant(p *process, w *shwatch.Watcher) *accountant {
	incarnation := uint64(time.Now().UnixNano())
	a := &accountant{settings: p.settings, client: p.client, watcher: w}
	a.lost = func(requests int, err error) {
		p.metrics.GetOrCreateCounter("sequoiahollow_account_lost_total").Add(requests)
		p.log.Error("account records lost", "requests", requests, "error", err)
	}
	obtained := uint64(0)
	a.allocator = shaccount.NewAllocator(func(ctx context.Context, count uint64) (shrecord.Range, error) {
		r, err := w.Reserve(ctx, shcontrol.ReserveRange{
			VM: p.settings.VM, Incarnation: incarnation, Count: count, Sequence: obtained + 1,
		})
		if err == nil {
			obtained++
		}
		return r, err
	})
	place := shmodel.Place{Region: p.settings.Region, FailureDomain: p.settings.Zone}
	a.outbox = shaccount.NewOutbox(a, shaccount.OutboxOptions{
		Replication: shreplication.Config{Self: p.settings.VM, Place: place, Timeout: accountTimeout},
		MaxBytes:    accountBytes, DeferredDelay: accountDelay, Incarnation: incarnation,
	})
	return a
}

// Next implements shfront.Account.
func (a *accountant) Next() shmodel.RequestID {
	id, err := a.allocator.Next()
	if err != nil {
		return 0
	}
	return id
}

// Write implements shfront.Account.
func (a *accountant) Write(records []shrecord.Record) {
	if records[0].RequestID == 0 {
		a.hold(records)
		return
	}
	if err := a.outbox.Write(context.Background(), records, shaccount.Deferred); err != nil {
		a.lost(1, err)
	}
}

func (a *accountant) hold(records []shrecord.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= unnumbered {
		a.lost(1, errors.New("no number for the account"))
		return
	}
	a.waiting = append(a.waiting, records)
}

// number gives the waiting records their numbers.
func (a *accountant) number() {
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
func (a *accountant) run(ctx context.Context) {
	go a.allocator.Run(ctx)
	ticker := time.NewTicker(accountDelay)
	defer ticker.Stop()
	for {
		a.outbox.SetTargets(a.targets())
		a.number()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// targets are the control VMs that are members now, the near ones first.
func (a *accountant) targets() []shreplication.Target {
	members := a.watcher.Control()
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
			t.Distance = otherRegionTrip
		}
		targets = append(targets, t)
	}
	return targets
}

func (a *accountant) address(vm shmodel.VM) string {
	for _, c := range a.watcher.View().Controls {
		if c.VM == vm {
			return c.Address
		}
	}
	return ""
}

// Append implements shaccount.Replicator.
func (a *accountant) Append(ctx context.Context, target shmodel.VM, q shaccount.AppendRequest) (shaccount.AppendResponse, error) {
	packed, err := pack(q.Records)
	if err != nil {
		return shaccount.AppendResponse{}, err
	}
	q.Records = nil
	return shpeer.Call[shaccount.AppendResponse](ctx, a.client, a.address(target), methodAppend, packedAppend{Request: q, Records: packed})
}

// Release implements shaccount.Replicator. Stores with a disk need none.
func (a *accountant) Release(context.Context, shmodel.VM, shaccount.ReleaseRequest) error { return nil }

// close sends what waits.
func (a *accountant) close() error {
	a.outbox.SetTargets(a.targets())
	a.number()
	a.mu.Lock()
	if n := len(a.waiting); n > 0 {
		a.lost(n, errors.New("the VM stopped before it had numbers for the account"))
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return a.outbox.Close(ctx)
}

// handleAccount lets a control VM keep and tell account records.
func handleAccount(server *shpeer.Server, store *shaccount.Store) {
	shpeer.Handle(server, methodAppend, func(ctx context.Context, p packedAppend) (shaccount.AppendResponse, error) {
		records, err := unpack(p.Records)
		if err == nil && len(records) == 0 && !p.Request.Confirm {
			err = errors.New("a batch without records")
		}
		if err != nil {
			return shaccount.AppendResponse{Refused: shaccount.Invalid, Reason: err.Error()}, nil
		}
		p.Request.Records = records
		return store.HandleAppend(ctx, p.Request)
	})
	shpeer.Handle(server, shwire.MethodAccountRead, store.Read)
}

// accountLines merges the records of all control VMs that can be read. The
// second result names those that cannot.
func (c *Control) accountLines(ctx context.Context) (iter.Seq2[shrecord.Line, error], []shrecord.Range, []shmodel.VM, error) {
	r := c.Registry()
	if r == nil {
		return nil, nil, nil, errors.New("the replicated state is not open")
	}
	ranges, err := r.Ranges(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	var sources []iter.Seq2[shrecord.Record, error]
	var missing []shmodel.VM
	for _, vm := range r.Controls() {
		read := func(ctx context.Context, q shaccount.ReadRequest) (shaccount.ReadResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, exportTimeout)
			defer cancel()
			return shpeer.Call[shaccount.ReadResponse](ctx, c.client, vm.Address, shwire.MethodAccountRead, q)
		}
		if _, err := read(ctx, shaccount.ReadRequest{Limit: 1}); err != nil {
			missing = append(missing, vm.VM)
			continue
		}
		sources = append(sources, shaccount.Pages(ctx, shaccount.ReadRequest{}, read))
	}
	if len(sources) == 0 {
		return nil, nil, missing, fmt.Errorf("no account can be read of %v", missing)
	}
	return shrecord.Export(ranges, shrecord.Merge(sources...)), ranges, missing, nil
}

// Verification is the answer to GET /v1/account/verify.
type Verification struct {
	shrecord.Report
	// Unread are control VMs whose records could not be read.
	Unread []shmodel.VM `json:"unread,omitempty"`
}

// serveAccount adds the operators' view of the account to a mux.
func (c *Control) serveAccount(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/account/export", func(w http.ResponseWriter, r *http.Request) {
		lines, _, missing, err := c.accountLines(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if len(missing) > 0 {
			c.log.Warn("control VMs left out of the export", "vms", missing)
		}
		encoder := json.NewEncoder(w)
		for line, err := range lines {
			if err == nil {
				err = encoder.Encode(line)
			}
			if err != nil {
				// A broken connection tells the client that the export is not whole.
				c.log.Error("account export ended early", "error", err)
				panic(http.ErrAbortHandler)
			}
		}
	})
	mux.HandleFunc("GET /v1/account/verify", func(w http.ResponseWriter, r *http.Request) {
		lines, ranges, missing, err := c.accountLines(r.Context())
		var report shrecord.Report
		if err == nil {
			report, err = shrecord.VerifyLines(ranges, lines)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(Verification{Report: report, Unread: missing}); err != nil {
			c.log.Info("verification not delivered", "error", err)
		}
	})
}
