package shentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shbackend"
)

// Guards against a malformed or contradictory announcement that adds slots, and
// against a lease for an announcement that doesn't echo a nonce.
func TestAnnouncements(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	announcement := shwire.Announcement{
		BackendServer: "b1", Service: testService, Address: "127.0.0.1:1", Place: v.Place, Incarnation: 5, Slots: 4, Connections: 10,
	}
	post := func(body []byte) (answer, shwire.AnnouncementAnswer) {
		r, err := http.Post("http://"+v.heartbeat.ServerAddress+shwire.PathAnnouncements, "application/json", strings.NewReader(string(body)))
		assert.NilError(t, err)
		a := readAnswer(t, r)
		var x shwire.AnnouncementAnswer
		if a.status == http.StatusOK {
			assert.NilError(t, json.Unmarshal(a.body, &x))
		}
		return a, x
	}
	announce := func(change func(*shwire.Announcement)) (answer, shwire.AnnouncementAnswer) {
		a := announcement
		if change != nil {
			change(&a)
		}
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		return post(body)
	}
	total := func() int { return v.Slots.Services()[testService].Total }

	_, first := announce(nil)
	assert.Equal(t, total(), 0, "a lease without an echoed nonce")
	assert.Equal(t, first.LeaseMS, int64(1500))
	assert.DeepEqual(t, first.Owners, []string{v.heartbeat.ServerAddress})
	announcement.Nonce = first.Nonce
	_, second := announce(nil)
	assert.Equal(t, total(), 2)
	announcement.Nonce = second.Nonce
	for _, c := range []struct {
		name   string
		change func(*shwire.Announcement)
		status int
		reason string
		detail string
	}{
		{"other region", func(a *shwire.Announcement) { a.Place.Region = "north" }, 421, "other region", ""},
		{"no name", func(a *shwire.Announcement) { a.BackendServer = "" }, 409, "announcement rejected", "backend server and service must be named"},
		{"no service", func(a *shwire.Announcement) { a.Service = "" }, 409, "announcement rejected", "backend server and service must be named"},
		{"no failure domain", func(a *shwire.Announcement) { a.Place.FailureDomain = "" }, 409, "announcement rejected", "region and failure domain must be named"},
		{"host name", func(a *shwire.Announcement) { a.Address = "host:80" }, 409, "announcement rejected", "address must be IP:port"},
		{"no slots", func(a *shwire.Announcement) { a.Slots = 0 }, 409, "announcement rejected", "slots out of range"},
		{"negative connections", func(a *shwire.Announcement) { a.Connections = -1 }, 409, "announcement rejected", "connections out of range"},
		{"other address", func(a *shwire.Announcement) { a.Address = "127.0.0.1:2" }, 409, "announcement rejected", "other address in the same incarnation"},
		{"other service", func(a *shwire.Announcement) { a.Service = testOnceOnly }, 409, "announcement rejected", "other service in the same incarnation"},
		{"other place", func(a *shwire.Announcement) { a.Place.FailureDomain = "s2" }, 409, "announcement rejected", "other place in the same incarnation"},
		{"older incarnation", func(a *shwire.Announcement) { a.Incarnation = 4 }, 409, "announcement rejected", "older incarnation"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, _ := announce(c.change)
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.problem.Reason, c.reason)
			assert.Assert(t, strings.Contains(a.problem.Detail, c.detail), a.problem.Detail)
			assert.Equal(t, total(), 2)
		})
	}
	for _, body := range []string{"", "[]", `{"slots":"4"}`, `{"service":"` + strings.Repeat("x", maxAnnouncement) + `"}`} {
		a, _ := post([]byte(body))
		assert.Equal(t, a.status, http.StatusBadRequest)
		assert.Equal(t, a.problem.Reason, "malformed announcement")
	}
	t.Run("leaving", func(t *testing.T) {
		announce(func(a *shwire.Announcement) { a.Leaving = true })
		assert.Equal(t, total(), 0)
	})
	t.Run("restarted", func(t *testing.T) {
		_, x := announce(func(a *shwire.Announcement) { a.Incarnation, a.Nonce = 6, "" })
		assert.Equal(t, total(), 0, "the lease of another incarnation")
		announce(func(a *shwire.Announcement) { a.Incarnation, a.Nonce = 6, x.Nonce })
		assert.Equal(t, total(), 1, "a restarted backend server starts with one slot")
	})
	t.Run("owner stops", func(t *testing.T) {
		stopped := v.Slots.BeginStop([]string{"127.0.0.1:3"})
		_, x := announce(func(a *shwire.Announcement) { a.Incarnation = 6 })
		assert.Assert(t, x.Released)
		assert.DeepEqual(t, x.Owners, []string{"127.0.0.1:3"})
		assert.Equal(t, total(), 0)
		waitFor(t, "the handover", func() bool {
			select {
			case <-stopped:
				return true
			default:
				return false
			}
		})
	})
}

