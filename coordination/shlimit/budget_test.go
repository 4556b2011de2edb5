package shlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shconfig"
)

// Guards against retries that multiply the load of a failing service.
func TestShareBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := shlimit.ShareBudget{Share: shconfig.DefaultRetryShare}
		at := start
		requests, spent := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(at)
				requests++
			}
			if b.Spend(at) {
				spent++
			}
		}
		allowed := float64(requests)*shconfig.DefaultRetryShare + at.Sub(start).Seconds()
		assert.Assert(t, float64(spent) <= allowed+1e-6)
		assert.Assert(t, float64(spent) >= allowed-21)
	})
	idle := shlimit.ShareBudget{Share: shconfig.DefaultHedgeShare}
	idle.Request(start)
	saved := 0
	for idle.Spend(start.Add(time.Hour)) {
		saved++
	}
	assert.Equal(t, saved, 20)
}
