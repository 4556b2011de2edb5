package shlimit

import (
	"math"
	"slices"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

const (
	// rampFloor in bits per second is where a shift of traffic starts.
	rampFloor = 1_000_000

	// rampPeriod is the time in which the rate of a shift at most doubles, so
	// that caches and backend servers of the other region warm up.
	rampPeriod = time.Second

	// renewLead is how long before a grant ends its successor is asked for. It
	// covers the time of about 1 s until a new leader commits.
	renewLead = time.Second

	// askInterval and refusedInterval separate asks after a grant and after an
	// ask that got nothing.
	askInterval     = 100 * time.Millisecond
	refusedInterval = 300 * time.Millisecond

	// demandWindow is the time constant of the measured demand.
	demandWindow = time.Second

	// demandMargin is the surplus that is asked for over the measured demand.
	demandMargin = 1.25

	// maxShift is enough halvings to reach the floor from any limit.
	maxShift = 62

	// smallestAsk is the share of the target below which a deficit is not
	// worth a commit.
	smallestAsk = 0.1
)

// GrantHolder holds the grants of one VM for one ordered pair of regions and
// paces traffic within them. Without a valid grant it lets nothing through.
//
// Report the bytes of a transfer with Want once, send what Take permits, and
// propose what Ask returns.
type GrantHolder struct {
	VM   shmodel.VM
	From shmodel.Region
	To   shmodel.Region

	// held is sorted by end.
	held   []heldGrant
	bucket TokenBucket
	ramp   ramp
	demand demand
	// starved says that Take had to refuse bytes since the last ask.
	starved bool
	nextAsk time.Time
	asking  bool
}

type heldGrant struct {
	id            uint64
	bitsPerSecond int64
	end           time.Time
}

// Ask is a request for a grant with the time before it was proposed.
type Ask struct {
	At      time.Time
	Command shcontrol.RequestGrant
}

// Want reports that n bytes are waiting to be sent.
func (h *GrantHolder) Want(now time.Time, n int64) { h.demand.add(now, n) }

// Take takes up to n bytes and returns how many may be sent now. Read the
// clock immediately before the call: the process may have been suspended.
func (h *GrantHolder) Take(now time.Time, n int64) int64 {
	h.advance(now)
	taken := h.bucket.Take(now, n)
	h.ramp.used += taken
	if taken < n {
		h.starved = true
	}
	return taken
}

// Wait returns how long it takes until n bytes, or a full burst if that is
// less, can be taken. It reports false without a valid grant.
func (h *GrantHolder) Wait(now time.Time, n int64) (time.Duration, bool) {
	h.advance(now)
	return h.bucket.Wait(now, n)
}

// BitsPerSecond returns the sum of the valid grants.
func (h *GrantHolder) BitsPerSecond(now time.Time) int64 {
	h.advance(now)
	return h.sumAt(now)
}

// Ask returns the request to propose now, if any. Pass its result to Granted,
// or Failed if there was none. At most one ask is open.
func (h *GrantHolder) Ask(now time.Time) (Ask, bool) {
	h.advance(now)
	if h.asking || now.Before(h.nextAsk) {
		return Ask{}, false
	}
	target := h.target(now)
	deficit := target - h.sumAt(now.Add(renewLead))
	if deficit <= 0 || float64(deficit) < smallestAsk*float64(target) {
		return Ask{}, false
	}
	h.asking = true
	h.starved = false
	return Ask{At: now, Command: shcontrol.RequestGrant{
		VM:            h.VM,
		From:          h.From,
		To:            h.To,
		BitsPerSecond: deficit,
		Renews:        h.ending(now),
	}}, true
}

// ending returns the grants that end within renewLead.
func (h *GrantHolder) ending(now time.Time) []uint64 {
	var ids []uint64
	for _, g := range h.held {
		if g.ended(now.Add(renewLead)) {
			ids = append(ids, g.id)
		}
	}
	return ids
}

// Granted takes the result of an ask. The grant counts from before the ask,
// less the drift of a slow clock.
func (h *GrantHolder) Granted(now time.Time, a Ask, r shcontrol.GrantResult) {
	h.advance(now)
	h.asking = false
	h.nextAsk = now.Add(askInterval)
	if r.BitsPerSecond <= 0 {
		h.nextAsk = now.Add(refusedInterval)
		return
	}
	usable := time.Duration(float64(r.Duration) * (1 - shcontrol.ClockDrift))
	h.held = slices.DeleteFunc(h.held, func(old heldGrant) bool {
		return slices.Contains(a.Command.Renews, old.id)
	})
	g := heldGrant{id: r.ID, bitsPerSecond: r.BitsPerSecond, end: a.At.Add(usable)}
	h.held = append(h.held, g)
	slices.SortStableFunc(h.held, func(a, b heldGrant) int { return a.end.Compare(b.end) })
	h.limit(now)
}

// Failed ends an ask that got no result. A grant that was issued all the same
// runs out unused.
func (h *GrantHolder) Failed(now time.Time) {
	h.asking = false
	h.nextAsk = now.Add(refusedInterval)
}

// ended reports whether a grant ended by the monotonic or the wall clock. The
// monotonic clock stands still while a VM is suspended.
func (g heldGrant) ended(now time.Time) bool {
	return !now.Before(g.end) || !now.Round(0).Before(g.end.Round(0))
}

// advance brings the limit and the bucket up to now, in the order in which the
// grants ended.
func (h *GrantHolder) advance(now time.Time) {
	for len(h.held) > 0 && h.held[0].ended(now) {
		end := h.held[0].end
		if end.After(now) {
			end = h.bucket.last
		}
		h.held = h.held[1:]
		h.limit(end)
	}
	if h.ramp.advance(now) {
		h.limit(now)
	}
}

func (h *GrantHolder) limit(at time.Time) {
	h.bucket.SetLimit(at, min(h.sumAt(at), h.ramp.limit))
}

func (h *GrantHolder) sumAt(at time.Time) int64 {
	sum := int64(0)
	for _, g := range h.held {
		if !g.ended(at) {
			sum += g.bitsPerSecond
		}
	}
	return sum
}

// target returns the wanted sum of grants, in bits per second. More than the
// ramp permits in the next period would lie idle.
func (h *GrantHolder) target(now time.Time) int64 {
	wanted := h.demand.bitsPerSecond(now) * demandMargin / rateShare
	if wanted < 1 {
		return 0
	}
	if h.starved {
		wanted = max(wanted, 2*float64(h.sumAt(now)))
	}
	return int64(math.Ceil(min(wanted, 2*float64(h.ramp.limit))))
}

// ramp limits the growth of traffic.
type ramp struct {
	limit  int64
	used   int64
	period time.Time
}

// advance starts a new period if it is time and reports whether the limit
// changed. The limit doubles only if more than half of it was used. It halves
// while less than a quarter is used, and for each period without any use.
func (r *ramp) advance(now time.Time) bool {
	periods := now.Sub(r.period) / rampPeriod
	if r.limit != 0 && periods < 1 {
		return false
	}
	old := r.limit
	switch used := r.used * 8; {
	case used > r.limit/2:
		r.limit *= 2
	case used < r.limit/4:
		r.limit /= 2
	}
	// advance is called with each use, so later periods had none.
	if periods > 1 {
		r.limit >>= min(periods, maxShift)
	}
	r.limit = max(rampFloor, r.limit)
	r.used = 0
	r.period = now
	return r.limit != old
}

// demand measures wanted bytes with exponential decay.
type demand struct {
	bytes float64
	last  time.Time
}

func (d *demand) add(now time.Time, n int64) {
	d.decay(now)
	d.bytes += float64(n)
}

func (d *demand) bitsPerSecond(now time.Time) float64 {
	d.decay(now)
	return d.bytes * 8 / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.bytes *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		d.last = now
	}
}
