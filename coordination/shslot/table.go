// Package shslot implements the owner's table of backend servers: ownership
// leases, exact counts of occupied slots, credits for other regions, slow
// start, solo runs and detection of crashes.
//
// # Model
//
// One entry VM owns a backend server while it holds a lease. Each answer to an
// announcement carries a nonce, and an announcement that echoes a nonce extends
// the lease to 1.5 s after the owner sent that nonce. The backend server turns
// to another owner only after the lease duration plus clock drift since its
// last announcement, so two leases never overlap, even if the owner's process
// was paused: the owner's clock has then passed the end of the lease.
//
// The owner counts its requests exactly. Requests of a previous owner, and
// requests that this owner gave up on, are inherited: they occupy slots until
// reports show that they ended. Only reports sent after a request was inherited
// are used for it. A report is a total, so the owner's own requests are
// subtracted from it, but only those that were sent before the report and were
// still running when the next report arrived; others may have ended before the
// report.
//
// A credit permits an entry VM of another region to use one slot of this owner
// for a short time.
//
// A solo run is a request that runs alone on a backend server, so that a crash
// can be attributed to it.
//
// # Announcements
//
// The owner's exact count has precedence over reports. Reports may only lower
// the capacity.
//
//	announcement                      effect
//	first, without a known nonce      nonce, no lease
//	echoes a nonce                    lease until 1.5 s after the nonce was sent
//	echoes an older nonce than before ignored as late; answered with a nonce
//	announcements stop                no new work 1.5 s after the last nonce;
//	                                  removed after 10 s
//	malformed                         rejected; the lease is not extended
//	other address, service or place,  rejected; the entry stays as it was
//	  same incarnation
//	older incarnation                 rejected as late
//	newer incarnation                 restart: lease, counts and inherited
//	                                  requests are dropped, slow start
//	fewer slots                       in effect at once
//	more slots, same incarnation      ignored until a restart
//	leaving                           no new work from now on in this
//	                                  incarnation
//	load negative, NaN or over 1      taken as 1: last choice among equals
//	in flight negative                report of requests in flight ignored
//	in flight above slots             no free slot until the next report
//	in flight above the owner's count the excess occupies slots until the next
//	                                  report
//	in flight below the owner's count the owner's count is kept
//
// # Use
//
// Table.Apply takes an event and the time and returns effects. Table.Reserve
// takes a slot, Table.Dispatch must be called immediately before the request
// is written to the backend server, and Table.Release ends the reservation.
// A Table is not safe for concurrent use. Times must carry monotonic readings
// or come from one clock; wall-clock steps would shorten or extend leases.
package shslot

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sequoiahollow/state/shmodel"
)

// Durations.
const (
	// LeaseDuration bounds how long a backend server gets new work without an
	// announcement. It is below 2 s, the time after which a leaving backend server
	// must get no new work.
	LeaseDuration = 1500 * time.Millisecond
	// CreditDuration is how long a holder may use a credit.
	CreditDuration = 2 * time.Second
	// creditRetention is how long the slot of a credit is kept. It adds 2% clock
	// drift and 100 ms of transit to CreditDuration, so that a request sent at
	// the end of a credit still finds its slot.
	creditRetention = CreditDuration + CreditDuration/50 + 100*time.Millisecond
	// rampDuration is the time in which slow start reaches all slots.
	rampDuration = 10 * time.Second
	// removeAfter is the time without announcements after which a backend server
	// without reservations is removed.
	removeAfter = 10 * time.Second
	// pauseThreshold is the gap between two events above which the table
	// assumes that its process was paused. Ticks are due every 100 ms.
	pauseThreshold = 500 * time.Millisecond
	// soloWaitTimeout is how long a backend server is kept free for a solo run
	// without a further solo Reserve.
	soloWaitTimeout = 5 * time.Second
	// handoverSpread spreads the releases of a planned stop, so that a service
	// does not lose all slots of this owner for the 500 ms that the new owner
	// needs for its lease.
	handoverSpread = time.Second
	// shedInterval is the minimum time between two reductions of the usable
	// concurrency after shed answers. The shed answers of one overload arrive
	// together and count once.
	shedInterval = 100 * time.Millisecond
)

