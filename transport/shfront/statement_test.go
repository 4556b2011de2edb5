package shfront_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shexplain"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shfront"
)

// saying returns a behaviour that adds a header field to its answers.
func saying(name, value string, b behaviour) behaviour {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		b(s, w, r)
	}
}

// counting returns a behaviour that counts the requests that arrive.
func counting(arrived *arrivals, b behaviour) behaviour {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		arrived.mu.Lock()
		arrived.at = append(arrived.at, time.Now())
		arrived.mu.Unlock()
		b(s, w, r)
	}
}

type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// between counts the requests that arrived in a span of time.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// cutOff sends a part of an answer.
func cutOff(s *server, w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "sealed")
	w.Header().Set("Content-Length", "100")
	io.WriteString(w, "part")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against work for a backend server that has said that it leaves, in an
// answer of any kind.
func TestLeavingInAnyAnswer(t *testing.T) {
	for name, b := range map[string]behaviour{"answered": answer, "failed": fail, "shed": shed, "unsealed": unsealed, "cut off": cutOff} {
		t.Run(name, func(t *testing.T) {
			var arrived arrivals
			f := newFixture(t, 1, counting(&arrived, saying("Leaving", "1", b)))
			f.send(t, "GET", idempotent, "")
			for range 3 {
				response := f.send(t, "GET", idempotent, "")
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			}
			assert.Equal(t, len(arrived.at), 1)
		})
	}
	t.Run("download in progress", func(t *testing.T) {
		rest := make(chan struct{})
		f := newDownloadFixture(t, saying("Leaving", "1", func(s *server, w http.ResponseWriter, r *http.Request) {
			sendHead(s, w, r)
			<-rest
			io.WriteString(w, strings.Repeat("b", downloadBytes/2))
		}))
		response := f.send(t, "GET", "/x", "")
		assert.Equal(t, f.send(t, "GET", "/x", "").StatusCode, http.StatusServiceUnavailable)
		close(rest)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), downloadBytes, "a request that was sent is finished")
		assert.Equal(t, f.runs(), 1)
	})
}

// Guards against a statement that counts for another backend server: one that is
// gone from the address, its successor, or the one that another answer was for.
func TestStatementCountsForItsMaker(t *testing.T) {
	other := func(s *server, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Maker", "b1")
		misdirected(s, w, r)
	}
	wrongID := func(s *server, w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Id", "another request")
		answer(s, w, r)
	}
	cases := []struct {
		name  string
		first behaviour
		// free says whether b0 and b1, at one address, get a request afterwards.
		free [2]bool
	}{
		{"own answer", answer, [2]bool{false, true}},
		{"answer of the successor", other, [2]bool{true, false}},
		{"answer of an unknown one", misdirected, [2]bool{true, true}},
		{"answer to another request", wrongID, [2]bool{true, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := true
			f := newFixture(t, 1, func(s *server, w http.ResponseWriter, r *http.Request) {
				b := answer
				if first {
					first, b = false, saying("Leaving", "1", c.first)
				}
				b(s, w, r)
			})
			// The balancer does not know the successor yet.
			successor := f.view.Backends["b0"]
			successor.ID = "b1"
			f.view.Backends["b1"] = successor
			f.send(t, "GET", idempotent, "")
			// Beyond the suspension after an answer of another process.
			now := time.Now().Add(10 * time.Second)
			for i, id := range []shmodel.BackendServer{"b0", "b1"} {
				x := successor
				x.ID = id
				v := f.view
				v.Backends = map[shmodel.BackendServer]shfleet.Backend{id: x}
				f.handler.Balancer.Update(now, v)
				_, refusal := f.handler.Balancer.Pick(now, pickRequest(&f.view))
				assert.Equal(t, refusal == nil, c.free[i], "%s", id)
			}
		})
	}
}

