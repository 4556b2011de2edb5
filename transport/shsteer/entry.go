package shsteer

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shfront"
	"sequoiahollow/transport/shorigin"
	"sequoiahollow/transport/shwatch"
)

// EntryOptions provides an entry VM's HTTP interfaces and its settings updates.
type EntryOptions struct {
	Dialect   shfront.Dialect
	Directory func(*Entry) http.Handler
	Readiness func(*Entry) http.Handler
	Metrics   Metrics
	// Reload returns the current settings. If Reload is nil, the settings of the
	// start stay in use.
	Reload func() (shsettings.Fleet, error)
	// Changed receives a value when the settings may have changed.
	Changed <-chan struct{}
}

// Entry is a running entry VM.
type Entry struct {
	*process
	watcher      *shwatch.Watcher
	balancer     *shbalance.Balancer
	origin       *shorigin.Client
	account      *accountWriter
	crashReports reportQueue
	seeds        atomic.Pointer[[]string]
	closing      atomic.Bool
	refusing     atomic.Bool
}

func newOrigin(s shsettings.Fleet) *shorigin.Client {
	return &shorigin.Client{Link: shorigin.Link{BitsPerSecond: int64(s.LinkMbps * 1e6)}}
}

// RunEntry runs an entry VM until ctx ends, then stops gracefully.
func RunEntry(ctx context.Context, s shsettings.Fleet, options EntryOptions, log *slog.Logger) error {
	e := &Entry{process: newProcess(s, log), origin: newOrigin(s)}
	seeds := s.PeerSeeds()
	e.seeds.Store(&seeds)
	place := shbalance.Place{VM: s.VM, Zone: s.Zone, Region: s.Region, Regions: s.Regions}
	e.balancer = shbalance.New(place)
	e.balancer.HedgeShare = s.RepeatShare
	e.watcher = &shwatch.Watcher{
		VM: s.VM, Client: e.client, Seeds: func() []string { return *e.seeds.Load() },
		Entry: e.announcement, Logger: log,
		Changed: func(v shfleet.View) {
			e.balancer.Update(time.Now(), v)
			e.origin.Link.SetUploads(v.Table.HasUploads())
		},
		RevokeWithin: shsettings.Seconds(s.RevokeSeconds),
	}
	e.origin.MaxConnections = shmemory.MaxOutbound(freeFDs(s))
	e.account = newAccountWriter(e.process, e.watcher)
	e.addGauges()
	handler := &shfront.Handler{
		Account: e.account, Place: place,
		Retries: shfront.RetryLimit{
			Share: s.RetryShare, Slack: s.RetrySlack, Window: shsettings.Seconds(s.RetryWindowSeconds),
		},
		Dialect: options.Dialect, Balancer: e.balancer, Origin: e.origin, View: e.watcher.View,
		Closing: e.closing.Load, Refusing: e.refusing.Load, Report: e.report, Metrics: e.metrics, Logger: log,
		KeysUntil: e.keysUntil(),
	}
	if e.budget != nil {
		handler.Hold, handler.HoldAnswer, handler.HoldHead = holdBody, holdAnswer, holdHead
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.reportMemory(background)
	e.keepAllowances(background, handler)
	go e.watcher.Run(background)
	go e.account.run(background)
	go e.sendReports(background)
	go e.pruneConnections(background)
	if s.ShareLoad {
		go e.share(background)
	}
	go e.reload(background, options)
	if err := e.serve(handler, options); err != nil {
		return errors.Join(err, e.close())
	}
	log.Info("entry VM started", "address", s.EntryAddress, "failureDomain", s.Zone, "seeds", s.Seeds)
	var failure error
	select {
	case <-ctx.Done():
		e.stop()
	case failure = <-e.failed:
		log.Error("entry VM failed", "error", failure)
	}
	return errors.Join(failure, e.account.close(), e.close())
}

func (e *Entry) serve(handler *shfront.Handler, options EntryOptions) error {
	if err := e.listenOverlapping(e.Settings.EntryAddress, handler, handler.MayOverlap); err != nil {
		return err
	}
	for _, x := range []struct {
		address string
		handler http.Handler
	}{
		{e.Settings.ReadinessAddress, options.Readiness(e)},
		{e.Settings.DirectoryAddress, options.Directory(e)},
	} {
		if err := e.listen(x.address, x.handler); err != nil {
			return err
		}
	}
	return e.listenMetrics(options.Metrics.Address, options.Metrics.Path, func(mux *http.ServeMux) {
		mux.HandleFunc("GET "+shfront.PlacePath, handler.ServePlace)
	})
}

// Ready reports whether callers may be directed to this VM.
func (e *Entry) Ready() bool { return !e.closing.Load() && e.watcher.View().Table != nil }

// announcement returns what this VM announces to the fleet, or nil until it can
// serve, so that a VM that restarts quickly keeps its earlier entry meanwhile.
func (e *Entry) announcement() *shfleet.Entry {
	if !e.closing.Load() && !e.Ready() {
		return nil
	}
	return &shfleet.Entry{
		VM: e.Settings.VM, Address: e.Settings.EntryAddress, Zone: e.Settings.Zone, Region: e.Settings.Region, Ready: e.Ready(),
	}
}

// Directory returns the addresses of the entry VMs that a caller in a region and
// failure domain should use: the ready ones of its failure domain, else of its
// region, else all ready ones.
func (e *Entry) Directory(region shmodel.Region, zone shmodel.FailureDomain) []string {
	nearest := 3
	var addresses []string
	entries := slices.Clone(e.watcher.View().Entries)
	slices.SortFunc(entries, func(a, b shfleet.Entry) int { return cmp.Compare(a.VM, b.VM) })
	for _, x := range entries {
		distance := 2
		switch {
		case !x.Ready:
			continue
		case x.Zone == zone:
			distance = 0
		case x.Region == region:
			distance = 1
		}
		if distance > nearest {
			continue
		}
		if distance < nearest {
			nearest, addresses = distance, nil
		}
		addresses = append(addresses, x.Address)
	}
	return addresses
}

// report queues a crash report. If that drops one, it is safe: if the request is sent
// again and crashes a backend server, it is reported again.
func (e *Entry) report(r shfront.CrashReport) {
	if dropped, ok := e.crashReports.put(r); ok {
		e.Log.Warn("crash report dropped", "digest", dropped.Digest, "service", dropped.Service)
	}
}

func (e *Entry) sendReports(ctx context.Context) {
	for {
		r, ok := e.crashReports.take(ctx)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := e.watcher.Propose(callCtx, shfleet.ReportCrash{Digest: r.Digest, Service: r.Service, Cleared: r.Cleared, Instance: r.Instance})
		cancel()
		if err != nil {
			e.Log.Warn("crash report not recorded", "digest", r.Digest, "service", r.Service, "error", err)
		}
	}
}

// pruneConnections closes connections to backend servers that have been idle for
// too long.
func (e *Entry) pruneConnections(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.origin.Prune()
		case <-ctx.Done():
			return
		}
	}
}

