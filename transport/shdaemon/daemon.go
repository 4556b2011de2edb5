// Package shdaemon runs the roles of one process and stops them in order.
package shdaemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/internal/shlistener"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shentry"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shreplica"
	"sequoiahollow/transport/shview"
)

const (
	// slotReportInterval is the time between slot reports to peers in the region.
	slotReportInterval = 200 * time.Millisecond
	// refreshInterval is the time between checks for a new view, from which the
	// state that depends on the configuration or the directory is updated.
	refreshInterval = 200 * time.Millisecond
	// notifyTimeout bounds one notification to a peer.
	notifyTimeout = 500 * time.Millisecond
	// initialReserveShare is the share of slots kept for local demand until a
	// configuration is known.
	initialReserveShare = 0.2
)

// listen opens the listeners of the process. Tests replace it to listen behind
// a relay, which accepts connections at the advertised address.
var listen = net.Listen

// daemon is the running process.
type daemon struct {
	settings       shsettings.Settings
	log            *slog.Logger
	incarnation    uint64
	leaving        atomic.Bool
	lock           *os.File
	metrics        *metrics.Set
	controlTraffic controlTraffic
	// lastView is the view that refresh applied last.
	lastView *shview.View

	traffic *shpeer.Traffic
	client  *shpeer.Client
	server  *shpeer.Server
	// peerBudget bounds what is held for connections from other VMs.
	peerBudget *shmemory.Budget
	// replica is nil without the control role, and while it is opened again.
	replica  atomic.Pointer[shreplica.Replica]
	store    *shaccount.Store
	outbox   *shaccount.Outbox
	ids      *shaccount.Allocator
	proposer *shview.Proposer
	syncer   *shview.Syncer
	entry    *shentry.Entry
	burn     *burnRecorder
	http     httpServers
}

// Run runs the roles of the settings until ctx ends, then stops gracefully. It
// returns early with an error if a role fails.
func Run(ctx context.Context, s shsettings.Settings, log *slog.Logger) error {
	d := &daemon{settings: s, log: log, incarnation: uint64(time.Now().UnixNano())}
	if err := d.open(); err != nil {
		return errors.Join(err, d.close())
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := d.serve(background); err != nil {
		return errors.Join(err, d.close())
	}
	d.log.Info("daemon started", "roles", s.Roles, "callerAddress", s.CallerAddress, "incarnation", d.incarnation)
	var running sync.WaitGroup
	running.Go(func() { d.keepReplicaOpen(background) })
	var failure error
	select {
	case <-ctx.Done():
		d.stop(background)
	case failure = <-d.http.failed:
	}
	cancel()
	running.Wait()
	return errors.Join(failure, d.close())
}

// open creates the components of the roles. None accepts connections before
// serve is called.
func (d *daemon) open() error {
	s := d.settings
	if s.DataFolder != "" {
		lock, err := lockFolder(s.DataFolder)
		if err != nil {
			return err
		}
		d.lock = lock
	}
	d.traffic = new(shpeer.Traffic)
	config := shpeer.Config{Self: s.PeerAddress, Traffic: d.traffic, Logger: d.log, Budget: shmemory.NewPeerBudget(s.MemoryMB, s.MaxFDs)}
	d.peerBudget = config.Budget
	d.client = shpeer.NewClient(config)
	d.server = shpeer.NewServer(config)
	store, err := openAccountStore(s)
	if err != nil {
		return err
	}
	d.store = store
	registerAccountHandlers(d.server, store)
	control := controlAddresses(s)
	d.proposer = &shview.Proposer{Client: d.client, Addresses: control}
	d.syncer = &shview.Syncer{Client: d.client, Proposer: d.proposer, Addresses: control, Heartbeat: d.heartbeat, Log: d.log}
	d.openEntry()
	if s.Has(shsettings.Control) {
		return d.openReplica(d.incarnation)
	}
	return nil
}

func (d *daemon) openEntry() {
	s := d.settings
	d.burn = newBurnRecorder(s)
	d.metrics = metrics.NewSet()
	d.controlTraffic = controlTraffic{region: s.Region, log: d.log}
	address := peerAddresses(s, func() []shdirectory.Heartbeat { return d.syncer.View().Entries })
	d.outbox = shaccount.NewOutbox(replicator{client: d.client, address: address}, shaccount.OutboxOptions{
		// The disk of this VM counts as a copy when too few other VMs can be
		// reached, so that a partitioned region goes on with idempotent work.
		Replication: shreplication.Config{Self: s.VM, Place: s.Place(), UseSelf: s.Has(shsettings.Account)}, Incarnation: d.incarnation,
	})
	d.ids = newAllocator(d.proposer, s.VM, d.incarnation)
	noncePrefix := string(s.VM) + "-" + strconv.FormatUint(d.incarnation, 36)
	permitted := func() bool { return d.syncer.View().Confirmed(time.Now()) }
	d.entry = &shentry.Entry{
		VM: s.VM, Place: s.Place(), View: d.syncer.View, Control: d.proposer.Propose,
		Account: d.outbox, IDs: d.ids, Policy: shrouting.Objectives{}, Observe: d.observe, Log: d.log,
		Slots:   shentry.NewSlots(noncePrefix, initialReserveShare, d.reportCrash),
		Links:   &shentry.Links{VM: s.VM, Region: s.Region, Propose: d.requestGrant, Permitted: permitted, Log: d.log},
		Credits: &shentry.Credits{VM: s.VM, Ask: d.requestCredit},
	}
	d.entry.Init()
	shpeer.Handle(d.server, shwire.MethodCredit, d.handleCreditRequest)
	shpeer.Handle(d.server, shwire.MethodSlots, d.handleSlotReport)
	shpeer.Handle(d.server, shwire.MethodCrash, d.handleCrashNotice)
	shpeer.Handle(d.server, shwire.MethodBurn, d.handleBurnRequest)
}

// serve starts the background loops and the listeners.
func (d *daemon) serve(ctx context.Context) error {
	d.http.init()
	d.limitMemory(ctx)
	peers, err := listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := d.server.Serve(peers); err != nil {
			d.http.fail(err)
		}
	}()
	go d.syncer.Run(ctx)
	go every(ctx, refreshInterval, d.refresh)
	go d.ids.Run(ctx)
	go d.entry.Slots.Run(ctx)
	go d.entry.Links.Run(ctx)
	go every(ctx, slotReportInterval, func() { d.reportSlots(ctx) })
	go d.settleOverdue(ctx)
	go d.adoptRecords(ctx)
	operator, err := d.operatorHandler(ctx)
	if err != nil {
		return err
	}
	return errors.Join(
		d.http.serve("caller", d.settings.CallerAddress, d.entry.CallerHandler()),
		d.http.serve("server", d.settings.ServerAddress, d.entry.ServerHandler()),
		d.http.serve("operator", d.settings.OperatorAddress, operator),
	)
}

