package shlimit

import "time"

// Extra attempts permitted per request if the configuration does not say.
const (
	DefaultRetryShare = 0.10
	DefaultHedgeShare = 0.05
)

const (
	// minBudgetRate in attempts per second lets a VM with little traffic retry
	// at all.
	minBudgetRate = 1.0

	// maxBudget in attempts bounds what a quiet time saves up, so that it does
	// not pay for a storm of retries.
	maxBudget = 20.0
)

// ShareBudget bounds extra attempts to a share of the traffic plus one per
// second. Share must be set; the budget starts empty.
type ShareBudget struct {
	Share float64

	balance float64
	last    time.Time
}

// RetryBudget returns the budget of retries. Zero selects the default share.
func RetryBudget(share float64) ShareBudget { return newBudget(share, DefaultRetryShare) }

// HedgeBudget returns the budget of hedges. Zero selects the default share.
func HedgeBudget(share float64) ShareBudget { return newBudget(share, DefaultHedgeShare) }

func newBudget(share, normal float64) ShareBudget {
	if share <= 0 {
		share = normal
	}
	return ShareBudget{Share: share}
}

// Request reports one request, not counting extra attempts.
func (b *ShareBudget) Request(now time.Time) {
	b.refill(now)
	b.balance = min(maxBudget, b.balance+b.Share)
}

// Spend reports whether an extra attempt is permitted now, and counts it.
func (b *ShareBudget) Spend(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *ShareBudget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	if !b.last.IsZero() {
		b.balance = min(maxBudget, b.balance+minBudgetRate*elapsed.Seconds())
	}
	b.last = now
}
