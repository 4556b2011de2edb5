package shorigin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: long bodies on a slow link. Guards against bodies that take the whole link, so
// that short messages wait behind them, and against a pace far below the link.
func TestLinkPace(t *testing.T) {
	l := Link{BitsPerSecond: 2_600_000}
	l.SetUploads(true)
	now := time.Unix(1_700_000_000, 0)
	end := now.Add(10 * time.Second)
	written := 0
	for now.Before(end) {
		pause := l.take(now, linkPiece)
		if pause == 0 {
			written += linkPiece
		}
		now = now.Add(pause)
	}
	share := float64(written) * 8 / 10 / float64(l.BitsPerSecond)
	assert.Assert(t, share > 0.6 && share <= bodyLinkShare, "%.2f of the link", share)
}

// Load: many long bodies at a time. Guards against packets of a few bytes, of which each
// body takes what is there.
func TestLinkPieces(t *testing.T) {
	l := Link{BitsPerSecond: 2_600_000}
	now := time.Unix(1_700_000_000, 0)
	for l.take(now, linkPiece) > 0 {
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, l.take(now.Add(time.Millisecond), linkPiece) > 0, "a part of a piece was taken")
}

// Guards against backend servers that count as unreachable because an opening packet
// waits behind long bodies, and against a longer timeout where there are none.
func TestDialTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		bits    int64
		uploads bool
		want    time.Duration
	}{
		"no uploads":   {2_600_000, false, dialTimeout},
		"unknown link": {0, true, dialTimeout},
		"slow link":    {2_600_000, true, dialTimeout + 403*time.Millisecond},
		"fast link":    {1_000_000_000, true, dialTimeout + time.Millisecond},
		"slowest":      {100_000, true, maxDialTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			l := Link{BitsPerSecond: c.bits}
			l.SetUploads(c.uploads)
			assert.Equal(t, l.dialTimeout().Truncate(time.Millisecond), c.want)
		})
	}
}
