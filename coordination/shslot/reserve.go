package shslot

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// soloWait records the request that waits for a solo run and the backend server
// that is kept free for it. A table has at most one.
type soloWait struct {
	request       shmodel.RequestID
	backendServer shmodel.BackendServer
	requestedAt   time.Time
	// notified is set once SoloReady was returned.
	notified bool
}

// Reserve takes a slot, or all slots of a backend server for a solo run. It
// returns false if none is free now. A solo Reserve that fails may choose a
// backend server that gets no further work; SoloReady says when to call Reserve
// again.
func (t *Table) Reserve(now time.Time, q ReservationRequest) (Reservation, bool) {
	switch q.Class {
	case Solo:
		return t.reserveSolo(now, q)
	case Remote:
		c := t.credits[q.Credit]
		if c == nil || c.service != q.Service || c.remaining == 0 || !now.Before(c.until) {
			return Reservation{}, false
		}
		r, ok := t.reserveSlot(now, q)
		if ok {
			c.remaining--
		}
		return r, ok
	default:
		if t.freeSlots(now, q.Service) <= t.lentSlots(q.Service) {
			return Reservation{}, false
		}
		return t.reserveSlot(now, q)
	}
}

// reserveSlot takes a slot of the backend server with the lowest share of
// occupied slots. Ties go to the failure domain with the fewest reserved slots,
// then to the lowest reported load, then to the least recently used one.
func (t *Table) reserveSlot(now time.Time, q ReservationRequest) (Reservation, bool) {
	domains := map[shmodel.FailureDomain]int{}
	for _, b := range t.backends {
		if b.Service == q.Service {
			domains[b.Place.FailureDomain] += b.reserved
		}
	}
	var best *backend
	for name, b := range t.backends {
		if b.Service != q.Service || name == t.solo.backendServer || slices.Contains(q.Exclude, name) || b.free(now) == 0 {
			continue
		}
		if best == nil || less(b, best, domains) {
			best = b
		}
	}
	if best == nil {
		return Reservation{}, false
	}
	return t.addReservation(best, q, 1), true
}

func less(a, b *backend, domains map[shmodel.FailureDomain]int) bool {
	return cmp.Or(
		cmp.Compare(a.occupied()*b.limit(), b.occupied()*a.limit()),
		cmp.Compare(domains[a.Place.FailureDomain], domains[b.Place.FailureDomain]),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.lastUsed, b.lastUsed),
		cmp.Compare(a.BackendServer, b.BackendServer),
	) < 0
}

func (t *Table) addReservation(b *backend, q ReservationRequest, slots int) Reservation {
	t.ids++
	r := Reservation{
		ID:            ReservationID(t.ids),
		BackendServer: b.BackendServer,
		Incarnation:   b.Incarnation,
		Address:       b.Address,
		Place:         b.Place,
		Solo:          q.Class == Solo,
	}
	added := &reservation{Reservation: r, backend: b, digest: q.Digest, slots: slots}
	if c := t.credits[q.Credit]; c != nil && q.Class == Remote {
		added.borrower = c.borrower
	}
	b.lastUsed = r.ID
	t.reservations[r.ID] = added
	b.reservations[r.ID] = added
	b.reserved += slots
	b.peakReserved = max(b.peakReserved, b.reserved)
	return r
}

func (t *Table) reserveSolo(now time.Time, q ReservationRequest) (Reservation, bool) {
	if t.solo.request != 0 && t.solo.request != q.RequestID {
		return Reservation{}, false
	}
	t.solo.requestedAt = now
	if b := t.soloWaitBackend(now); b != nil && b.Service == q.Service {
		if !b.idle() {
			return Reservation{}, false
		}
		t.solo = soloWait{}
		return t.addReservation(b, q, b.slots), true
	}
	t.solo = soloWait{}
	var best *backend
	for _, name := range t.names() {
		b := t.backends[name]
		if b.Service != q.Service || slices.Contains(q.Exclude, name) || !b.available(now) {
			continue
		}
		if t.freeSlots(now, q.Service)-b.free(now) < t.lentSlots(q.Service) {
			continue
		}
		if best == nil || b.occupied() < best.occupied() {
			best = b
		}
	}
	if best == nil {
		return Reservation{}, false
	}
	if best.idle() {
		return t.addReservation(best, q, best.slots), true
	}
	t.solo = soloWait{request: q.RequestID, backendServer: best.BackendServer, requestedAt: now}
	return Reservation{}, false
}

