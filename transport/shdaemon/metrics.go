package shdaemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
)

// metricsInterval is the time between updates of gauges with labels.
const metricsInterval = 2 * time.Second

// registerMetrics adds the gauges of the process and keeps them up to date
// until the context ends.
func (d *daemon) registerMetrics(ctx context.Context, set *metrics.Set) {
	go every(ctx, metricsInterval, func() { d.updateMetrics(set) })
	set.NewGauge("sequoiahollow_config_revision", func() float64 { return float64(d.syncer.View().Revision) })
	set.NewGauge("sequoiahollow_config_confirmed", func() float64 { return boolValue(d.syncer.View().Confirmed(time.Now())) })
	set.NewGauge("sequoiahollow_entry_vms", func() float64 { return float64(len(d.syncer.View().Entries)) })
	set.NewGauge("sequoiahollow_account_owed_records", func() float64 {
		records, _ := d.outbox.Unreplicated()
		return float64(records)
	})
	if d.settings.Has(shsettings.Control) {
		// A VM that starts with an empty disk becomes a voter again once its log has
		// caught up.
		set.NewGauge("sequoiahollow_control_voter", func() float64 {
			replica := d.replica.Load()
			if replica == nil {
				return 0
			}
			s := replica.Status()
			return boolValue(slices.ContainsFunc(s.Voters, func(m shraft.Member) bool { return m.ID == s.ID }))
		})
	}
	set.NewGauge("sequoiahollow_request_ids_left", func() float64 { return float64(d.ids.Remaining()) })
}

// updateMetrics sets the gauges whose labels are not known when the process
// starts.
func (d *daemon) updateMetrics(set *metrics.Set) {
	for service, slots := range d.entry.Slots.Services() {
		labels := fmt.Sprintf("{service=%q}", service)
		set.GetOrCreateGauge("sequoiahollow_slots_free"+labels, nil).Set(float64(slots.Free))
		set.GetOrCreateGauge("sequoiahollow_slots_usable"+labels, nil).Set(float64(slots.Total))
	}
	for region, rate := range d.entry.Links.BitsPerSecond() {
		set.GetOrCreateGauge(fmt.Sprintf("sequoiahollow_link_grant_bits_per_second{to=%q}", region), nil).Set(float64(rate))
	}
	d.writeTrafficMetrics(set)
	d.writeBurnMetrics(set)
}

// countRequest counts a finished request by outcome and reason, and records its
// duration.
func (d *daemon) countRequest(r shrecord.Record) {
	labels := fmt.Sprintf("{service=%q,outcome=%q,reason=%q}", r.Service, r.Outcome, r.Reason)
	d.metrics.GetOrCreateCounter("sequoiahollow_requests_total" + labels).Inc()
	seconds := float64(r.DurationUS) / 1e6
	d.metrics.GetOrCreateHistogram(fmt.Sprintf("sequoiahollow_request_seconds{service=%q}", r.Service)).Update(seconds)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