// exchange sends one HTTP request to a shbackend.Server.
func exchange(t *testing.T, s *shbackend.Server, method, uri string, headers ...string) (answer, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+uri, nil)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{}, err
	}
	return readAnswer(t, response), nil
}

// Guards against a shbackend.Server that answers not-run for an attempt that ran,
// or that runs an attempt that was cancelled, repeated, past its deadline or
// meant for another incarnation.
func TestStandIn(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	s := v.startBackends(t, testService, func(c *shbackend.Config) { c.Incarnation, c.ServiceTime = 7, 100*time.Millisecond }, "b1")[0]
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	cancel := func(n int, incarnation string) shwire.CancelStatus {
		a, err := exchange(t, s, http.MethodDelete, shwire.PathRequests+"/"+id(n)+"/1", shwire.HeaderIncarnation, incarnation)
		assert.NilError(t, err)
		assert.Equal(t, a.id, shmodel.RequestID(n))
		status, err := decodeCancel(a.body)
		assert.NilError(t, err)
		return status
	}
	assert.Equal(t, cancel(2, "7"), shwire.CancelNotRun)
	for _, c := range []struct {
		name    string
		header  []string
		status  int
		outcome string
	}{
		{"no request ID", []string{shwire.HeaderAttempt, "1"}, 400, ""},
		{"no attempt", []string{shwire.HeaderRequestID, id(1)}, 400, ""},
		{"after the deadline", []string{shwire.HeaderRequestID, id(1), shwire.HeaderAttempt, "1", shwire.HeaderDeadline, past}, 503, "not-run"},
		{"other incarnation", []string{shwire.HeaderRequestID, id(1), shwire.HeaderAttempt, "1", shwire.HeaderIncarnation, "6"}, 503, "not-run"},
		{"cancelled before", []string{shwire.HeaderRequestID, id(2), shwire.HeaderAttempt, "1"}, 503, "not-run"},
		{"next attempt", []string{shwire.HeaderRequestID, id(2), shwire.HeaderAttempt, "2", shwire.HeaderIncarnation, "7"}, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, err := exchange(t, s, http.MethodPost, "/x", c.header...)
			assert.NilError(t, err)
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.outcome(), c.outcome)
		})
	}
	t.Run("arrives again", func(t *testing.T) {
		runs := d.runs()
		a, err := exchange(t, s, http.MethodPost, "/x", shwire.HeaderRequestID, id(2), shwire.HeaderAttempt, "2")
		assert.Assert(t, err != nil || a.outcome() != "not-run", "not-run for an attempt that ran")
		assert.Equal(t, d.runs(), runs)
	})
	t.Run("request that looks like a cancellation", func(t *testing.T) {
		runs := d.runs()
		_, err := exchange(t, s, http.MethodDelete, shwire.PathRequests+"/"+id(4)+"/1", shwire.HeaderRequestID, id(5), shwire.HeaderAttempt, "1")
		assert.NilError(t, err)
		assert.Equal(t, d.runs(), runs+1)
	})
	t.Run("cancelled while it runs", func(t *testing.T) {
		runs := d.runs()
		done := make(chan answer)
		go func() {
			a, _ := exchange(t, s, http.MethodPost, "/x", shwire.HeaderRequestID, id(3), shwire.HeaderAttempt, "1")
			done <- a
		}()
		waitFor(t, "the run", func() bool { return d.runs() == runs+1 })
		assert.Equal(t, cancel(3, "7"), shwire.CancelRunning)
		assert.Equal(t, (<-done).status, http.StatusOK)
		assert.Equal(t, cancel(3, "7"), shwire.CancelDone)
		assert.Equal(t, cancel(3, "8"), shwire.CancelUnknown)
	})
	t.Run("the entry VM takes a restart as done", func(t *testing.T) {
		for incarnation, want := range map[uint64]shrequest.Result{7: shrequest.CancelNotRun{}, 8: shrequest.CancelDone{}} {
			q := shrequest.CancelAtBackend{Address: s.Address(), Incarnation: incarnation, RequestID: 9, Attempt: 1}
			assert.Equal(t, v.cancelAttempt(q), want)
		}
	})
}