// reload applies new seeds when the settings change.
func (e *Entry) reload(ctx context.Context, options EntryOptions) {
	reloadSeeds(ctx, e.Log, options.Reload, options.Changed, func(s shsettings.Fleet) {
		seeds := s.PeerSeeds()
		e.seeds.Store(&seeds)
	})
}

// reloadSeeds calls apply when the seeds of the settings change.
func reloadSeeds(ctx context.Context, log *slog.Logger, load func() (shsettings.Fleet, error), changed <-chan struct{}, apply func(shsettings.Fleet)) {
	if load == nil {
		return
	}
	var known []string
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		s, err := load()
		if err != nil {
			log.Error("settings not reloaded", "error", err)
		} else if !slices.Equal(known, s.Seeds) {
			if known != nil {
				log.Info("settings reloaded", "seeds", s.Seeds)
			}
			known = s.Seeds
			apply(s)
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// stop shuts the VM down gracefully. See the package comment.
func (e *Entry) stop() {
	began := time.Now()
	grace := shsettings.Seconds(e.Settings.StopSeconds)
	e.closing.Store(true)
	e.watcher.Announce()
	e.Log.Info("entry VM stops", "graceSeconds", e.Settings.StopSeconds)
	time.Sleep(time.Duration(serveShare * float64(grace)))
	e.refusing.Store(true)
	end := began.Add(grace - exitMargin)
	timer := time.AfterFunc(time.Until(end)-answerMargin, func() { e.endRequests(shfront.ErrStopped) })
	defer timer.Stop()
	e.shutdown(time.Until(end))
	e.Log.Info("entry VM stopped", "tookMs", time.Since(began).Milliseconds())
}
