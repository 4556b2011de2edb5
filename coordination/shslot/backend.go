package shslot

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// backend is what the owner knows of one incarnation of a backend server.
type backend struct {
	// Announced is the first announcement of the incarnation.
	Announced
	slots   int
	load    float64
	leaving bool

	issued     []issuedNonce
	echoedAt   time.Time
	leaseUntil time.Time
	heardAt    time.Time

	own int
	// peak is the highest own count since the last report.
	peak int
	// inherited requests run but are not in own.
	inherited   int
	inheritedAt time.Time
	// lingering are the digests of abandoned requests in inherited.
	lingering []shmodel.Digest
	// soloLingers says that an abandoned solo run may go on. Nothing may join it.
	soloLingers bool
	// unexplained is the part of the last report that own and inherited do not
	// account for.
	unexplained int
	previous    report
	running     map[ReservationID]*held

	usable   float64
	rampedAt time.Time
	shedAt   time.Time

	blocked bool
	broken  *breakage
	// elsewhere says that the backend server may have turned to another owner,
	// so that its silence proves nothing. A newer incarnation still does.
	elsewhere bool

	// lastUsed is the ID of the latest reservation.
	lastUsed ReservationID

	releaseAt time.Time
	released  bool
}

type issuedNonce struct {
	nonce string
	at    time.Time
}

// report is a report of requests in flight; it was written after since.
type report struct {
	inFlight int
	since    time.Time
}

// breakage is a broken connection that may turn out to be a crash.
type breakage struct {
	at         time.Time
	silentFrom time.Time
	digests    []shmodel.Digest
	solo       bool
}

// held is one reservation.
type held struct {
	Reservation
	backend    *backend
	digest     shmodel.Digest
	borrower   borrowerKey
	slots      int
	dispatched bool
	startedAt  time.Time
}

// newBackend starts an incarnation. A restarted or cold backend server starts
// with one slot. One that is warm and new to this owner usually comes from
// another owner; it starts with half of its slots, because one slot would cut
// the capacity of a region after the loss of an entry VM.
func newBackend(now time.Time, a Announced, restarted bool) *backend {
	usable := 1
	if !restarted && !a.Cold {
		usable = (a.Slots + 1) / 2
	}
	return &backend{
		Announced: a,
		slots:     a.Slots,
		running:   map[ReservationID]*held{},
		usable:    float64(usable),
		rampedAt:  now,
		heardAt:   now,
	}
}

func (b *backend) contradicts(a Announced) string {
	if a.Address != b.Address {
		return "other address in the same incarnation"
	}
	if a.Service != b.Service {
		return "other service in the same incarnation"
	}
	if a.Place != b.Place {
		return "other place in the same incarnation"
	}
	return ""
}

// hear takes over an accepted announcement of the same incarnation. It returns
// whether the announcement proves that a break was no crash: it was written
// after the break.
func (b *backend) hear(now time.Time, a Announced) bool {
	b.heardAt = now
	b.ramp(now)
	b.leaving = b.leaving || a.Leaving
	i := slices.IndexFunc(b.issued, func(n issuedNonce) bool { return n.nonce == a.Nonce })
	if i < 0 {
		b.unblock()
		return false
	}
	sentAt := b.issued[i].at
	if sentAt.Before(b.echoedAt) {
		return false
	}
	b.echoedAt = sentAt
	b.slots = min(b.slots, a.Slots)
	b.load = plausibleLoad(a.Load)
	b.unblock()
	cleared := b.broken != nil && sentAt.After(b.broken.at)
	if cleared {
		b.broken = nil
	}
	fresh := !b.leased(now)
	b.leaseUntil = later(b.leaseUntil, sentAt.Add(LeaseDuration))
	b.elsewhere = b.elsewhere && !b.leased(now)
	b.count(now, a.InFlight, sentAt, fresh)
	return cleared
}

// unblock permits new work again after a broken connection.
func (b *backend) unblock() {
	b.blocked = false
	if b.broken != nil {
		b.broken.silentFrom = later(b.broken.silentFrom, b.heardAt)
	}
}

// count takes over the reported number of requests in flight. Fresh says that
// the lease was not held immediately before.
func (b *backend) count(now time.Time, inFlight int, since time.Time, fresh bool) {
	if inFlight < 0 {
		inFlight = b.slots
		if !fresh {
			return
		}
	}
	switch {
	case fresh:
		if !since.Before(b.inheritedAt) {
			b.inherited = 0
		}
		b.inherited = max(b.inherited, inFlight)
		b.inheritedAt = now
		b.previous = report{}
	case !since.Before(b.inheritedAt):
		b.lowerInherited(inFlight)
		b.previous = report{inFlight: inFlight, since: since}
	}
	if b.inherited == 0 {
		b.lingering = nil
		b.soloLingers = false
	}
	b.unexplained = max(0, inFlight-b.inherited-b.peak)
	if inFlight > b.Slots {
		b.unexplained = max(b.unexplained, inFlight)
	}
	b.peak = b.own
}

