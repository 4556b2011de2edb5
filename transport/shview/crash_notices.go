package shview

import (
	"maps"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// crashNoticeTTL is how long a crash notice counts if its crash is not committed.
// It covers an election of about a second, the commit, and two heartbeats, whose
// answers bring the committed crash.
const crashNoticeTTL = 3 * time.Second

// CrashNotices holds the digests of crashes that entry VMs reported directly,
// ahead of the commit of the crash by the control VMs. The zero value is ready.
// It is safe for concurrent use.
type CrashNotices struct {
	mu     sync.Mutex
	expiry map[shmodel.Digest]time.Time
}

// Add adds the digests of a reported crash.
func (n *CrashNotices) Add(now time.Time, digests []shmodel.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.expiry == nil {
		n.expiry = map[shmodel.Digest]time.Time{}
	}
	maps.DeleteFunc(n.expiry, func(_ shmodel.Digest, until time.Time) bool { return !now.Before(until) })
	for _, d := range digests {
		n.expiry[d] = now.Add(crashNoticeTTL)
	}
}

// Status returns the status of a digest: the committed one if there is one,
// else SuspectSolo for crashNoticeTTL after a reported crash.
func (n *CrashNotices) Status(now time.Time, v *View, d shmodel.Digest) shcontrol.SuspectStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := v.Suspects[d]; ok {
		delete(n.expiry, d)
		return s
	}
	if now.Before(n.expiry[d]) {
		return shcontrol.SuspectSolo
	}
	return shcontrol.SuspectNone
}
