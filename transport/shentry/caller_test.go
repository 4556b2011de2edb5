package shentry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shview"
)

// Guards against a lookup that sends callers to an entry VM that may not serve
// them, and against an answer with another cache lifetime than the configured
// one: a stopping entry VM waits for the configured one.
func TestLookup(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	doLookup := func() (answer, shwire.Entries) {
		var e shwire.Entries
		a := v.call(t, "", http.MethodGet, shwire.PathEntries+"?service=samples", "")
		if a.status == http.StatusOK {
			assert.NilError(t, json.Unmarshal(a.body, &e))
		}
		return a, e
	}
	t.Run("own region", func(t *testing.T) {
		_, e := doLookup()
		want := []shwire.EntryAddress{{VM: "vm-1", Region: "south", FailureDomain: "s1", Address: v.heartbeat.CallerAddress}}
		assert.DeepEqual(t, e, shwire.Entries{Service: testService, Revision: 1, CacheForMS: 1500, Entries: want})
	})
	t.Run("unknown service", func(t *testing.T) {
		a := v.call(t, "", http.MethodGet, shwire.PathEntries+"?service=none", "")
		assert.Equal(t, a.status, http.StatusNotFound)
		assert.Equal(t, a.problem.Reason, "unknown service")
	})
	t.Run("no configuration", func(t *testing.T) {
		old := d.view.Swap(&shview.View{})
		defer d.view.Store(old)
		a, _ := doLookup()
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.problem.Reason, "no configuration")
		assert.Equal(t, a.header.Get("Retry-After"), "1")
	})
	t.Run("other region after a grant", func(t *testing.T) {
		d.entries = nil
		d.startVM(t, "vm-2", "north")
		a, _ := doLookup()
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.problem.Reason, "no entry VM")
		waitFor(t, "a grant", func() bool {
			_, e := doLookup()
			return len(e.Entries) == 1 && e.Entries[0].VM == "vm-2"
		})
	})
}

// Guards against a refusal without an outcome, which the caller can't tell from
// a lost request, and against a refusal with no account record or several.
func TestAdmission(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	// The service time is much longer than the shortest timeout of the table, 1 ms.
	slow := func(c *shbackend.Config) { c.ServiceTime = 30 * time.Millisecond }
	v.startBackends(t, testService, slow, "b1")
	v.startBackends(t, testOnceOnly, nil, "b2")
	const answered = "opened attempted:answered closed:answered"
	timeout := func(text string) []string { return []string{shwire.HeaderTimeout, text} }
	for _, c := range []struct {
		name    string
		service shmodel.Service
		uri     string
		body    string
		header  []string
		status  int
		reason  string
	}{
		{"service by header", testService, "/x", "", nil, 200, ""},
		{"service by host", "", "/x", "", []string{"Host", "samples.test:80"}, 200, ""},
		{"path that is not clean", testService, "//x/../y", "", nil, 200, ""},
		{"lookup path with another method", testService, shwire.PathEntries, "", nil, 200, ""},
		{"unknown service", "none", "/x", "", nil, 404, "unknown service"},
		{"no service", "", "/x", "", nil, 404, "unknown service"},
		{"key missing", testOnceOnly, "/x", "", nil, 400, "idempotency key missing"},
		{"longest key", testOnceOnly, "/x", "", []string{shwire.HeaderKey, strings.Repeat("k", 255)}, 200, ""},
		{"key too long", testOnceOnly, "/x", "", []string{shwire.HeaderKey, strings.Repeat("k", 256)}, 400, "idempotency key too long"},
		{"longest timeout", testService, "/x", "", timeout("3600000"), 200, ""},
		{"timeout too long", testService, "/x", "", timeout("3600001"), 400, "malformed timeout"},
		{"timeout zero", testService, "/x", "", timeout("0"), 400, "malformed timeout"},
		{"timeout negative", testService, "/x", "", timeout("-5"), 400, "malformed timeout"},
		{"timeout no number", testService, "/x", "", timeout("5s"), 400, "malformed timeout"},
		{"no backend server", "empty", "/x", "", nil, 503, "no-capacity"},
		{"timeout shorter than a run", testService, "/x", "", timeout("1"), 503, "no-capacity"},
		{"longest body", testService, "/x", strings.Repeat("x", 1000), nil, 200, ""},
		{"body too large", testService, "/x", strings.Repeat("x", 1001), nil, 413, "body too large"},
		{"path too long", testService, "/" + strings.Repeat("x", 4<<10), "", nil, 414, "path too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := v.call(t, c.service, http.MethodPost, c.uri, c.body, c.header...)
			assert.Equal(t, a.status, c.status, string(a.body))
			assert.Equal(t, a.problem.Reason, c.reason)
			if c.reason == "" {
				assert.Equal(t, a.outcome(), "answered")
				d.checkAccount(t, a, answered)
				return
			}
			assert.Equal(t, a.outcome(), "not-run")
			d.checkAccount(t, a, "refused:not-run:"+c.reason)
		})
	}
	t.Run("HEAD does not state an empty body", func(t *testing.T) {
		a := v.call(t, testService, http.MethodHead, "/x", "")
		assert.Equal(t, a.outcome(), "answered")
		assert.Assert(t, a.header.Get("Content-Length") != "0")
	})
	t.Run("body cut off", func(t *testing.T) {
		c, err := net.Dial("tcp", v.heartbeat.CallerAddress)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /x HTTP/1.0\r\nSequoiahollow-Service: samples\r\nContent-Length: 9\r\n\r\nabc")
		assert.NilError(t, err)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		text, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(text), "body incomplete"), string(text))
		assert.Assert(t, strings.Contains(string(text), shwire.HeaderOutcome+": not-run"), string(text))
	})
}

