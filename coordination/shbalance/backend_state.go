package shbalance

import (
	"math"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// backendState is what an entry VM knows of one instance of a backend server.
type backendState struct {
	backend      shfleet.Backend
	region       shmodel.Region
	hash         uint64
	joined       time.Time
	distanceLoss float64 // loss of leaving the failure domain or region

	inFlight int
	sent     int
	// bodyBytes counts the bytes in flight in large bodies.
	bodyBytes int64
	// untried is set on a backend server that joined a service in use and should
	// get a request from this entry VM soon.
	untried bool
	// otherLoad is the number of requests of other entry VMs at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// warmKeys maps the keys that the backend server has handled to the time of
	// the last answer.
	warmKeys map[string]time.Time
	// failures is a moving average of the fraction of requests that failed.
	// logSlowdown is one of the logarithm of the ratio of actual to expected
	// response times. Both fade from learnedAt on.
	failures    float64
	logSlowdown float64
	learnedAt   time.Time
	// lateAt is when an answer was last found to be late, zero after one in the usual
	// time. It is only used for second sends.
	lateAt time.Time

	suspendedUntil time.Time
	suspension     time.Duration

	stated statement

	coldUntil time.Time
	// tokens is the number of requests that this entry VM could send to a cold
	// backend server at tokensAt.
	tokens   float64
	tokensAt time.Time
}

// load returns the estimated number of requests at the backend server.
func (n *backendState) load(now time.Time) float64 {
	if n.otherLoad == 0 {
		return float64(n.inFlight)
	}
	age := now.Sub(n.reportedAt)
	return float64(n.inFlight) + n.otherLoad*math.Exp(-float64(age)/float64(otherLoadDecay))
}

// wait returns the expected time until a slot is free.
func (n *backendState) wait(load float64, service time.Duration) time.Duration {
	slots := float64(max(n.backend.Slots, 1))
	ahead := load + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(service) * n.slowdown())
}

// slowdown is the factor by which the backend server is slower than others. Small
// differences are ignored as noise.
func (n *backendState) slowdown() float64 {
	return math.Exp(max(n.logSlowdown-slowdownNoise, 0) + min(n.logSlowdown+slowdownNoise, 0))
}

// slowdownNoise is the logarithm of the factor by which single response times
// vary: the example deployments state a spread of 0.15, and queueing at the
// backend server adds to it.
const slowdownNoise = 0.3

func (n *backendState) isCold(now time.Time) bool { return now.Before(n.coldUntil) }

// isUntried reports whether the backend server joined within newBackendPeriod and
// waits for its first request from this entry VM.
func (n *backendState) isUntried(now time.Time) bool {
	return n.untried && now.Sub(n.joined) < newBackendPeriod
}

// coldTokens returns the number of requests that may be sent now, at most one.
func (n *backendState) coldTokens(now time.Time, rate float64) float64 {
	if math.IsInf(rate, 1) {
		return 1
	}
	if rate == 0 {
		return 0
	}
	if n.tokensAt.IsZero() {
		return 1
	}
	return min(n.tokens+now.Sub(n.tokensAt).Seconds()*rate, 1)
}

// startRequest counts a request that is about to be sent.
func (n *backendState) startRequest(now time.Time, key string, coldRate float64) {
	if !math.IsInf(coldRate, 1) {
		n.tokens = n.coldTokens(now, coldRate) - 1
		n.tokensAt = now
	}
	n.inFlight++
	n.sent++
	n.untried = false
}

// addWarmKey adds a key that the backend server has handled. Beyond maxWarmKeys
// it drops the key that was handled longest ago.
func (n *backendState) addWarmKey(now time.Time, key string) {
	n.warmKeys[key] = now
	if len(n.warmKeys) <= maxWarmKeys {
		return
	}
	oldest, at := "", now
	for k, t := range n.warmKeys {
		if t.Before(at) {
			oldest, at = k, t
		}
	}
	delete(n.warmKeys, oldest)
}

// observeLoad records a load report. The report includes the requests in flight
// from this entry VM. More than a backend server can hold is taken as an error of
// the report.
func (n *backendState) observeLoad(now time.Time, l *Load) {
	if l == nil {
		return
	}
	most := float64(maxReportFactor * max(n.backend.Slots, 1))
	n.otherLoad = min(max(float64(l.Running)+float64(l.Waiting)-float64(n.inFlight), 0), most)
	n.reportedAt = now
}

