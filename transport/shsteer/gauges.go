package shsteer

import (
	"fmt"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/transport/shstore"
)

// addGauges adds gauges of the view of the fleet to the metrics of an entry VM.
func (e *Entry) addGauges() {
	gauge := func(name string, value func() float64) { e.metrics.NewGauge(name, value) }
	gauge("sequoiahollow_table_version", func() float64 { return float64(e.watcher.View().Version) })
	gauge("sequoiahollow_view_index", func() float64 { return float64(e.watcher.View().Index) })
	// The age is -1 before the first answer of the leader.
	gauge("sequoiahollow_view_age_seconds", func() float64 {
		age, ok := e.watcher.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	for state, is := range map[string]func(shfleet.Backend) bool{
		"ready":   func(b shfleet.Backend) bool { return !b.Leaving && b.ColdFor == 0 },
		"cold":    func(b shfleet.Backend) bool { return !b.Leaving && b.ColdFor > 0 },
		"leaving": func(b shfleet.Backend) bool { return b.Leaving },
	} {
		gauge(fmt.Sprintf("sequoiahollow_backend_servers{state=%q}", state), func() float64 {
			n := 0
			for _, b := range e.watcher.View().Backends {
				if is(b) {
					n++
				}
			}
			return float64(n)
		})
	}
	gauge("sequoiahollow_account_owed_records", func() float64 {
		records, _ := e.account.outbox.Unreplicated()
		return float64(records)
	})
}

// addGauges adds gauges of the replicated store to the metrics of a control VM.
// They are 0 while the registry is not open.
func (c *Control) addGauges() {
	gauge := func(name string, value func(shstore.Status) float64) {
		c.metrics.NewGauge(name, func() float64 {
			r := c.Registry()
			if r == nil {
				return 0
			}
			return value(r.Status())
		})
	}
	gauge("sequoiahollow_raft_leading", func(s shstore.Status) float64 {
		if s.Role == shraft.Leader && s.Ready {
			return 1
		}
		return 0
	})
	gauge("sequoiahollow_raft_term", func(s shstore.Status) float64 { return float64(s.Term) })
	gauge("sequoiahollow_raft_commit_index", func(s shstore.Status) float64 { return float64(s.Commit) })
	gauge("sequoiahollow_raft_voters", func(s shstore.Status) float64 { return float64(len(s.Voters)) })
	gauge("sequoiahollow_raft_voters_in_contact", func(s shstore.Status) float64 { return float64(len(s.Active)) })
}