// Guards against a request that is accepted although there is no configuration
// or its records can't be stored.
func TestNotReady(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	check := func(t *testing.T) {
		t.Helper()
		a := v.call(t, testService, http.MethodGet, "/x", "")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.problem.Reason, "not ready")
		assert.Equal(t, a.outcome(), "not-run")
		assert.Equal(t, a.id, shmodel.RequestID(0))
	}
	t.Run("no configuration", func(t *testing.T) {
		old := d.view.Swap(&shview.View{})
		defer d.view.Store(old)
		check(t)
	})
	t.Run("no account VM", func(t *testing.T) {
		v.Account.SetTargets(nil)
		check(t)
	})
}

// announceAddress announces a backend server at an address without starting one.
func (v *testVM) announceAddress(t *testing.T, service shmodel.Service, name shmodel.BackendServer, address string, slots int) {
	t.Helper()
	a := shwire.Announcement{BackendServer: name, Service: service, Address: address, Place: v.Place, Incarnation: 1, Slots: slots}
	for range 2 {
		r, rejected := v.Slots.Announce(a)
		assert.Equal(t, rejected, "")
		a.Nonce = r.Nonce
	}
}

// Guards against a fault of a backend server after which the caller gets a wrong
// outcome, once-only work runs twice, or an attempt is missing in the account.
func TestBackendFaults(t *testing.T) {
	const (
		retried  = "opened attempted:unknown:answer-lost attempted:answered closed:answered"
		lost     = "opened attempted:unknown:answer-lost closed:unknown:answer-lost"
		answered = "opened attempted:answered closed:answered"
		shed     = "opened attempted:not-run:shed attempted:answered closed:answered"
	)
	for _, c := range []struct {
		name    string
		service shmodel.Service
		fault   string
		timeout string
		status  int
		outcome string
		reason  string
		records string
		runs    int
	}{
		{"idempotent", testService, "", "", 200, "answered", "", answered, 1},
		{"idempotent, shed once", testService, "shed,", "", 200, "answered", "", shed, 1},
		{"idempotent, broken once", testService, "break,", "", 200, "answered", "", retried, 2},
		{"idempotent, wrong ID once", testService, "wrong-id,", "", 200, "answered", "", retried, 2},
		{"idempotent, silent once", testService, "silent,", "800", 200, "answered", "", retried, 2},
		{
			"idempotent, always shed", testService, "shed", "", 503, "not-run", "retry-budget",
			"opened attempted:not-run:shed attempted:not-run:shed closed:not-run:retry-budget", 0,
		},
		{
			"idempotent, always wrong ID", testService, "wrong-id", "", 502, "unknown", "retry-budget",
			"opened attempted:unknown:answer-lost attempted:unknown:answer-lost closed:unknown:retry-budget", 2,
		},
		{
			"idempotent, crashes", testService, "crash", "", 502, "unknown", "backend-server-crashed",
			"opened attempted:unknown:backend-server-crashed attempted:unknown:backend-server-crashed closed:unknown:backend-server-crashed", 2,
		},
		{"once-only", testOnceOnly, "", "", 200, "answered", "", answered, 1},
		{"once-only, shed once", testOnceOnly, "shed,", "", 200, "answered", "", shed, 1},
		{"once-only, broken", testOnceOnly, "break,", "", 502, "unknown", "answer-lost", lost, 1},
		{"once-only, wrong ID", testOnceOnly, "wrong-id,", "", 502, "unknown", "answer-lost", lost, 1},
		{"once-only, crashes", testOnceOnly, "crash", "", 502, "unknown", "answer-lost", lost, 1},
		{
			"once-only, silent", testOnceOnly, "silent,", "300", 504, "unknown", "deadline",
			"opened attempted:unknown:deadline closed:unknown:deadline", 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			v := d.startVM(t, "vm-1", "south")
			v.startBackends(t, c.service, nil, "b1", "b2")
			header := []string{shwire.HeaderKey, "k", shbackend.HeaderFault, c.fault, shwire.HeaderTimeout, c.timeout}
			a := v.call(t, c.service, http.MethodPost, "/x", "body", header...)
			assert.Equal(t, a.status, c.status, string(a.body))
			assert.Equal(t, a.outcome(), c.outcome)
			assert.Equal(t, a.problem.Reason, c.reason)
			d.checkAccount(t, a, c.records)
			assert.Equal(t, d.runs(), c.runs)
		})
	}
	for _, service := range []shmodel.Service{testService, testOnceOnly} {
		t.Run("refused connection, "+string(service), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			v := d.startVM(t, "vm-1", "south")
			v.startBackends(t, service, nil, "b1")
			v.announceAddress(t, service, "a-dead", shloopback.Free(t), 2)
			a := v.call(t, service, http.MethodPost, "/x", "", shwire.HeaderKey, "k")
			assert.Equal(t, a.outcome(), "answered")
			d.checkAccount(t, a, "opened attempted:not-run:unreachable attempted:answered closed:answered")
			assert.Equal(t, d.runs(), 1)
		})
	}
}

