package shbalance

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shmodel"
)

const (
	// hedgeQuantile is the quantile of the response times from which an answer is
	// later than most.
	hedgeQuantile = 0.9
	// minShapeAnswers is the number of answers from which a quantile is known.
	minShapeAnswers = 20
	// shapePeriod is the time after which a histogram is replaced. Two periods are
	// about fadeTime three times over.
	shapePeriod = 30 * time.Second
	// maxShapes bounds the histograms. One takes 3 KB at most.
	maxShapes = 2048
	// maxShapeRatio bounds the recorded ratios, in hundredths.
	maxShapeRatio = 100_00
	// maxHedgeUtilization is the utilization of a service up to which requests are sent
	// a second time. It is below maxSpillUtilization, since the slots that second sends
	// take are needed when load rises.
	maxHedgeUtilization = 0.6
	// maxLatePeriod is how long a backend server with a late answer gets no second sends,
	// unless it answers another request in the usual time.
	maxLatePeriod = time.Second
	// maxHedgeStock bounds the second sends that a service may have in stock.
	maxHedgeStock = 5
	// minHedgeDelay is the shortest time until a second send. Timers and the scheduler
	// of a busy VM are late by some milliseconds.
	minHedgeDelay = 10 * time.Millisecond
)

// HedgeRefusal says why a request isn't sent a second time.
type HedgeRefusal string

// Reasons for which a request isn't sent a second time.
const (
	// HedgePaused says that the decision comes so late that the VM was paused.
	HedgePaused HedgeRefusal = "paused"
	// HedgeShort says that the service is short of slots.
	HedgeShort HedgeRefusal = "short"
	// HedgeNobodySooner says that no backend server that may get the request is
	// likely to answer before the first one, or before the deadline.
	HedgeNobodySooner HedgeRefusal = "nobody sooner"
	// HedgeLimit says that the operator's limit is used up.
	HedgeLimit HedgeRefusal = "limit"
)

// Hedge is the decision on the second send of a request.
type Hedge struct {
	// Choice is the backend server for the second send, which counts as in flight
	// there, if Refused is empty.
	Choice  Choice
	Refused HedgeRefusal
	// Rest is the expected time until the first send is answered, and Utilization
	// the load per slot of the backend servers of the service.
	Rest        time.Duration
	Utilization float64
}

// warmth is what was assumed of a backend server and a key when it was chosen.
type warmth uint8

const (
	unseenKey warmth = iota
	primaryOfKey
	knownWarm
)

// shapeKey identifies a histogram: that of a route, or that of all routes of a service
// if the route is empty.
type shapeKey struct {
	service shmodel.Service
	route   string
	warmth  warmth
}

// shape is the distribution of the ratios of response times to what was expected of
// them, in hundredths.
type shape struct {
	current, earlier *hdrhistogram.Histogram
	since            time.Time
}

// record adds a ratio.
func (s *shape) record(now time.Time, ratio float64) {
	if s.current == nil || now.Sub(s.since) >= shapePeriod {
		s.earlier, s.since = s.current, now
		s.current = hdrhistogram.New(1, maxShapeRatio, 1)
	}
	// The value is within the range of the histogram, so that there is no error.
	_ = s.current.RecordValue(int64(min(max(100*ratio, 1), maxShapeRatio)))
}

// histogram returns the current histogram, or the earlier one while the current one has
// too few answers. It returns nil if both have, or are old.
func (s *shape) histogram(now time.Time) *hdrhistogram.Histogram {
	if now.Sub(s.since) >= 2*shapePeriod {
		return nil
	}
	for _, h := range []*hdrhistogram.Histogram{s.current, s.earlier} {
		if h != nil && h.TotalCount() >= minShapeAnswers {
			return h
		}
	}
	return nil
}

// shapeFor returns the histogram for a choice, nil if too little is known.
func (b *Balancer) shapeFor(now time.Time, c Choice) *hdrhistogram.Histogram {
	for _, route := range []string{c.route, ""} {
		if s := b.shapes[shapeKey{c.Backend.Service, route, c.warmth()}]; s != nil {
			if h := s.histogram(now); h != nil {
				return h
			}
		}
	}
	return nil
}

