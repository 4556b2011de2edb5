package shlimit

import "time"

const (
	// minBudgetRate, in attempts per second, permits a VM with little traffic to
	// retry.
	minBudgetRate = 1.0

	// maxBudget, in attempts, bounds the budget that accumulates while there are
	// few retries, so that it does not permit a large burst of retries later.
	maxBudget = 20.0
)

// ShareBudget bounds extra attempts to a share of the traffic plus one per
// second. The budget starts empty unless Initial is set.
type ShareBudget struct {
	// Share is the number of extra attempts permitted per request. With 0 only
	// the one per second is permitted.
	Share float64
	// MinRate replaces minBudgetRate and Max replaces maxBudget, if set.
	MinRate float64
	Max     float64
	// Initial is the budget at the first request.
	Initial float64

	balance    float64
	refilledAt time.Time
}

// Request reports one request, not counting extra attempts.
func (b *ShareBudget) Request(now time.Time) {
	b.refill(now)
	b.balance = min(b.maxBalance(), b.balance+b.Share)
}

// Spend reports whether an extra attempt is permitted now, and counts it.
func (b *ShareBudget) Spend(now time.Time) bool { return b.SpendAbove(now, 0) }

// SpendAbove is like Spend, but leaves keep attempts for other uses.
func (b *ShareBudget) SpendAbove(now time.Time, keep float64) bool {
	b.refill(now)
	if b.balance < 1+keep {
		return false
	}
	b.balance--
	return true
}

// Return gives back an attempt that was not made.
func (b *ShareBudget) Return() { b.balance = min(b.maxBalance(), b.balance+1) }

func (b *ShareBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	if b.refilledAt.IsZero() {
		b.balance = b.Initial
	} else {
		rate := b.MinRate
		if rate == 0 {
			rate = minBudgetRate
		}
		b.balance = min(b.maxBalance(), b.balance+rate*elapsed.Seconds())
	}
	b.refilledAt = now
}

func (b *ShareBudget) maxBalance() float64 {
	if b.Max == 0 {
		return maxBudget
	}
	return b.Max
}
