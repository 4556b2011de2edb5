package shdaemon

import (
	"context"
	"net/http"
	"runtime/debug"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/internal/shlistener"
)

// memoryShare is the share of the memory in the settings that is the Go memory limit.
const memoryShare = 0.6

// limitMemory bounds what the process holds for clients by its settings. It must be
// called before a listener opens.
func (d *daemon) limitMemory(ctx context.Context) {
	s := d.settings
	if s.MemoryMB == 0 && s.MaxFDs == 0 {
		return
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	d.http.budget = shmemory.NewBudget(s.MemoryMB, s.MaxFDs)
	shlistener.AddMetrics(d.metrics, "held", d.http.budget)
	shlistener.AddMetrics(d.metrics, "peers_held", d.peerBudget)
	go shlistener.Report(ctx, d.http.budget, d.log)
}

// refusal tells clients that a request that was refused for lack of memory has not run.
func refusal() http.Header {
	return http.Header{shwire.HeaderOutcome: {string(shmodel.NotRun)}}
}