// Counts.
const (
	// successesPerSlot is the number of successes that raise the usable
	// concurrency by one slot.
	successesPerSlot = 8
	// maxSlots bounds what an announcement may claim.
	maxSlots = 1 << 16
	// maxNameBytes bounds the names in an announcement. The names of services have at
	// most 63 bytes.
	maxNameBytes = 255
	// maxBackends bounds the backend servers of an owner. Its CPU share is enough for
	// 156 (CAPACITY.md).
	maxBackends = 1024
	// maxNonces bounds the nonces that are remembered per backend server; four
	// cover a lease at one announcement per 500 ms.
	maxNonces = 4
)

// Table is the table of one owner. Create it with New.
type Table struct {
	noncePrefix  string
	reserveShare float64
	backends     map[shmodel.BackendServer]*backend
	reservations map[ReservationID]*reservation
	credits      map[CreditID]*credit
	borrowers    map[borrowerKey]*borrower
	nonces       uint64
	ids          uint64
	lastEventAt  time.Time
	stopping     bool
	handoverDone bool
	owners       []string
	solo         soloWait
}

// New returns an empty table. noncePrefix must differ between processes and
// restarts of the owner, so that no nonce occurs twice. reserveShare is the
// share of slots that is never lent.
func New(noncePrefix string, reserveShare float64) *Table {
	return &Table{
		noncePrefix:  noncePrefix,
		reserveShare: reserveShare,
		backends:     map[shmodel.BackendServer]*backend{},
		reservations: map[ReservationID]*reservation{},
		credits:      map[CreditID]*credit{},
		borrowers:    map[borrowerKey]*borrower{},
	}
}

// SetReserveShare applies a changed configuration.
func (t *Table) SetReserveShare(share float64) { t.reserveShare = share }

// Apply processes one event at time now.
func (t *Table) Apply(now time.Time, e Event) []Effect {
	t.detectPause(now)
	var out []Effect
	switch e := e.(type) {
	case Announced:
		out = t.announced(now, e)
	case CreditRequested:
		out = []Effect{t.lend(now, e)}
	case CreditReturned:
		t.returnCredits(e)
	case StopBegun:
		t.beginStop(now, e)
	case SoloCanceled:
		if t.solo.request == e.RequestID {
			t.solo = soloWait{}
		}
	case ConnectionRefused:
		// Without a broken connection, a refused one does not indicate a crash:
		// a leaving backend server stops listening too.
		if b := t.backends[e.BackendServer]; b != nil && b.Incarnation == e.Incarnation && b.broken != nil {
			out = []Effect{b.suspectCrash()}
		}
	case Tick:
	}
	return append(out, t.advance(now)...)
}

// advance applies all timeouts that have passed at now.
func (t *Table) advance(now time.Time) []Effect {
	t.expireCredits(now)
	if t.solo.request != 0 && now.Sub(t.solo.requestedAt) >= soloWaitTimeout {
		t.solo = soloWait{}
	}
	var out []Effect
	for _, name := range t.names() {
		b := t.backends[name]
		if c, crashed := b.silentAfterBreak(now); crashed {
			out = append(out, c)
		}
		if now.Sub(b.announcedAt) >= removeAfter && b.reserved == 0 {
			delete(t.backends, name)
		}
	}
	if !t.handoverDone && t.handedOver(now) {
		t.handoverDone = true
		out = append(out, HandoverDone{})
	}
	return append(out, t.soloEffects(now)...)
}

// detectPause finds the backend servers whose lease ended while the owner's
// process was paused. They may have turned to another owner; if their missing
// announcements counted as a crash, requests that caused none would be blamed.
func (t *Table) detectPause(now time.Time) {
	if !t.lastEventAt.IsZero() && now.Sub(t.lastEventAt) > pauseThreshold {
		for _, b := range t.backends {
			b.mayHaveOtherOwner = b.mayHaveOtherOwner || !b.leased(now)
		}
	}
	t.lastEventAt = now
}

