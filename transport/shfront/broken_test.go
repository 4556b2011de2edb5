package shfront_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
