package shdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shcaller"
)

// Guards against two accepted edits with one base revision, against a resent
// edit that is applied again, and against old revisions after a restart. There
// are hundreds of edits before the restart.
func TestConfigurationEdits(t *testing.T) {
	const rounds, totalEdits = 10, 300
	d := deploy(t, false)
	operators := []*vm{d.vms["south-a-2"], d.vms["victoria-b-1"]}
	edit := func(id string, base uint64) shcontrol.ApplyConfig {
		// The configuration is small, since every VM compiles every revision.
		c := d.config
		c.Services = map[shmodel.Service]shconfig.Service{records: d.config.Services[records]}
		c.Limits.ClaimHours = 1 + int(base)%30
		return shcontrol.ApplyConfig{EditID: id, BaseRevision: base, Config: c}
	}
	for base := uint64(1); base <= rounds; base++ {
		var group sync.WaitGroup
		results := make([]shcontrol.ConfigResult, 2*len(operators))
		for i := range results {
			group.Go(func() {
				// Each operator gets its edit twice.
				results[i], _ = d.operator(operators[i%2]).Apply(context.Background(), edit(fmt.Sprint("race ", base, " ", i%2), base))
			})
		}
		group.Wait()
		accepted := 0
		for i := range operators {
			first, second := results[i], results[i+2]
			assert.Equal(t, first.Accepted, second.Accepted, "resend of edit %d at base %d", i, base)
			if first.Accepted {
				accepted++
				assert.Equal(t, first.Revision, base+1)
				assert.Equal(t, second.Revision, base+1)
			}
		}
		assert.Equal(t, accepted, 1, "accepted edits on revision %d", base)
	}
	for base := uint64(rounds + 1); base < totalEdits; base++ {
		r, err := d.operator(operators[0]).Apply(context.Background(), edit(fmt.Sprint("edit ", base), base))
		assert.NilError(t, err)
		assert.Equal(t, r.Revision, base+1)
	}
	again, err := d.operator(operators[1]).Apply(context.Background(), edit("edit 150", 150))
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, uint64(151), "resend of an old edit")
	for _, v := range d.running() {
		d.kill(v)
	}
	for _, v := range d.vms {
		d.start(v)
	}
	eventually(t, "last revision in effect everywhere", func() bool { return d.inEffect(totalEdits, d.names()...) })
	d.check()
}

// Guards against requests that are lost, run twice or misreported when an entry
// VM is killed, or a leader, which also stores a part of the account.
func TestKillUnderLoad(t *testing.T) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	d.kill(d.vms["south-a-2"])
	d.awaitAnswers(10)
	l := d.leader("")
	d.kill(l)
	d.awaitAnswers(10)
	d.start(l)
	d.awaitAnswers(10)
	stop()
	d.check()
}