// names returns the names of the backend servers in alphabetical order, so that
// effects are reproducible.
func (t *Table) names() []shmodel.BackendServer {
	out := make([]shmodel.BackendServer, 0, len(t.backends))
	for name := range t.backends {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (t *Table) announced(now time.Time, a Announced) []Effect {
	b, known := t.backends[a.BackendServer]
	if reason := t.refusal(a, b); reason != "" {
		return []Effect{AnswerAnnouncement{BackendServer: a.BackendServer, Rejected: reason}}
	}
	var out []Effect
	if known && a.Incarnation > b.Incarnation {
		if c, crashed := b.restarted(); crashed {
			out = append(out, c)
		}
		t.dropReservations(b)
	}
	if t.stopping && !known {
		return append(out, t.release(a.BackendServer))
	}
	if !known || a.Incarnation > b.Incarnation {
		b = newBackend(now, a, known)
		t.backends[a.BackendServer] = b
		if t.stopping {
			b.releaseAt = now
		}
	}
	if t.stopping && b.releasedBy(now) {
		return append(out, t.release(a.BackendServer))
	}
	if b.applyAnnouncement(now, a) {
		out = append(out, BreakCleared{BackendServer: a.BackendServer})
	}
	t.nonces++
	nonce := t.noncePrefix + "-" + strconv.FormatUint(t.nonces, 10)
	b.addNonce(nonce, now)
	return append(out, AnswerAnnouncement{BackendServer: a.BackendServer, Nonce: nonce, Lease: LeaseDuration})
}

// refusal returns why an announcement is rejected, or "". b is the known backend server
// of that name, nil if there is none.
func (t *Table) refusal(a Announced, b *backend) string {
	if reason := malformed(a); reason != "" {
		return reason
	}
	switch {
	case b == nil && !t.stopping && len(t.backends) >= maxBackends:
		return "too many backend servers"
	case b == nil:
		return ""
	case a.Incarnation == b.Incarnation:
		return b.contradicts(a)
	case a.Incarnation < b.Incarnation:
		return "older incarnation"
	}
	return ""
}

// release answers an announcement during a planned stop and ends the lease.
// Dispatch then refuses reservations that were not dispatched before.
func (t *Table) release(name shmodel.BackendServer) Effect {
	if b := t.backends[name]; b != nil {
		b.leaseUntil = time.Time{}
		b.released = true
		b.mayHaveOtherOwner = true
	}
	return AnswerAnnouncement{BackendServer: name, Released: true, Owners: t.owners}
}

// handedOver reports whether a planned stop has begun and no lease is left.
func (t *Table) handedOver(now time.Time) bool {
	for _, b := range t.backends {
		if b.leased(now) {
			return false
		}
	}
	return t.stopping
}

// beginStop starts a planned stop and spreads the releases of the backend
// servers over handoverSpread.
func (t *Table) beginStop(now time.Time, e StopBegun) {
	if t.stopping {
		return
	}
	t.stopping = true
	t.owners = e.Owners
	names := t.names()
	for i, name := range names {
		t.backends[name].releaseAt = now.Add(handoverSpread * time.Duration(i) / time.Duration(len(names)))
	}
}

// malformed returns why an announcement is invalid, or an empty string.
func malformed(a Announced) string {
	if a.BackendServer == "" || a.Service == "" {
		return "backend server and service must be named"
	}
	if len(a.BackendServer) > maxNameBytes || len(a.Service) > maxNameBytes {
		return fmt.Sprintf("name longer than %d bytes", maxNameBytes)
	}
	if a.Place.Region == "" || a.Place.FailureDomain == "" {
		return "region and failure domain must be named"
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address must be IP:port"
	}
	if a.Slots <= 0 || a.Slots > maxSlots {
		return "slots out of range"
	}
	if a.Connections < 0 {
		return "connections out of range"
	}
	return ""
}

// plausibleLoad returns load, or 1 if it is not a utilization.
func plausibleLoad(load float64) float64 {
	if math.IsNaN(load) || load < 0 || load > 1 {
		return 1
	}
	return load
}
