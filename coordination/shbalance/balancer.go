package shbalance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/coordination/shfair"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shhome"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shmodel"
)

// Balancer chooses backend servers for the requests at one entry VM. Create it
// with New.
type Balancer struct {
	// HedgeShare is the share of the requests of a service that may be sent a second
	// time, see Hedge. With zero none are. Set it before use.
	HedgeShare float64

	place  Place
	vmHash uint64 // hash of the entry VM's name

	mu         sync.Mutex
	backends   map[shmodel.BackendServer]*backendState
	services   map[shmodel.Service][]*backendState
	coldRates  map[shmodel.Service]float64
	entries    []shmodel.VM
	evacuated  map[shmodel.FailureDomain]bool
	routes     shfair.Map[shmodel.Service, string, *routeTimes]
	roundTrips map[shmodel.FailureDomain]*movingAverage
	zones      map[shmodel.FailureDomain]*zoneState
	keys       shfair.Map[keySpace, keyID, *key]
	// homes are the known regions of keys, by route.
	homes shfair.Map[string, shhome.Key, shmodel.Region]
	// uploads says that callers send long bodies, which cold runs hold longer.
	uploads bool
	// loadsShared says that the loads that other entry VMs cause are known.
	loadsShared bool
	// sightings are keys that Sightings returns next.
	sightings []shhome.Home
	// absent holds the statements of instances that are not in the view.
	absent shfair.Map[shmodel.Service, shfleet.Instance, statement]
	// shapes and hedgeLimits are used for second sends only.
	shapes      map[shapeKey]*shape
	hedgeLimits map[shmodel.Service]*shlimit.ShareBudget
}

// New returns a balancer for the entry VM at place.
func New(place Place) *Balancer {
	return &Balancer{
		place:      place,
		vmHash:     xxhash.Sum64String(string(place.VM)),
		backends:   map[shmodel.BackendServer]*backendState{},
		services:   map[shmodel.Service][]*backendState{},
		routes:     shfair.Map[shmodel.Service, string, *routeTimes]{Max: maxRoutes},
		roundTrips: map[shmodel.FailureDomain]*movingAverage{},
		zones:      map[shmodel.FailureDomain]*zoneState{},
		keys:       shfair.Map[keySpace, keyID, *key]{Max: maxKeys},
		absent:     shfair.Map[shmodel.Service, shfleet.Instance, statement]{Max: maxAbsent},
		homes:      shfair.Map[string, shhome.Key, shmodel.Region]{Max: 2 * shhome.MaxKeys},
	}
}

// Update replaces the view of the fleet. What the balancer has learned of an
// instance of a backend server is kept while that instance is in the view.
func (b *Balancer) Update(now time.Time, v shfleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	backends := make(map[shmodel.BackendServer]*backendState, len(v.Backends))
	services := map[shmodel.Service][]*backendState{}
	b.entries = b.entries[:0]
	for _, e := range v.Entries {
		b.entries = append(b.entries, e.VM)
	}
	for id, backend := range v.Backends {
		n := b.backends[id]
		if n == nil || n.backend.Instance != backend.Instance {
			n = b.newBackendState(now, backend)
			n.untried = b.isBusy(backend.Service) && b.isFirstSender(n)
		}
		if n.backend.At != backend.At {
			n.coldUntil = now.Add(backend.ColdFor.Duration())
		}
		n.backend = backend
		backends[id] = n
		services[backend.Service] = append(services[backend.Service], n)
	}
	b.moveStatements(now, backends)
	b.backends, b.services, b.evacuated = backends, services, v.Evacuated
	b.uploads = v.Table.HasUploads()
	b.coldRates = map[shmodel.Service]float64{}
	for name := range services {
		if v.Table == nil {
			break
		}
		if s := v.Table.Service(name); s != nil {
			b.coldRates[name] = s.ColdRate
		}
	}
}

// isBusy reports whether this entry VM has sent requests to the service.
func (b *Balancer) isBusy(service shmodel.Service) bool {
	return slices.ContainsFunc(b.services[service], func(n *backendState) bool { return n.sent > 0 })
}

func (b *Balancer) newBackendState(now time.Time, backend shfleet.Backend) *backendState {
	n := &backendState{joined: now, learnedAt: now, warmKeys: map[string]time.Time{}}
	n.region = b.place.Regions[backend.Zone]
	switch {
	case backend.Zone == b.place.Zone:
	case n.region == b.place.Region:
		n.distanceLoss = otherZone
	default:
		n.distanceLoss = otherRegion
	}
	n.hash = xxhash.Sum64String(string(backend.ID))
	return n
}

// Pick chooses a backend server and counts the request as in flight there. The
// second result is nil if one was found.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	times := b.times(r.Route)
	key := b.key(r)
	b.sight(now, r, key)
	b.countRequest(now, r)
	best, backup, refusal := b.compare(now, r, times, key)
	if best == nil {
		return Choice{}, refusal
	}
	if backup != nil && key.shouldWarmBackup(now) && backup.loss < best.loss {
		best = backup
	}
	objective := max(r.Route.Objective.Duration(), time.Millisecond)
	key.addLoss(now, *best, waitLoss*float64(times.warm.mean)/float64(objective))
	n := b.backends[best.Backend.ID]
	n.startRequest(now, key.name, b.ownColdRate(now, n))
	best.bodyBytes = counted(r.BodyBytes)
	n.bodyBytes += best.bodyBytes
	b.zone(n.backend.Zone).probe(now)
	return *best, nil
}

