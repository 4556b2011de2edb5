package shquota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// maxWait bounds Grant.WaitMS; callers that come back later would find a full
	// bucket.
	maxWait = 2 * time.Second
	// refusedFade is the time in which the count of refused requests falls to 1/e: most
	// callers have come back or have given up by then.
	refusedFade = time.Second
	// contenderAge is how long an entry VM that asked counts as a contender.
	contenderAge = 500 * time.Millisecond
	// askerAge is how long the number of the last ask of a VM is kept. An ask does not
	// stay on its way for longer.
	askerAge = 30 * time.Second
)

// Leader keeps the buckets of all teams. Set the exported fields and call SetTeams.
type Leader struct {
	Rules Rules
	// ID tells successive leaders apart. It must not be zero.
	ID uint64
	// VMs is the number of entry VMs.
	VMs int

	teams  map[string]*teamBucket
	askers map[shmodel.VM]asker
	pruned time.Time
}

type asker struct {
	process, number uint64
	at              time.Time
}

type teamBucket struct {
	bucket
	bridges   bridges
	plan      Plan
	allowance Limit
	issued    uint64
	returned  uint64
	// refused fades with refusedFade.
	refused   float64
	refusedAt time.Time
	// usage is the number of tokens issued in the current and in the last window.
	windowAt   time.Time
	inWindow   float64
	lastWindow float64
	contenders map[shmodel.VM]time.Time
}

// SetTeams replaces the allowances. The bucket of a new team is empty.
func (l *Leader) SetTeams(now time.Time, limits map[string]Limit) {
	if l.teams == nil {
		l.teams = map[string]*teamBucket{}
	}
	maps.DeleteFunc(l.teams, func(name string, _ *teamBucket) bool { _, ok := limits[name]; return !ok })
	for name, limit := range limits {
		t := l.teams[name]
		if t == nil {
			t = &teamBucket{windowAt: now, contenders: map[shmodel.VM]time.Time{}}
			l.teams[name] = t
			plan := l.Rules.Plan(limit)
			if l.bridgesFrom(plan, assumedDemand) {
				t.bridges.assume(now, bridgeShare*plan.Leader.Rate)
			} else {
				t.bridges.assume(now, 0)
			}
		}
		t.refill(now)
		t.allowance, t.plan = limit, l.Rules.Plan(limit)
		t.set(now, t.plan.Leader)
	}
}

// Ask answers an ask. Requests that wait get what is there; tokens for requests that
// are expected leave half of it to other entry VMs, if any asked lately.
func (l *Leader) Ask(now time.Time, a Ask) Answer {
	answer := Answer{Leader: l.ID, Grants: make([]Grant, 0, len(a.Wants))}
	fresh := l.isFresh(now, a)
	for _, w := range a.Wants {
		t := l.teams[w.Team]
		if t == nil {
			// The table of the leader may be older than that of the entry VM.
			answer.Grants = append(answer.Grants, Grant{Team: w.Team, WaitMS: contenderAge.Milliseconds()})
			continue
		}
		t.refill(now)
		if fresh && a.Leader == l.ID && w.Unused > 0 {
			t.giveBack(w.Unused, w.Stamp)
			t.returned += uint64(w.Unused)
			t.inWindow -= float64(w.Unused)
		}
		g := t.grant(now, l.Rules.Window, a.VM, w)
		if fresh {
			t.bridges.held(now, l.ID, a.VM, w.Bridge)
			if w.Rate > 0 && l.bridgesFrom(t.plan, bridgeDemand) {
				g.Bridge = t.bridges.issue(now, Bridge{Leader: l.ID, Number: a.Number}, a.VM, w.Rate,
					bridgeShare*t.limit.Rate, 1/t.plan.TokenLife.Seconds())
			}
		}
		answer.Grants = append(answer.Grants, g)
	}
	return answer
}

// bridgesFrom reports whether a team with a plan has bridges if they begin at a demand.
func (l *Leader) bridgesFrom(p Plan, demand float64) bool {
	return p.Leader.Rate*p.TokenLife.Seconds() >= demand*float64(max(l.VMs, 1))
}