// Guards against a partitioned region that goes on with shifts, edits or
// once-only work, which an old state could make unsafe, or that stops
// idempotent work.
func TestRegionCutOff(t *testing.T) {
	d := deploy(t, true)
	d.startBackends(south, victoria)
	inside, outside := d.vms["victoria-b-1"], d.vms["south-a-2"]
	d.startBackend("library", library, south, nil)
	eventually(t, "shift to the other region", func() bool {
		return d.history.get(d.directTo(inside), library, time.Second).Outcome == shmodel.Answered
	})
	d.network.block(across(func(e endpoint) bool { return e.region == victoria }))
	eventually(t, "end of the confirmation", func() bool {
		return !d.gaugeNonZero(inside, "sequoiahollow_config_confirmed") && !d.gaugeNonZero(d.vms["victoria-a-1"], "sequoiahollow_config_confirmed")
	})
	a := d.history.get(d.directTo(inside), records, 2*time.Second)
	assert.Equal(t, a.Outcome, shmodel.Answered, "idempotent work in the region: %s", a.Body)
	a = d.history.do(d.directTo(inside), d.history.paymentRequest("cut off", 500*time.Millisecond))
	assert.Equal(t, a.Outcome, shmodel.NotRun, "once-only work: %s", a.Body)
	a = d.history.get(d.directTo(inside), library, 500*time.Millisecond)
	assert.Equal(t, a.Outcome, shmodel.NotRun, "shift: %s", a.Body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	edit := shcontrol.ApplyConfig{EditID: "cut off", BaseRevision: 1, Config: d.config}
	_, err := d.operator(d.vms["victoria-a-1"]).Apply(ctx, edit)
	assert.Assert(t, err != nil, "an edit was confirmed without a quorum")

	eventually(t, "once-only work in the other regions", func() bool {
		return d.history.do(d.directTo(outside), d.history.paymentRequest(d.history.token(), time.Second)).Outcome == shmodel.Answered
	})
	revision := d.apply(d.config)
	d.network.block(nil)
	eventually(t, "later revision in the region", func() bool { return d.inEffect(revision, "victoria-a-1", "victoria-b-1") })
	eventually(t, "once-only work in the region", func() bool {
		return d.history.do(d.directTo(inside), d.history.paymentRequest(d.history.token(), time.Second)).Outcome == shmodel.Answered
	})
	d.check()
}

// Guards against requests that are interrupted or refused by a planned stop, of
// the leader or of another VM.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	for _, region := range []shmodel.Region{south, north, victoria} {
		d.startBackend("library-"+string(region), library, region, func(c *shbackend.Config) { c.ServiceTime = 500 * time.Millisecond })
	}
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	var slowRequests sync.WaitGroup
	for _, v := range []*vm{d.leader(""), d.vms["south-a-2"]} {
		eventually(t, "answer of the slow service", func() bool {
			return d.history.get(d.directTo(v), library, 3*time.Second).Outcome == shmodel.Answered
		})
		// Some requests are in flight when the stop starts, some are sent during it.
		for n := range 8 {
			slowRequests.Go(func() {
				time.Sleep(time.Duration(n/2) * 200 * time.Millisecond)
				d.history.get(d.directTo(v), library, 10*time.Second)
			})
		}
		d.stop(v)
	}
	d.awaitAnswers(10)
	stop()
	slowRequests.Wait()
	for _, s := range d.history.sends {
		if s.err != nil || s.answer.Outcome == shmodel.Unknown || s.answer.Sends > 1 {
			t.Errorf("request interrupted at %s: %s %s: sends %d, outcome %q %s, error %v",
				s.answer.Entry.VM, s.request.Method, s.request.URI, s.answer.Sends, s.answer.Outcome, reasonOf(s.answer), s.err)
		}
	}
	d.check()
}

// Guards against a paused process that, once resumed, runs work that other VMs
// have taken over.
func TestPauseAndResume(t *testing.T) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	for _, v := range []*vm{d.vms["south-a-2"], d.leader("")} {
		d.signal(v, syscall.SIGSTOP)
		v.paused = true
		eventually(t, "VM removed from the directory", func() bool { return !d.listed(v.settings.VM) })
		d.awaitAnswers(15)
		d.signal(v, syscall.SIGCONT)
		v.paused = false
		eventually(t, "VM listed again", func() bool { return d.listed(v.settings.VM) })
		d.awaitAnswers(10)
	}
	stop()
	d.check()
}

// Guards against a partitioned leader that serves an old state, or that takes
// leadership back when the partition ends. At first only its outgoing messages
// are blocked, then both directions.
func TestControlVMCutOff(t *testing.T) {
	d := deploy(t, true)
	d.network.setDelay(time.Millisecond)
	d.startBackends(south, north, victoria)
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	l := d.leader("")
	inside := func(e endpoint) bool { return e.vm == l.settings.VM }
	d.network.block(func(from, _ endpoint) bool { return inside(from) })
	d.leader(l.settings.VM)
	d.network.block(across(inside))
	var revision uint64
	for range 5 {
		d.awaitAnswers(10)
		revision = d.applyAt(d.leader(l.settings.VM), d.config)
	}
	eventually(t, "end of the confirmation", func() bool { return !d.gaugeNonZero(l, "sequoiahollow_config_confirmed") })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := d.operator(l).Config(ctx)
	assert.Assert(t, err != nil, "a control VM without quorum served a configuration")
	d.network.block(nil)
	eventually(t, "revision at the reconnected VM", func() bool { return d.inEffect(revision, l.settings.VM) })
	d.awaitAnswers(10)
	stop()
	d.check()
}

