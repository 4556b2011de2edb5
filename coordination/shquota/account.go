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
	// waitLimit is how long a request waits for a token. It is well within the
	// objectives of interactive requests.
	waitLimit = 300 * time.Millisecond
	// spareAfter is how long a request waits before the spare is used. An answer
	// takes a round trip and the interval of asks if the leader can be reached.
	spareAfter = 150 * time.Millisecond
	// cutRetryAfter is the Retry-After while the leader cannot be reached. It is about
	// the time of an election.
	cutRetryAfter = 700 * time.Millisecond
	// aheadShare is the part of the lifetime of tokens for which they are asked for
	// ahead. The rest is for the way of the answer.
	aheadShare = 0.8
	// demandFade is the time constant of the estimated demand: long enough to smooth
	// single requests, short enough to follow a burst.
	demandFade = 500 * time.Millisecond
	// minAskInterval and maxAskInterval bound the time between two asks, and
	// askIntervalPerVM sets it in between, so that the leader gets at most about 500
	// asks a second from up to 100 entry VMs. The upper bound leaves a request that
	// waits time for one ask and its answer.
	minAskInterval   = 50 * time.Millisecond
	maxAskInterval   = 200 * time.Millisecond
	askIntervalPerVM = 2 * time.Millisecond
)

// Account decides on the requests at one entry VM. Set the exported fields and call
// Update.
type Account struct {
	Rules Rules
	VM    shmodel.VM
	// Process tells successive processes of the VM apart.
	Process uint64

	teams map[string]*holding
	// vms holds the entry VMs, with the time since which one is not listed any more.
	vms map[shmodel.VM]time.Time
	// number is that of the last ask, sentAt its time, and asking says that it is
	// not answered yet.
	number uint64
	sentAt time.Time
	asking bool
	// cut says that the last ask failed.
	cut    bool
	leader uint64
	stats  Stats
}

// Stats counts tokens since the start of an Account.
type Stats struct {
	Asked   uint64
	Granted uint64
	Expired uint64
	// Bridged and Spare count requests that passed without the leader.
	Bridged uint64
	Spare   uint64
	// Refused counts requests refused because the allowance is used up, Cut those
	// refused because the leader did not answer.
	Refused uint64
	Cut     uint64
	// AnsweredAt is the time of the last answer, zero before the first.
	AnsweredAt time.Time
}

// holding is what the VM holds for one team.
type holding struct {
	limit  Limit
	plan   Plan
	lots   []*lot
	bridge *heldBridge
	spare  bucket
	demand float64 // requests per second
	metAt  time.Time
	// waiting is the number of requests that wait.
	waiting int
	refused int
	// answered is the time of the last answered ask, and emptyUntil the time until
	// which its answer expects the allowance to be used up.
	answered   time.Time
	emptyUntil time.Time
	unused     int
	stamp      uint64
}

// lot is the tokens of one grant.
type lot struct {
	tokens int
	until  time.Time
	leader uint64
	stamp  uint64
}

// Request is a request that needs a token.
type Request struct {
	Team string
	// At is when the request arrived.
	At time.Time

	waits bool
}

// Decision is what happens to a request: Passed, Waiting or Refused.
type Decision interface{ isDecision() }

// Passed lets a request pass.
type Passed struct{ Ticket Ticket }

// Waiting says that Take is to be called again after the next answer, and once more
// when the time Until has come.
type Waiting struct{ Until time.Time }

// Refused says that no token comes in time, and when there is room again.
type Refused struct{ After time.Duration }

func (Passed) isDecision()  {}
func (Waiting) isDecision() {}
func (Refused) isDecision() {}

// Ticket stands for the token that a request has taken. The zero value stands for none.
type Ticket struct {
	lot    *lot
	bucket *bucket
	stamp  uint64
}

// Update sets the allowances of the teams that have one and the VMs that are entry
// VMs. A VM that was one lately still has a part of the spare buckets, since it may be
// cut off and serve on.
func (a *Account) Update(now time.Time, limits map[string]Limit, vms []shmodel.VM) {
	if a.teams == nil {
		a.teams, a.vms = map[string]*holding{}, map[shmodel.VM]time.Time{}
	}
	changed := a.updateVMs(now, vms)
	maps.DeleteFunc(a.teams, func(name string, _ *holding) bool { _, ok := limits[name]; return !ok })
	for name, limit := range limits {
		h := a.teams[name]
		if h == nil {
			h = &holding{}
			a.teams[name] = h
		}
		if h.limit == limit && !changed {
			continue
		}
		h.limit, h.plan = limit, a.Rules.Plan(limit)
		h.spare.refill(now, 0)
		h.spare.set(now, a.spareOf(name, h.plan))
	}
}

