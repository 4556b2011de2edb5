package shslot

import (
	"math"
	"time"

	"sequoiahollow/state/shmodel"
)

// credit is one grant of credits to a VM in another region.
type credit struct {
	borrower  borrowerKey
	service   shmodel.Service
	remaining int
	until     time.Time
}

type borrowerKey struct {
	vm      shmodel.VM
	service shmodel.Service
}

// borrower remembers since when a VM borrows slots of a service.
type borrower struct {
	since time.Time
	last  time.Time
}

// lend grants credits from the slots spare above the reserve. What one VM can
// hold ramps up from one slot, because a shifted load meets cold caches.
func (t *Table) lend(now time.Time, e CreditRequested) CreditGranted {
	key := borrowerKey{vm: e.VM, service: e.Service}
	w := t.borrowers[key]
	if w == nil || now.Sub(w.last) > 2*CreditDuration {
		w = &borrower{since: now}
		t.borrowers[key] = w
	}
	w.last = now
	out := CreditGranted{VM: e.VM, Service: e.Service, Duration: CreditDuration}
	load := t.Load(now, e.Service)
	if t.stopping || e.Count <= 0 {
		return out
	}
	share := min(1, now.Sub(w.since).Seconds()/rampDuration.Seconds())
	allowed := 1 + int(share*float64(load.Slots)) - t.borrowedBy(key)
	out.Count = max(0, min(e.Count, allowed, load.Spare))
	if out.Count == 0 {
		return out
	}
	t.ids++
	out.ID = CreditID(t.ids)
	t.credits[out.ID] = &credit{borrower: key, service: e.Service, remaining: out.Count, until: now.Add(creditRetention)}
	return out
}

// regionReserve is the number of slots kept for the region: at least one of a
// service that has any.
func (t *Table) regionReserve(slots int) int {
	return max(1, int(math.Ceil(t.reserveShare*float64(slots))))
}

func (t *Table) returnCredits(e CreditReturned) {
	c := t.credits[e.ID]
	if c == nil || e.Count <= 0 {
		return
	}
	c.remaining = max(0, c.remaining-e.Count)
}

func (t *Table) expireCredits(now time.Time) {
	for id, c := range t.credits {
		if c.remaining == 0 || !now.Before(c.until) {
			delete(t.credits, id)
		}
	}
	for key, w := range t.borrowers {
		if now.Sub(w.last) > 2*CreditDuration {
			delete(t.borrowers, key)
		}
	}
}

func (t *Table) lentSlots(service shmodel.Service) int {
	n := 0
	for _, c := range t.credits {
		if c.service == service {
			n += c.remaining
		}
	}
	return n
}

// borrowedBy counts unused credits of a borrower and its requests in flight.
func (t *Table) borrowedBy(key borrowerKey) int {
	n := 0
	for _, c := range t.credits {
		if c.borrower == key {
			n += c.remaining
		}
	}
	for _, h := range t.reservations {
		if h.borrower == key {
			n++
		}
	}
	return n
}
