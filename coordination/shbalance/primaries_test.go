package shbalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers that are late because each key is warmed on two backend servers
// at the start of a day, while one has slots for all its requests.
func TestAllKeysColdPattern(t *testing.T) {
	c := simConfigs()["taxi position"]
	two := simulate(c, 12*time.Second, 1)
	c.share = 300 * time.Millisecond
	one := simulate(c, 12*time.Second, 1)
	t.Logf("two primaries: %d cold runs, %d of %d in time; one: %d, %d of %d", two.coldRuns, two.inTime, two.total, one.coldRuns, one.inTime, one.total)
	assert.Assert(t, one.coldRuns < two.coldRuns)
	assert.Assert(t, one.inTime*two.total > two.inTime*one.total)
}
