package shlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shlimit"
)

// take records how many bytes were taken at a time.
type take struct {
	at    time.Time
	bytes int64
}

// maxBytesPerSecond returns the maximum number of bytes in any window of one
// second.
func maxBytesPerSecond(takes []take) int64 {
	most := int64(0)
	for i, first := range takes {
		sum := int64(0)
		for _, t := range takes[i:] {
			if t.at.Sub(first.at) > time.Second {
				break
			}
			sum += t.bytes
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a burst that exceeds the limit in some second, also when the
// limit changes or passes from one bucket to another.
func TestTokenBucketFitsAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const highest = 1 << 30
		limit := rapid.Int64Range(8, highest).Draw(t, "limit")
		var old, next shlimit.TokenBucket
		at := start
		old.SetLimit(at, limit)
		passed := false
		var takes []take
		for range rapid.IntRange(100, 250).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			b := &old
			if passed {
				b = &next
			}
			switch rapid.IntRange(0, 150).Draw(t, "event") {
			case 0:
				if !passed {
					old.SetLimit(at, 0)
					next.SetLimit(at, limit)
					passed = true
				}
			case 1:
				b.SetLimit(at, limit/2)
			case 2:
				b.SetLimit(at, limit)
			case 3:
				at = at.Add(200 * time.Millisecond)
			default:
				n := rapid.SampledFrom([]int64{highest, highest, limit / 100}).Draw(t, "bytes")
				takes = append(takes, take{at: at, bytes: b.Take(at, n)})
			}
		}
		assert.Assert(t, maxBytesPerSecond(takes) <= limit/8)
	})
}

// Guards against a limit that is exceeded because the clock of the VM runs
// fast, in the worst case of a full burst followed by the full rate.
func TestTokenBucketAllowsForDrift(t *testing.T) {
	const limit = 8_000_000
	var b shlimit.TokenBucket
	b.SetLimit(start, limit)
	sent := int64(0)
	second := time.Duration(float64(time.Second) * (1 + shcontrol.ClockDrift))
	for at := time.Duration(0); at <= second; at += time.Millisecond {
		sent += b.Take(start.Add(time.Minute+at), limit)
	}
	assert.Assert(t, sent <= limit/8, "%d bytes", sent)
	assert.Assert(t, sent > limit/8*95/100, "%d bytes leave too much unused", sent)
}

// Guards against a wait that is too short or too long, and against a limit of
// zero that lets bytes through.
func TestTokenBucketWaits(t *testing.T) {
	var b shlimit.TokenBucket
	_, ok := b.Wait(start, 1)
	assert.Assert(t, !ok)
	assert.Equal(t, b.Take(start.Add(time.Hour), 1), int64(0))
	b.SetLimit(start.Add(time.Hour), 8_000_000)
	at := start.Add(time.Hour)
	sent := int64(0)
	for range 1000 {
		wait, ok := b.Wait(at, 16<<10)
		assert.Assert(t, ok)
		at = at.Add(wait + time.Microsecond)
		taken := b.Take(at, 16<<10)
		assert.Equal(t, taken, int64(16<<10))
		sent += taken
	}
	rate := float64(sent) / at.Sub(start.Add(time.Hour)).Seconds()
	assert.Assert(t, rate > 850_000 && rate < 1_000_000, "%f bytes per second", rate)
}

// requestAndGrant grants the request that the holder has, if any, at once.
func requestAndGrant(h *shlimit.GrantHolder, now time.Time, id uint64, rate int64) bool {
	a, ok := h.NextRequest(now)
	if ok {
		h.Granted(now, a, shcontrol.GrantResult{ID: id, BitsPerSecond: rate, Duration: shcontrol.GrantDuration})
	}
	return ok
}

// Guards against a shift of traffic that reaches cold caches at full rate, also
// after a time without traffic.
func TestShiftRampsUp(t *testing.T) {
	var h shlimit.GrantHolder
	now := start
	id := uint64(0)
	perSecond := func() int64 {
		sent := int64(0)
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			h.AddDemand(now, 1<<24)
			id++
			requestAndGrant(&h, now, id, 1_000_000_000)
			sent += h.Take(now, 1<<24) * 8
		}
		return sent
	}
	last := perSecond()
	assert.Assert(t, last <= 1_000_000, "the first second had %d bits", last)
	for range 8 {
		sent := perSecond()
		assert.Assert(t, sent <= 2*last+last/4, "%d bits after %d", sent, last)
		last = sent
	}
	assert.Assert(t, last > 100_000_000, "the ninth second had %d bits", last)
	now = now.Add(time.Minute)
	sent := perSecond()
	assert.Assert(t, sent <= 1_000_000, "%d bits after a minute without traffic", sent)
}

// Guards against traffic without a valid grant and requests without demand.
func TestGrantHolderNeedsAGrant(t *testing.T) {
	var h shlimit.GrantHolder
	_, ok := h.NextRequest(start)
	assert.Assert(t, !ok, "requested a grant without demand")
	h.AddDemand(start, 1<<20)
	assert.Equal(t, h.Take(start.Add(time.Second), 1<<20), int64(0))

	requestedAt := start.Add(2 * time.Second)
	a, ok := h.NextRequest(requestedAt)
	assert.Assert(t, ok)
	_, again := h.NextRequest(requestedAt)
	assert.Assert(t, !again, "requested a second grant before the result of the first")
	answeredAt := requestedAt.Add(2 * time.Second)
	h.Granted(answeredAt, a, shcontrol.GrantResult{ID: 1, BitsPerSecond: 1_000_000, Duration: 3 * time.Second})
	assert.Assert(t, h.Take(answeredAt.Add(900*time.Millisecond), 1<<20) > 0)
	assert.Equal(t, h.Take(answeredAt.Add(940*time.Millisecond), 1<<20), int64(0))

	late, ok := h.NextRequest(answeredAt.Add(time.Second))
	assert.Assert(t, ok)
	h.Granted(late.At.Add(3*time.Second), late, shcontrol.GrantResult{ID: 2, BitsPerSecond: 1_000_000, Duration: 3 * time.Second})
	assert.Equal(t, h.BitsPerSecond(late.At.Add(3*time.Second)), int64(0))
}
