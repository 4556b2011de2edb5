package shquota

import "time"

// roundingError is the largest error of a level by rounding.
const roundingError = 1e-9

// bucket is a token bucket that takes tokens back. The zero value is empty and has a
// limit of zero.
type bucket struct {
	limit Limit
	level float64
	// spilled is the number of tokens that did not fit into the bucket so far.
	spilled    float64
	refilledAt time.Time
}

// set changes the limit.
func (b *bucket) set(now time.Time, l Limit) {
	b.refill(now)
	b.limit = l
	b.add(0)
}

func (b *bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.add(b.limit.Rate * elapsed.Seconds())
}

func (b *bucket) add(n float64) {
	b.level += n
	if over := b.level - b.limit.Burst; over > 0 {
		b.spilled += over
		b.level = b.limit.Burst
	}
}

// take takes up to n whole tokens of a bucket that was refilled.
func (b *bucket) take(n int) int {
	n = max(min(n, int(b.level+roundingError)), 0)
	b.level -= float64(n)
	return n
}

// giveBack returns n tokens that were taken when spilled had the value stamp. Tokens
// that would have spilled in the meantime stay lost, so that the bucket never passes
// more than if the tokens had not been taken.
func (b *bucket) giveBack(n int, stamp float64) {
	if n > 0 && stamp >= 0 && stamp <= b.spilled {
		b.add(max(float64(n)-(b.spilled-stamp), 0))
	}
}
