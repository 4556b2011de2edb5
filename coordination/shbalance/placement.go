package shbalance

import (
	"slices"
	"strings"
	"time"

	"sequoiahollow/state/shmodel"
)

// Placement says where a request would go now, and why. Losses are fractions of the
// benefit of a request, times are in milliseconds.
type Placement struct {
	// Chosen is the backend server, empty if the request would be refused, and Why the
	// reason of the choice or the refusal.
	Chosen shmodel.BackendServer `json:"chosen"`
	Why    string                `json:"why"`
	// RetryAfterMS is when a caller that is refused should come back, before the part
	// that is added at random.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
	// Utilization is the load per slot of the backend servers that may get requests.
	Utilization float64 `json:"utilization"`
	// Candidates may get the request, the best one first.
	Candidates []Candidate `json:"candidates"`
	Excluded   []Excluded  `json:"excluded"`
}

// Candidate is a backend server that may get a request.
type Candidate struct {
	Backend shmodel.BackendServer `json:"backend"`
	Zone    shmodel.FailureDomain `json:"failureDomain"`
	Region  shmodel.Region        `json:"region"`
	// Distance is "same failure domain", "same region" or "other region".
	Distance string `json:"distance"`
	// Load is the estimated number of requests there. OwnLoad are those of this entry VM.
	Load    float64 `json:"load"`
	OwnLoad int     `json:"ownLoad"`
	Slots   int     `json:"slots"`
	// ReportAgeMS is the age of the load report in Load, -1 if there is none.
	ReportAgeMS int64 `json:"reportAgeMs"`
	// EstimateMS is the expected response time, WaitMS the part of it until a slot is
	// free, and RoundTripMS that of the network.
	EstimateMS  int64 `json:"estimateMs"`
	WaitMS      int64 `json:"waitMs"`
	RoundTripMS int64 `json:"roundTripMs"`
	// Warmth is "warm" for the key of the request, "primary" or "backup" of the key, or
	// "unseen".
	Warmth string  `json:"warmth"`
	Loss   float64 `json:"loss"`
}

// Excluded is a backend server that may not get a request.
type Excluded struct {
	Backend shmodel.BackendServer `json:"backend"`
	Zone    shmodel.FailureDomain `json:"failureDomain"`
	Rule    Exclusion             `json:"rule"`
	// ForMS is how long the rule holds, if it ends by the clock.
	ForMS int64 `json:"forMs,omitempty"`
}

// Exclusion is the rule by which a backend server may not get a request; empty if it
// may.
type Exclusion string

// Rules that do not depend on load.
const (
	ExcludedLeaving     Exclusion = "leaving"
	ExcludedEvacuated   Exclusion = "evacuated"
	ExcludedSuspended   Exclusion = "suspended"
	ExcludedZone        Exclusion = "failure domain suspended"
	ExcludedTried       Exclusion = "tried"
	ExcludedAskedToWait Exclusion = "asked to wait"
	ExcludedRegion      Exclusion = "region not allowed"
	ExcludedCold        Exclusion = "cold"
)

// Rules that depend on load and learned times.
const (
	eligible Exclusion = ""
	// ExcludedFull says that the queue of the backend server is full.
	ExcludedFull Exclusion = "full"
	// ExcludedReturning says that it wanted no requests until a moment ago and has as
	// many as it should get now.
	ExcludedReturning Exclusion = "returning from a stated wait"
	// ExcludedQueue says that no slot would be free before the deadline.
	ExcludedQueue Exclusion = "queue longer than the time left"
	// ExcludedLate says that the answer would be late, at high utilization.
	ExcludedLate Exclusion = "late answer at high utilization"
	// ExcludedColdRun says that the request would run cold while slots are short.
	ExcludedColdRun Exclusion = "cold run while slots are short"
	// ExcludedTooSlow says that a slot is free and only learned times prevent it.
	ExcludedTooSlow Exclusion = "learned times longer than the time left"
)

// Explain returns where Pick would send a request now, and why. It changes nothing: it
// works on a copy of the state, so that no probe is used up.
func (b *Balancer) Explain(now time.Time, r Request) Placement {
	// The copy shares what Pick only reads.
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.copyFor(r)
	p := c.compareAll(now, r)
	choice, refusal := c.Pick(now, r)
	if refusal != nil {
		p.Why, p.RetryAfterMS = string(refusal.Reason), refusal.RetryAfter.Milliseconds()
		return p
	}
	p.Chosen = choice.Backend.ID
	switch {
	case choice.warmsBackup:
		p.Why = "warms the backup of the key"
	case len(p.Candidates) == 0:
		p.Why = "shows whether the learned times are still true"
	case !choice.room:
		p.Why = "least loss, none has room for the body"
	default:
		p.Why = "least loss"
	}
	return p
}

