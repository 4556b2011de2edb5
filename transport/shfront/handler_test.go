package shfront_test

import (
	"cmp"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shfront"
	"sequoiahollow/transport/shorigin"
)

// server is a stand-in for a backend server.
type server struct {
	*httptest.Server
	runs atomic.Int32
}

// behaviour is the way in which a stand-in answers a request.
type behaviour func(s *server, w http.ResponseWriter, r *http.Request)

func answer(s *server, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.runs.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "sealed")
	w.Header().Set("X-Own", r.Method+" "+r.RequestURI+" "+r.Host)
	w.Write(append([]byte("done "), body...))
}

func shed(_ *server, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misdirected(_ *server, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func fail(s *server, w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "sealed")
	w.WriteHeader(http.StatusInternalServerError)
}

func unsealed(s *server, w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
}

func reset(s *server, _ http.ResponseWriter, _ *http.Request) {
	s.runs.Add(1)
	panic(http.ErrAbortHandler)
}

func hang(s *server, _ http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	// The server notices that its client closed the connection only after the
	// body was read.
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// fixture is a Handler whose backend servers are stand-ins, one per behaviour.
type fixture struct {
	handler *shfront.Handler
	url     string
	// client has connections of its own, which the end of other tests doesn't close.
	client  *http.Client
	servers []*server
	reports chan shfront.CrashReport
	view    shfleet.View
	left    string // time left of each request in milliseconds, 400 if empty
}

func newFixture(t *testing.T, attempts int, behaviours ...behaviour) *fixture {
	t.Helper()
	b := &fixture{reports: make(chan shfront.CrashReport, 16)}
	routes := []shfleet.Route{}
	for _, kind := range []shmodel.OperationKind{shmodel.Idempotent, shmodel.OnceOnly} {
		routes = append(routes, shfleet.Route{
			Name: string(kind), Host: "shop", Prefix: "/" + string(kind) + "/", Kind: kind, Objective: 200, Timeout: 500,
			Attempts: attempts, Sticky: true, Parts: []shfleet.Part{{Service: "s", Weight: 1}},
		})
	}
	b.view = shfleet.View{
		Index: 1, Version: 1, Limits: shfleet.Limits{BodyBytes: 100}, Backends: map[shmodel.BackendServer]shfleet.Backend{},
		Table: shfleet.NewRouteIndex(shfleet.Table{Routes: routes, Services: []shfleet.Service{{Name: "s"}}}),
	}
	for i, behave := range behaviours {
		s := &server{}
		s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { behave(s, w, r) }))
		t.Cleanup(s.Close)
		b.servers = append(b.servers, s)
		id := shmodel.BackendServer("b" + strconv.Itoa(i))
		b.view.Backends[id] = shfleet.Backend{
			Instance: shfleet.Instance{ID: id, Born: 1}, Service: "s", Address: s.Listener.Addr().String(), Zone: "z", Slots: 3,
		}
	}
	b.handler = &shfront.Handler{
		Dialect: shfront.Dialect{
			RequestID: "Id", Timeout: "Left", Instance: "Instance", NotRun: "Not-Run", Signature: "Seal", Load: "Load", Identity: "Maker",
			Leaving:   func(h http.Header) bool { return h.Get("Leaving") == "1" },
			Key:       func(h http.Header) string { return h.Get("Key") },
			ParseLoad: func(string) *shbalance.Load { return nil },
		},
		Balancer: shbalance.New(shbalance.Place{VM: "e", Zone: "z", Region: "r", Regions: map[shmodel.FailureDomain]shmodel.Region{"z": "r"}}),
		Origin:   &shorigin.Client{},
		View:     func() *shfleet.View { return &b.view },
		Closing:  func() bool { return false }, Refusing: func() bool { return false },
		Report:  func(r shfront.CrashReport) { b.reports <- r },
		Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
	}
	b.handler.Balancer.Update(time.Now(), b.view)
	s := httptest.NewServer(b.handler)
	t.Cleanup(s.Close)
	b.url, b.client = s.URL, s.Client()
	return b
}

func (b *fixture) runs() int {
	n := 0
	for _, s := range b.servers {
		n += int(s.runs.Load())
	}
	return n
}