func (c Choice) warmth() warmth {
	switch {
	case c.Warm:
		return knownWarm
	case c.primary:
		return primaryOfKey
	}
	return unseenKey
}

// expected returns the response time that was expected of the first send, without the
// round trip. The slowness of the backend server isn't part of it: a second send pays
// most when the first is at a slow one.
func (c Choice) expected() time.Duration { return c.unslowed + c.Estimate - c.serviceTime }

// recordShape records how long a send took. A send without an answer that was ended
// counts only if it took longer than the quantile in force, which stays right that way.
func (b *Balancer) recordShape(now time.Time, c Choice, took time.Duration, answered bool) {
	if !c.hedgeable || c.expected() <= 0 {
		return
	}
	ratio := float64(took-c.roundTrip) / float64(c.expected())
	h := b.shapeFor(now, c)
	late := h != nil && 100*ratio >= float64(h.ValueAtQuantile(100*hedgeQuantile))
	if !answered && !late {
		return
	}
	if n := b.backends[c.Backend.ID]; answered && !late && n != nil {
		n.lateAt = time.Time{}
	}
	for _, route := range []string{c.route, ""} {
		key := shapeKey{c.Backend.Service, route, c.warmth()}
		s := b.shapes[key]
		if s == nil {
			if b.shapes == nil {
				b.shapes = map[shapeKey]*shape{}
			}
			if len(b.shapes) >= maxShapes {
				b.dropOldShapes(now)
			}
			if len(b.shapes) >= maxShapes {
				continue
			}
			s = &shape{}
			b.shapes[key] = s
		}
		s.record(now, ratio)
	}
}

func (b *Balancer) dropOldShapes(now time.Time) {
	for key, s := range b.shapes {
		if now.Sub(s.since) >= 2*shapePeriod {
			delete(b.shapes, key)
		}
	}
}

// countRequest adds to the operator's limit what a request earns.
func (b *Balancer) countRequest(now time.Time, r Request) {
	if b.HedgeShare > 0 && len(r.Tried) == 0 {
		b.hedgeLimit(r.Service).Request(now)
	}
}

func (b *Balancer) hedgeLimit(s shmodel.Service) *shlimit.ShareBudget {
	l := b.hedgeLimits[s]
	if l == nil {
		if b.hedgeLimits == nil {
			b.hedgeLimits = map[shmodel.Service]*shlimit.ShareBudget{}
		}
		// Nothing is earned by time.
		l = &shlimit.ShareBudget{Share: b.HedgeShare, Max: maxHedgeStock, MinRate: math.SmallestNonzeroFloat64}
		b.hedgeLimits[s] = l
	}
	return l
}

// HedgeDelay returns how long after it was sent the answer to a request is later than
// most, and zero if that isn't known or a second send is out of the question.
func (b *Balancer) HedgeDelay(now time.Time, first Choice) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !first.hedgeable || first.expected() <= 0 {
		return 0
	}
	h := b.shapeFor(now, first)
	if h == nil {
		return 0
	}
	ratio := float64(h.ValueAtQuantile(100*hedgeQuantile)) / 100
	delay := max(first.roundTrip+time.Duration(ratio*float64(first.expected())), minHedgeDelay)
	if delay >= first.left {
		return 0
	}
	return delay
}

