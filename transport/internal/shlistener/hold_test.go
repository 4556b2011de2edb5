package shlistener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/transport/internal/shlistener"
)

// serveHeld serves with a Budget and a handler that holds bodies whole.
func serveHeld(t *testing.T, b *shmemory.Budget) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shlistener.HoldBody(r, 2)
		_, err := io.ReadAll(r.Body)
		if shlistener.IsShort(err) {
			shlistener.Refuse(w, r)
		}
	})}
	l := &shlistener.Listener{Listener: inner, Budget: b, Refusal: http.Header{"Outcome": {"not-run"}}}
	l.Attach(s)
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return inner.Addr().String()
}

// exchange sends bytes on a new connection, which stays open, and returns the answer.
func exchange(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	go io.WriteString(c, text)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return r
}

func assertRefused(t *testing.T, r *http.Response) {
	t.Helper()
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, r.Header.Get("Retry-After") != "" && r.Close)
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// Guards against clients without room that get no refusal, against requests that are
// refused for what earlier ones have held, and against a connection that is closed
// while its request is served.
func TestRefusals(t *testing.T) {
	t.Run("body", func(t *testing.T) {
		b := &shmemory.Budget{Limit: 2 << 20}
		address := serveHeld(t, b)
		assertRefused(t, exchange(t, address, post(1<<20)))
		for range 30 {
			assert.Equal(t, exchange(t, address, post(50<<10)).StatusCode, http.StatusOK)
		}
	})
	t.Run("head", func(t *testing.T) {
		address := serveHeld(t, &shmemory.Budget{Limit: 64 << 10})
		r := exchange(t, address, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 40<<10))
		assertRefused(t, r)
		assert.Equal(t, r.Header.Get("Outcome"), "not-run")
	})
	t.Run("connection", func(t *testing.T) {
		address := serveHeld(t, &shmemory.Budget{MaxConnections: 1})
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		assertRefused(t, exchange(t, address, post(1)))
	})
	t.Run("idle connection", func(t *testing.T) {
		b := &shmemory.Budget{MaxConnections: 8}
		address := serveHeld(t, b)
		for range 30 {
			// The connections stay open. A connection ends a moment after it was given
			// up, so a newcomer may be refused meanwhile.
			if r := exchange(t, address, post(1)); r.StatusCode != http.StatusOK {
				assertRefused(t, r)
			}
		}
		assert.Assert(t, b.Stats().Counts[shmemory.ClosedIdle] > 0)
		assert.Assert(t, b.Stats().Connections <= 9)
	})
}

// Guards against what is held for good for a client that takes nothing of its answer.
func TestUnreadAnswer(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &shmemory.Budget{Limit: 1 << 20}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20))
	})}
	l := &shlistener.Listener{Listener: inner, Budget: b}
	l.Attach(s)
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	c := dialSmallWindow(t, inner.Addr().String())
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := b.Stats(); s.Counts[shmemory.ClosedUnread] > 0 && s.Connections == 0 {
			return poll.Success()
		}
		return poll.Continue("%+v", b.Stats())
	}, poll.WithTimeout(time.Minute))
}
