package shslot

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// backend is the state of one incarnation of a backend server at its owner.
type backend struct {
	// Announced is the first announcement of the incarnation.
	Announced
	// slots is the lowest number of slots that the incarnation announced.
	slots   int
	load    float64
	leaving bool

	nonces            []issuedNonce
	echoedNonceSentAt time.Time
	leaseUntil        time.Time
	announcedAt       time.Time

	// reserved is the number of slots that are reserved by this owner.
	reserved int
	// peakReserved is the highest value of reserved since the last report.
	peakReserved int
	// inherited is the number of requests that may run without a reservation.
	inherited   int
	inheritedAt time.Time
	// abandoned holds the digests of the requests in inherited that this owner
	// dispatched.
	abandoned []shmodel.Digest
	// soloAbandoned is set while an abandoned solo run may still be running.
	// The backend server then gets no other work.
	soloAbandoned bool
	// unexplained is the number of requests in the last report that are neither
	// in peakReserved nor in inherited.
	unexplained    int
	previousReport report
	reservations   map[ReservationID]*reservation

	// usable is the concurrency that slow start and shed answers permit.
	usable   float64
	rampedAt time.Time
	shedAt   time.Time

	// blocked is set from a broken connection until the next announcement.
	blocked bool
	broken  *brokenConnection
	// mayHaveOtherOwner is set if the backend server may have turned to another
	// owner: missing announcements are then no sign of a crash, but a newer
	// incarnation still is.
	mayHaveOtherOwner bool

	// lastUsed is the ID of the latest reservation.
	lastUsed ReservationID

	// releaseAt is when a planned stop releases the backend server to another
	// owner.
	releaseAt time.Time
	released  bool
}

type issuedNonce struct {
	nonce string
	at    time.Time
}

// report is the number of requests in flight in an announcement that was
// written after since.
type report struct {
	inFlight int
	since    time.Time
}

// brokenConnection records a broken connection until it is known whether the
// backend server crashed.
type brokenConnection struct {
	at         time.Time
	silentFrom time.Time
	digests    []shmodel.Digest
	solo       bool
}

// reservation is a Reservation with the state that its owner keeps.
type reservation struct {
	Reservation
	backend    *backend
	digest     shmodel.Digest
	borrower   borrowerKey
	slots      int
	dispatched bool
	startedAt  time.Time
}

