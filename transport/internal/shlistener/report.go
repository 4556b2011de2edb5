package shlistener

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shmemory"
)

// reportInterval is the time between log lines about a Budget, which bounds their
// number whatever clients do.
const reportInterval = 10 * time.Second

// purposes and causes are those of the metrics.
var (
	purposes = []shmemory.Purpose{shmemory.Connections, shmemory.Heads, shmemory.Bodies, shmemory.Answers}
	causes   = []shmemory.Cause{
		shmemory.RefusedMemory, shmemory.RefusedConnections, shmemory.ClosedStalled, shmemory.ClosedIdle, shmemory.ClosedUnread,
	}
)

// AddMetrics adds the metrics of a Budget to a set. Their names have a part in common.
func AddMetrics(set *metrics.Set, part string, b *shmemory.Budget) {
	gauge := func(name string, value func(shmemory.Stats) float64) {
		set.NewGauge("sequoiahollow_"+part+name, func() float64 { return value(b.Stats()) })
	}
	for _, p := range purposes {
		gauge(fmt.Sprintf("_bytes{purpose=%q}", p), func(s shmemory.Stats) float64 { return float64(s.Held[p]) })
	}
	for _, c := range causes {
		gauge(fmt.Sprintf("_refusals_total{cause=%q}", c), func(s shmemory.Stats) float64 { return float64(s.Counts[c]) })
	}
	gauge("_limit_bytes", func(shmemory.Stats) float64 { return float64(b.Limit) })
	gauge("_connections", func(s shmemory.Stats) float64 { return float64(s.Connections) })
	gauge("_connections_limit", func(shmemory.Stats) float64 { return float64(b.MaxConnections) })
}

// Report logs until ctx ends what a Budget has refused, one line at a time for all.
func Report(ctx context.Context, b *shmemory.Budget, log *slog.Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := b.Stats()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s := b.Stats()
		if s.Counts == last.Counts {
			continue
		}
		attrs := []any{"connections", s.Connections, "seconds", reportInterval.Seconds()}
		for _, p := range purposes {
			attrs = append(attrs, p.String()+"Bytes", s.Held[p])
		}
		for _, c := range causes {
			if n := s.Counts[c] - last.Counts[c]; n > 0 {
				attrs = append(attrs, c.String(), n)
			}
		}
		log.Warn("clients refused or closed to stay within the memory of the VM", attrs...)
		last = s
	}
}
