package shlistener_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/internal/shlistener"
)

const (
	answerBytes = 64 << 10
	// window is a receive buffer that is much smaller than an answer, in bytes.
	window = 4096
)

// work is how long the server takes for an answer.
const work = 100 * time.Millisecond

// serve serves answers of answerBytes that close their connections, and counts the
// requests.
func serve(t *testing.T, wrap func(net.Listener) net.Listener) (address string, requests *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests = &atomic.Int32{}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		time.Sleep(work)
		w.Header().Set("Connection", "close")
		io.WriteString(w, strings.Repeat("x", answerBytes))
	})}
	go s.Serve(wrap(l))
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), requests
}

func dialSmallWindow(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
		return errors.Join(err, optionErr)
	}}
	c, err := d.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// pipeline sends a second request while the server works on the first one, waits
// until the server has closed the connection, and returns how many bytes of the
// first answer can be read.
func pipeline(t *testing.T, address string) (int64, error) {
	t.Helper()
	c := dialSmallWindow(t, address)
	fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(work / 2)
	fmt.Fprintf(c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(work)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Assert(t, answer.Close)
	return io.Copy(io.Discard, answer.Body)
}

// Guards against an answer that is cut off because the client had sent another
// request before it read the answer.
func TestAnswerBeforeUnreadRequest(t *testing.T) {
	t.Run("plain listener", func(t *testing.T) {
		address, _ := serve(t, func(l net.Listener) net.Listener { return l })
		_, err := pipeline(t, address)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	})
	t.Run("lingering", func(t *testing.T) {
		l := &shlistener.Listener{}
		address, requests := serve(t, func(inner net.Listener) net.Listener { l.Listener = inner; return l })
		n, err := pipeline(t, address)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(answerBytes))
		assert.Equal(t, requests.Load(), int32(1))
	})
}

// accept returns both ends of a connection.
func accept(t *testing.T) (l *shlistener.Listener, server, client net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { inner.Close() })
	l = &shlistener.Listener{Listener: inner}
	client, err = net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	assert.NilError(t, err)
	return l, server, client
}

// Guards against a request that is taken from a connection on which it can't be
// answered any more.
func TestReadAfterClose(t *testing.T) {
	_, server, client := accept(t)
	_, err := server.Write([]byte("answer"))
	assert.NilError(t, err)
	read := make(chan error, 1)
	go func() {
		n, err := server.Read(make([]byte, 10))
		if n > 0 {
			err = fmt.Errorf("%d bytes read after Close", n)
		}
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, server.Close())
	_, err = client.Write([]byte("request"))
	assert.NilError(t, err)
	assert.ErrorIs(t, <-read, net.ErrClosed)
	assert.ErrorIs(t, server.Close(), net.ErrClosed)
}

// wait waits as a server without requests in progress does.
func wait(ctx context.Context, l *shlistener.Listener) error { return l.Shutdown(ctx, &http.Server{}) }

// Guards against a process that exits, and so resets connections, before clients
// have their answers, and against one that waits for a client for good.
func TestShutdownWaits(t *testing.T) {
	l, server, client := accept(t)
	_, err := server.Write([]byte("answer"))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, wait(ctx, l), context.DeadlineExceeded)
	text, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "answer")
	assert.NilError(t, client.Close())
	assert.NilError(t, wait(context.Background(), l))

	t.Run("silent client", func(t *testing.T) {
		l, server, _ := accept(t)
		_, err := server.Write([]byte("answer"))
		assert.NilError(t, err)
		assert.NilError(t, server.Close())
		assert.NilError(t, wait(context.Background(), l))
	})
	t.Run("no output", func(t *testing.T) {
		l, server, client := accept(t)
		assert.NilError(t, server.Close())
		assert.NilError(t, wait(context.Background(), l))
		assert.NilError(t, client.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := client.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	})
	t.Run("endless client", func(t *testing.T) {
		l, server, client := accept(t)
		_, err := server.Write([]byte("answer"))
		assert.NilError(t, err)
		assert.NilError(t, server.Close())
		for err == nil {
			_, err = client.Write(make([]byte, 64<<10))
		}
		assert.NilError(t, wait(context.Background(), l))
	})
}