// Take decides on a request. It is called again for a request that waits.
func (a *Account) Take(now time.Time, r *Request) Decision {
	h := a.teams[r.Team]
	if h == nil {
		// The table that names the team has come after the last Update.
		if now.Sub(r.At) >= waitLimit {
			return Refused{After: cutRetryAfter}
		}
		return Waiting{Until: r.At.Add(waitLimit)}
	}
	if !r.waits {
		h.meet(now)
		h.demand += 1 / demandFade.Seconds()
	}
	d := a.decide(now, h, r)
	switch _, waits := d.(Waiting); {
	case waits && !r.waits:
		h.waiting++
		r.waits = true
	case !waits:
		a.Leave(r)
	}
	return d
}

// Leave ends the wait of a request whose caller has left.
func (a *Account) Leave(r *Request) {
	if h := a.teams[r.Team]; h != nil && r.waits {
		h.waiting = max(h.waiting-1, 0)
	}
	r.waits = false
}

func (a *Account) decide(now time.Time, h *holding, r *Request) Decision {
	a.expire(now, h)
	tokens, first := h.tokens()
	// Tokens that requests wait for do not go to later requests.
	if tokens > 0 && (r.waits || tokens > h.waiting) {
		first.tokens--
		return Passed{Ticket{lot: first}}
	}
	waited := now.Sub(r.At)
	if t, ok := h.bridge.take(now); ok {
		a.stats.Bridged++
		return Passed{t}
	}
	if a.cut || waited >= spareAfter {
		h.spare.refill(now, 0)
		if n, stamp := h.spare.take(now, 1); n == 1 {
			a.stats.Spare++
			return Passed{Ticket{bucket: &h.spare, stamp: stamp}}
		}
	}
	if after, refused := a.refuse(now, h, r); refused {
		h.refused++
		return Refused{After: after}
	}
	next := r.At.Add(waitLimit)
	if waited < spareAfter {
		next = r.At.Add(spareAfter)
	}
	if at, ok := h.bridge.nextAt(now); ok {
		next = earlier(next, at)
	}
	return Waiting{Until: next}
}

// refuse reports whether a request without a token is refused, and for how long. That is
// only after an ask for it, so that refusals do not keep the VM from asking, or if more
// requests wait than tokens can come.
func (a *Account) refuse(now time.Time, h *holding, r *Request) (after time.Duration, refused bool) {
	waited := now.Sub(r.At)
	covered := !h.answered.Before(r.At)
	bound := h.limit.Rate * waitLimit.Seconds()
	crowded := !r.waits && float64(h.waiting) > bound
	until := h.emptyUntil.Sub(now)
	switch {
	case !a.cut && until > waitLimit-waited && (covered || crowded), covered && waited >= waitLimit:
		a.stats.Refused++
		return max(until, 0), true
	case !a.cut && crowded && float64(h.waiting) > bound+h.limit.Burst:
		a.stats.Refused++
		return waitLimit, true
	case waited >= waitLimit, a.cut && crowded:
		a.stats.Cut++
		return cutRetryAfter, true
	}
	return 0, false
}

// Return gives back the token of a request that has certainly not run.
func (a *Account) Return(now time.Time, t Ticket) {
	switch {
	case t.bucket != nil:
		t.bucket.refill(now, 0)
		t.bucket.giveBack(1, t.stamp)
	case t.lot != nil && now.Before(t.lot.until):
		t.lot.tokens++
	}
}

// Cut reports whether the last ask got no answer.
func (a *Account) Cut() bool { return a.cut }

