package shdaemon

import (
	"context"
	"time"
)

const (
	// handoverTimeout bounds the wait until all backend servers have been told
	// their other owners and were released.
	handoverTimeout = 5 * time.Second
	// transferTimeout bounds the transfer of leadership.
	transferTimeout = 3 * time.Second
	// finishTimeout bounds the wait for requests in flight after the
	// listeners are closed. It exceeds the longest timeout of the example
	// services.
	finishTimeout = 90 * time.Second
	// cacheMargin covers lookup answers that were in transit when the stop began.
	cacheMargin = 500 * time.Millisecond
)

// stop leaves the deployment without interrupting requests in flight. Lookups no
// longer return this VM; it goes on serving until the cached lookup answers have
// expired, hands over its backend servers, transfers leadership and waits for the
// requests in flight.
func (d *daemon) stop(ctx context.Context) {
	started := time.Now()
	d.log.Info("planned stop started")
	d.leaving.Store(true)
	d.syncer.Wake()
	d.runStep("cached lookup answers expired", func() error {
		time.Sleep(callerCacheTime(d.syncer.View()) + cacheMargin)
		return nil
	})
	d.runStep("backend servers handed over", func() error {
		return d.handOver(ctx)
	})
	d.runStep("leadership transferred", func() error {
		replica := d.replica.Load()
		if replica == nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		return replica.Transfer(ctx)
	})
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	d.runStep("requests of callers finished", func() error { return d.http.shutdown(ctx, "caller") })
	d.runStep("forwarded requests finished", func() error { return d.http.shutdown(ctx, "server") })
	d.runStep("claims closed", func() error {
		d.entry.Wait()
		return nil
	})
	d.runStep("account records copied", func() error { return d.outbox.Close(ctx) })
	d.log.Info("planned stop finished", "durationMs", time.Since(started).Milliseconds())
}

// runStep runs and logs one step of a planned stop. An error does not end the
// stop.
func (d *daemon) runStep(name string, f func() error) {
	started := time.Now()
	err := f()
	if err != nil {
		d.log.Warn("step of the planned stop is incomplete", "step", name, "error", err)
		return
	}
	d.log.Info("step of the planned stop done", "step", name, "durationMs", time.Since(started).Milliseconds())
}

// handOver releases the backend servers to the other entry VMs of the region.
func (d *daemon) handOver(ctx context.Context) error {
	var owners []string
	for _, h := range d.syncer.View().Entries {
		if h.VM != d.settings.VM && h.Place.Region == d.settings.Region && !h.Leaving {
			owners = append(owners, h.ServerAddress)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-d.entry.Slots.BeginStop(owners):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
