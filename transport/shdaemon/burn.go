package shdaemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shburn"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shpeer"
)

// burnTimeout bounds the calls to the daemons; a daemon that does not answer in
// time is reported as missing.
const burnTimeout = time.Second

// burnRecorder counts, for the error budgets of the services, the requests that
// this VM received.
type burnRecorder struct {
	region   shmodel.Region
	recorder *shburn.Recorder
	levels   atomic.Pointer[map[shmodel.Service]shconfig.ServiceLevel]
}

func newBurnRecorder(s shsettings.Settings) *burnRecorder {
	return &burnRecorder{region: s.Region, recorder: shburn.NewRecorder(s.VM, time.Now())}
}

// observe counts the request of a closing or refusal record.
func (b *burnRecorder) observe(r shrecord.Record, linkCap bool) {
	levels := b.levels.Load()
	if levels == nil || r.Service == "" {
		return
	}
	cause := shburn.CauseOf(shburn.Result{
		Outcome: r.Outcome, Status: r.Status, LinkCap: linkCap, Duration: time.Duration(r.DurationUS) * time.Microsecond,
	}, (*levels)[r.Service])
	b.recorder.Observe(time.Now(), r.Service, b.region, cause)
}

// configure sets the service levels from a configuration.
func (b *burnRecorder) configure(c shconfig.Config) {
	levels := make(map[shmodel.Service]shconfig.ServiceLevel, len(c.Services))
	for name, s := range c.Services {
		levels[name] = s.ServiceLevel
	}
	b.levels.Store(&levels)
}

func (b *burnRecorder) serviceLevels() map[shmodel.Service]shconfig.ServiceLevel {
	if levels := b.levels.Load(); levels != nil {
		return *levels
	}
	return nil
}

func (d *daemon) handleBurnRequest(context.Context, shwire.Empty) (shburn.DaemonReport, error) {
	return d.burn.recorder.Report(time.Now()), nil
}

// BurnReport implements shoperator.Backend. It asks the VMs of the settings and
// those that were up within the last ten minutes, and reports the ones that do
// not answer as missing.
func (o operations) BurnReport(ctx context.Context) (shburn.Report, error) {
	addresses := map[shmodel.VM]string{}
	for _, p := range o.settings.Peers {
		addresses[p.VM] = p.PeerAddress
	}
	for _, h := range o.syncer.View().Entries {
		addresses[h.VM] = h.PeerAddress
	}
	// Without a leader only the VMs that this VM knows are asked.
	readCtx, cancelRead := context.WithTimeout(ctx, burnTimeout)
	defer cancelRead()
	r, _ := o.proposer.Read(readCtx, shwire.ReadRequest{Entries: true})
	for _, h := range append(r.Missing, r.Entries...) {
		addresses[h.VM] = h.PeerAddress
	}
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	answers := make(chan *shburn.DaemonReport, len(addresses))
	expected := make([]shmodel.VM, 0, len(addresses))
	for vm, address := range addresses {
		expected = append(expected, vm)
		go func() {
			r, err := shpeer.Call[shburn.DaemonReport](ctx, o.client, address, shwire.MethodBurn, shwire.Empty{})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &r
		}()
	}
	var reports []shburn.DaemonReport
	for range addresses {
		if r := <-answers; r != nil {
			reports = append(reports, *r)
		}
	}
	return shburn.Merge(time.Now(), expected, reports, o.burn.serviceLevels()), nil
}

// writeBurnMetrics sets the error budget gauges of this VM.
func (d *daemon) writeBurnMetrics(set *metrics.Set) {
	now := time.Now()
	report := shburn.Merge(now, nil, []shburn.DaemonReport{d.burn.recorder.Report(now)}, d.burn.serviceLevels())
	report.Metrics(func(m shburn.Metric) {
		set.GetOrCreateGauge(metricName(m), nil).Set(m.Value)
	})
}

func metricName(m shburn.Metric) string {
	labels := `{service="` + string(m.Service) + `",region="` + string(m.Region) + `"`
	if m.Window != "" {
		labels += `,window="` + m.Window + `"`
	}
	if m.Cause != "" {
		labels += `,cause="` + m.Cause + `"`
	}
	return m.Name + labels + "}"
}
