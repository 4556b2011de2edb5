package shfront_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shfront"
)

// lastRecords is an Account that keeps the records of the last request.
type lastRecords []shrecord.Record

func (*lastRecords) Next() (id shmodel.RequestID) { return id }

func (l *lastRecords) Write(records []shrecord.Record) { *l = records }

// hedgeFixture is a fixture whose Handler knows the usual response times. After that,
// the first request that reaches a backend server gets one behaviour and the others
// another one.
type hedgeFixture struct {
	*fixture
	records  lastRecords
	got      atomic.Int32
	canceled chan string // "first" or "second"
	lefts    chan int    // the time left, in milliseconds, as each of them was told
}

func newHedgeFixture(t *testing.T, share float64, first, second behaviour) *hedgeFixture {
	f := &hedgeFixture{canceled: make(chan string, 4), lefts: make(chan int, 4)}
	var learned atomic.Bool
	either := func(s *server, w http.ResponseWriter, r *http.Request) {
		if !learned.Load() {
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
	f.handler.Balancer.HedgeShare, f.handler.Account = share, &f.records
	for _, path := range []string{idempotent, onceOnly} {
		// The times leave room for a busy machine.
		r := f.view.Table.Route("shop", path)
		r.Sticky, r.Objective, r.Timeout, f.left = false, 2000, 5000, "4000"
		for range 30 {
			assert.Equal(t, f.send(t, "POST", path, "body").StatusCode, http.StatusOK)
		}
	}
	// Second sends so far are not of interest.
	f.handler.Metrics = metrics.NewSet()
	learned.Store(true)
	return f
}

// waitCanceled waits until a backend server, the wanted one unless that is "", sees that
// its request was canceled.
func (f *hedgeFixture) waitCanceled(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-f.canceled:
		assert.Assert(t, want == "" || got == want, got)
	case <-time.After(400 * time.Millisecond):
		t.Fatalf("the backend server still works after 0.4 s %s", want)
	}
}

func (f *hedgeFixture) checkMetric(t *testing.T, line string) {
	t.Helper()
	var b strings.Builder
	f.handler.Metrics.WritePrometheus(&b)
	assert.Assert(t, strings.Contains(b.String(), line), b.String())
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

var late = after(400*time.Millisecond, answer)

// Guards against an answer that isn't whole or comes late although another backend server
// answers, a loser that goes on with its work or counts as crashed, and attempts without
// a record.
func TestHedge(t *testing.T) {
	for _, c := range []struct {
		name             string
		first, second    behaviour
		status           int
		canceled, result string
	}{
		{"second wins", hang, answer, 200, "first", "won"},
		{"first wins", late, hang, 200, "second", "lost"},
		{"second fails, first answers", late, fail, 200, "", "lost"},
		{"second is not signed, first answers", late, unsealed, 200, "", "lost"},
		{"second sheds, first answers", late, shed, 200, "", "lost"},
		{"first breaks, second answers", after(300*time.Millisecond, reset), late, 200, "", "won"},
		{"both fail", after(300*time.Millisecond, fail), fail, 500, "", "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHedgeFixture(t, 0.2, c.first, c.second)
			response := f.send(t, "POST", idempotent, "body")
			assert.Equal(t, response.StatusCode, c.status)
			if body, err := io.ReadAll(response.Body); c.status == http.StatusOK {
				assert.NilError(t, err)
				assert.Equal(t, string(body), "done body")
			}
			if c.canceled != "" {
				f.waitCanceled(t, c.canceled)
				assert.Equal(t, len(f.reports), 0, "a canceled send counts as a crash")
			}
			assert.Equal(t, f.got.Load(), int32(2))
			first, second := <-f.lefts, <-f.lefts
			assert.Assert(t, second > 0 && second < first, "%d ms left at the first send, %d at the second", first, second)
			f.checkMetric(t, `sequoiahollow_hedges_total{result="`+c.result+`"} 1`)
			assert.Equal(t, len(f.records), 4, "%+v", f.records)
			assert.Assert(t, f.records[1].BackendServer != f.records[2].BackendServer)
		})
	}
}

// Guards against backend servers that work on for a caller that has left.
func TestCallerLeavesHedge(t *testing.T) {
	f := newHedgeFixture(t, 0.2, hang, hang)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	io.WriteString(c, "GET "+idempotent+" HTTP/1.1\r\nHost: shop\r\nId: 1\r\n\r\n")
	time.Sleep(300 * time.Millisecond)
	c.Close()
	f.waitCanceled(t, "")
	f.waitCanceled(t, "")
}

// Guards against a second send where none may be made.
func TestNoHedge(t *testing.T) {
	for path, share := range map[string]float64{onceOnly: 0.2, idempotent: 0} {
		t.Run(path, func(t *testing.T) {
			f := newHedgeFixture(t, share, late, answer)
			assert.Equal(t, f.send(t, "POST", path, "body").StatusCode, http.StatusOK)
			assert.Equal(t, f.got.Load(), int32(1))
		})
	}
}

// Guards against second sends beyond the retries that all entry VMs together may make.
func TestHedgeTakesFromRetryBudget(t *testing.T) {
	f := newHedgeFixture(t, 0.2, late, late)
	f.handler.Retries = shfront.RetryLimit{Slack: 0.001, Window: time.Second} // one attempt in stock
	for range 2 {
		assert.Equal(t, f.send(t, "POST", idempotent, "body").StatusCode, http.StatusOK)
	}
	assert.Equal(t, f.got.Load(), int32(3))
	f.checkMetric(t, `sequoiahollow_hedges_refused_total{cause="budget"} 1`)
}
