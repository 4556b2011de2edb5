package shpipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// server is an http.Server behind a Listener, with a handler whose answers wait until
// they are released by path.
type server struct {
	t        *testing.T
	listener *Listener
	http     *http.Server
	started  chan string
	canceled chan string
	mu       sync.Mutex
	release  map[string]chan struct{}
}

func startServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{t: t, started: make(chan string, 32), canceled: make(chan string, 32), release: map[string]chan struct{}{}}
	s.listener = &Listener{
		Listener: l, HeadTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second, MaxHeadBytes: 64 << 10,
		MayOverlap: func(r *http.Request) bool { return r.Method == http.MethodGet },
	}
	s.http = &http.Server{Handler: s, ConnState: s.listener.ConnState, ConnContext: s.listener.ConnContext}
	go func() { _ = s.http.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *server) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release[path] == nil {
		s.release[path] = make(chan struct{})
	}
	return s.release[path]
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.started <- r.URL.Path
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.canceled <- r.URL.Path
		return
	}
	if strings.HasPrefix(r.URL.Path, "/close") && MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (s *server) dial(requests ...string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	s.send(c, requests...)
	return c, bufio.NewReader(c)
}

// send sends requests such as "GET /a" and "POST /a body" at once.
func (s *server) send(c net.Conn, requests ...string) {
	var b strings.Builder
	for _, r := range requests {
		method, rest, _ := strings.Cut(r, " ")
		path, body, _ := strings.Cut(rest, " ")
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\n", method, path)
		if body != "" {
			fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
		}
		b.WriteString("\r\n" + body)
	}
	_, err := c.Write([]byte(b.String()))
	assert.NilError(s.t, err)
}

// awaitStarted waits until the handler has started the requests with these paths.
func (s *server) awaitStarted(paths ...string) {
	s.t.Helper()
	missing := map[string]bool{}
	for _, p := range paths {
		missing[p] = true
	}
	for len(missing) > 0 {
		select {
		case p := <-s.started:
			assert.Assert(s.t, missing[p], "unexpected request %s", p)
			delete(missing, p)
		case <-time.After(5 * time.Second):
			s.t.Fatalf("not started: %v", missing)
		}
	}
}

func (s *server) assertAnswers(r *bufio.Reader, want ...string) {
	s.t.Helper()
	for _, w := range want {
		answer, err := http.ReadResponse(r, nil)
		assert.NilError(s.t, err)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(s.t, err)
		assert.Equal(s.t, string(body), w)
	}
}

// Guards against a pipelined request that waits for the one ahead of it, and against
// answers out of order.
func TestOverlap(t *testing.T) {
	s := startServer(t)
	_, r := s.dial("GET /a", "GET /b", "GET /c")
	s.awaitStarted("/a", "/b", "/c")
	close(s.gate("/c"))
	close(s.gate("/b"))
	close(s.gate("/a"))
	s.assertAnswers(r, "/a ", "/b ", "/c ")
}

// Guards against a request that must not run twice and runs beside others, whose
// connection may still close, and against a body that is taken for a request.
func TestOthersWait(t *testing.T) {
	s := startServer(t)
	c, r := s.dial("GET /a", "POST /b GET /x HTTP/1.1", "GET /c")
	s.awaitStarted("/a")
	select {
	case p := <-s.started:
		t.Fatalf("request %s overlaps", p)
	case <-time.After(50 * time.Millisecond):
	}
	close(s.gate("/a"))
	s.awaitStarted("/b")
	close(s.gate("/b"))
	close(s.gate("/c"))
	s.assertAnswers(r, "/a ", "/b GET /x HTTP/1.1", "/c ")
	close(s.gate("/d"))
	s.send(c, "GET /d")
	s.assertAnswers(r, "/d ")
}

// Guards against requests that go on after their client has left.
func TestClientLeaves(t *testing.T) {
	s := startServer(t)
	c, _ := s.dial("GET /a", "GET /b")
	s.awaitStarted("/a", "/b")
	assert.NilError(t, c.Close())
	for range 2 {
		select {
		case <-s.canceled:
		case <-time.After(5 * time.Second):
			t.Fatal("a request of a client that left is not canceled")
		}
	}
}

// Guards against an answer that closes the connection before requests behind it that
// are in progress have their answers.
func TestMayClose(t *testing.T) {
	s := startServer(t)
	_, r := s.dial("GET /close1", "GET /close2")
	s.awaitStarted("/close1", "/close2")
	close(s.gate("/close1"))
	s.assertAnswers(r, "/close1 ")
	close(s.gate("/close2"))
	s.assertAnswers(r, "/close2 ")
	_, err := r.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Guards against a stop that cuts off answers to pipelined requests, or that waits for
// idle connections.
func TestDrain(t *testing.T) {
	s := startServer(t)
	_, idle := s.dial("GET /idle")
	close(s.gate("/idle"))
	s.awaitStarted("/idle")
	s.assertAnswers(idle, "/idle ")
	_, r := s.dial("GET /a", "GET /b")
	s.awaitStarted("/a", "/b")
	s.listener.Drain()
	close(s.gate("/b"))
	close(s.gate("/a"))
	s.assertAnswers(r, "/a ", "/b ")
	_, err := idle.ReadByte()
	assert.Equal(t, err, io.EOF)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.listener.Wait(ctx))
	assert.NilError(t, s.http.Shutdown(ctx))
}

// Guards against a head whose end is found too early, because a line is longer than
// the read buffer, and against a limit on heads that no longer holds.
func TestLongHeads(t *testing.T) {
	for _, length := range []int{readBuffer - 200, 16 << 10} {
		for pad := range 64 {
			s := "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", length+pad) + "\r\nX-Last: 1\r\n\r\n"
			l := &Listener{MaxHeadBytes: 64 << 10, MayOverlap: func(r *http.Request) bool { return r.Header.Get("X-Last") == "1" }}
			client, conn := net.Pipe()
			go func() { _, _ = io.WriteString(client, s) }()
			head, overlaps, err := newStream(l, conn).readHead()
			assert.NilError(t, err)
			assert.Assert(t, overlaps && string(head) == s)
			_ = client.Close()
		}
	}
}