// Guards against a second run for the same idempotency key, and against a resend
// that is answered with not-run although the first request may have run.
func TestResend(t *testing.T) {
	passRetention := func(d *deployment) { d.clockOffset = 25 * time.Hour }
	for _, c := range []struct {
		name     string
		uri      string
		fault    string
		between  func(*deployment)
		body     string
		status   int
		outcome  string
		reason   string
		replayed string
		records  string
	}{
		{"replayed", "/x", "", nil, "body", 200, "answered", "", "true", "opened attempted:answered closed:answered"},
		{
			"replayed without a long body", "/x?bytes=70000", "", nil, "body",
			200, "answered", "answer too large to record", "true", "opened attempted:answered closed:answered",
		},
		{"another body", "/x", "", nil, "other", 422, "not-run", "key-conflict", "", "opened attempted:not-run:key-conflict closed:not-run:key-conflict"},
		{"after a lost answer", "/x", "wrong-id", nil, "body", 502, "unknown", "settled", "", "opened attempted:unknown:settled closed:unknown:settled"},
		{"after a crash", "/x", "crash", nil, "body", 502, "unknown", "settled", "", "opened attempted:unknown:settled closed:unknown:settled"},
		{"after the retention period", "/x", "", passRetention, "body", 502, "unknown", "key-used-before", "", "opened attempted:unknown:key-used-before closed:unknown:key-used-before"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			v := d.startVM(t, "vm-1", "south")
			v.startBackends(t, testOnceOnly, nil, "b1", "b2")
			v.call(t, testOnceOnly, http.MethodPost, c.uri, "body", shwire.HeaderKey, "k", shbackend.HeaderFault, c.fault)
			if c.between != nil {
				c.between(d)
			}
			a := v.call(t, testOnceOnly, http.MethodPost, c.uri, c.body, shwire.HeaderKey, "k")
			assert.Equal(t, a.status, c.status, string(a.body))
			assert.Equal(t, a.outcome(), c.outcome)
			assert.Equal(t, a.problem.Reason, c.reason)
			assert.Equal(t, a.header.Get(shwire.HeaderReplayed), c.replayed)
			d.checkAccount(t, a, c.records)
			assert.Equal(t, d.runs(), 1)
		})
	}
	t.Run("in progress", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		v := d.startVM(t, "vm-1", "south")
		v.startBackends(t, testOnceOnly, func(c *shbackend.Config) { c.ServiceTime = time.Second }, "b1", "b2")
		first := make(chan answer)
		go func() { first <- v.call(t, testOnceOnly, http.MethodPost, "/x", "", shwire.HeaderKey, "k") }()
		waitFor(t, "the run", func() bool { return d.runs() == 1 })
		short := v.call(t, testOnceOnly, http.MethodPost, "/x", "", shwire.HeaderKey, "k", shwire.HeaderTimeout, "200")
		assert.Equal(t, short.status, http.StatusGatewayTimeout, string(short.body))
		assert.Equal(t, short.outcome(), "unknown")
		waits := v.call(t, testOnceOnly, http.MethodPost, "/x", "", shwire.HeaderKey, "k")
		assert.Equal(t, waits.header.Get(shwire.HeaderReplayed), "true")
		assert.DeepEqual(t, waits.body, (<-first).body)
		assert.Equal(t, d.runs(), 1)
	})
	t.Run("no quorum", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		v := d.startVM(t, "vm-1", "south")
		v.startBackends(t, testOnceOnly, nil, "b1")
		d.failCommand = func(c shcontrol.Command) bool { _, ok := c.(shcontrol.OpenClaim); return ok }
		a := v.call(t, testOnceOnly, http.MethodPost, "/x", "", shwire.HeaderKey, "k", shwire.HeaderTimeout, "600")
		assert.Equal(t, a.status, http.StatusServiceUnavailable, string(a.body))
		assert.Equal(t, a.outcome(), "not-run")
		assert.Equal(t, d.runs(), 0)
	})
}