// Guards against a backend server that gets the requests that were waiting, or new
// ones, in the time for which it wants none, and against callers that aren't told
// when to come back.
func TestAskedToWaitWithRequestsWaiting(t *testing.T) {
	const stated = 1500 * time.Millisecond
	var arrived arrivals
	var mu sync.Mutex
	var declinedAt time.Time
	f := newFixture(t, 1, counting(&arrived, func(s *server, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		first := declinedAt.IsZero()
		if first {
			declinedAt = time.Now()
		}
		waiting := time.Since(declinedAt) < stated
		mu.Unlock()
		if waiting {
			saying("Retry-After", strconv.FormatFloat(stated.Seconds(), 'f', 2, 64), shed)(s, w, r)
			return
		}
		answer(s, w, r)
	}))
	var log lockedBuffer
	f.handler.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	var callers sync.WaitGroup
	for range 200 {
		callers.Go(func() {
			response := f.send(t, "GET", idempotent, "")
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
			}
		})
	}
	callers.Wait()
	// Several of them may have been on their way. The last answer that was received
	// counts.
	until := log.lastUntil(t)
	assert.Assert(t, !until.Before(declinedAt.Add(stated)) && !until.After(time.Now().Add(stated)), "%v", until)
	response := f.send(t, "GET", idempotent, "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	left := time.Until(declinedAt.Add(stated)).Seconds()
	assert.Assert(t, after >= left-0.1, "Retry-After %v, %v of the stated time are left", after, left)
	for time.Now().Before(until) {
		f.send(t, "GET", idempotent, "")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, arrived.between(declinedAt.Add(stated/3), declinedAt.Add(stated)), 0)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.send(t, "GET", idempotent, "").StatusCode, http.StatusOK, "it ends by the clock alone")
}

// lockedBuffer is a log that several goroutines write.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// lastUntil returns the end of the time in the last logged statement.
func (b *lockedBuffer) lastUntil(t *testing.T) (until time.Time) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.Bytes()) {
		var l struct{ Until time.Time }
		assert.NilError(t, json.Unmarshal(line, &l))
		if l.Until.After(until) {
			until = l.Until
		}
	}
	return until
}

// Guards against requests that a process sends when it wakes up: they were given a
// backend server before, which wants none any more.
func TestStatementWhileConnecting(t *testing.T) {
	f := newFixture(t, 1, answer)
	choice, refusal := f.handler.Balancer.Pick(time.Now(), pickRequest(&f.view))
	assert.Assert(t, refusal == nil)
	now := time.Now()
	assert.Assert(t, f.handler.Balancer.MaySend(now, choice))
	f.handler.Balancer.ObserveWait(now, choice.Backend.Instance, time.Second)
	assert.Assert(t, !f.handler.Balancer.MaySend(now.Add(900*time.Millisecond), choice))
	assert.Assert(t, f.handler.Balancer.MaySend(now.Add(time.Second), choice))
}

// Guards against a refusal that can't be explained: the statement and the refusal
// must be in the logs and the metrics.
func TestStatementIsExplained(t *testing.T) {
	f := newFixture(t, 1, saying("Retry-After", "5", shed))
	var log bytes.Buffer
	f.handler.Logger = slog.New(slog.NewJSONHandler(&log, nil)).With("vm", "e")
	f.send(t, "GET", idempotent, "")
	response := f.send(t, "GET", idempotent, "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	timeline, err := shexplain.Read("7", &log)
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, timeline.Write(&text))
	for _, want := range []string{"backend server wants no requests", "statedMs=5000", "reason=backend servers asked to wait", "waiting=1"} {
		assert.Assert(t, strings.Contains(text.String(), want), "%q is missing in\n%s", want, text.String())
	}
	var metrics bytes.Buffer
	f.handler.Metrics.WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `sequoiahollow_backend_statements_total{statement="wait"} 1`))
}

func pickRequest(v *shfleet.View) shbalance.Request {
	return shbalance.Request{Route: v.Table.Route("shop", "/idempotent/x"), Service: "s", Left: time.Second}
}

// Guards against more retries than the deployment allows while all backend servers of
// a service decline.
func TestRetryBudgetHoldsWhenAllDecline(t *testing.T) {
	const callers = 60
	var arrived arrivals
	decline := counting(&arrived, saying("Retry-After", "5", shed))
	behaviours := make([]behaviour, 100)
	for i := range behaviours {
		behaviours[i] = decline
	}
	f := newFixture(t, 20, behaviours...)
	f.handler.Retries = shfront.RetryLimit{Share: 0.2, Slack: 20, Window: 10 * time.Second}
	// An attempt that the deadline ends has an unknown outcome, which is not a refusal.
	f.view.Table.Route("shop", "/idempotent/x").Timeout = 20_000
	f.left = "20000"
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() {
			if status := f.send(t, "GET", idempotent, "").StatusCode; status != http.StatusServiceUnavailable {
				t.Errorf("status %d", status)
			}
		})
	}
	sending.Wait()
	retries := len(arrived.at) - callers
	assert.Assert(t, retries <= 0.2*callers+20, "%d retries", retries)
}
