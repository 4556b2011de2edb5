package shsteer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shregistry"
)

// ControlOptions provides a control VM's HTTP interfaces.
type ControlOptions struct {
	Control func(*Control) http.Handler
	Metrics Metrics
}

// Control is a running control VM.
type Control struct {
	*process
	registry atomic.Pointer[shregistry.Registry]
	account  atomic.Pointer[shaccount.Store]
}

// Registry returns the registry, which holds the replicated state, or nil while it
// is not open.
func (c *Control) Registry() *shregistry.Registry { return c.registry.Load() }

// RunControl runs a control VM until ctx ends, then stops gracefully.
func RunControl(ctx context.Context, s shsettings.Fleet, options ControlOptions, log *slog.Logger) error {
	c := &Control{process: newProcess(s, log)}
	c.addGauges()
	c.addAccountGauges()
	if err := c.serve(options); err != nil {
		return errors.Join(err, c.close())
	}
	log.Info("control VM started", "address", s.ControlAddress, "failureDomain", s.Zone,
		"seeds", s.Seeds, "bootstrap", s.Bootstrap, "tolerateLosses", s.TolerateLosses)
	background, cancel := context.WithCancel(context.Background())
	go c.reportMemory(background)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		var running sync.WaitGroup
		running.Go(func() { c.keepAccountOpen(background) })
		c.keepRegistryOpen(background)
		running.Wait()
	}()
	var failure error
	select {
	case <-ctx.Done():
		c.stop()
	case failure = <-c.failed:
		log.Error("control VM failed", "error", failure)
	}
	cancel()
	<-finished
	return errors.Join(failure, c.close())
}

func (c *Control) serve(options ControlOptions) error {
	if err := c.listenPeers(); err != nil {
		return err
	}
	if err := c.listen(c.Settings.ControlAddress, options.Control(c)); err != nil {
		return err
	}
	return c.listenMetrics(options.Metrics.Address, options.Metrics.Path, func(mux *http.ServeMux) {
		c.serveAccount(mux)
		c.serveObservers(mux)
		c.serveAllowances(mux)
	})
}

// keepRegistryOpen keeps the registry open until ctx ends. A registry whose store
// failed, for example because the disk is full, is closed and opened again from
// the data on disk.
func (c *Control) keepRegistryOpen(ctx context.Context) {
	for ctx.Err() == nil {
		r, err := shregistry.Open(shregistry.Config{
			VM: c.Settings.VM, Zone: c.Settings.Zone, Region: c.Settings.Region,
			PeerAddress: c.Settings.PeerAddress(), Seeds: c.Settings.PeerSeeds(),
			Voters: 2*c.Settings.TolerateLosses + 1, Bootstrap: c.Settings.Bootstrap,
			Folder:         filepath.Join(c.Settings.DataFolder, "fleet"),
			BackendTimeout: missedHeartbeatLimit * shsettings.Seconds(c.Settings.HeartbeatSeconds),
			Quota:          quotaRules(c.Settings),
			Client:         c.client, Server: c.server, Logger: c.Log,
		})
		if err != nil {
			c.Log.Error("replicated state not opened", "error", err)
		} else {
			c.registry.Store(r)
			select {
			case <-r.Done():
			case <-ctx.Done():
			}
			c.registry.Store(nil)
			if err := r.Close(); err != nil {
				c.Log.Error("closing the replicated state failed", "error", err)
			}
		}
		shleader.Pause(ctx, reopenPause)
	}
}

func (c *Control) stop() {
	began := time.Now()
	c.Log.Info("control VM stops")
	if r := c.Registry(); r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		if err := r.Resign(ctx); err != nil {
			c.Log.Warn("leadership not transferred", "error", err)
		}
		cancel()
	}
	c.shutdown(time.Second)
	c.Log.Info("control VM stopped", "tookMs", time.Since(began).Milliseconds())
}
