package shentry

import (
	"context"
	"sync"
	"time"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shview"
)

const (
	// expectedAnswerBytes is the assumed size of an answer, which is not known
	// when a request is shifted to another region.
	expectedAnswerBytes = 16 << 10
	// maxCreditRequests is the number of owners in other regions that are asked
	// for credits at a time.
	maxCreditRequests = 2
	// minChoiceInterval is the least wait between two choices for a request. A VM
	// that owns no backend server of the service gets no event that would end the
	// wait, so it has to choose again after a time.
	minChoiceInterval = 20 * time.Millisecond
)

// choose carries out a Choose effect.
func (c *receiverDriver) choose(f shrequest.Choose) {
	if !c.entry.spendBudget(f) {
		c.mailbox.post(shrequest.BudgetDenied{ID: f.ID})
		return
	}
	c.mailbox.post(shrequest.ChoiceMade{ID: f.ID, Choice: c.decide(f)})
}

// decide applies the routing policy. If a credit of another region would help,
// it requests credits from owners there. It then waits for them and applies the
// policy again, unless the policy chose to wait and the objective is not latency:
// then waiting in the region is better for now.
func (c *receiverDriver) decide(f shrequest.Choose) shrouting.Choice {
	v := c.entry.View()
	choice, creditsHelp := c.applyPolicy(v, f)
	if !creditsHelp || !c.entry.shiftsAllowed(v) {
		return c.finalizeChoice(v, choice)
	}
	answers := c.entry.requestCredits(c.ctx, v, c.request)
	if _, waits := choice.(shrouting.Wait); waits && v.Config.Config.Objective != shconfig.Latency {
		return c.finalizeChoice(v, choice)
	}
	c.entry.awaitCredits(c.ctx, v, c.request, answers)
	choice, _ = c.applyPolicy(v, f)
	return c.finalizeChoice(v, choice)
}

// applyPolicy returns the choice of the policy, and whether credits of other
// regions would help. It notes for the burn report if another region lent a slot
// but the grant for the link has less left than the request needs.
func (c *receiverDriver) applyPolicy(v *shview.View, f shrequest.Choose) (shrouting.Choice, bool) {
	s := c.entry.snapshot(v, c.request.Service, c.expectedBytes())
	for _, r := range s.Regions {
		if r.Credits > 0 && r.LinkFreeBytes < c.expectedBytes() {
			c.linkCap.Store(true)
		}
	}
	r := shrouting.Request{
		ID: c.request.ID, Kind: c.request.Operation, Remaining: time.Until(c.request.Deadline),
		Bytes: c.expectedBytes(), Tried: f.Tried,
	}
	return c.entry.Policy.Choose(&s, r), s.WantsCredits(r)
}

func (c *receiverDriver) expectedBytes() int64 { return c.request.RequestBytes + expectedAnswerBytes }

// finalizeChoice uses the credit of a shift. It turns a wait into a run on this VM
// if this VM has usable slots; the request then joins the queue for them.
func (c *receiverDriver) finalizeChoice(v *shview.View, choice shrouting.Choice) shrouting.Choice {
	switch x := choice.(type) {
	case shrouting.Shift:
		if !c.entry.Credits.Use(c.request.Service, x.VM, x.Credit) {
			return shrouting.Wait{Expected: minChoiceInterval}
		}
	case shrouting.Wait:
		if c.entry.snapshot(v, c.request.Service, 0).Own.Usable > 0 {
			return shrouting.ServeOwn{}
		}
		return shrouting.Wait{Expected: max(x.Expected, minChoiceInterval)}
	}
	return choice
}

// shiftsAllowed reports whether requests may be shifted to other regions. They
// may not under an unconfirmed configuration, since a newer one may have lowered
// the cap of a link.
func (e *Entry) shiftsAllowed(v *shview.View) bool { return v.Confirmed(time.Now()) }

// requestCredits asks the nearest owners in other regions for credits.
func (e *Entry) requestCredits(ctx context.Context, v *shview.View, r shrequest.Request) []<-chan struct{} {
	owners := e.remoteOwners(v, r.Service)
	var answers []<-chan struct{}
	for _, h := range owners[:min(len(owners), maxCreditRequests)] {
		e.Links.AddDemand(h.Place.Region, r.RequestBytes)
		answers = append(answers, e.Credits.Request(ctx, r.Service, h))
	}
	return answers
}