func (n *backendState) suspend(now time.Time, least time.Duration) {
	n.suspension = min(max(2*n.suspension, least), maxSuspension)
	n.suspendedUntil = now.Add(n.suspension)
}

// fade lets what is known of failures and slowness fade, so that a backend server
// that gets no requests because of it gets some again.
func (n *backendState) fade(now time.Time) {
	age := now.Sub(n.learnedAt)
	if age < fadeInterval {
		return
	}
	rest := math.Exp(-float64(age) / float64(fadeTime))
	n.failures *= rest
	n.logSlowdown *= rest
	n.learnedAt = now
}

func (n *backendState) observeFailure(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	n.failures += observationWeight * (value - n.failures)
}

// Done ends a request that Pick counted as in flight.
func (b *Balancer) Done(now time.Time, c Choice, o Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.backends[c.Backend.ID]
	if n == nil || n.backend.Instance != c.Backend.Instance {
		return
	}
	n.inFlight--
	n.bodyBytes -= c.bodyBytes
	n.fade(now)
	n.learnedAt = now
	if provesReachable(o) {
		b.zone(n.backend.Zone).reset()
	}
	disturbed := c.isDisturbed(now)
	switch o := o.(type) {
	case Answered:
		n.suspension = 0
		n.observeFailure(o.Failed)
		n.observeLoad(now, o.Load)
		if disturbed {
			return
		}
		b.observeRoundTrip(n, now.Sub(c.at), o)
		if !o.Failed {
			b.recordShape(now, c, now.Sub(c.at)-o.Connect-o.Transfer, true)
			b.observeResponse(now, n, c, o)
		}
	case Shed:
		n.observeShed(now, o.Load)
	case Declined:
		n.observeLoad(now, o.Load)
	case Broken:
		n.observeFailure(true)
	case Slow:
		if disturbed {
			return
		}
		b.recordShape(now, c, now.Sub(c.at), false)
		n.observeFailure(true)
		n.observeSlowdown(now.Sub(c.at)-c.roundTrip, c.Estimate-c.roundTrip)
	case Unreachable:
		n.suspend(now, firstSuspension)
		b.zone(n.backend.Zone).observeUnreachable(now, n)
	case Replaced:
		n.suspend(now, replacedSuspension)
	case Outrun:
		if !disturbed {
			b.observeOutrun(now, n, c)
		}
	case Canceled:
	}
}

// observeShed records a refusal. Without a load report the queue is assumed to
// be full. A refusal with free slots counts as a failure.
func (n *backendState) observeShed(now time.Time, l *Load) {
	if l != nil {
		n.observeLoad(now, l)
		n.observeFailure(l.Running < l.Slots)
		return
	}
	n.otherLoad = max(float64(queueFactor*n.backend.Slots-n.inFlight), 0)
	n.reportedAt = now
}

// observeResponse records a response time and the key that is warm now. If the
// request was expected to queue, its response time is not recorded for the route,
// because it may include a wait.
func (b *Balancer) observeResponse(now time.Time, n *backendState, c Choice, o Answered) {
	took := now.Sub(c.at) - o.Connect - o.Transfer - c.roundTrip
	if c.Warm {
		n.observeSlowdown(took, c.Estimate-c.roundTrip)
	}
	if c.queued {
		n.addWarmKey(now, c.key)
		return
	}
	t, ok := b.routes.Get(c.route)
	if !ok {
		return
	}
	took = max(took, time.Millisecond)
	switch {
	case c.Warm:
		t.observeWarm(now, took)
	case c.primary:
		// Requests of other entry VMs may have warmed the primary, so the response
		// time counts neither as warm nor as unseen.
	default:
		t.unseen.observe(took)
	}
	n.addWarmKey(now, c.key)
}

func (n *backendState) observeSlowdown(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	// The expected response time already contains the slowdown.
	ratio := math.Log(float64(took)/float64(expected)) + n.logSlowdown
	n.logSlowdown += observationWeight * (min(max(ratio, -2), 3) - n.logSlowdown)
}
