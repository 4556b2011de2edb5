package shview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// Guards against a reported crash that expires before it can be committed, and
// against one that still counts after the committed one is known or was
// cleared.
func TestCrashNotices(t *testing.T) {
	var notices CrashNotices
	start := time.Unix(1_700_000_000, 0)
	digest := shmodel.Digest{1}
	none := &View{}
	quarantined := &View{Suspects: map[shmodel.Digest]shcontrol.SuspectStatus{digest: shcontrol.SuspectQuarantined}}
	assert.Equal(t, notices.Status(start, none, digest), shcontrol.SuspectNone)
	notices.Add(start, []shmodel.Digest{digest})
	assert.Equal(t, notices.Status(start.Add(2*time.Second), none, digest), shcontrol.SuspectSolo)
	assert.Equal(t, notices.Status(start.Add(4*time.Second), none, digest), shcontrol.SuspectNone)
	notices.Add(start, []shmodel.Digest{digest})
	assert.Equal(t, notices.Status(start, quarantined, digest), shcontrol.SuspectQuarantined)
	assert.Equal(t, notices.Status(start, none, digest), shcontrol.SuspectNone, "cleared after the commit was known")
}