// Guards against connections that deliver nothing any more and are not
// replaced.
func TestSilentConnections(t *testing.T) {
	d := deploy(t, true)
	d.startBackends(south, north, victoria)
	stop := d.startLoad(3)
	for range 2 {
		d.awaitAnswers(10)
		d.network.silenceOpenConnections()
	}
	d.awaitAnswers(10)
	stop()
	d.check()
}

// Guards against the loss of the quorum or of account records when a control VM
// loses its disk and rejoins, and two other control VMs are killed right after.
func TestDiskLostThenMoreVMs(t *testing.T) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	lost := d.vms["north-a-1"]
	d.kill(lost)
	assert.NilError(t, os.RemoveAll(lost.settings.DataFolder))
	d.awaitAnswers(10)
	d.start(lost)
	eventually(t, "voter again", func() bool { return d.gaugeNonZero(lost, "sequoiahollow_control_voter") })
	others := []*vm{d.vms["south-a-1"], d.vms["victoria-a-1"]}
	for _, v := range others {
		d.kill(v)
	}
	d.awaitAnswers(10)
	for _, v := range others {
		d.start(v)
	}
	eventually(t, "all listed", func() bool { return d.listed(others[0].settings.VM) && d.listed(others[1].settings.VM) })
	stop()
	d.check()
}

// Guards against a request that crashes one backend server after another, and
// against other requests that are refused because they ran beside it.
func TestCrashingRequest(t *testing.T) {
	testCrashingRequest(t, func(*deployment) {})
}

// Guards against backend servers that crash one after the other while there is
// no leader to commit the first crash.
func TestCrashingRequestDuringElection(t *testing.T) {
	testCrashingRequest(t, func(d *deployment) { d.kill(d.leader("")) })
}

// testCrashingRequest causes a fault and then sends the same crashing request
// to each entry VM.
func testCrashingRequest(t *testing.T, fault func(*deployment)) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	for _, region := range []shmodel.Region{south, north, victoria} {
		d.startBackend("more-"+string(region), records, region, nil)
	}
	stop := d.startLoad(3)
	d.awaitAnswers(10)
	crash := shcaller.Request{
		Service: records, Method: http.MethodGet, URI: "/read/crash", Timeout: 1500 * time.Millisecond,
		Header: http.Header{shbackend.HeaderFault: {shbackend.FaultCrash}},
	}
	fault(d)
	for _, v := range d.running() {
		d.history.do(d.directTo(v), crash)
	}
	d.history.do(d.caller(), crash)
	stop()
	crashed := map[shmodel.BackendServer]bool{}
	d.history.mu.Lock()
	unanswered := map[string]bool{}
	for _, l := range d.history.lines {
		if l.Path == crash.URI && l.Event == "started" {
			crashed[l.BackendServer] = true
		}
	}
	for _, s := range d.history.sends {
		if s.request.Service == records && s.request.URI != crash.URI && s.answer.Outcome != shmodel.Answered {
			unanswered[s.request.URI] = true
		}
	}
	d.history.mu.Unlock()
	if len(crashed) > 2 {
		d.logEvents(crash.URI)
	}
	assert.Assert(t, len(crashed) > 0 && len(crashed) <= 2, "crashed: %v", crashed)
	for uri := range unanswered {
		again := shcaller.Request{Service: records, Method: http.MethodGet, URI: uri, Timeout: 2 * time.Second}
		eventually(t, "answer to unrelated "+uri, func() bool {
			return d.history.do(d.caller(), again).Outcome == shmodel.Answered
		})
	}
	a := d.history.do(d.caller(), crash)
	assert.Equal(t, reasonOf(a), "quarantined", "%s", a.Body)
	d.check()
}