// refill refills the bucket with what the bridges do not use.
func (t *teamBucket) refill(now time.Time) {
	used := 0.0
	if now.After(t.refilledAt) && !t.refilledAt.IsZero() {
		used = t.bridges.used(t.refilledAt, now)
	}
	t.bucket.refill(now, min(used, t.limit.Rate*now.Sub(t.refilledAt).Seconds()))
}

// isFresh reports whether an ask was not received before, and records it.
func (l *Leader) isFresh(now time.Time, a Ask) bool {
	if l.askers == nil {
		l.askers = map[shmodel.VM]asker{}
	}
	if now.Sub(l.pruned) > askerAge {
		l.pruned = now
		maps.DeleteFunc(l.askers, func(_ shmodel.VM, x asker) bool { return now.Sub(x.at) > askerAge })
	}
	last := l.askers[a.VM]
	if last.process == a.Process && a.Number <= last.number {
		return false
	}
	l.askers[a.VM] = asker{process: a.Process, number: a.Number, at: now}
	return true
}

func (t *teamBucket) grant(now time.Time, window time.Duration, vm shmodel.VM, w Want) Grant {
	g := Grant{Team: w.Team}
	if w.Waiting <= 0 && w.Ahead <= 0 {
		return g
	}
	waiting, ahead := max(w.Waiting, 0), max(w.Ahead, 0)
	maps.DeleteFunc(t.contenders, func(_ shmodel.VM, at time.Time) bool { return now.Sub(at) > contenderAge })
	t.contenders[vm] = now
	g.Tokens, g.Stamp = t.take(now, waiting)
	if len(t.contenders) > 1 {
		ahead = min(ahead, int(math.Ceil(t.level/2)))
	}
	more, _ := t.take(now, ahead)
	g.Tokens += more
	t.issued += uint64(g.Tokens)
	t.rollWindow(now, window)
	t.inWindow += float64(g.Tokens)
	t.refused *= math.Exp(-now.Sub(t.refusedAt).Seconds() / refusedFade.Seconds())
	t.refusedAt = now
	t.refused += float64(max(w.Refused, 0))
	if g.Tokens < waiting+max(w.Ahead, 0) {
		g.WaitMS = t.wait().Milliseconds() + 1
	}
	return g
}

// wait returns the time until there is room for the requests refused so far and one
// more.
func (t *teamBucket) wait() time.Duration {
	missing := max(t.refused+1-t.level, 0)
	if t.limit.Rate <= 0 {
		return maxWait
	}
	return time.Duration(min(missing/t.limit.Rate, maxWait.Seconds()) * float64(time.Second))
}

func (t *teamBucket) rollWindow(now time.Time, window time.Duration) {
	for passed := now.Sub(t.windowAt); passed >= window; passed -= window {
		t.lastWindow, t.inWindow = t.inWindow, 0
		t.windowAt = t.windowAt.Add(window)
		if passed > 2*window {
			t.lastWindow, t.windowAt = 0, now
			return
		}
	}
}

// Usage is the use that a team makes of its allowance.
type Usage struct {
	Team  string  `json:"team"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Available is the number of tokens in the bucket.
	Available float64 `json:"available"`
	// LastWindow is the number of tokens issued in the last whole window, and Share
	// its part of what the rate permits in a window.
	LastWindow float64 `json:"lastWindow"`
	Share      float64 `json:"share"`
	// Refused is the number of requests refused in about the last second.
	Refused float64 `json:"refused"`
	Issued  uint64  `json:"issued"`
	// Returned is the number of issued tokens that came back unused.
	Returned uint64 `json:"returned"`
}

// Usage returns the use of all teams, those with the largest share first.
func (l *Leader) Usage(now time.Time) []Usage {
	usage := make([]Usage, 0, len(l.teams))
	for name, t := range l.teams {
		t.refill(now)
		t.rollWindow(now, l.Rules.Window)
		usage = append(usage, Usage{
			Team: name, Rate: t.allowance.Rate, Burst: t.allowance.Burst, Available: t.level,
			LastWindow: t.lastWindow, Share: t.lastWindow / max(t.allowance.Rate*l.Rules.Window.Seconds(), 1),
			Refused: t.refused * math.Exp(-now.Sub(t.refusedAt).Seconds()/refusedFade.Seconds()),
			Issued:  t.issued, Returned: t.returned,
		})
	}
	slices.SortFunc(usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Team, b.Team))
	})
	return usage
}
