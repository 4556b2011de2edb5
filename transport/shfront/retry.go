package shfront

import (
	"time"

	"sequoiahollow/coordination/shlimit"
)

// RetryLimit bounds the further attempts that all entry VMs together make for a
// service in any Window: Share of its requests plus Slack. The zero value stands
// for defaultRetryLimit.
type RetryLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// defaultRetryLimit is half of the share that the sites allow, and the slack of a
// few VMs.
var defaultRetryLimit = RetryLimit{Share: 0.1, Slack: 30, Window: 10 * time.Second}

// Parts of the limit that are used; the rest covers VMs that disagree about their
// number, and requests that are counted in the window before.
const (
	usedShare = 0.9
	steady    = 0.6 // of the slack, spread over the window
	burst     = 0.2 // of the slack, at once
)

// divide gives a budget the part of one of several entry VMs. One attempt at once
// is the least that a VM can make.
func (l RetryLimit) divide(b *shlimit.ShareBudget, entries int) {
	if l.Window <= 0 {
		l = defaultRetryLimit
	}
	n := float64(max(entries, 1))
	b.Share = usedShare * l.Share
	b.MinRate = steady * l.Slack / l.Window.Seconds() / n
	b.Max = max(burst*l.Slack/n, 1)
	b.Initial = b.Max
}
