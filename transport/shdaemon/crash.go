package shdaemon

import (
	"context"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shpeer"
)

// crashReportTimeout bounds the report of a crash. It is long enough for an
// election of a leader. The requests that were running wait for the report, but
// no longer than shrequest.Executor waits for the crash check.
const crashReportTimeout = 10 * time.Second

// reportCrash commits a suspected crash and waits one heartbeat interval, in
// which the answers to heartbeats bring the suspect digests to all entry VMs.
func (d *daemon) reportCrash(c shslot.CrashSuspected) {
	d.log.Warn("backend server is suspected to have crashed", "backendServer", c.BackendServer, "requests", len(c.Digests), "solo", c.Solo)
	if len(c.Digests) == 0 {
		return
	}
	d.notifyCrash(c)
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	_, err := d.proposer.Propose(ctx, shcontrol.ReportCrash{BackendServer: c.BackendServer, Digests: c.Digests, Solo: c.Solo})
	if err != nil {
		d.log.Error("crash report was not committed", "backendServer", c.BackendServer, "error", err)
		return
	}
	d.syncer.Wake()
	time.Sleep(shdirectory.HeartbeatInterval)
}

// notifyCrash sends the crash to all entry VMs directly. A caller that gives up
// resends the request through another entry VM, which the committed crash may
// reach too late.
func (d *daemon) notifyCrash(c shslot.CrashSuspected) {
	notice := shwire.CrashNotice{Digests: c.Digests}
	d.entry.CrashNotices.Add(time.Now(), c.Digests)
	for _, h := range d.syncer.View().Entries {
		if h.VM == d.settings.VM {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if err := shpeer.Notify(ctx, d.client, h.PeerAddress, shwire.MethodCrash, notice); err != nil {
				d.log.Warn("crash notice not delivered to entry VM; it learns of the crash from a later heartbeat answer", "vm", h.VM, "error", err)
			}
		}()
	}
}

func (d *daemon) handleCrashNotice(_ context.Context, n shwire.CrashNotice) (shwire.Empty, error) {
	d.entry.CrashNotices.Add(time.Now(), n.Digests)
	return shwire.Empty{}, nil
}