func (b *backend) lowerInherited(inFlight int) {
	b.inherited = min(b.inherited, inFlight)
	if b.previous.since.IsZero() {
		return
	}
	included := 0
	for _, h := range b.running {
		if h.dispatched && !h.startedAt.After(b.previous.since) {
			included++
		}
	}
	b.inherited = min(b.inherited, max(0, b.previous.inFlight-included))
}

// inherit counts one request that may run on although its reservation ended.
func (b *backend) inherit(now time.Time, h *held) {
	b.inherited++
	// A nonce sent at this very instant may be older.
	b.inheritedAt = now.Add(1)
	b.previous = report{}
	b.lingering = append(b.lingering, h.digest)
	b.soloLingers = b.soloLingers || h.Solo
}

func (b *backend) issue(nonce string, now time.Time) {
	if len(b.issued) == maxNonces {
		b.issued = slices.Delete(b.issued, 0, 1)
	}
	b.issued = append(b.issued, issuedNonce{nonce: nonce, at: now})
}

func (b *backend) leased(now time.Time) bool { return now.Before(b.leaseUntil) }

func (b *backend) releasedBy(now time.Time) bool {
	return b.released || !now.Before(b.releaseAt)
}

// open says whether new work may be sent.
func (b *backend) open(now time.Time) bool {
	return b.leased(now) && !b.leaving && !b.blocked && !b.soloLingers
}

func (b *backend) occupied() int { return b.own + b.inherited + b.unexplained }

// limit is the usable concurrency. The addend absorbs rounding errors of the
// ramp.
func (b *backend) limit() int { return min(int(b.usable+1e-6), b.slots) }

func (b *backend) free(now time.Time) int {
	if !b.open(now) {
		return 0
	}
	b.ramp(now)
	return max(0, b.limit()-b.occupied())
}

func (b *backend) idle() bool { return b.occupied() == 0 }

// ramp raises the usable concurrency with time.
func (b *backend) ramp(now time.Time) {
	if d := now.Sub(b.rampedAt); d > 0 {
		b.rampedAt = now
		b.raise(float64(b.slots-1) * d.Seconds() / rampDuration.Seconds())
	}
}

func (b *backend) raise(by float64) { b.usable = min(float64(b.slots), b.usable+by) }

// shed halves the usable concurrency.
func (b *backend) shed(now time.Time) {
	b.ramp(now)
	if now.Sub(b.shedAt) < shedInterval {
		return
	}
	b.shedAt = now
	b.usable = max(1, b.usable/2)
}

// breakAt notes a broken connection. All dispatched requests are suspected of
// the crash that may have caused it. Connections that break before the next
// announcement belong to the same break.
func (b *backend) breakAt(now time.Time) {
	if b.broken != nil && b.blocked {
		return
	}
	b.blocked = true
	b.broken = &breakage{at: now, silentFrom: now}
	b.broken.digests, b.broken.solo = b.suspects()
}

func (b *backend) suspects() ([]shmodel.Digest, bool) {
	out := slices.Clone(b.lingering)
	solo := b.soloLingers
	for _, h := range b.running {
		if h.dispatched {
			out = append(out, h.digest)
			solo = solo || h.Solo
		}
	}
	slices.SortFunc(out, func(x, y shmodel.Digest) int { return slices.Compare(x[:], y[:]) })
	out = slices.Compact(out)
	return out, solo && len(out) == 1
}

func (b *backend) silentAfterBreak(now time.Time) (CrashSuspected, bool) {
	if b.broken == nil || b.elsewhere || now.Sub(b.broken.silentFrom) < LeaseDuration {
		return CrashSuspected{}, false
	}
	return b.crash(), true
}

// restarted is called when a newer incarnation announces itself.
func (b *backend) restarted() (CrashSuspected, bool) {
	if b.broken == nil {
		digests, solo := b.suspects()
		b.broken = &breakage{digests: digests, solo: solo}
	}
	c := b.crash()
	return c, len(c.Digests) > 0
}

func (b *backend) crash() CrashSuspected {
	c := CrashSuspected{BackendServer: b.BackendServer, Digests: b.broken.digests, Solo: b.broken.solo}
	b.broken = nil
	return c
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