// Guards against traffic on a link without a valid grant, or above its rate.
func TestLinks(t *testing.T) {
	grant := shcontrol.GrantResult{ID: 1, BitsPerSecond: 8_000_000, Duration: 300 * time.Millisecond}
	permitted := true
	l := &Links{VM: "vm-1", Region: "south", Permitted: func() bool { return permitted }, Log: discardLog}
	l.Propose = func(context.Context, shcontrol.RequestGrant) (shcontrol.GrantResult, error) { return grant, nil }
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	assert.Assert(t, !l.TryTake("north", 1000), "without a grant")
	assert.ErrorIs(t, l.Pace(short(), "north", 1000), errNoGrant)
	l.Propose = func(context.Context, shcontrol.RequestGrant) (shcontrol.GrantResult, error) {
		return shcontrol.GrantResult{}, errors.New("no leader")
	}
	l.requestGrants(t.Context(), time.Now())
	waitFor(t, "a failed request", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return !l.requesting["north"] })
	assert.Assert(t, !l.CanSend("north", 1), "after a failed request")
	l.Propose = func(context.Context, shcontrol.RequestGrant) (shcontrol.GrantResult, error) { return grant, nil }
	waitFor(t, "a grant", func() bool { l.requestGrants(t.Context(), time.Now()); return l.BitsPerSecond()["north"] > 0 })
	start := time.Now()
	const sent = 8000
	assert.NilError(t, l.Pace(t.Context(), "north", sent))
	maxBytes := int64(grant.BitsPerSecond) / 8 * int64(time.Since(start)+time.Second) / int64(time.Second)
	assert.Assert(t, wireBytes(sent) <= maxBytes)
	permitted = false
	assert.ErrorIs(t, l.Pace(t.Context(), "north", 1), errNoGrant)
	permitted = true
	waitFor(t, "the end of the grant", func() bool { return l.BitsPerSecond()["north"] == 0 })
	assert.Assert(t, !l.CanSend("north", 1), "after the grant")
}

// Guards against a credit that is used twice, or after it expired at the owner.
func TestCredits(t *testing.T) {
	lent := shwire.CreditResponse{ID: 4, Count: 2, Duration: time.Hour}
	var failure error
	asked := 0
	c := &Credits{VM: "vm-1", Ask: func(context.Context, string, shwire.CreditRequest) (shwire.CreditResponse, error) {
		asked++
		return lent, failure
	}}
	request := func(vm shmodel.VM) {
		<-c.Request(t.Context(), testService, shdirectory.Heartbeat{VM: vm})
	}
	use := func(vm shmodel.VM, id uint64) bool { return c.Use(testService, vm, id) }
	assert.Assert(t, !use("used", 0), "without a credit")
	request("used")
	request("used")
	assert.Equal(t, asked, 1, "asked although credits are left")
	assert.Assert(t, !use("used", 5), "another credit")
	for range lent.Count {
		assert.Assert(t, use("used", 4))
	}
	assert.Assert(t, !use("used", 4), "used up")
	request("used")
	assert.Equal(t, asked, 1, "asked again at once")
	lent.Duration = 20 * time.Millisecond
	request("expires")
	waitFor(t, "the end of the credit", func() bool { _, left := c.Valid(testService, "expires"); return left == 0 })
	assert.Assert(t, !use("expires", 4), "after its end")
	failure = errors.New("no answer")
	request("fails")
	assert.Assert(t, !use("fails", 4), "after a failed request")
}

// Guards against a forwarded request whose outcome, backend server or part of the
// answer gets lost between the owner and the receiver.
func TestForward(t *testing.T) {
	const answered = "opened attempted:answered closed:answered"
	for _, c := range []struct {
		name    string
		service shmodel.Service
		uri     string
		fault   string
		outcome string
		broken  bool
		records string
	}{
		{"idempotent", testService, "/x?q=1", "", "answered", false, answered},
		{"once-only", testOnceOnly, "/x", "", "answered", false, answered},
		{"long", testService, "/x?bytes=300000", "", "answered", false, answered},
		{"long once-only", testOnceOnly, "/x?bytes=300000", "", "answered", false, answered},
		{"long and broken", testService, "/x?bytes=300000", "break", "answered", true, "opened attempted:unknown:answer-lost closed:unknown:answer-lost"},
		{
			"shed", testService, "/x", "shed", "not-run", false,
			"opened attempted:not-run:shed attempted:not-run:shed closed:not-run:retry-budget",
		},
		{"lost answer", testOnceOnly, "/x", "wrong-id", "unknown", false, "opened attempted:unknown:answer-lost closed:unknown:answer-lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			receiver, owner := d.startVM(t, "vm-1", "south"), d.startVM(t, "vm-2", "south")
			second := d.startVM(t, "vm-3", "south")
			owner.startBackends(t, c.service, nil, "b1")
			second.startBackends(t, c.service, nil, "b2")
			for _, o := range []*testVM{owner, second} {
				receiver.Slots.Observe(o.heartbeat, shwire.SlotReport{VM: o.VM, Services: o.Slots.Services()})
			}
			a := receiver.call(t, c.service, http.MethodPost, c.uri, "body", shwire.HeaderKey, "k", shbackend.HeaderFault, c.fault)
			assert.Equal(t, a.outcome(), c.outcome, string(a.body))
			assert.Equal(t, a.broken, c.broken)
			d.checkAccount(t, a, c.records)
			if _, last := d.accountRecords(a.id); c.outcome == "answered" && !c.broken {
				assert.Assert(t, last.BackendServer != "", "backend server in the account")
			}
		})
	}
}

