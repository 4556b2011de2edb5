package shfront_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shmalformed"
)

// resetMidway answers with a part of a body without a length and resets the connection
// while the request is still being written.
func resetMidway(s *server, w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	c, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: sealed\r\n\r\na part", r.Header.Get("Id"))
	buffer.Flush()
	time.Sleep(2 * time.Millisecond)
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// Guards against a caller that gets a part of an answer as the whole because the backend
// server reset the connection while the upload was still being written.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 20
	for name, size := range map[string]int{"held": 900 << 10, "passed on": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			b, _ := newUploads(t, 1<<30, resetMidway)
			b.left = "5000"
			body := strings.Repeat("x", size)
			for n := range rounds {
				request, err := http.NewRequest("POST", b.url+onceOnly, io.LimitReader(strings.NewReader(body), int64(size)))
				assert.NilError(t, err)
				request.Host, request.ContentLength = "shop", int64(size)
				request.Header.Set("Id", fmt.Sprint(n))
				request.Header.Set("Left", b.left)
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					response.Body.Close()
					assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				}
				<-b.reports // of the broken connection
			}
			assert.Equal(t, b.runs(), rounds)
		})
	}
}

// Guards against a caller that gets bytes which HTTP does not allow as an answer, and
// against a once-only request that runs again because of them.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range shmalformed.All("Id: 7\r\nSeal: sealed\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			malformed := func(s *server, w http.ResponseWriter, _ *http.Request) {
				s.runs.Add(1)
				shmalformed.Write(t, w, text)
			}
			b := newFixture(t, 2, malformed, malformed)
			b.left = "10000"
			b.view.Table.Route("shop", onceOnly).Timeout = 10000
			response := b.send(t, "POST", onceOnly, "")
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, response.Header.Get("Seal"), "")
			assert.Equal(t, b.runs(), 1)
		})
	}
}

// Guards against a caller that gets a failure because of malformed bytes although another
// backend server answers.
func TestAnotherAttemptAfterMalformedAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: sealed\r\n"
	for _, line := range []string{"X Y: v", "Content-Length : 2", "X\x00: v", "Transfer-Encoding : chunked"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			var first atomic.Bool
			behave := func(s *server, w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(true, false) {
					shmalformed.Write(t, w, head+line+"\r\n\r\nok")
					return
				}
				answer(s, w, r)
			}
			b := newFixture(t, 2, behave, behave)
			for range 20 { // fills the retry budget, which starts empty
				b.send(t, "GET", idempotent, "")
			}
			first.Store(true)
			assert.Equal(t, b.send(t, "GET", idempotent, "").StatusCode, http.StatusOK)
			assert.Equal(t, b.runs(), 21)
		})
	}
}
