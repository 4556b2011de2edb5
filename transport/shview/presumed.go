package shview

import (
	"maps"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// presumedFor is how long a reported crash counts without a committed strike: an
// election of about a second, the commit, and two heartbeats that bring it.
const presumedFor = 3 * time.Second

// Presumed holds the digests whose crash an entry VM reported directly, ahead of
// the strike that the control VMs commit. The zero value is ready. It is safe for
// concurrent use.
type Presumed struct {
	mu    sync.Mutex
	until map[shmodel.Digest]time.Time
}

// Add notes a reported crash.
func (p *Presumed) Add(now time.Time, digests []shmodel.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[shmodel.Digest]time.Time{}
	}
	maps.DeleteFunc(p.until, func(_ shmodel.Digest, until time.Time) bool { return !now.Before(until) })
	for _, d := range digests {
		p.until[d] = now.Add(presumedFor)
	}
}

// Status returns the status of a digest: the committed one, or SuspectSolo while
// it is presumed to have crashed a backend server.
func (p *Presumed) Status(now time.Time, v *View, d shmodel.Digest) shcontrol.SuspectStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := v.Suspects[d]; ok {
		delete(p.until, d)
		return s
	}
	if now.Before(p.until[d]) {
		return shcontrol.SuspectSolo
	}
	return shcontrol.SuspectNone
}