func (b *fixture) send(t *testing.T, method, path, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "shop"
	r.Header.Set("Id", "7")
	r.Header.Set("Left", cmp.Or(b.left, "400"))
	response, err := b.client.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

const (
	idempotent = "/idempotent/x?q=1"
	onceOnly   = "/once-only/x?q=1"
)

// Guards against a request that runs twice, a refusal of a request that has run,
// an answer that no backend server made, and a caller that gets no answer.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		behaviours []behaviour
		attempts   int
		// Statuses and runs of an idempotent and a once-only request.
		idempotent, once         int
		idempotentRuns, onceRuns int
	}{
		{"answered", []behaviour{answer}, 2, 200, 200, 1, 1},
		{"shed by all", []behaviour{shed, shed}, 2, 503, 503, 0, 0},
		{"replaced", []behaviour{misdirected}, 2, 503, 503, 0, 0},
		{"failure of the only one", []behaviour{fail}, 2, 500, 500, 1, 1},
		{"reset by the only one", []behaviour{reset}, 2, 502, 502, 1, 1},
		{"reset by all, one attempt", []behaviour{reset, reset}, 1, 502, 502, 1, 1},
		{"reset by all, two attempts", []behaviour{reset, reset, reset}, 2, 502, 502, 2, 1},
		{"no signature of a backend server", []behaviour{unsealed}, 2, 502, 502, 1, 1},
		{"silent", []behaviour{hang}, 2, 504, 504, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, c.attempts, c.behaviours...)
			assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, c.idempotent)
			assert.Equal(t, b.runs(), c.idempotentRuns)
			b = newFixture(t, c.attempts, c.behaviours...)
			response := b.send(t, "POST", onceOnly, "body")
			assert.Equal(t, response.StatusCode, c.once)
			assert.Equal(t, b.runs(), c.onceRuns)
			if c.once == http.StatusServiceUnavailable {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against a caller that gets a failure although another backend server is
// healthy.
func TestAnotherAttempt(t *testing.T) {
	for name, bad := range map[string]behaviour{"reset": reset, "fail": fail, "shed": shed, "replaced": misdirected, "unsealed": unsealed} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, bad, answer)
			// The earlier requests fill the retry budget, which starts empty, and one
			// of them reaches the faulty backend server. Only the last one is checked.
			time.Sleep(20 * time.Millisecond)
			for range 20 {
				b.send(t, "GET", idempotent, "")
			}
			assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusOK)
		})
	}
}

// Guards against changes to a request or its answer in forwarding.
func TestPassedOnUnchanged(t *testing.T) {
	b := newFixture(t, 1, answer)
	response := b.send(t, "PUT", "/once-only/a%2Fb//c?x=%20", "body")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done body")
	assert.Equal(t, response.Header.Get("X-Own"), "PUT /once-only/a%2Fb//c?x=%20 shop")
	assert.Equal(t, response.Header.Get("Id"), "7")
}

// Guards against wrong statuses of the answers that Handler makes itself.
func TestOwnAnswers(t *testing.T) {
	b := newFixture(t, 1, answer)
	assert.Equal(t, b.send(t, "GET", "/nowhere/", "").StatusCode, http.StatusNotFound)
	assert.Equal(t, b.send(t, "POST", onceOnly, strings.Repeat("x", 101)).StatusCode, http.StatusRequestEntityTooLarge)
	b.view.Table = nil
	response := b.send(t, "GET", "/nowhere/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, b.runs(), 0)
}

// Guards against a backend server that continues to work on a request whose
// caller has closed its connection.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	b := newFixture(t, 1, func(s *server, _ http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		<-r.Context().Done()
		close(left)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	io.WriteString(c, "GET "+idempotent+" HTTP/1.1\r\nHost: shop\r\nId: 1\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	c.Close()
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the backend server still works after half a second")
	}
}

// Guards against a request that crashes one backend server after another.
func TestCrashLimit(t *testing.T) {
	b := newFixture(t, 1, reset)
	assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusBadGateway)
	report := <-b.reports
	assert.Equal(t, *report.Instance, b.view.Backends["b0"].Instance)
	b.view.CrashCounts = map[shmodel.Digest]int{report.Digest: 3}
	assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, b.runs(), 1)
}

// Guards against a split of requests that does not follow the weights.
func TestSplit(t *testing.T) {
	b := newFixture(t, 1, answer, answer)
	second := b.view.Backends["b1"]
	second.Service = "t"
	b.view.Backends["b1"] = second
	b.view.Table = shfleet.NewRouteIndex(shfleet.Table{Routes: []shfleet.Route{{
		Name: "split", Host: "shop", Prefix: "/", Kind: shmodel.Idempotent, Objective: 200, Timeout: 500, Attempts: 1,
		Parts: []shfleet.Part{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}},
	}}})
	b.handler.Balancer.Update(time.Now(), b.view)
	for range 50 {
		assert.Equal(t, b.send(t, "GET", "/x", "").StatusCode, http.StatusOK)
	}
	assert.Equal(t, b.servers[0].runs.Load(), int32(45))
	assert.Equal(t, b.servers[1].runs.Load(), int32(5))
}
