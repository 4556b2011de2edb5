package shregistry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"sequoiahollow/coordination/shquota"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shclock"
)

// allowances holds the buckets of the teams while this VM leads.
type allowances struct {
	leader  *shquota.Leader
	version uint64
}

// allowance handles MethodAllowance. A leader that no quorum has confirmed lately
// issues nothing, since another one may have been elected.
func (r *Registry) allowance(_ context.Context, a shquota.Ask) (shquota.Answer, error) {
	confirmed := r.store.Status().Confirmed
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaderSince.IsZero() || time.Since(confirmed) > shraft.DefaultElectionTimeout {
		return shquota.Answer{}, r.notLeader(MethodAllowance)
	}
	now := shclock.Time()
	return r.quotaLeader(now).Ask(now, a), nil
}

// quotaLeader returns the buckets of the teams by the table in force. The caller holds
// the mutex.
func (r *Registry) quotaLeader(now time.Time) *shquota.Leader {
	q := &r.allowances
	if q.leader == nil {
		q.leader = &shquota.Leader{Rules: r.config.Quota, ID: rand.Uint64() | 1}
		q.version = 0
	}
	q.leader.VMs = len(r.state.Entries)
	d := r.state.Document
	if q.version == d.Version {
		return q.leader
	}
	q.version = d.Version
	limits := map[string]shquota.Limit{}
	for _, t := range d.Table.Teams {
		if t.Rate > 0 {
			limits[t.Name] = shquota.Limit{Rate: t.Rate, Burst: t.Burst}
		}
	}
	q.leader.SetTeams(now, limits)
	return q.leader
}

// Allowances returns the use that teams make of their allowances. It fails unless this
// VM leads.
func (r *Registry) Allowances() ([]shquota.Usage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.config.Quota.Enabled() {
		return nil, &Error{Op: "allowances", Kind: KindUnavailable, Err: errors.New("the settings state no window for allowances")}
	}
	if r.leaderSince.IsZero() {
		return nil, r.notLeader("allowances")
	}
	now := shclock.Time()
	return r.quotaLeader(now).Usage(now), nil
}
