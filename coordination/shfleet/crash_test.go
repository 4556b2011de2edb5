package shfleet

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

// crashes applies crash reports, one every 100 ms.
type crashes struct {
	State
	at time.Time
}

func digestOf(n int) shmodel.Digest {
	var d shmodel.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

func (c *crashes) report(service shmodel.Service, digest int, times int) {
	for range times {
		c.at = c.at.Add(100 * time.Millisecond)
		c.Apply(c.Index+1, c.at, ReportCrash{Digest: digestOf(digest), Service: service})
	}
}

func (c *crashes) count(digest int) int {
	return View{}.Apply(c.Since(0)).CrashCounts[digestOf(digest)]
}

const deadly, flood = 0, 1000

// Guards against a request that crashes backend servers and is sent again because its count
// was pushed out by those of requests whose answers were lost.
func TestCrashCountsAreNotPushedOut(t *testing.T) {
	for name, service := range map[string]shmodel.Service{"of another service": "lossy", "of the same service": "crashing"} {
		for _, times := range []int{1, 2} {
			t.Run(fmt.Sprint(name, ", ", times), func(t *testing.T) {
				c := crashes{at: storedAt}
				c.report("crashing", deadly, CrashLimit+1)
				for i := range 3 * maxCrashCounts {
					c.report(service, flood+i, times)
				}
				assert.Equal(t, c.count(deadly), CrashLimit+1)
				assert.Assert(t, len(c.CrashCounts) <= maxCrashCounts)
			})
		}
	}
	t.Run("one crash each, another service", func(t *testing.T) {
		c := crashes{at: storedAt}
		c.report("crashing", deadly, 1)
		for i := range 3 * maxCrashCounts {
			c.report("lossy", flood+i, CrashLimit+i%5)
		}
		assert.Equal(t, c.count(deadly), 1)
	})
}

// Guards against counts that fill the room for good, so that a request that begins to crash
// backend servers is never counted up to the limit.
func TestNewCrashCountsHaveRoom(t *testing.T) {
	for _, times := range []int{1, 2, CrashLimit, CrashLimit + 2} {
		c := crashes{at: storedAt}
		for i := range maxCrashCounts {
			c.report("s", flood+i, times)
		}
		for n := range CrashLimit {
			c.report("s", deadly, 1)
			assert.Equal(t, c.count(deadly), n+1, "beside counts of %d", times)
			for i := range maxCrashCounts/4 - 1 {
				c.report("s", flood+maxCrashCounts*(n+1)+i, 1)
			}
		}
	}
}

// Guards against a count without an end.
func TestCrashCountsEnd(t *testing.T) {
	c := crashes{at: storedAt}
	c.report("s", deadly, CrashLimit)
	c.at = c.at.Add(crashCountLifetime - time.Minute)
	c.report("s", flood, 1)
	assert.Equal(t, c.count(deadly), CrashLimit)
	c.at = c.at.Add(2 * time.Minute)
	c.report("s", flood, 1)
	assert.Equal(t, c.count(deadly), 0)
	assert.Equal(t, c.count(flood), 2)
}

// Guards against replicas that keep other counts after a restart.
func TestCrashCountsAfterRestore(t *testing.T) {
	c := crashes{at: storedAt}
	c.report("crashing", deadly, CrashLimit)
	data, err := c.Snapshot()
	assert.NilError(t, err)
	restored := crashes{at: c.at}
	assert.NilError(t, restored.Restore(data))
	for i := range 2 * maxCrashCounts {
		c.report("lossy", flood+i, 1)
		restored.report("lossy", flood+i, 1)
	}
	assert.DeepEqual(t, restored.CrashCounts, c.CrashCounts)
	assert.Equal(t, c.count(deadly), CrashLimit)
}
