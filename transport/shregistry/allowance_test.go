package shregistry_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/transport/shallowance"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shregistry"
	"sequoiahollow/transport/shwatch"
)

var quotaRules = shquota.Rules{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// Guards against tokens that a leader does not issue, that survive the loss of the
// leader, or that a new one does not issue.
func TestAllowanceOverElection(t *testing.T) {
	vms := startGroup(t, func(c *shregistry.Config) { c.Quota = quotaRules })
	team := shfleet.Team{Name: "a", Keys: []shfleet.KeyDigest{shfleet.DigestKey("k")}, Rate: 20, Burst: 10}
	document := shfleet.Document{Version: 1, Source: []byte("1"), Table: shfleet.Table{Teams: []shfleet.Team{team}}}
	retry(t, func(ctx context.Context) error { return vms[0].PutDocument(ctx, document) })
	h := startHolder(t, vms[0])
	passed := []time.Time{}
	take := func() bool {
		_, ok, _ := h.Take(context.Background(), &team)
		if ok {
			passed = append(passed, time.Now())
		}
		return ok
	}
	granted := func() uint64 {
		s, _, _ := h.Stats()
		return s.Granted
	}
	eventually(t, "the leader issues tokens", func() bool { return take() && granted() > 0 })
	leader := allowanceLeader(vms)
	usage, err := leader.Allowances()
	assert.NilError(t, err)
	assert.Equal(t, usage[0].Team, "a")
	assert.Assert(t, usage[0].Issued > 0)
	leader.stop()
	leader.start(t)
	before := granted()
	eventually(t, "a new leader issues tokens", func() bool { return take() && granted() > before })
	for i, from := range passed {
		n := 0
		for _, at := range passed[i:] {
			if at.Sub(from) <= quotaRules.Window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= quotaRules.Most(shquota.Limit{Rate: team.Rate, Burst: team.Burst}))
	}
}

func allowanceLeader(vms []*vm) *vm {
	for _, v := range vms {
		if _, err := v.Allowances(); err == nil {
			return v
		}
	}
	return nil
}

// startHolder starts what an entry VM needs to keep allowances.
func startHolder(t *testing.T, v *vm) *shallowance.Holder {
	t.Helper()
	client := shpeer.NewClient(shpeer.Config{Connections: 1})
	logger := slog.New(slog.DiscardHandler)
	w := &shwatch.Watcher{VM: "observer", Client: client, Seeds: func() []string { return v.config.Seeds }, Logger: logger}
	h := shallowance.Open(shallowance.Options{Rules: quotaRules, VM: "observer", Process: 1, Ask: w.AskAllowance, Logger: logger})
	w.Changed = h.Update
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		client.Close()
	})
	go w.Run(ctx)
	go h.Run(ctx)
	return h
}