// close closes the listeners and what open created.
func (d *daemon) close() error {
	errs := []error{d.http.close()}
	if r := d.replica.Load(); r != nil {
		errs = append(errs, r.Close())
	}
	if d.server != nil {
		errs = append(errs, d.server.Close(), d.client.Close())
	}
	if d.store != nil {
		errs = append(errs, d.store.Close())
	}
	if d.lock != nil {
		errs = append(errs, d.lock.Close())
	}
	return errors.Join(errs...)
}

// heartbeat returns the state of this VM. Free slots change all the time, so
// they are left out and sent only to the peers in the region, by reportSlots.
func (d *daemon) heartbeat() shdirectory.Heartbeat {
	s := d.settings
	services := d.entry.Slots.Services()
	for name, slots := range services {
		services[name] = shdirectory.Slots{Total: slots.Total}
	}
	return shdirectory.Heartbeat{
		VM: s.VM, Place: s.Place(), Incarnation: d.incarnation, CallerAddress: s.CallerAddress,
		ServerAddress: s.ServerAddress, PeerAddress: s.PeerAddress, Leaving: d.leaving.Load(), Services: services,
	}
}

// observe counts a finished request in the metrics. A request refused for an
// error of the caller does not count against the service level.
func (d *daemon) observe(r shrecord.Record, linkCap bool) {
	d.countRequest(r)
	if !isCallerError(r) {
		d.burn.observe(r, linkCap)
	}
}

// isCallerError reports whether a request was refused because of what the
// caller sent: a 4xx status other than 408 and 409.
func isCallerError(r shrecord.Record) bool {
	return r.Outcome == shmodel.NotRun && r.Status >= http.StatusBadRequest && r.Status < http.StatusInternalServerError &&
		r.Status != http.StatusRequestTimeout && r.Status != http.StatusConflict
}