// newBackend returns the state of a new incarnation. A restarted or cold
// backend server starts with one usable slot. A warm one that is new to this
// owner usually comes from another owner; it starts with half of its slots,
// because one slot would cut the capacity of a region after the loss of an
// entry VM.
func newBackend(now time.Time, a Announced, restarted bool) *backend {
	usable := 1
	if !restarted && !a.Cold {
		usable = (a.Slots + 1) / 2
	}
	return &backend{
		Announced:    a,
		slots:        a.Slots,
		reservations: map[ReservationID]*reservation{},
		usable:       float64(usable),
		rampedAt:     now,
		announcedAt:  now,
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

// applyAnnouncement processes an accepted announcement of the same incarnation.
// It returns whether the announcement was written after a connection broke,
// which proves that the backend server did not crash.
func (b *backend) applyAnnouncement(now time.Time, a Announced) bool {
	b.announcedAt = now
	b.ramp(now)
	b.leaving = b.leaving || a.Leaving
	i := slices.IndexFunc(b.nonces, func(n issuedNonce) bool { return n.nonce == a.Nonce })
	if i < 0 {
		b.unblock()
		return false
	}
	nonceSentAt := b.nonces[i].at
	if nonceSentAt.Before(b.echoedNonceSentAt) {
		return false
	}
	b.echoedNonceSentAt = nonceSentAt
	b.slots = min(b.slots, a.Slots)
	b.load = plausibleLoad(a.Load)
	b.unblock()
	cleared := b.broken != nil && nonceSentAt.After(b.broken.at)
	if cleared {
		b.broken = nil
	}
	newLease := !b.leased(now)
	b.leaseUntil = later(b.leaseUntil, nonceSentAt.Add(LeaseDuration))
	b.mayHaveOtherOwner = b.mayHaveOtherOwner && !b.leased(now)
	b.applyReport(now, a.InFlight, nonceSentAt, newLease)
	return cleared
}

// unblock permits new work again after a broken connection. It restarts the
// time without announcements after which a crash is suspected.
func (b *backend) unblock() {
	b.blocked = false
	if b.broken != nil {
		b.broken.silentFrom = later(b.broken.silentFrom, b.announcedAt)
	}
}

// applyReport processes the reported number of requests in flight; since is
// when the echoed nonce was sent. newLease says that the lease was not held
// immediately before.
func (b *backend) applyReport(now time.Time, inFlight int, since time.Time, newLease bool) {
	if inFlight < 0 {
		inFlight = b.slots
		if !newLease {
			return
		}
	}
	switch {
	case newLease:
		if !since.Before(b.inheritedAt) {
			b.inherited = 0
		}
		b.inherited = max(b.inherited, inFlight)
		b.inheritedAt = now
		b.previousReport = report{}
	case !since.Before(b.inheritedAt):
		b.lowerInherited(inFlight)
		b.previousReport = report{inFlight: inFlight, since: since}
	}
	if b.inherited == 0 {
		b.abandoned = nil
		b.soloAbandoned = false
	}
	b.unexplained = max(0, inFlight-b.inherited-b.peakReserved)
	if inFlight > b.Slots {
		b.unexplained = max(b.unexplained, inFlight)
	}
	b.peakReserved = b.reserved
}

func (b *backend) lowerInherited(inFlight int) {
	b.inherited = min(b.inherited, inFlight)
	if b.previousReport.since.IsZero() {
		return
	}
	included := 0
	for _, r := range b.reservations {
		if r.dispatched && !r.startedAt.After(b.previousReport.since) {
			included++
		}
	}
	b.inherited = min(b.inherited, max(0, b.previousReport.inFlight-included))
}

// inherit counts a request that may still run although its reservation ended.
func (b *backend) inherit(now time.Time, r *reservation) {
	b.inherited++
	// A report that echoes a nonce sent at this very instant may be older than
	// the end of the reservation.
	b.inheritedAt = now.Add(1)
	b.previousReport = report{}
	b.abandoned = append(b.abandoned, r.digest)
	b.soloAbandoned = b.soloAbandoned || r.Solo
}

func (b *backend) addNonce(nonce string, now time.Time) {
	if len(b.nonces) == maxNonces {
		b.nonces = slices.Delete(b.nonces, 0, 1)
	}
	b.nonces = append(b.nonces, issuedNonce{nonce: nonce, at: now})
}

func (b *backend) leased(now time.Time) bool { return now.Before(b.leaseUntil) }

func (b *backend) releasedBy(now time.Time) bool {
	return b.released || !now.Before(b.releaseAt)
}

// available reports whether new work may be sent.
func (b *backend) available(now time.Time) bool {
	return b.leased(now) && !b.leaving && !b.blocked && !b.soloAbandoned
}

func (b *backend) occupied() int { return b.reserved + b.inherited + b.unexplained }

// limit returns the usable concurrency as a whole number. The addend absorbs
// rounding errors of ramp.
func (b *backend) limit() int { return min(int(b.usable+1e-6), b.slots) }

func (b *backend) free(now time.Time) int {
	if !b.available(now) {
		return 0
	}
	b.ramp(now)
	return max(0, b.limit()-b.occupied())
}

func (b *backend) idle() bool { return b.occupied() == 0 }

// ramp raises the usable concurrency linearly with the time since the last
// call.
func (b *backend) ramp(now time.Time) {
	if d := now.Sub(b.rampedAt); d > 0 {
		b.rampedAt = now
		b.raiseUsable(float64(b.slots-1) * d.Seconds() / rampDuration.Seconds())
	}
}

func (b *backend) raiseUsable(by float64) { b.usable = min(float64(b.slots), b.usable+by) }

// halveUsable halves the usable concurrency, at most once per shedInterval.
func (b *backend) halveUsable(now time.Time) {
	b.ramp(now)
	if now.Sub(b.shedAt) < shedInterval {
		return
	}
	b.shedAt = now
	b.usable = max(1, b.usable/2)
}

// connectionBroke records a broken connection. All dispatched requests are
// suspected of a crash that may have caused it. Connections that break before
// the next announcement count as one break.
func (b *backend) connectionBroke(now time.Time) {
	if b.broken != nil && b.blocked {
		return
	}
	b.blocked = true
	b.broken = &brokenConnection{at: now, silentFrom: now}
	b.broken.digests, b.broken.solo = b.suspects()
}

// suspects returns the digests of the requests that may be running and whether
// the only one is a solo run.
func (b *backend) suspects() ([]shmodel.Digest, bool) {
	out := slices.Clone(b.abandoned)
	solo := b.soloAbandoned
	for _, r := range b.reservations {
		if r.dispatched {
			out = append(out, r.digest)
			solo = solo || r.Solo
		}
	}
	slices.SortFunc(out, func(x, y shmodel.Digest) int { return slices.Compare(x[:], y[:]) })
	out = slices.Compact(out)
	return out, solo && len(out) == 1
}

// silentAfterBreak returns a suspected crash if no announcement arrived for
// LeaseDuration after a connection broke.
func (b *backend) silentAfterBreak(now time.Time) (CrashSuspected, bool) {
	if b.broken == nil || b.mayHaveOtherOwner || now.Sub(b.broken.silentFrom) < LeaseDuration {
		return CrashSuspected{}, false
	}
	return b.suspectCrash(), true
}

// restarted is called when a newer incarnation announces itself. It returns a
// suspected crash if the older one may have been running requests.
func (b *backend) restarted() (CrashSuspected, bool) {
	if b.broken == nil {
		digests, solo := b.suspects()
		b.broken = &brokenConnection{digests: digests, solo: solo}
	}
	c := b.suspectCrash()
	return c, len(c.Digests) > 0
}

// suspectCrash clears the broken connection and returns the suspected crash.
func (b *backend) suspectCrash() CrashSuspected {
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
