package shlimit

import (
	"math"
	"slices"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

const (
	// minRampLimit, in bits per second, is the limit at which a shift of traffic
	// to the link starts.
	minRampLimit = 1_000_000

	// rampPeriod is the time in which the limit of a shift at most doubles, so
	// that caches and backend servers of the other region warm up.
	rampPeriod = time.Second

	// renewLead is how long before the end of a grant its renewal is requested.
	// It covers the time of about 1 s until a new leader commits.
	renewLead = time.Second

	// requestInterval is the minimum time from a grant to the next request, and
	// retryInterval that after a request that was refused or got no result.
	requestInterval = 100 * time.Millisecond
	retryInterval   = 300 * time.Millisecond

	// demandWindow is the time constant of the measured demand.
	demandWindow = time.Second

	// demandMargin is the ratio of the requested rate to the measured demand.
	demandMargin = 1.25

	// maxHalvings is enough to bring any limit down to minRampLimit.
	maxHalvings = 62

	// minDeficitShare is the share of the target below which a deficit is too
	// small to justify a commit.
	minDeficitShare = 0.1
)

// GrantHolder holds the grants of one VM for one ordered pair of regions and
// paces traffic within them. Without a valid grant it permits no traffic.
//
// Report the bytes of a transfer with AddDemand once, send what Take permits,
// and propose the commands that NextRequest returns.
type GrantHolder struct {
	VM   shmodel.VM
	From shmodel.Region
	To   shmodel.Region

	// grants is sorted by end.
	grants []heldGrant
	bucket TokenBucket
	ramp   ramp
	demand demand
	// throttled says that Take permitted fewer bytes than wanted since the last
	// request.
	throttled     bool
	nextRequestAt time.Time
	// requesting is set while a request has no result yet.
	requesting bool
}

type heldGrant struct {
	id            uint64
	bitsPerSecond int64
	end           time.Time
}

// GrantRequest is a command that requests a grant. At is the time before it was
// proposed.
type GrantRequest struct {
	At      time.Time
	Command shcontrol.RequestGrant
}

// AddDemand reports that n more bytes are waiting to be sent.
func (h *GrantHolder) AddDemand(now time.Time, n int64) { h.demand.add(now, n) }

// Take takes up to n bytes and returns how many may be sent now. now must be
// read immediately before the call: the process may have been suspended.
func (h *GrantHolder) Take(now time.Time, n int64) int64 {
	h.advance(now)
	taken := h.bucket.Take(now, n)
	h.ramp.usedBytes += taken
	if taken < n {
		h.throttled = true
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

// NextRequest returns the request to propose now, if any. The caller passes its
// result to Granted, or calls RequestFailed if there was none. At most one
// request is in progress at a time.
func (h *GrantHolder) NextRequest(now time.Time) (GrantRequest, bool) {
	h.advance(now)
	if h.requesting || now.Before(h.nextRequestAt) {
		return GrantRequest{}, false
	}
	target := h.target(now)
	deficit := target - h.sumAt(now.Add(renewLead))
	if deficit <= 0 || float64(deficit) < minDeficitShare*float64(target) {
		return GrantRequest{}, false
	}
	h.requesting = true
	h.throttled = false
	return GrantRequest{At: now, Command: shcontrol.RequestGrant{
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
	for _, g := range h.grants {
		if g.ended(now.Add(renewLead)) {
			ids = append(ids, g.id)
		}
	}
	return ids
}

// Granted processes the result of a request. The duration of the grant counts
// from before the request was proposed and is shortened by the drift of a slow
// clock.
func (h *GrantHolder) Granted(now time.Time, request GrantRequest, result shcontrol.GrantResult) {
	h.advance(now)
	h.requesting = false
	h.nextRequestAt = now.Add(requestInterval)
	if result.BitsPerSecond <= 0 {
		h.nextRequestAt = now.Add(retryInterval)
		return
	}
	usable := time.Duration(float64(result.Duration) * (1 - shcontrol.ClockDrift))
	h.grants = slices.DeleteFunc(h.grants, func(old heldGrant) bool {
		return slices.Contains(request.Command.Renews, old.id)
	})
	g := heldGrant{id: result.ID, bitsPerSecond: result.BitsPerSecond, end: request.At.Add(usable)}
	h.grants = append(h.grants, g)
	slices.SortStableFunc(h.grants, func(a, b heldGrant) int { return a.end.Compare(b.end) })
	h.updateLimit(now)
}

// RequestFailed ends a request that got no result. A grant that was issued
// nevertheless expires unused.
func (h *GrantHolder) RequestFailed(now time.Time) {
	h.requesting = false
	h.nextRequestAt = now.Add(retryInterval)
}

// ended reports whether a grant has ended by the monotonic or by the wall
// clock. The monotonic clock stops while a VM is suspended.
func (g heldGrant) ended(now time.Time) bool {
	return !now.Before(g.end) || !now.Round(0).Before(g.end.Round(0))
}

// advance removes the grants that have ended, in the order of their ends, and
// updates the limit of the bucket.
func (h *GrantHolder) advance(now time.Time) {
	for len(h.grants) > 0 && h.grants[0].ended(now) {
		end := h.grants[0].end
		if end.After(now) {
			// The grant has ended by the wall clock only: the VM was suspended. The
			// bucket gets no bytes for the time since its last refill.
			end = h.bucket.refilledAt
		}
		h.grants = h.grants[1:]
		h.updateLimit(end)
	}
	if h.ramp.advance(now) {
		h.updateLimit(now)
	}
}

func (h *GrantHolder) updateLimit(at time.Time) {
	h.bucket.SetLimit(at, min(h.sumAt(at), h.ramp.limit))
}

func (h *GrantHolder) sumAt(at time.Time) int64 {
	sum := int64(0)
	for _, g := range h.grants {
		if !g.ended(at) {
			sum += g.bitsPerSecond
		}
	}
	return sum
}

// target returns the sum of grants to aim for, in bits per second. It is at most
// what the ramp permits in the next period; more would be unused.
func (h *GrantHolder) target(now time.Time) int64 {
	wanted := h.demand.bitsPerSecond(now) * demandMargin / rateShare
	if wanted < 1 {
		return 0
	}
	if h.throttled {
		wanted = max(wanted, 2*float64(h.sumAt(now)))
	}
	return int64(math.Ceil(min(wanted, 2*float64(h.ramp.limit))))
}

// ramp limits how fast traffic grows. limit is in bits per second; usedBytes
// counts the bytes that were sent in the current period.
type ramp struct {
	limit       int64
	usedBytes   int64
	periodStart time.Time
}

// advance starts a new period if it is time and reports whether the limit
// changed. The limit doubles only if more than half of it was used. It halves
// while less than a quarter is used, and for each period without any use.
func (r *ramp) advance(now time.Time) bool {
	periods := now.Sub(r.periodStart) / rampPeriod
	if r.limit != 0 && periods < 1 {
		return false
	}
	old := r.limit
	switch used := r.usedBytes * 8; {
	case used > r.limit/2:
		r.limit *= 2
	case used < r.limit/4:
		r.limit /= 2
	}
	// advance is called with each use, so later periods had none.
	if periods > 1 {
		r.limit >>= min(periods, maxHalvings)
	}
	r.limit = max(minRampLimit, r.limit)
	r.usedBytes = 0
	r.periodStart = now
	return r.limit != old
}

// demand measures the bytes that are to be sent, with exponential decay.
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