// Guards against a shift to another region without a credit, a grant for the link
// or a record of the handover.
func TestShift(t *testing.T) {
	for _, service := range []shmodel.Service{testService, testOnceOnly} {
		t.Run(string(service), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			receiver, owner := d.startVM(t, "vm-1", "south"), d.startVM(t, "vm-2", "north")
			owner.startBackends(t, service, nil, "b1", "b2", "b3")
			a := receiver.call(t, service, http.MethodPost, "/x", "", shwire.HeaderKey, "k")
			assert.Equal(t, a.problem.Reason, "no-capacity", "no grant was asked for yet")
			d.checkAccount(t, a, "refused:not-run:no-capacity")
			waitFor(t, "a grant", func() bool { return receiver.Links.BitsPerSecond()["north"] > 0 })
			waitFor(t, "a shift", func() bool {
				a = receiver.call(t, service, http.MethodPost, "/x?bytes=100000", "", shwire.HeaderKey, "k")
				return a.status == http.StatusOK
			})
			assert.Equal(t, len(a.body), 100_000)
			d.checkAccount(t, a, "opened attempted:answered handed-over closed:answered")
			assert.Equal(t, d.runs(), 1)
			assert.Assert(t, owner.Links.BitsPerSecond()["south"] > 0, "answer without a grant")
		})
	}
}

// Guards against a forwarded request that runs without a valid header or after
// its deadline, and against an answer that is matched to the wrong request.
func TestForwardRefused(t *testing.T) {
	d := newDeployment(t)
	v := d.startVM(t, "vm-1", "south")
	v.startBackends(t, testService, nil, "b1")
	q := forwardRequest{Request: shrequest.Request{ID: 7, Service: testService, Method: "GET"}, Attempt: 1, From: "south", URI: "/x", LeftMS: 1000}
	for _, c := range []struct {
		name   string
		change func(*forwardRequest)
		status int
	}{
		{"good", func(*forwardRequest) {}, 200},
		{"no request ID", func(f *forwardRequest) { f.Request.ID = 0 }, 400},
		{"no attempt", func(f *forwardRequest) { f.Attempt = 0 }, 400},
		{"deadline passed", func(f *forwardRequest) { f.LeftMS = 0 }, 400},
		{"no header", nil, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, "http://"+v.heartbeat.ServerAddress+shwire.PathForward, nil)
			assert.NilError(t, err)
			if c.change != nil {
				f := q
				c.change(&f)
				text, err := encodeHeader(f)
				assert.NilError(t, err)
				r.Header.Set(headerForward, text)
			}
			response, err := http.DefaultTransport.RoundTrip(r)
			assert.NilError(t, err)
			a := readAnswer(t, response)
			assert.Equal(t, a.status, c.status, string(a.body))
			if c.status != http.StatusOK {
				assert.Equal(t, a.problem.Reason, "malformed forward")
			}
		})
	}
	assert.Equal(t, d.runs(), 1)
	t.Run("answer to another request", func(t *testing.T) {
		d := newDeployment(t)
		v := d.startVM(t, "vm-1", "south")
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(shwire.HeaderRequestID, shmodel.RequestID(99).String())
		}))
		defer peer.Close()
		h := shdirectory.Heartbeat{VM: "vm-2", Place: v.Place, ServerAddress: strings.TrimPrefix(peer.URL, "http://")}
		v.Slots.Observe(h, shwire.SlotReport{VM: "vm-2", Services: map[shmodel.Service]shdirectory.Slots{testService: {Free: 2, Total: 2}}})
		a := v.call(t, testService, http.MethodGet, "/x", "", shwire.HeaderTimeout, "300")
		assert.Equal(t, a.outcome(), "unknown")
		got, _ := d.accountRecords(a.id)
		waitFor(t, "the records", func() bool { got, _ = d.accountRecords(a.id); return strings.Contains(got, "closed:unknown") })
		assert.Assert(t, strings.HasPrefix(got, "opened attempted:unknown:answer-lost"), got)
	})
}
