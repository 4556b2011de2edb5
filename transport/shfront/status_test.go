package shfront_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// raw answers with a status that net/http doesn't write, and all else as answer does.
func raw(status int) behaviour {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		c, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(buffer, "HTTP/1.1 %03d x\r\nId: %s\r\nSeal: sealed\r\nContent-Length: 4\r\n\r\ndone", status, r.Header.Get("Id"))
		buffer.Flush()
		io.Copy(io.Discard, c) // until the peer closes
	}
}

// Guards against a client that gets a status that is none as an answer, against a
// once-only request that runs again because of it, and against an idempotent one that
// fails although another backend server answers.
func TestStatuses(t *testing.T) {
	for _, status := range []int{0, 42, 101, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			b := newFixture(t, 2, raw(status), raw(status))
			assert.Equal(t, b.send(t, "POST", onceOnly, "body").StatusCode, http.StatusBadGateway)
			assert.Equal(t, b.runs(), 1)
			assert.Equal(t, len(b.reports), 0, "counted as a crash")

			var first atomic.Bool
			behave := func(s *server, w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(true, false) {
					raw(status)(s, w, r)
					return
				}
				answer(s, w, r)
			}
			b = newFixture(t, 2, behave, behave)
			for range 20 { // fills the retry budget, which starts empty
				b.send(t, "GET", idempotent, "")
			}
			first.Store(true)
			assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusOK)
			assert.Equal(t, b.runs(), 22)
		})
	}
}

// Guards against a caller that is told that its request has not run by a backend server
// that has run it, and so sends a once-only request again.
func TestStatusesThatPromiseNotRun(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		for _, after := range []string{"", "0.1"} {
			t.Run(fmt.Sprintf("%d after %q", status, after), func(t *testing.T) {
				ran := func(s *server, w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					s.runs.Add(1)
					w.Header().Set("Id", r.Header.Get("Id"))
					w.Header().Set("Seal", "sealed")
					if after != "" {
						w.Header().Set("Retry-After", after)
					}
					w.WriteHeader(status)
				}
				assertOutcomeUnknown := func(method, path string, attempts, runs int) {
					t.Helper()
					b := newFixture(t, attempts, ran, ran)
					response := b.send(t, method, path, "")
					assert.Equal(t, response.StatusCode, http.StatusBadGateway)
					assert.Equal(t, response.Header.Get("Seal"), "")
					assert.Equal(t, response.Header.Get("Retry-After"), "")
					assert.Equal(t, b.runs(), runs)
				}
				assertOutcomeUnknown("POST", onceOnly, 2, 1)
				assertOutcomeUnknown("GET", idempotent, 1, 1)

				b := newFixture(t, 2, ran, answer)
				for range 20 { // fills the retry budget, which starts empty
					b.send(t, "GET", idempotent, "")
				}
				assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusOK)
			})
		}
	}
}

// Guards against a request that is not sent to another backend server although the first
// one states that it has not run.
func TestStatedNotRun(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var declined atomic.Bool
			behave := func(s *server, w http.ResponseWriter, r *http.Request) {
				if !declined.CompareAndSwap(false, true) {
					answer(s, w, r)
					return
				}
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Seal", "sealed")
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(status)
			}
			b := newFixture(t, 2, behave, behave)
			declined.Store(true)
			for range 20 { // fills the retry budget, which starts empty
				b.send(t, "GET", idempotent, "")
			}
			declined.Store(false)
			assert.Equal(t, b.send(t, "POST", onceOnly, "body").StatusCode, http.StatusOK)
			assert.Equal(t, b.runs(), 21)
		})
	}
}
