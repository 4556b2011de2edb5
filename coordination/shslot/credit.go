package shslot

import (
	"math"
	"time"

	"sequoiahollow/state/shmodel"
)

// credit is one grant of credits to a VM in another region. remaining is the
// number of unused credits.
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

// borrower records when a VM began to borrow slots of a service and when it
// last asked for credits.
type borrower struct {
	since       time.Time
	lastRequest time.Time
}

// lend grants credits for free slots above the reserve of the region. The
// number of slots that one VM can borrow ramps up from one, because shifted
// load meets cold caches.
func (t *Table) lend(now time.Time, e CreditRequested) CreditGranted {
	key := borrowerKey{vm: e.VM, service: e.Service}
	b := t.borrowers[key]
	if b == nil || now.Sub(b.lastRequest) > 2*CreditDuration {
		b = &borrower{since: now}
		t.borrowers[key] = b
	}
	b.lastRequest = now
	out := CreditGranted{VM: e.VM, Service: e.Service, Duration: CreditDuration}
	load := t.Load(now, e.Service)
	if t.stopping || e.Count <= 0 {
		return out
	}
	share := min(1, now.Sub(b.since).Seconds()/rampDuration.Seconds())
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

// regionReserve returns the number of slots that are not lent to other regions:
// reserveShare of the slots of a service, and at least one.
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
	for key, b := range t.borrowers {
		if now.Sub(b.lastRequest) > 2*CreditDuration {
			delete(t.borrowers, key)
		}
	}
}

// lentSlots counts the unused credits of a service.
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
	for _, r := range t.reservations {
		if r.borrower == key {
			n++
		}
	}
	return n
}
