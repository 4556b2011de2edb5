package shdaemon

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shraft"
)

// registerMetrics adds the gauges of the process.
func (d *daemon) registerMetrics(set *metrics.Set) {
	set.NewGauge("sequoiahollow_config_revision", func() float64 { return float64(d.syncer.View().Revision) })
	set.NewGauge("sequoiahollow_config_confirmed", func() float64 { return boolValue(d.syncer.View().Confirmed(time.Now())) })
	set.NewGauge("sequoiahollow_entry_vms", func() float64 { return float64(len(d.syncer.View().Entries)) })
	set.NewGauge("sequoiahollow_account_owed_records", func() float64 {
		records, _ := d.outbox.Owed()
		return float64(records)
	})
	if d.replica != nil {
		// A VM with an empty disk is a voter again once it has caught up.
		set.NewGauge("sequoiahollow_control_voter", func() float64 {
			s := d.replica.Status()
			return boolValue(slices.ContainsFunc(s.Voters, func(m shraft.Member) bool { return m.ID == s.ID }))
		})
	}
	set.NewGauge("sequoiahollow_request_ids_left", func() float64 { return float64(d.ids.Remaining()) })
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
