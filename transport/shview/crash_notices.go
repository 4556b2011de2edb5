package shview

import (
	"maps"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// crashNoticeTTL is how long a reported crash counts without a committed one.
// It covers an election of about a second, the commit, and two heartbeats,
// whose answers bring the committed crash.
const crashNoticeTTL = 3 * time.Second

// CrashNotices holds the digests of crashes that entry VMs reported directly,
// ahead of the commit of the crash by the control VMs. The zero value is ready.
// It is safe for concurrent use.
type CrashNotices struct {
	mu     sync.Mutex
	expiry map[shmodel.Digest]time.Time
}

// Add adds the digests of a reported crash.
func (p *CrashNotices) Add(now time.Time, digests []shmodel.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expiry == nil {
		p.expiry = map[shmodel.Digest]time.Time{}
	}
	maps.DeleteFunc(p.expiry, func(_ shmodel.Digest, until time.Time) bool { return !now.Before(until) })
	for _, d := range digests {
		p.expiry[d] = now.Add(crashNoticeTTL)
	}
}

// Status returns the status of a digest: the committed one if there is one,
// else SuspectSolo for crashNoticeTTL after a reported crash.
func (p *CrashNotices) Status(now time.Time, v *View, d shmodel.Digest) shcontrol.SuspectStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := v.Suspects[d]; ok {
		delete(p.expiry, d)
		return s
	}
	if now.Before(p.expiry[d]) {
		return shcontrol.SuspectSolo
	}
	return shcontrol.SuspectNone
}
