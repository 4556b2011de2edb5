package shquota

import "time"

const (
	// roundingError is the largest error of a level by rounding.
	roundingError = 1e-9
	// periodLength is the least length of the periods of a bucket, and maxPeriods their
	// number. Together they cover the lifetime of tokens and the next ask.
	periodLength = 20 * time.Millisecond
	maxPeriods   = 100
)

// bucket is a token bucket that takes tokens back. The zero value is empty and has a
// limit of zero.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// periods is the last of them, oldest first; first is the stamp of periods[0].
	periods []period
	first   uint64
}

// period is a time, and the highest level that the bucket had in it.
type period struct {
	from time.Time
	peak float64
}

// set changes the limit of a bucket that was refilled. Tokens taken before do not come back.
func (b *bucket) set(now time.Time, l Limit) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.level = min(b.level, l.Burst)
	b.first += uint64(len(b.periods))
	b.periods = append(b.periods[:0], period{from: now, peak: b.level})
}

// refill adds the tokens of the rate up to a time, less a number of tokens used
// otherwise, which is not larger.
func (b *bucket) refill(now time.Time, used float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.level = min(b.level+b.limit.Rate*elapsed.Seconds()-used, b.limit.Burst)
	b.recordPeak()
}

func (b *bucket) recordPeak() {
	if n := len(b.periods); n > 0 {
		b.periods[n-1].peak = max(b.periods[n-1].peak, b.level)
	}
}

// take takes up to n whole tokens of a bucket that was refilled at a time. The stamp is
// needed to give them back.
func (b *bucket) take(now time.Time, n int) (taken int, stamp uint64) {
	taken = max(min(n, int(b.level+roundingError)), 0)
	b.level -= float64(taken)
	if last := len(b.periods) - 1; last < 0 || now.Sub(b.periods[last].from) >= periodLength {
		b.periods = append(b.periods, period{from: now, peak: b.level})
	}
	if len(b.periods) > maxPeriods {
		b.periods = append(b.periods[:0], b.periods[1:]...)
		b.first++
	}
	return taken, b.first + uint64(len(b.periods)) - 1
}

// giveBack returns n tokens that were taken with a stamp. Had they not been taken, the
// level would have been higher by n since then, and what did not fit would have been
// lost. That part stays lost, so that the bucket never passes more than if the tokens
// had not been taken.
func (b *bucket) giveBack(n int, stamp uint64) {
	if n <= 0 || stamp < b.first || stamp-b.first >= uint64(len(b.periods)) {
		return
	}
	since := b.periods[stamp-b.first:]
	highest := b.level
	for i := range since {
		highest = max(highest, since[i].peak)
		since[i].peak = min(since[i].peak+float64(n), b.limit.Burst)
	}
	b.level += max(min(float64(n), b.limit.Burst-highest), 0)
	b.recordPeak()
}