// Hedge decides whether a request whose answer from first is later than most is sent to
// a second backend server, which then counts it as in flight. due is when the decision
// was to be made. Tried contains first. If the request isn't sent after all, call
// WithdrawHedge, else Done.
func (b *Balancer) Hedge(now, due time.Time, first Choice, r Request) Hedge {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(due) > stallMargin {
		return Hedge{Refused: HedgePaused}
	}
	backends := b.candidates(now, r)
	all := backends
	if n := b.backends[first.Backend.ID]; n != nil {
		n.lateAt = now
		all = append(all[:len(all):len(all)], n)
	}
	d := Hedge{Rest: b.restOf(now, first), Utilization: utilizationOf(now, all)}
	if d.Utilization > maxHedgeUtilization {
		d.Refused = HedgeShort
		return d
	}
	t, k := b.times(r.Route), b.key(r)
	tie := mix(k.hash, b.vmHash)
	var best *backendState
	for _, n := range backends {
		// Without preferred backend servers only those that answered for the key here
		// count as warm.
		c, _ := b.estimate(now, n, t, r, k, preferredBackends{})
		c.loss = b.loss(now, n, r, c.Estimate)
		if !b.mayHedge(now, n, c) || !n.hasRoom(r) || c.Estimate >= min(d.Rest, r.Left) {
			continue
		}
		if best == nil || c.isBetterSecond(d.Choice, first) || !d.Choice.isBetterSecond(c, first) && ranksBefore(tie, n, best) {
			d.Choice, best = c, n
		}
	}
	switch {
	case best == nil:
		d.Refused = HedgeNobodySooner
	case !b.hedgeLimit(r.Service).Spend(now):
		d.Refused, d.Choice = HedgeLimit, Choice{}
	default:
		best.startRequest(now, k.name, math.Inf(1))
		d.Choice.bodyBytes = counted(r.BodyBytes)
		best.bodyBytes += d.Choice.bodyBytes
	}
	return d
}

// isBetterSecond reports whether c is the better backend server for a second send than
// other: outside of the failure domain of the first, and then of less loss.
func (c Choice) isBetterSecond(other, first Choice) bool {
	if outside := c.Backend.Zone != first.Backend.Zone; outside != (other.Backend.Zone != first.Backend.Zone) {
		return outside
	}
	return c.loss < other.loss
}

// mayHedge reports whether a backend server that may get requests may get second sends.
func (b *Balancer) mayHedge(now time.Time, n *backendState, c Choice) bool {
	switch {
	case n.isCold(now), n.isUntried(now), n.isReturning(now):
		return false
	case now.Sub(n.lateAt) < maxLatePeriod:
		// If all backend servers became slow at once, the learned times don't know yet.
		return false
	case n.suspension > 0, b.zone(n.backend.Zone).suspension > 0:
		// The first request after a suspension shows whether it is back.
		return false
	}
	return c.Load+1 <= float64(n.backend.Slots)
}

// restOf returns the expected time until the first send is answered: the median of what
// remained of those that took at least as long. If none did, it is as long again as
// the request took so far.
func (b *Balancer) restOf(now time.Time, first Choice) time.Duration {
	took := now.Sub(first.at) - first.roundTrip
	h := b.shapeFor(now, first)
	if h == nil {
		return 0
	}
	reached := int64(100 * float64(took) / float64(first.expected()))
	bars := h.Distribution()
	longer := int64(0)
	for _, bar := range bars {
		if bar.From > reached {
			longer += bar.Count
		}
	}
	if longer == 0 {
		return took
	}
	seen := int64(0)
	for _, bar := range bars {
		if bar.From <= reached {
			continue
		}
		if seen += bar.Count; 2*seen >= longer {
			return time.Duration(float64(bar.To-reached) / 100 * float64(first.expected()))
		}
	}
	return took
}

// WithdrawHedge takes back a second send that Hedge has permitted and that isn't made.
func (b *Balancer) WithdrawHedge(c Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeLimit(c.Backend.Service).Return()
	if n := b.backends[c.Backend.ID]; n != nil && n.backend.Instance == c.Backend.Instance {
		n.inFlight--
		n.bodyBytes -= c.bodyBytes
	}
}

// observeOutrun takes into account that a send was canceled because another backend
// server answered first. It would have taken longer still, so that it shows slowness
// but never speed.
func (b *Balancer) observeOutrun(now time.Time, n *backendState, c Choice) {
	took := now.Sub(c.at)
	b.recordShape(now, c, took, false)
	if took > c.Estimate {
		n.observeSlowdown(took-c.roundTrip, c.Estimate-c.roundTrip)
	}
}
