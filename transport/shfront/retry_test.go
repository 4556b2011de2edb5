package shfront

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shlimit"
)

// Guards against entry VMs that together make more attempts than the deployment
// allows, however many there are, and against a limit that is not used.
func TestRetryLimitIsShared(t *testing.T) {
	for _, c := range []struct {
		entries, perSecond int // requests per second and VM
		limit              RetryLimit
	}{
		{7, 10, RetryLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second}},
		{27, 24, RetryLimit{Share: 0.2, Slack: 172, Window: 10 * time.Second}},
		{34, 26, RetryLimit{Share: 0.2, Slack: 214, Window: 10 * time.Second}},
		{100, 5, RetryLimit{Share: 0.1, Slack: 120, Window: 5 * time.Second}},
		{7, 0, RetryLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second}},
	} {
		t.Run(fmt.Sprintf("%d entries", c.entries), func(t *testing.T) {
			budgets := make([]shlimit.ShareBudget, c.entries)
			start := time.Unix(1_700_000_000, 0)
			sent, requests := 0, 0
			for at := time.Duration(0); at < c.limit.Window; at += 10 * time.Millisecond {
				now := start.Add(at)
				for i := range budgets {
					b := &budgets[i]
					c.limit.configure(b, c.entries)
					if c.perSecond > 0 && at%(time.Second/time.Duration(c.perSecond)).Truncate(10*time.Millisecond) == 0 {
						b.Request(now)
						requests++
					}
					for b.Spend(now) {
						sent++
					}
				}
			}
			allowed := c.limit.Share*float64(requests) + c.limit.Slack
			assert.Assert(t, float64(sent) <= allowed, "%d attempts, %.0f allowed", sent, allowed)
			assert.Assert(t, float64(sent) >= allowed/2, "%d attempts, %.0f allowed", sent, allowed)
		})
	}
}