// logEvents logs the requests of callers for a path and their answers, the journal
// lines of the backend servers for it, and the lines of the daemons' logs that
// contain one of the words below.
func (d *deployment) logEvents(uri string) {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	for _, s := range d.history.sends {
		if s.request.URI == uri {
			d.t.Logf("%s to %s sent, %s %d %s", s.begun.Format(traceTimeFormat), s.ended.Format(traceTimeFormat), s.answer.Outcome, s.answer.Status, s.answer.Body)
		}
	}
	for _, l := range d.history.lines {
		if l.Path == uri {
			d.t.Logf("%s %s %+v", l.At.Format(traceTimeFormat), l.BackendServer, l)
		}
	}
	for _, v := range d.vms {
		data, err := os.ReadFile(d.logFile(v))
		assert.NilError(d.t, err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "crash") || strings.Contains(line, "strike") {
				d.t.Logf("%s: %s", v.settings.VM, line)
			}
		}
	}
}

// traceTimeFormat shows seconds and milliseconds.
const traceTimeFormat = "05.000"

// Guards against a backend server that gets new requests more than 2 s after it
// began to leave, and against false announcements that lead to more requests
// than slots.
func TestAnnouncements(t *testing.T) {
	d := deploy(t, false)
	d.startBackends(south, north, victoria)
	d.startBackend("idle-liar", payments, south, func(c *shbackend.Config) { c.Faults.ReportIdle = true })
	d.startBackend("late-liar", records, south, func(c *shbackend.Config) { c.Faults.ReportLag = time.Second })
	leaving := d.startBackend("leaving", records, south, nil)
	stop := d.startLoad(4)
	d.awaitAnswers(10)
	var burst sync.WaitGroup
	for n := range 60 {
		// The burst has more requests than the region has slots.
		burst.Go(func() {
			d.history.get(d.directTo(d.vms[[]shmodel.VM{"south-a-1", "south-b-1"}[n%2]]), records, time.Second)
		})
	}
	burst.Wait()
	d.sendFalseAnnouncements(leaving.Address())
	begun := time.Now()
	leaving.Leave()
	eventually(t, "3 s since the leave", func() bool { return time.Since(begun) > 3*time.Second })
	d.awaitAnswers(10)
	stop()
	for _, l := range d.history.lines {
		if l.BackendServer == "leaving" && l.Event == "started" && l.At.After(begun.Add(2*time.Second)) {
			t.Errorf("a request was sent %v after the leave", l.At.Sub(begun))
		}
	}
	d.check()
}

// sendFalseAnnouncements posts invalid announcements, and then announces a
// backend server at the address of another one until the test ends.
func (d *deployment) sendFalseAnnouncements(address string) {
	owner := d.vms["south-a-1"].settings
	good := shwire.Announcement{
		BackendServer: "liar", Service: records, Address: address, Place: owner.Place(), Incarnation: 1, Slots: 3, Connections: 360,
	}
	for name, change := range map[string]func(*shwire.Announcement){
		"negative slots": func(a *shwire.Announcement) { a.Slots = -1 },
		"no address":     func(a *shwire.Announcement) { a.Address = "" },
		"other region":   func(a *shwire.Announcement) { a.Place.Region = north },
	} {
		a := good
		change(&a)
		status, _ := announce(owner.ServerAddress, a)
		assert.Assert(d.t, status != http.StatusOK, "%s was accepted", name)
	}
	d.checkOldIncarnationRefused(good)
	done := make(chan struct{})
	d.t.Cleanup(func() { close(done) })
	go func() {
		for ; ; time.Sleep(200 * time.Millisecond) {
			select {
			case <-done:
				return
			default:
				_, good.Nonce = announce(owner.ServerAddress, good)
			}
		}
	}()
}

// checkOldIncarnationRefused announces an old incarnation to all VMs of the
// region. Only the owner of the backend server must refuse it; which VM that is
// depends on the addresses.
func (d *deployment) checkOldIncarnationRefused(a shwire.Announcement) {
	a.BackendServer = "leaving"
	refused := 0
	for _, v := range d.vms {
		if v.settings.Region != south {
			continue
		}
		if status, _ := announce(v.settings.ServerAddress, a); status != http.StatusOK {
			refused++
		}
	}
	assert.Equal(d.t, refused, 1, "owners that refused an old incarnation")
}

func announce(owner string, a shwire.Announcement) (status int, nonce string) {
	body, err := json.Marshal(a)
	if err != nil {
		return 0, ""
	}
	response, err := http.Post("http://"+owner+shwire.PathAnnouncements, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var answer shwire.AnnouncementAnswer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.Nonce
}
