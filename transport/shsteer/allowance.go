package shsteer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shallowance"
	"sequoiahollow/transport/shfront"
	"sequoiahollow/transport/shstore"
)

// quotaRules returns how the settings measure the allowances of teams.
func quotaRules(s shsettings.Fleet) shquota.Rules {
	return shquota.Rules{Window: shsettings.Seconds(s.QuotaWindowSeconds), Over: s.QuotaOver, Slack: s.QuotaSlack}
}

// keepAllowances makes the handler keep the allowances of teams until ctx ends. It does
// nothing if the settings state no window. It is called before the watcher runs.
func (e *Entry) keepAllowances(ctx context.Context, handler *shfront.Handler) {
	rules := quotaRules(e.Settings)
	if !rules.Enabled() {
		return
	}
	h := shallowance.Open(shallowance.Options{
		Rules: rules, VM: e.Settings.VM, Process: rand.Uint64(), Ask: e.watcher.AskAllowance, Logger: e.Log,
	})
	changed := e.watcher.Changed
	e.watcher.Changed = func(v shfleet.View) {
		h.Update(v)
		changed(v)
	}
	handler.Allowance = h
	e.addAllowanceGauges(h)
	go h.Run(ctx)
}

func (e *Entry) addAllowanceGauges(h *shallowance.Holder) {
	for name, value := range map[string]func(shquota.Stats) uint64{
		`sequoiahollow_allowance_tokens{state="asked"}`:            func(s shquota.Stats) uint64 { return s.Asked },
		`sequoiahollow_allowance_tokens{state="granted"}`:          func(s shquota.Stats) uint64 { return s.Granted },
		`sequoiahollow_allowance_tokens{state="expired"}`:          func(s shquota.Stats) uint64 { return s.Expired },
		`sequoiahollow_allowance_tokens{state="bridged"}`:          func(s shquota.Stats) uint64 { return s.Bridged },
		`sequoiahollow_allowance_tokens{state="spare"}`:            func(s shquota.Stats) uint64 { return s.Spare },
		`sequoiahollow_allowance_refusals{cause="used-up"}`:        func(s shquota.Stats) uint64 { return s.Refused },
		`sequoiahollow_allowance_refusals{cause="leader-unknown"}`: func(s shquota.Stats) uint64 { return s.Cut },
	} {
		e.metrics.NewGauge(name, func() float64 {
			s, _, _ := h.Stats()
			return float64(value(s))
		})
	}
	// The age is -1 before the first answer of the leader.
	e.metrics.NewGauge("sequoiahollow_allowance_answer_age_seconds", func() float64 {
		_, age, ok := h.Stats()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
}

// serveAllowances adds the handler that lists the use of allowances to a mux. Only the
// leader knows it; other VMs answer with 421 and the name of the leader.
func (c *Control) serveAllowances(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/allowances", func(w http.ResponseWriter, _ *http.Request) {
		r := c.Registry()
		if r == nil {
			http.Error(w, "the replicated state is not open", http.StatusServiceUnavailable)
			return
		}
		usage, err := r.Allowances()
		switch {
		case shstore.KindOf(err) == shstore.KindNotLeader:
			http.Error(w, fmt.Sprintf("the leader is %q", r.Status().Leader.VM), http.StatusMisdirectedRequest)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(usage); err != nil {
			c.Log.Info("use of allowances not delivered", "error", err)
		}
	})
}
