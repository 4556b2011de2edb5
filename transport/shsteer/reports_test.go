package shsteer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shfront"
)

// Guards against a report of a crash that is dropped, or sent after all others, because
// many answers of another service are lost.
func TestReportsTakeTurns(t *testing.T) {
	var q reportQueue
	report := func(s shmodel.Service, n int) shfront.CrashReport {
		return shfront.CrashReport{Service: s, Digest: shmodel.Digest{byte(n), byte(n >> 8)}}
	}
	for i := range maxQueuedReports {
		_, dropped := q.put(report("lossy", i))
		assert.Assert(t, !dropped)
	}
	first, ok := q.put(report("crashing", 5000))
	assert.Assert(t, ok)
	assert.Equal(t, first, report("lossy", 0))
	for i := range 3 * maxQueuedReports {
		dropped, ok := q.put(report("lossy", 1000+i))
		assert.Assert(t, ok)
		assert.Equal(t, dropped.Service, shmodel.Service("lossy"))
	}
	place, taken := 0, 0
	for ; taken < maxQueuedReports; taken++ {
		r, ok := q.take(context.Background())
		assert.Assert(t, ok)
		if r.Service == "crashing" {
			place = taken
		}
	}
	assert.Equal(t, place, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = q.take(ctx)
	assert.Assert(t, !ok)
}
