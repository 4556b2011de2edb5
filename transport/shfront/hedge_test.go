package shfront_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shfront"
)

// writtenRecords is an Account that keeps the records.
type writtenRecords struct {
	mu      sync.Mutex
	records []shrecord.Record
}

func (w *writtenRecords) Next() (id shmodel.RequestID) { return id }

func (w *writtenRecords) Write(records []shrecord.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = records
}

// hedgeFixture is a fixture whose Handler knows the usual response times. A backend
// server that is sent a request after slow was set runs first, or second if it is not
// the first to get one.
type hedgeFixture struct {
	*fixture
	account  *writtenRecords
	slow     atomic.Bool
	got      atomic.Int32
	canceled chan string // "first" or "second"
	lefts    chan int    // time left, in milliseconds, as the first and the second were told
}

func newHedgeFixture(t *testing.T, first, second behaviour) *hedgeFixture {
	f := &hedgeFixture{account: &writtenRecords{}, canceled: make(chan string, 2), lefts: make(chan int, 4)}
	either := func(s *server, w http.ResponseWriter, r *http.Request) {
		if !f.slow.Load() {
			time.Sleep(5 * time.Millisecond)
			answer(s, w, r)
			return
		}
		name, behave := "first", first
		if f.got.Add(1) > 1 {
			name, behave = "second", second
		}
		left, _ := strconv.Atoi(r.Header.Get("Left"))
		f.lefts <- left
		behave(s, w, r)
		if r.Context().Err() != nil {
			f.canceled <- name
		}
	}
	f.fixture = newFixture(t, 2, either, either, either)
	for i, zone := range []shmodel.FailureDomain{"z", "y", "x"} {
		id := shmodel.BackendServer("b" + string(rune('0'+i)))
		b := f.view.Backends[id]
		b.Zone = zone
		f.view.Backends[id] = b
	}
	routes := []shfleet.Route{}
	for _, kind := range []shmodel.OperationKind{shmodel.Idempotent, shmodel.OnceOnly} {
		routes = append(routes, shfleet.Route{
			Name: string(kind), Host: "shop", Prefix: "/" + string(kind) + "/", Kind: kind, Objective: 400, Timeout: 2000,
			Attempts: 2, Parts: []shfleet.Part{{Service: "s", Weight: 1}},
		})
	}
	f.view.Table = shfleet.NewRouteIndex(shfleet.Table{Routes: routes, Services: []shfleet.Service{{Name: "s"}}})
	f.handler.Balancer.HedgeShare = 0.2
	f.handler.Balancer.Update(time.Now(), f.view)
	f.handler.Account = f.account
	for range 30 {
		assert.Equal(t, f.ask(context.Background(), "/idempotent/x").status, http.StatusOK)
		assert.Equal(t, f.ask(context.Background(), "/once-only/x").status, http.StatusOK)
	}
	f.slow.Store(true)
	return f
}

type reply struct {
	status int
	body   string
	took   time.Duration
}

func (f *hedgeFixture) ask(ctx context.Context, path string) reply {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader("body"))
	if err != nil {
		return reply{}
	}
	r.Host = "shop"
	r.Header.Set("Id", "7")
	r.Header.Set("Left", "1500")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(body), time.Since(began)}
}

func (f *hedgeFixture) waitCanceled(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-f.canceled:
		assert.Equal(t, got, want)
	case <-time.After(400 * time.Millisecond):
		t.Fatalf("the %s backend server still works after 0.4 s", want)
	}
}

func (f *hedgeFixture) metrics() string {
	var b strings.Builder
	f.handler.Metrics.WritePrometheus(&b)
	return b.String()
}

// after returns a behaviour that waits before it answers, unless it is canceled.
func after(d time.Duration, then behaviour) behaviour {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		select {
		case <-time.After(d):
			then(s, w, r)
		case <-r.Context().Done():
		}
	}
}

