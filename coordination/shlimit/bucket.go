// Package shlimit limits what a VM takes from shared resources: bytes on links
// between regions, retries, hedges and the slots of a service.
//
// A GrantHolder keeps the traffic of one link within the grants of the VM, a
// ShareBudget bounds extra attempts by a share of the traffic, and an Admission
// decides which requests run, wait or are refused. All types are state machines
// without a clock or goroutines: the caller passes the time, with its monotonic
// reading. They are not safe for concurrent use.
package shlimit

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
)

const (
	// burstShare is the largest burst as a share of the bytes that a limit
	// permits in one second.
	burstShare = 0.1

	// rateShare is the refill rate as a share of a limit. It leaves room for the
	// burst and for a clock that runs fast: in any second, rateShare × (1 +
	// drift) + burstShare is below 1.
	rateShare = 0.98 - burstShare - shcontrol.ClockDrift*(1-burstShare)
)

// TokenBucket paces bytes such that no window of one second has more bytes than
// the limit. The zero value has a limit of zero. A bucket starts empty, so that
// a limit that passes from one holder to another is never used twice.
type TokenBucket struct {
	// rate is in bytes per second, burst and tokens in bytes.
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// SetLimit changes the limit, in bits per second. Unused tokens are kept up to
// the new burst.
func (b *TokenBucket) SetLimit(now time.Time, bitsPerSecond int64) {
	b.refill(now)
	limit := float64(max(0, bitsPerSecond)) / 8
	b.rate = limit * rateShare
	b.burst = limit * burstShare
	b.tokens = min(b.tokens, b.burst)
}

// Take takes up to n bytes and returns how many may be sent now.
func (b *TokenBucket) Take(now time.Time, n int64) int64 {
	b.refill(now)
	taken := min(n, int64(b.tokens))
	if taken <= 0 {
		return 0
	}
	b.tokens -= float64(taken)
	return taken
}

// Wait returns how long it takes until n bytes, or a full burst if that is
// less, can be taken. It reports false if the limit is zero.
func (b *TokenBucket) Wait(now time.Time, n int64) (time.Duration, bool) {
	b.refill(now)
	if b.rate <= 0 {
		return 0, false
	}
	missing := min(float64(n), b.burst) - b.tokens
	if missing <= 0 {
		return 0, true
	}
	return time.Duration(missing / b.rate * float64(time.Second)), true
}

func (b *TokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if b.refilledAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	b.refilledAt = now
}
