// Package shlimit limits what a VM takes from shared resources: bytes on links
// between regions, retries, hedges and the slots of a service.
//
// Everything here is a state machine without clock or goroutine. The caller
// passes the time, with its monotonic reading, and has exclusive use of the
// value. A GrantHolder keeps the traffic of one link within the grants of the
// VM, a ShareBudget bounds extra attempts by a share of the traffic, and an
// Admission decides which requests run, wait or are refused.
package shlimit

import (
	"time"

	"sequoiahollow/coordination/shcontrol"
)

const (
	// burstShare is the part of a limit, over one second, that may be taken at
	// once.
	burstShare = 0.1

	// rateShare leaves room for the burst and for a clock that runs fast: in
	// any second, rateShare × (1 + drift) + burstShare is below 1.
	rateShare = 0.98 - burstShare - shcontrol.ClockDrift*(1-burstShare)
)

// TokenBucket paces bytes such that no window of one second holds more than
// its limit. The zero value lets nothing through. It starts empty, so that a
// limit which passes from one holder to another is never taken twice.
type TokenBucket struct {
	// rate is in bytes per second, burst and tokens in bytes.
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// SetLimit changes the limit, in bits per second. Bytes in hand are kept up to
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
	elapsed := now.Sub(b.last)
	if b.last.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	b.last = now
}
