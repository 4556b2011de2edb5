package shdaemon

import (
	"context"
	"time"
)

const (
	// handoverTimeout bounds the wait until the backend servers have announced
	// and were released.
	handoverTimeout = 5 * time.Second
	// transferTimeout bounds the transfer of leadership.
	transferTimeout = 3 * time.Second
	// finishTimeout bounds the requests in flight after the last admission. It
	// exceeds the longest timeout of the example services.
	finishTimeout = 90 * time.Second
	// cacheMargin covers callers whose cached answer was on its way.
	cacheMargin = 500 * time.Millisecond
)

// stop leaves the deployment without cutting a request in flight: it drops out
// of look-ups, serves until the longest cached answer has run out, hands its
// backend servers over, transfers leadership and finishes what is in flight.
func (d *daemon) stop(ctx context.Context) {
	started := time.Now()
	d.log.Info("planned stop begun")
	d.leaving.Store(true)
	d.syncer.Wake()
	d.runStep("cached look-up answers ran out", func() error {
		time.Sleep(callerCacheTime(d.syncer.View()) + cacheMargin)
		return nil
	})
	d.runStep("backend servers handed over", func() error {
		return d.handOver(ctx)
	})
	d.runStep("leadership transferred", func() error {
		if d.replica == nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		return d.replica.Transfer(ctx)
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

func (d *daemon) runStep(name string, f func() error) {
	begun := time.Now()
	err := f()
	if err != nil {
		d.log.Warn("step of the planned stop is incomplete", "step", name, "error", err)
		return
	}
	d.log.Info("step of the planned stop done", "step", name, "durationMs", time.Since(begun).Milliseconds())
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