// refresh applies a new view to the components that depend on it.
func (d *daemon) refresh() {
	v := d.syncer.View()
	if v == d.lastView {
		return
	}
	d.lastView = v
	d.outbox.SetTargets(accountTargets(d.settings, v))
	if v.Ready() {
		d.entry.Slots.SetReserveShare(v.Config.Config.Limits.ReserveShare)
		d.burn.configure(v.Config.Config)
	}
}

func (d *daemon) requestGrant(ctx context.Context, c shcontrol.RequestGrant) (shcontrol.GrantResult, error) {
	return shview.ProposeFor[shcontrol.GrantResult](ctx, d.proposer, c)
}

func (d *daemon) requestCredit(ctx context.Context, address string, q shwire.CreditRequest) (shwire.CreditResponse, error) {
	return shpeer.Call[shwire.CreditResponse](ctx, d.client, address, shwire.MethodCredit, q)
}

// handleCreditRequest lends slots to a VM of another region, and requests a
// grant for the link that carries the answers.
func (d *daemon) handleCreditRequest(_ context.Context, q shwire.CreditRequest) (shwire.CreditResponse, error) {
	for _, h := range d.syncer.View().Entries {
		if h.VM == q.VM {
			d.entry.Links.AddDemand(h.Place.Region, 0)
		}
	}
	return d.entry.Slots.GrantCredit(q), nil
}

// reportSlots sends the slots of this VM, free and total, to the peers in the
// region.
func (d *daemon) reportSlots(ctx context.Context) {
	report := shwire.SlotReport{VM: d.settings.VM, Services: d.entry.Slots.Services()}
	for _, h := range d.syncer.View().Entries {
		if h.VM == d.settings.VM || h.Place.Region != d.settings.Region {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			// Errors are ignored, because the next report replaces a lost one.
			_ = shpeer.Notify(ctx, d.client, h.PeerAddress, shwire.MethodSlots, report)
		}()
	}
}

func (d *daemon) handleSlotReport(_ context.Context, r shwire.SlotReport) (shwire.Empty, error) {
	for _, h := range d.syncer.View().Entries {
		if h.VM == r.VM {
			d.entry.Slots.Observe(h, r)
		}
	}
	return shwire.Empty{}, nil
}

// controlAddresses lists the peer addresses of the control VMs, the nearest
// first: this VM, then its region, then other regions.
func controlAddresses(s shsettings.Settings) []string {
	var byProximity [3][]string
	for _, p := range s.Peers {
		switch {
		case !p.Has(shsettings.Control):
		case p.VM == s.VM:
			byProximity[0] = append(byProximity[0], p.PeerAddress)
		case p.Region == s.Region:
			byProximity[1] = append(byProximity[1], p.PeerAddress)
		default:
			byProximity[2] = append(byProximity[2], p.PeerAddress)
		}
	}
	return append(append(byProximity[0], byProximity[1]...), byProximity[2]...)
}

// every calls f now and at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// httpServers are the HTTP listeners of the process.
type httpServers struct {
	// budget bounds what is held for clients; nil means no bound.
	budget  *shmemory.Budget
	failed  chan error
	servers map[string]httpServer
}

// httpServer is an HTTP server and the listener that it serves.
type httpServer struct {
	*http.Server
	accepts *shlistener.Listener
}

func (h *httpServers) init() {
	h.failed = make(chan error, 8)
	h.servers = map[string]httpServer{}
}

func (h *httpServers) fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}

func (h *httpServers) serve(name, address string, handler http.Handler) error {
	l, err := listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s address: %w", name, err)
	}
	server := httpServer{shentry.NewServer(handler), &shlistener.Listener{Listener: l, Budget: h.budget, Refusal: refusal()}}
	server.accepts.Attach(server.Server)
	h.servers[name] = server
	go func() {
		if err := server.Serve(server.accepts); !errors.Is(err, http.ErrServerClosed) {
			h.fail(fmt.Errorf("%s listener: %w", name, err))
		}
	}()
	return nil
}

// shutdown closes a listener and waits for its requests in flight, and until the
// clients have their answers, until the context ends.
func (h *httpServers) shutdown(ctx context.Context, name string) error {
	server, ok := h.servers[name]
	if !ok {
		return nil
	}
	return server.accepts.Shutdown(ctx, server.Server)
}

func (h *httpServers) close() error {
	var errs []error
	for _, s := range h.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// callerCacheTime returns how long callers may keep a lookup answer.
func callerCacheTime(v *shview.View) time.Duration {
	if !v.Ready() {
		return 0
	}
	return time.Duration(v.Config.Config.Limits.LookupCacheMS) * time.Millisecond
}