// Guards against a truncated long answer that the caller or the account takes
// for a complete one.
func TestLongAnswer(t *testing.T) {
	const size = 300_000
	for _, c := range []struct {
		name, fault string
		broken      bool
		records     string
	}{
		{"whole", "", false, "opened attempted:answered closed:answered"},
		{"broken off", "break", true, "opened attempted:unknown:answer-lost closed:unknown:answer-lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			v := d.startVM(t, "vm-1", "south")
			v.startBackends(t, testService, nil, "b1")
			a := v.call(t, testService, http.MethodGet, "/x?bytes=300000", "", shbackend.HeaderFault, c.fault)
			assert.Equal(t, a.broken, c.broken)
			assert.Equal(t, len(a.body) == size, !c.broken)
			d.checkAccount(t, a, c.records)
			_, last := d.accountRecords(a.id)
			assert.Equal(t, last.AnswerBytes, int64(len(a.body)))
		})
	}
}

// Guards against once-only work that is abandoned when its caller disconnects,
// and against a request without a closing record in the account.
func TestCallerGone(t *testing.T) {
	for _, c := range []struct {
		service shmodel.Service
		records string
	}{
		{testService, "opened attempted:unknown:answer-lost closed:unknown:answer-lost"},
		{testOnceOnly, "opened attempted:answered closed:answered"},
	} {
		t.Run(string(c.service), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			v := d.startVM(t, "vm-1", "south")
			v.startBackends(t, c.service, func(c *shbackend.Config) { c.ServiceTime = 300 * time.Millisecond }, "b1")
			ctx, cancel := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.heartbeat.CallerAddress+"/x", nil)
			assert.NilError(t, err)
			r.Header.Set(shwire.HeaderService, string(c.service))
			r.Header.Set(shwire.HeaderKey, "k")
			go func() {
				waitFor(t, "the run", func() bool { return d.runs() == 1 })
				cancel()
			}()
			_, err = v.caller.Do(r)
			assert.ErrorIs(t, err, context.Canceled)
			got := ""
			waitFor(t, "the closing record", func() bool {
				got, _ = d.accountRecords(1)
				return strings.Contains(got, "closed")
			})
			assert.Equal(t, got, c.records)
			if c.service == testOnceOnly {
				a := v.call(t, c.service, http.MethodPost, "/x", "", shwire.HeaderKey, "k")
				assert.Equal(t, a.header.Get(shwire.HeaderReplayed), "true")
				assert.Equal(t, d.runs(), 1)
			}
		})
	}
}
