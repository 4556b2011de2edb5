package shfront

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfair"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Guards against a request that is refused for good although it no longer breaks
// backend servers, and against one that still does and reaches them again and again,
// through one entry VM after the other.
func TestCrashProbe(t *testing.T) {
	const entries = 7
	var view shfleet.View
	var handlers []*Handler
	for i := range entries {
		vm := shmodel.VM(fmt.Sprint("e", i))
		view.Entries = append(view.Entries, shfleet.Entry{VM: vm, Ready: true})
		handlers = append(handlers, &Handler{Place: shbalance.Place{VM: vm}, View: func() *shfleet.View { return &view }})
	}
	start := time.Unix(1_700_000_000, 0)
	digest := shmodel.Digest{1}
	// The caller tries all entry VMs every 100 ms. A probe that crashes a backend
	// server raises the count half a second later.
	count, raiseAt := shfleet.CrashLimit, time.Time{}
	var probes []time.Duration
	for now := start; now.Before(start.Add(20 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if !raiseAt.IsZero() && now.After(raiseAt) {
			count, raiseAt = count+1, time.Time{}
		}
		for _, h := range handlers {
			if h.mayProbeCrash(now, "s", digest, count) {
				probes = append(probes, now.Sub(start))
				raiseAt = now.Add(500 * time.Millisecond)
			}
		}
	}
	assert.Equal(t, len(probes), 2, "%v", probes)
	assert.Assert(t, probes[0] >= firstCrashProbe && probes[0] < 2*firstCrashProbe, "%v", probes)
	assert.Assert(t, probes[1]-probes[0] >= crashProbeFactor*firstCrashProbe, "%v", probes)

	t.Run("one entry VM gets the requests", func(t *testing.T) {
		for i, h := range handlers {
			h.crashProbes = shfair.Map[shmodel.Service, shmodel.Digest, crashProbe]{}
			assert.Assert(t, !h.mayProbeCrash(start, "s", digest, shfleet.CrashLimit))
			latest := start.Add(firstCrashProbe + entries*crashProbeStagger)
			assert.Assert(t, h.mayProbeCrash(latest, "s", digest, shfleet.CrashLimit), "entry VM %d", i)
			assert.Assert(t, !h.mayProbeCrash(latest, "s", digest, shfleet.CrashLimit), "entry VM %d", i)
		}
	})
	t.Run("bounded", func(t *testing.T) {
		h := handlers[0]
		for i := range 3 * maxCrashProbes {
			h.mayProbeCrash(start, "s", shmodel.Digest{byte(i), byte(i >> 8), 7}, 100)
		}
		assert.Assert(t, h.crashProbes.Len() <= maxCrashProbes)
	})
}