// soloWaitBackend returns the backend server that is kept free for a solo run,
// or nil if it cannot take work any more.
func (t *Table) soloWaitBackend(now time.Time) *backend {
	b := t.backends[t.solo.backendServer]
	if b == nil || !b.available(now) {
		return nil
	}
	return b
}

// soloEffects returns SoloReady, once, when the waiting solo Reserve can be
// repeated.
func (t *Table) soloEffects(now time.Time) []Effect {
	if t.solo.request == 0 || t.solo.notified {
		return nil
	}
	b := t.soloWaitBackend(now)
	if b != nil && !b.idle() {
		return nil
	}
	// If the backend server is no longer available, the next Reserve chooses
	// another.
	t.solo.notified = true
	return []Effect{SoloReady{RequestID: t.solo.request}}
}

// Dispatch reports whether the request of a reservation may be written now. It
// returns false if the lease has ended since Reserve, for instance because the
// process was paused; the reservation must then be released as NotDispatched.
func (t *Table) Dispatch(now time.Time, id ReservationID) bool {
	r := t.reservations[id]
	if r == nil || !r.backend.available(now) {
		return false
	}
	r.dispatched = true
	r.startedAt = now
	return true
}

// Release ends a reservation. An unknown ID has no effect: the backend server
// restarted since Reserve.
func (t *Table) Release(now time.Time, id ReservationID, result Result) []Effect {
	r := t.reservations[id]
	if r == nil {
		return nil
	}
	b := r.backend
	if result == Broken && r.dispatched {
		b.connectionBroke(now)
	}
	delete(t.reservations, id)
	delete(b.reservations, id)
	b.reserved -= r.slots
	if !r.dispatched {
		return t.soloEffects(now)
	}
	switch result {
	case Completed:
		b.ramp(now)
		b.raiseUsable(1.0 / successesPerSlot)
	case Shed:
		b.halveUsable(now)
	case Broken, Abandoned:
		b.inherit(now, r)
	case NotDispatched, NotRun:
	}
	return t.soloEffects(now)
}

// dropReservations drops the reservations of an incarnation that is gone.
func (t *Table) dropReservations(b *backend) {
	for id := range b.reservations {
		delete(t.reservations, id)
	}
	b.reservations = nil
	b.reserved = 0
}

// Load returns the state of a service.
func (t *Table) Load(now time.Time, service shmodel.Service) Load {
	var l Load
	for name, b := range t.backends {
		if b.Service != service || !b.available(now) {
			continue
		}
		b.ramp(now)
		l.BackendServers++
		l.Slots += b.slots
		l.Occupied += min(b.occupied(), b.slots)
		if name != t.solo.backendServer {
			l.Usable += b.limit()
		}
	}
	l.Lent = t.lentSlots(service)
	l.Free = max(0, t.freeSlots(now, service)-l.Lent)
	l.Spare = max(0, l.Free-t.regionReserve(l.Slots))
	return l
}

// Services returns the services of the backend servers in the table.
func (t *Table) Services() []shmodel.Service {
	var out []shmodel.Service
	for _, b := range t.backends {
		out = append(out, b.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// freeSlots counts the free slots of a service, including lent ones.
func (t *Table) freeSlots(now time.Time, service shmodel.Service) int {
	n := 0
	for name, b := range t.backends {
		if b.Service == service && name != t.solo.backendServer {
			n += b.free(now)
		}
	}
	return n
}
