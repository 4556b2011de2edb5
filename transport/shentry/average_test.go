package shentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shrouting"
)

// Guards against a service that is refused for long after its requests seemed to
// take too long, for example because this VM was paused.
func TestServiceTimeStartsAnew(t *testing.T) {
	var m movingAverage
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		m.add(now, 3*time.Second)
	}
	m.add(now.Add(shrouting.ServiceTimeLifetime), 200*time.Millisecond)
	assert.Assert(t, m.average > 2*time.Second, "%v after one sample soon after the others", m.average)
	now = now.Add(3 * shrouting.ServiceTimeLifetime)
	m.add(now, 200*time.Millisecond)
	assert.Equal(t, m.average, 200*time.Millisecond)
	assert.Equal(t, m.at, now)
}