// awaitCredits waits for the answers of the owners: at most two of the longest
// round trips and one grantRequestInterval, and at most half of the time that the
// request has left.
func (e *Entry) awaitCredits(ctx context.Context, v *shview.View, r shrequest.Request, answers []<-chan struct{}) {
	longest := time.Duration(0)
	for _, h := range e.remoteOwners(v, r.Service) {
		longest = max(longest, e.roundTrip(v, h.Place.Region))
	}
	ctx, cancel := context.WithTimeout(ctx, min(2*longest+grantRequestInterval, time.Until(r.Deadline)/2))
	defer cancel()
	for _, a := range answers {
		select {
		case <-a:
		case <-ctx.Done():
			return
		}
	}
}

// remoteOwners lists VMs of other regions that own slots of a service, the
// nearest region first.
func (e *Entry) remoteOwners(v *shview.View, name shmodel.Service) []shdirectory.Heartbeat {
	var owners []shdirectory.Heartbeat
	for _, h := range lookup(v, e.Place.Region, string(e.VM), name) {
		if h.Place.Region != e.Place.Region && h.Services[name].Total > 0 {
			owners = append(owners, h)
		}
	}
	return owners
}

func (e *Entry) roundTrip(v *shview.View, to shmodel.Region) time.Duration {
	return time.Duration(2 * v.LatencyMS(e.Place.Region)[to] * float64(time.Millisecond))
}

// snapshot returns the input of the routing policy: the slots of this VM and its
// peers, and, if shifts are allowed, the credits and links to other regions.
func (e *Entry) snapshot(v *shview.View, name shmodel.Service, bytes int64) shrouting.Snapshot {
	s := e.Slots.Snapshot(shrouting.Own{VM: e.VM, Place: e.Place}, name)
	s.Objective = v.Config.Config.Objective
	inner := v.Config.Config.Regions[e.Place.Region].InnerLatencyMS
	s.InnerRoundTrip = time.Duration(2 * inner * float64(time.Millisecond))
	if !e.shiftsAllowed(v) {
		return s
	}
	for _, h := range e.remoteOwners(v, name) {
		id, left := e.Credits.Valid(name, h.VM)
		var free int64
		if e.Links.CanSend(h.Place.Region, bytes) {
			free = bytes
		}
		s.Regions = append(s.Regions, shrouting.Remote{
			VM: h.VM, Address: h.ServerAddress, Place: h.Place, Credits: left, Credit: id,
			LinkFreeBytes: free, RoundTrip: e.roundTrip(v, h.Place.Region), Healthy: true,
		})
	}
	return s
}

// spendBudget reports whether the budget permits the attempt, and takes a retry
// or hedge from its budget.
func (e *Entry) spendBudget(f shrequest.Choose) bool {
	if !f.Retry && !f.Hedge {
		return true
	}
	b := &e.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Hedge {
		return b.hedge.Spend(time.Now())
	}
	return b.retry.Spend(time.Now())
}

// countRequest adds a request to the traffic of which the budgets are a share.
func (e *Entry) countRequest(l shconfig.Limits) {
	b := &e.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.retry.Share, b.hedge.Share = l.RetryShare, l.HedgeShare
	b.retry.Request(now)
	b.hedge.Request(now)
}

// latencyEstimator estimates the 95th percentile of the latency per service.
type latencyEstimator struct {
	mu       sync.Mutex
	quantile map[shmodel.Service]time.Duration
	count    map[shmodel.Service]int
}

const (
	// hedgeQuantile is the share of answers that arrive before a hedge is sent.
	hedgeQuantile = 0.95
	// quantileStep scales the relative change of the estimate per answer.
	quantileStep = 0.05
	// minHedgeSamples is the number of answers before the estimate is used.
	minHedgeSamples = 100
)

// observe raises the estimate after a slower answer and lowers it, by less, after
// a faster one. The two balance when the share hedgeQuantile of the answers is
// faster than the estimate.
func (h *latencyEstimator) observe(name shmodel.Service, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.quantile == nil {
		h.quantile = map[shmodel.Service]time.Duration{}
		h.count = map[shmodel.Service]int{}
	}
	h.count[name]++
	estimate := float64(h.quantile[name])
	switch {
	case estimate == 0:
		estimate = float64(d)
	case float64(d) > estimate:
		estimate += estimate * quantileStep * hedgeQuantile
	default:
		estimate -= estimate * quantileStep * (1 - hedgeQuantile)
	}
	h.quantile[name] = time.Duration(estimate)
}

// hedgeDelay returns the time after which an idempotent request is hedged, or
// zero if there are too few samples.
func (h *latencyEstimator) hedgeDelay(name shmodel.Service) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count[name] < minHedgeSamples {
		return 0
	}
	return h.quantile[name]
}
