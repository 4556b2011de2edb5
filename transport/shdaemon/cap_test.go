package shdaemon

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shcaller"
)

// Guards against traffic between regions above the cap of the link when the
// demand exceeds it. The bound is for the length of the whole run plus one
// second, since a busy machine may deliver within one second what was sent in
// two. Windows of one second are checked with a fake clock in
// coordination/shlimit.
func TestLinkCap(t *testing.T) {
	const (
		capBits     = 4_000_000
		controlBits = 2_000_000
		answerBytes = 400_000
		run         = 5 * time.Second
	)
	d := deploy(t, true)
	d.startBackends(victoria)
	for i := range 3 {
		d.startBackend(fmt.Sprint("library", i), "methodology-library", south, nil)
	}
	c := d.config
	c.Links = maps.Clone(c.Links)
	for name, l := range c.Links {
		l.CapBitsPerSecond, l.ControlBitsPerSecond = capBits, controlBits
		c.Links[name] = l
	}
	revision := d.apply(c)
	eventually(t, "cap in effect everywhere", func() bool { return d.inEffect(revision, d.names()...) })
	// Grants under the former cap expire.
	time.Sleep(4 * time.Second)
	d.network.resetCounts()
	begun := time.Now()
	answered := d.shiftLoad("victoria-b-1", run, answerBytes)
	seconds := time.Since(begun).Seconds() + 1
	assert.Assert(t, answered > 0, "nothing was shifted")
	for _, link := range [][2]shmodel.Region{{victoria, south}, {south, victoria}} {
		forwarded, control := d.network.counts(link[0], link[1])
		t.Logf("%v: %d bytes forwarded, %d bytes of control messages in %.1f s; %d answered", link, forwarded, control, seconds-1, answered)
		assert.Assert(t, float64(forwarded) <= (capBits-controlBits)/8*seconds, "%v: %d bytes in %.1f s", link, forwarded, seconds)
		assert.Assert(t, float64(forwarded+control) <= capBits/8*seconds, "%v: %d bytes with control messages in %.1f s", link, forwarded+control, seconds)
	}
}

// shiftLoad sends requests that only another region can serve, whose answers
// exceed the cap of the link, and returns how many were answered.
func (d *deployment) shiftLoad(name shmodel.VM, run time.Duration, answerBytes int) int {
	caller := d.directTo(d.vms[name])
	var mu sync.Mutex
	var workers sync.WaitGroup
	answered := 0
	begun := time.Now()
	for range 8 {
		workers.Go(func() {
			for time.Since(begun) < run {
				a := d.history.do(caller, shcaller.Request{
					Service: "methodology-library", Method: "GET", URI: fmt.Sprintf("/?bytes=%d", answerBytes), Timeout: 2 * time.Second,
				})
				if a.Outcome != shmodel.Answered {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return answered
}
