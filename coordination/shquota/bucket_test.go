package shquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// taken is tokens that were taken from a bucket.
type taken struct {
	at     time.Time
	tokens int
	stamp  uint64
}

// Guards against tokens given back that let a bucket pass more than if they had never
// been taken: those that stay out must fit into a bucket that takes none back.
func TestGiveBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0, 100).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 30).Draw(t, "burst"))}
		start := time.Unix(1000, 0)
		now := start
		b := bucket{limit: limit, level: limit.Burst}
		var out []taken
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			b.refill(now, 0)
			if len(out) > 0 && rapid.Bool().Draw(t, "give back") {
				x := &out[rapid.IntRange(0, len(out)-1).Draw(t, "which")]
				n := rapid.IntRange(0, x.tokens).Draw(t, "returned")
				x.tokens -= n
				b.giveBack(n, x.stamp)
				continue
			}
			n, stamp := b.take(now, rapid.IntRange(0, 40).Draw(t, "tokens"))
			out = append(out, taken{now, n, stamp})
		}
		plain := bucket{limit: limit, level: limit.Burst, refilledAt: start}
		for _, x := range out {
			plain.refill(x.at, 0)
			if plain.level -= float64(x.tokens); plain.level < -roundingError*100 {
				t.Fatalf("%v tokens too many at %v", -plain.level, x.at.Sub(start))
			}
		}
	})
}