// compare returns the choice of least loss, and the backup of the key if the
// backup is not warm yet and has a free slot. If there is no choice it returns
// why.
func (b *Balancer) compare(now time.Time, r Request, t *routeTimes, k *key) (best, backup *Choice, refusal *Refusal) {
	backends := b.candidates(now, r)
	p := b.preferred(backends, k)
	tie := mix(k.hash, b.vmHash) // spreads entry VMs over choices of equal loss
	utilization := utilizationOf(now, backends)
	refusal = &Refusal{Reason: NoBackend, RetryAfter: firstSuspension, Candidates: len(backends), Utilization: utilization}
	var bestBackend *backendState
	var probe *Choice
	for _, n := range backends {
		// Only a candidate that is kept is moved to the heap: there are hundreds of others.
		c, warm := b.estimate(now, n, t, r, k, p)
		if fit := c.fit(now, n, r, t, warm, utilization); fit != eligible {
			refusal.add(c, warm)
			if fit == ExcludedTooSlow {
				probe = leastLoaded(probe, c)
			}
			continue
		}
		c.loss = b.loss(now, n, r, c.Estimate)
		c.room = n.hasRoom(r)
		if best == nil || c.beats(*best) || (c.equals(*best) && ranksBefore(tie, n, bestBackend)) {
			kept := c
			best, bestBackend = &kept, n
		}
		if c.Warm || c.primary || c.queued || !c.room || utilization > maxSpillUtilization || n != p.backup {
			continue
		}
		warmUp := c
		warmUp.loss, warmUp.warmsBackup = b.loss(now, n, r, warm), true
		backup = &warmUp
	}
	switch {
	case len(backends) == 0:
		b.addStatements(now, r, refusal)
	case best == nil && probe != nil && t.isProbeDue(now):
		t.probedAt = now
		best = probe
	}
	return best, backup, refusal
}

// leastLoaded returns the choice with the lower load; the first one may be nil.
func leastLoaded(c *Choice, other Choice) *Choice {
	if c == nil || other.Load < c.Load {
		return &other
	}
	return c
}

// add takes a candidate that is not eligible into account.
func (f *Refusal) add(c Choice, warm time.Duration) {
	wait := c.Estimate - c.serviceTime
	if f.Reason != NoBackend && wait >= f.RetryAfter {
		return
	}
	f.Reason, f.RetryAfter = Overloaded, max(wait, c.serviceTime/2)
	f.Soonest = Estimate{Backend: c.Backend.ID, Load: c.Load, Wait: wait, Warm: warm, RoundTrip: c.roundTrip}
}

// fit returns whether a request may go to a backend server, by the load of the
// backend server, the utilization of the service, and the learned times. A cold run
// takes as long as several warm ones, so at high utilization only primaries get cold
// runs. At still higher utilization requests whose answers would be late are
// refused, since they would delay others.
func (c Choice) fit(now time.Time, n *backendState, r Request, t *routeTimes, warm time.Duration, utilization float64) Exclusion {
	wait := c.Estimate - c.serviceTime
	late := utilization > maxLateUtilization && wait+min(warm, c.serviceTime)+r.Elapsed > r.Route.Objective.Duration()
	switch {
	case c.Load >= float64(queueFactor*c.Backend.Slots):
		return ExcludedFull
	case n.isReturning(now):
		return ExcludedReturning
	case wait > r.Left:
		return ExcludedQueue
	case late:
		return ExcludedLate
	case !c.Warm && !c.primary && (c.queued || utilization > maxSpillUtilization):
		return ExcludedColdRun
	case t.warm.mean == 0 || wait+min(warm, c.serviceTime) <= r.Left:
		return eligible
	case wait > 0:
		return ExcludedQueue
	}
	return ExcludedTooSlow
}

// candidates returns the backend servers that may get a request.
func (b *Balancer) candidates(now time.Time, r Request) []*backendState {
	backends := make([]*backendState, 0, len(b.services[r.Service]))
	for _, n := range b.services[r.Service] {
		if b.exclusion(now, n, r) == eligible {
			backends = append(backends, n)
		}
	}
	return backends
}