// Guards against an answer that isn't whole or comes late although another backend server
// answers, a loser that goes on with its work, and attempts without a record.
func TestHedge(t *testing.T) {
	cases := []struct {
		name          string
		first, second behaviour
		status        int
		canceled      string
		result        string
	}{
		{"second wins", hang, answer, 200, "first", "won"},
		{"first wins", after(200*time.Millisecond, answer), hang, 200, "second", "lost"},
		{"second fails, first answers", after(250*time.Millisecond, answer), fail, 200, "", "lost"},
		{"second is not signed, first answers", after(250*time.Millisecond, answer), unsealed, 200, "", "lost"},
		{"second sheds, first answers", after(250*time.Millisecond, answer), shed, 200, "", "lost"},
		{"first breaks, second answers", after(150*time.Millisecond, reset), after(200*time.Millisecond, answer), 200, "", "won"},
		{"both fail", after(200*time.Millisecond, fail), fail, 500, "", "failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newHedgeFixture(t, c.first, c.second)
			r := f.ask(context.Background(), "/idempotent/x")
			assert.Equal(t, r.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, r.body, "done body")
			}
			assert.Assert(t, r.took < 600*time.Millisecond, "%v", r.took)
			if c.canceled != "" {
				f.waitCanceled(t, c.canceled)
			}
			assert.Equal(t, f.got.Load(), int32(2))
			first, second := <-f.lefts, <-f.lefts
			assert.Assert(t, second > 0 && second < first, "%d ms left at the first send, %d at the second", first, second)
			assert.Assert(t, strings.Contains(f.metrics(), `sequoiahollow_hedges_total{result="`+c.result+`"} 1`), f.metrics())
			f.checkRecords(t, 2)
		})
	}
}

func (f *hedgeFixture) checkRecords(t *testing.T, attempts int) {
	t.Helper()
	f.account.mu.Lock()
	defer f.account.mu.Unlock()
	servers := map[shmodel.BackendServer]bool{}
	for _, r := range f.account.records {
		if r.Kind == shrecord.Attempted {
			servers[r.BackendServer] = true
		}
	}
	assert.Equal(t, len(servers), attempts, "%+v", f.account.records)
}

// Guards against a canceled send that counts as a crash.
func TestHedgeLoserIsNoCrash(t *testing.T) {
	f := newHedgeFixture(t, hang, answer)
	assert.Equal(t, f.ask(context.Background(), "/idempotent/x").status, http.StatusOK)
	assert.Equal(t, len(f.reports), 0)
}

// Guards against backend servers that work on for a caller that has left.
func TestCallerLeavesHedge(t *testing.T) {
	f := newHedgeFixture(t, hang, hang)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.Equal(t, f.ask(ctx, "/idempotent/x").status, 0)
	for range 2 {
		select {
		case <-f.canceled:
		case <-time.After(400 * time.Millisecond):
			t.Fatal("a backend server still works 0.4 s after the caller left")
		}
	}
}

// Guards against a second send where none may be made.
func TestNoHedge(t *testing.T) {
	late := after(200*time.Millisecond, answer)
	for name, prepare := range map[string]func(f *hedgeFixture) string{
		"once-only": func(*hedgeFixture) string { return "/once-only/x" },
		"switched off": func(f *hedgeFixture) string {
			f.handler.Balancer.HedgeShare = 0
			return "/idempotent/x"
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgeFixture(t, late, answer)
			assert.Equal(t, f.ask(context.Background(), prepare(f)).status, http.StatusOK)
			assert.Equal(t, f.got.Load(), int32(1))
			f.checkRecords(t, 1)
		})
	}
}

// Guards against second sends beyond the retries that all entry VMs together may make.
func TestHedgeTakesFromRetryBudget(t *testing.T) {
	late := after(200*time.Millisecond, answer)
	f := newHedgeFixture(t, late, late)
	f.handler.Retries = shfront.RetryLimit{Slack: 0.001, Window: time.Second} // one attempt in stock
	for range 2 {
		assert.Equal(t, f.ask(context.Background(), "/idempotent/x").status, http.StatusOK)
	}
	assert.Equal(t, f.got.Load(), int32(3))
	assert.Assert(t, strings.Contains(f.metrics(), `sequoiahollow_hedges_refused_total{cause="budget"} 1`), f.metrics())
}
