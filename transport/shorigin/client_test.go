package shorigin_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shorigin"
)

// stub accepts connections and answers each request with the next reply, and all
// later ones with the last reply. In a reply, {id} stands for the request ID.
type stub struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

// replyReset resets the connection, replySilence sends no answer.
const (
	replyReset   = "reset"
	replySilence = "silence"
)

func newStub(t *testing.T, replies ...string) *stub {
	t.Helper()
	l := shloopback.Listen(t)
	t.Cleanup(func() { l.Close() })
	s := &stub{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c.(*net.TCPConn), replies)
		}
	}()
	return s
}

func (s *stub) serve(c *net.TCPConn, replies []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		n := int(s.requests.Add(1))
		reply := replies[min(n, len(replies))-1]
		switch reply {
		case replyReset:
			c.SetLinger(0)
			return
		case replySilence:
			continue
		}
		io.WriteString(c, strings.ReplaceAll(reply, "{id}", r.Header.Get("Id")))
		if !strings.Contains(reply, "Content-Length") {
			return
		}
	}
}

func (s *stub) address() string { return s.listener.Addr().String() }

func request(id string, timeout time.Duration) shorigin.Request {
	return shorigin.Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		EchoHeader: "Id", TimeoutHeader: "Left", Deadline: time.Now().Add(timeout),
	}
}

const (
	good  = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
	other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
)

// Guards against accepting an answer that is broken, incomplete or belongs to
// another request, and against reusing a connection that is out of sync.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name  string
		reply string
		kind  shorigin.Kind
		// conns is how many connections two requests take.
		conns int32
	}{
		{"whole", good, "", 1},
		{"closing", "HTTP/1.1 200 OK\r\nId: {id}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "", 2},
		{"without length", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nok", "", 2},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\n" + good, "", 1},
		{"second answer behind it", good + other, "", 2},
		{"answer to another request first", other + good, "", 2},
		{"bytes behind it", good + "garbage", "", 2},
		{"idle timeout of zero", "HTTP/1.1 200 OK\r\nId: {id}\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "", 2},
		{"cut short", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n"[:20], shorigin.KindBroken, 2},
		{"no HTTP", "garbage\r\n\r\n", shorigin.KindGarbled, 2},
		{"reset", replyReset, shorigin.KindBroken, 2},
		{"silent", replySilence, shorigin.KindTimeout, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, c.reply)
			client := &shorigin.Client{}
			for i := range 2 {
				response, err := client.Do(context.Background(), s.address(), request(fmt.Sprint(i), 200*time.Millisecond))
				assert.Equal(t, shorigin.KindOf(err), c.kind)
				if c.kind == "" {
					assert.Equal(t, string(response.Body), "ok")
				}
				// Let the bytes after an answer arrive before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, s.conns.Load(), c.conns)
		})
	}
}

// Guards against a truncated body that is taken for a complete one.
func TestTruncatedBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nhalf")
		c.Close()
	}()
	_, err = (&shorigin.Client{}).Do(context.Background(), l.Addr().String(), request("1", time.Second))
	assert.Equal(t, shorigin.KindOf(err), shorigin.KindBroken)
}

// Guards against a request that is reported as sent when nobody listens, which
// would forbid another attempt.
func TestNotSent(t *testing.T) {
	s := newStub(t, good)
	s.listener.Close()
	_, err := (&shorigin.Client{}).Do(context.Background(), s.address(), request("1", time.Second))
	assert.Equal(t, shorigin.KindOf(err), shorigin.KindNotSent)
}

// Guards against a request that is not abandoned when its context is canceled.
func TestCanceled(t *testing.T) {
	s := newStub(t, replySilence)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	began := time.Now()
	_, err := (&shorigin.Client{}).Do(ctx, s.address(), request("1", 5*time.Second))
	assert.Equal(t, shorigin.KindOf(err), shorigin.KindCanceled)
	assert.Assert(t, time.Since(began) < time.Second)
}

// Guards against a caller that leaves while a connection is opened and is taken for a
// backend server that can't be reached.
func TestCanceledDial(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := (&shorigin.Client{}).Do(ctx, newStub(t, good).address(), request("1", time.Second))
	assert.Equal(t, shorigin.KindOf(err), shorigin.KindCanceled)
}

// Guards against using a stale connection for a request that must not run twice.
func TestOnceUsesFreshConnections(t *testing.T) {
	s := newStub(t, good)
	client := &shorigin.Client{}
	_, err := client.Do(context.Background(), s.address(), request("1", time.Second))
	assert.NilError(t, err)
	time.Sleep(1100 * time.Millisecond)
	r := request("2", time.Second)
	r.Once = true
	response, err := client.Do(context.Background(), s.address(), r)
	assert.NilError(t, err)
	assert.Assert(t, !response.Reused)
	response, err = client.Do(context.Background(), s.address(), request("3", time.Second))
	assert.NilError(t, err)
	assert.Assert(t, response.Reused)
}

// Guards against a healthy connection that is closed because the deadline of its
// last request has passed.
func TestKeptConnectionOutlivesDeadline(t *testing.T) {
	s := newStub(t, good)
	client := &shorigin.Client{}
	_, err := client.Do(context.Background(), s.address(), request("1", 100*time.Millisecond))
	assert.NilError(t, err)
	time.Sleep(150 * time.Millisecond)
	response, err := client.Do(context.Background(), s.address(), request("2", time.Second))
	assert.NilError(t, err)
	assert.Assert(t, response.Reused)
}

// Guards against a long answer whose connection is reused although part of the
// body is still to come or something follows it, and against a cut one that ends
// like a whole one.
func TestStream(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 8\r\n\r\n"
	cases := []struct {
		name  string
		reply string
		read  int64
		kind  shorigin.Kind
		// reused says that the second request uses the same connection.
		reused bool
	}{
		{"whole", head + "12345678", 100, "", true},
		{"closed early", head + "12345678", 4, "", false},
		{"bytes behind it", head + "12345678garbage", 100, "", false},
		{"silent midway", head + "1234", 100, shorigin.KindTimeout, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, c.reply)
			client := &shorigin.Client{}
			for i := range 2 {
				r := request(fmt.Sprint(i), 200*time.Millisecond)
				r.StreamFrom = 8
				response, err := client.Do(context.Background(), s.address(), r)
				assert.NilError(t, err)
				assert.Equal(t, response.Length, int64(8))
				assert.Equal(t, response.Reused, c.reused && i == 1)
				_, err = io.ReadAll(io.LimitReader(response.Stream, c.read))
				assert.Equal(t, shorigin.KindOf(err), c.kind)
				assert.NilError(t, response.Stream.Close())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