// copyFor returns a balancer with a copy of all that Pick may change for a request.
func (b *Balancer) copyFor(r Request) *Balancer {
	c := New(b.place)
	c.coldRates, c.entries, c.evacuated = b.coldRates, b.entries, b.evacuated
	c.uploads, c.loadsShared = b.uploads, b.loadsShared
	c.roundTrips, c.homes = b.roundTrips, b.homes
	for _, n := range b.services[r.Service] {
		state := *n
		c.backends[n.backend.ID] = &state
		c.services[r.Service] = append(c.services[r.Service], &state)
	}
	if t, ok := b.routes.Get(r.Route.Name); ok {
		*c.times(r.Route) = *t
	}
	for name, z := range b.zones {
		zone := *z
		c.zones[name] = &zone
	}
	id := keyIDOf(r)
	if k, ok := b.keys.Get(id); ok {
		own := *k
		c.keys.Put(id.space, id, &own)
	}
	return c
}

// compareAll compares all backend servers of a service for a request.
func (b *Balancer) compareAll(now time.Time, r Request) Placement {
	backends := b.candidates(now, r)
	t, k := b.times(r.Route), b.key(r)
	preferred := b.preferred(backends, k)
	p := Placement{Utilization: utilizationOf(now, backends), Candidates: []Candidate{}, Excluded: []Excluded{}}
	tie := mix(k.hash, b.vmHash)
	type compared struct {
		*backendState
		Choice
	}
	var list []compared
	for _, n := range b.services[r.Service] {
		rule := b.exclusion(now, n, r)
		var c Choice
		if rule == eligible {
			var warm time.Duration
			c, warm = b.estimate(now, n, t, r, k, preferred)
			rule = c.fit(now, n, r, t, warm, p.Utilization)
		}
		if rule != eligible {
			x := Excluded{Backend: n.backend.ID, Zone: n.backend.Zone, Rule: rule, ForMS: b.endOf(n, rule).Sub(now).Milliseconds()}
			x.ForMS = max(x.ForMS, 0)
			p.Excluded = append(p.Excluded, x)
			continue
		}
		c.loss, c.room = b.loss(now, n, r, c.Estimate), n.hasRoom(r)
		list = append(list, compared{n, c})
	}
	slices.SortFunc(list, func(x, y compared) int {
		if x.beats(y.Choice) || x.equals(y.Choice) && ranksBefore(tie, x.backendState, y.backendState) {
			return -1
		}
		return 1
	})
	for _, x := range list {
		p.Candidates = append(p.Candidates, b.candidate(now, x.backendState, x.Choice, preferred))
	}
	slices.SortFunc(p.Excluded, func(x, y Excluded) int { return strings.Compare(string(x.Backend), string(y.Backend)) })
	return p
}

func (b *Balancer) candidate(now time.Time, n *backendState, c Choice, p preferredBackends) Candidate {
	x := Candidate{
		Backend: c.Backend.ID, Zone: c.Backend.Zone, Region: n.region, Distance: "other region",
		Load: c.Load, OwnLoad: n.inFlight, Slots: c.Backend.Slots, ReportAgeMS: -1,
		EstimateMS: c.Estimate.Milliseconds(), WaitMS: (c.Estimate - c.serviceTime).Milliseconds(),
		RoundTripMS: c.roundTrip.Milliseconds(), Warmth: "unseen", Loss: c.loss,
	}
	switch {
	case c.Backend.Zone == b.place.Zone:
		x.Distance = "same failure domain"
	case n.region == b.place.Region:
		x.Distance = "same region"
	}
	if !n.reportedAt.IsZero() {
		x.ReportAgeMS = now.Sub(n.reportedAt).Milliseconds()
	}
	switch {
	case c.Warm:
		x.Warmth = "warm"
	case c.primary:
		x.Warmth = "primary"
	case p.backup == n:
		x.Warmth = "backup"
	}
	return x
}

// endOf returns when a rule ceases to hold by the clock, zero if it doesn't.
func (b *Balancer) endOf(n *backendState, rule Exclusion) time.Time {
	switch rule {
	case ExcludedSuspended:
		return n.suspendedUntil
	case ExcludedZone:
		return b.zone(n.backend.Zone).suspendedUntil
	case ExcludedAskedToWait:
		return n.stated.until
	case ExcludedCold:
		return n.coldUntil
	}
	return time.Time{}
}
