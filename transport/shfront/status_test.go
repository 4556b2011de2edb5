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
