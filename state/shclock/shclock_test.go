package shclock

import (
	"testing"
	"time"
)

// TestSinceBootAdvances guards against a clock that stands still or has another unit.
func TestSinceBootAdvances(t *testing.T) {
	const pause = 20 * time.Millisecond
	began, steady := SinceBoot(), time.Now()
	time.Sleep(pause)
	elapsed := SinceBoot() - began
	if limit := time.Since(steady) + pause; elapsed < pause || elapsed > limit {
		t.Errorf("the clock advanced by %v in a pause of %v", elapsed, pause)
	}
}

func BenchmarkSinceBoot(b *testing.B) {
	for b.Loop() {
		SinceBoot()
	}
}