// utilizationOf returns the load of backend servers divided by their slots.
func utilizationOf(now time.Time, backends []*backendState) float64 {
	load, slots := 0.0, 0.0
	for _, n := range backends {
		load += n.load(now)
		slots += float64(max(n.backend.Slots, 1))
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// estimate returns a choice without its loss, and the service time of a backend
// server that is warm for the key.
func (b *Balancer) estimate(now time.Time, n *backendState, t *routeTimes, r Request, k *key, p preferredBackends) (Choice, time.Duration) {
	n.fade(now)
	c := Choice{Backend: n.backend, Load: n.load(now), route: r.Route.Name, key: k.name, at: now, left: r.Left}
	c.hedgeable = b.HedgeShare > 0 && r.Route.Kind == shmodel.Idempotent && !r.Route.Download
	c.serviceTime = b.serviceTime(n, t, r, &c, p)
	warm := t.warm.orDefault(time.Duration(warmFraction * float64(c.serviceTime-c.roundTrip)))
	wait := n.wait(c.Load, warm)
	c.queued = wait > 0
	c.Estimate = wait + c.serviceTime
	return c, warm + c.roundTrip
}

// exclusion returns the rule by which a request may not be sent to a backend server now,
// whatever the load.
func (b *Balancer) exclusion(now time.Time, n *backendState, r Request) Exclusion {
	switch {
	case n.backend.Leaving, n.stated.leaving:
		return ExcludedLeaving
	case b.evacuated[n.backend.Zone]:
		return ExcludedEvacuated
	case now.Before(n.suspendedUntil):
		return ExcludedSuspended
	case b.zone(n.backend.Zone).isSuspended(now):
		return ExcludedZone
	case slices.Contains(r.Tried, n.backend.ID):
		return ExcludedTried
	case n.stated.isWaiting(now):
		return ExcludedAskedToWait
	case !r.permitsRegion(n.region):
		return ExcludedRegion
	case n.isCold(now) && n.coldTokens(now, b.ownColdRate(now, n)) < 1:
		return ExcludedCold
	}
	return eligible
}

// permitsRegion reports whether both the route and the caller permit a region.
func (r Request) permitsRegion(region shmodel.Region) bool {
	return (len(r.Route.Regions) == 0 || slices.Contains(r.Route.Regions, region)) &&
		(len(r.Regions) == 0 || slices.Contains(r.Regions, region))
}

// ownColdRate returns the rate, in requests per second, at which this entry VM
// may send to a cold backend server. It is infinite if there is no limit.
func (b *Balancer) ownColdRate(now time.Time, n *backendState) float64 {
	rate := b.coldRates[n.backend.Service]
	if rate <= 0 || !n.isCold(now) {
		return math.Inf(1)
	}
	if !b.isFirstSender(n) {
		return 0
	}
	return rate / float64(min(coldSenders, max(len(b.entries), 1)))
}

// isFirstSender reports whether this entry VM is one of the coldSenders that may
// send to a backend server while it is cold, and that try it when it has joined.
// All entry VMs that know the same entry VMs agree on them.
func (b *Balancer) isFirstSender(n *backendState) bool {
	ahead := 0
	own := mix(n.hash, b.vmHash)
	for _, vm := range b.entries {
		if vm != b.place.VM && mix(n.hash, xxhash.Sum64String(string(vm))) > own {
			ahead++
		}
	}
	return ahead < coldSenders
}

// serviceTime returns the expected response time without queueing. It sets Warm,
// primary, unslowed and roundTrip of the choice.
func (b *Balancer) serviceTime(n *backendState, t *routeTimes, r Request, c *Choice, p preferredBackends) time.Duration {
	cold := t.unseen.orDefault(time.Duration(r.Route.Objective) * time.Millisecond * 3 / 2)
	warm := t.warm.orDefault(time.Duration(warmFraction * float64(cold)))
	expected := cold
	switch _, known := n.warmKeys[c.key]; {
	case known || !r.Route.Sticky:
		c.Warm = true
		expected = warm
	case slices.Contains(p.primaries, n):
		// The first request for a key runs cold wherever it goes, and it should go
		// to a primary.
		c.primary = true
		expected = warm
	case p.backup == n:
		expected = time.Duration(backupFraction * float64(cold))
	}
	c.unslowed = expected
	if trip := b.roundTrips[n.backend.Zone]; trip != nil {
		c.roundTrip = trip.mean
	}
	return c.roundTrip + time.Duration(float64(expected)*n.slowdown())
}

// loss returns the expected loss of a request that is answered after took.
func (b *Balancer) loss(now time.Time, n *backendState, r Request, took time.Duration) float64 {
	objective := float64(r.Route.Objective.Duration())
	x := 1.0
	if objective > 0 {
		x = float64(r.Elapsed+took) / objective
	}
	loss := n.distanceLoss + lateness(x)
	if took > r.Left {
		loss += pastDeadlineLoss
	}
	if r.Route.Kind == shmodel.OnceOnly {
		loss += failureLoss * n.failures
	} else {
		loss += failureRetryLoss * n.failures
	}
	if n.isUntried(now) && b.ownColdRate(now, n) > 0 {
		// A backend server that joined gets a request early from a few entry VMs, so
		// that its response time becomes known. One from each would be a burst.
		loss--
	}
	return loss
}

// lateness is the expected loss of an answer after x times the objective.
func lateness(x float64) float64 {
	switch {
	case x <= onTimeUntil:
		return waitLoss * x
	case x <= lateFrom:
		base := waitLoss * onTimeUntil
		return base + (lateLoss-base)*(x-onTimeUntil)/(lateFrom-onTimeUntil)
	}
	return lateLoss + latenessLoss*(x-lateFrom)
}