// NextAsk returns the next ask, or false and the time to wait until the next call; zero
// means until a request waits or passes. It must be followed by Answered or Failed.
func (a *Account) NextAsk(now time.Time) (Ask, time.Duration, bool) {
	if a.asking {
		return Ask{}, 0, false
	}
	var wants []Want
	pause := time.Duration(0)
	for name, h := range a.teams {
		renewIn := h.bridge.renewIn(now)
		if w := a.want(now, h); w.Waiting > 0 || w.Ahead > 0 || h.bridge != nil && renewIn <= 0 {
			w.Team = name
			wants = append(wants, w)
		} else if h.bridge != nil && (pause == 0 || renewIn < pause) {
			pause = renewIn
		}
	}
	if len(wants) == 0 {
		return Ask{}, pause, false
	}
	slices.SortFunc(wants, func(x, y Want) int { return cmp.Compare(x.Team, y.Team) })
	if left := a.interval() - now.Sub(a.sentAt); left > 0 {
		return Ask{}, left, false
	}
	for _, w := range wants {
		h := a.teams[w.Team]
		h.unused, h.stamp, h.refused = 0, 0, 0
		a.stats.Asked += uint64(w.Waiting + w.Ahead)
	}
	a.number++
	a.asking, a.sentAt = true, now
	return Ask{VM: a.VM, Process: a.Process, Number: a.number, Leader: a.leader, Wants: wants}, 0, true
}

// Answered takes the answer to the last ask.
func (a *Account) Answered(now time.Time, answer Answer) {
	if answer.Leader != a.leader {
		a.leader = answer.Leader
		for _, h := range a.teams {
			h.unused, h.stamp = 0, 0
		}
	}
	a.asking, a.cut, a.stats.AnsweredAt = false, false, now
	for _, g := range answer.Grants {
		h := a.teams[g.Team]
		if h == nil {
			continue
		}
		h.answered, h.emptyUntil = a.sentAt, time.Time{}
		if g.WaitMS > 0 {
			h.emptyUntil = now.Add(time.Duration(g.WaitMS) * time.Millisecond)
		}
		h.bridge = nil
		if g.Bridge > 0 && now.Sub(a.sentAt) < bridgeAnswer {
			h.bridge = newHeldBridge(Bridge{Leader: answer.Leader, Number: a.number, Rate: g.Bridge}, a.sentAt, h.plan.TokenLife)
		}
		if g.Tokens > 0 {
			a.stats.Granted += uint64(g.Tokens)
			h.lots = append(h.lots, &lot{
				tokens: g.Tokens, until: a.sentAt.Add(h.plan.TokenLife), leader: answer.Leader, stamp: g.Stamp,
			})
		}
	}
}

// Failed says that the last ask got no answer.
func (a *Account) Failed() { a.asking, a.cut = false, true }

// Stats returns the counts so far.
func (a *Account) Stats() Stats { return a.stats }

// want returns what is to be asked for a team. Without much demand tokens are asked for
// when a request waits, since those asked for ahead would mostly expire.
func (a *Account) want(now time.Time, h *holding) Want {
	a.expire(now, h)
	h.meet(now)
	tokens, _ := h.tokens()
	w := Want{Waiting: max(h.waiting-tokens, 0), Refused: h.refused, Unused: h.unused, Stamp: h.stamp}
	if h.bridge != nil && !now.Before(h.bridge.until) {
		h.bridge = nil
	}
	if h.bridge != nil {
		held := h.bridge.Bridge
		w.Bridge = &held
	}
	expected := h.demand * h.plan.TokenLife.Seconds() * aheadShare
	if h.demand*h.plan.TokenLife.Seconds() >= 1 {
		w.Rate = h.demand
	}
	if held := float64(max(tokens-h.waiting, 0)); expected >= 1 && held < expected/2 {
		w.Ahead = int(expected - held)
	}
	return w
}

func (a *Account) interval() time.Duration {
	return min(max(time.Duration(len(a.vms))*askIntervalPerVM, minAskInterval), maxAskInterval)
}

// expire removes the lots whose time is over. Their tokens are given back with the next
// ask.
func (a *Account) expire(now time.Time, h *holding) {
	kept := h.lots[:0]
	for _, l := range h.lots {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		a.stats.Expired += uint64(l.tokens)
		if l.tokens > 0 && l.leader == a.leader {
			if h.unused == 0 || l.stamp < h.stamp {
				h.stamp = l.stamp
			}
			h.unused += l.tokens
		}
	}
	clear(h.lots[len(kept):])
	h.lots = kept
}

// tokens returns the number of tokens held and the lot to take the next one from.
func (h *holding) tokens() (n int, first *lot) {
	for _, l := range h.lots {
		n += l.tokens
		if l.tokens > 0 && (first == nil || l.until.Before(first.until)) {
			first = l
		}
	}
	return n, first
}

// meet lets the estimated demand fade up to now.
func (h *holding) meet(now time.Time) {
	if elapsed := now.Sub(h.metAt); elapsed > 0 {
		h.demand *= math.Exp(-elapsed.Seconds() / demandFade.Seconds())
		h.metAt = now
	}
}
