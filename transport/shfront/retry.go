package shfront

import (
	"time"

	"sequoiahollow/coordination/shlimit"
)

// RetryLimit bounds the retries that all entry VMs together make for a service
// in any Window: at most Share times its requests in the Window, plus Slack. The
// zero value means defaultRetryLimit.
type RetryLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// defaultRetryLimit has half of the share that deployments allow, and slack for a
// few VMs.
var defaultRetryLimit = RetryLimit{Share: 0.1, Slack: 30, Window: 10 * time.Second}

// Parts of the limit that are used. The rest allows for VMs that assume different
// numbers of entry VMs, and for retries earned by requests of the window before.
const (
	usedShare      = 0.9
	sustainedSlack = 0.6 // of the slack, spread over the window
	burstSlack     = 0.2 // of the slack, at once
)

// configure sets a budget to one entry VM's part of the limit. The budget holds
// at least one attempt, because with less a VM could never retry.
func (l RetryLimit) configure(b *shlimit.ShareBudget, entries int) {
	if l.Window <= 0 {
		l = defaultRetryLimit
	}
	n := float64(max(entries, 1))
	b.Share = usedShare * l.Share
	b.MinRate = sustainedSlack * l.Slack / l.Window.Seconds() / n
	b.Max = max(burstSlack*l.Slack/n, 1)
	b.Initial = b.Max
}
