// Package shpipeline serves the pipelined requests of an HTTP/1.1 connection at the
// same time, and their answers in order.
//
// # Model
//
// A client may send further requests before it has the answer to the first. An
// http.Server reads the next request of a connection after the answer to the one
// before it, so a pipelined request waits for all those ahead of it.
//
// A Listener reads the heads of requests itself. A request that may run beside others
// becomes a connection of its own for the http.Server, which ends with that request.
// What the server writes to it waits until the answers to the requests before it have
// been written. If the client closes, all requests of its connection are canceled.
//
// The first request that may not run beside others, because it has a body or must not
// run twice, waits until those before it have ended. From then on the connection is
// passed to the server as it is.
//
// An answer that closes the connection ends it for the requests behind it too. A
// handler that wants to close a connection asks MayClose first: only the last request
// of a connection may, and none is accepted after it.
//
// # Use
//
// Set Listener and MayOverlap, pass the Listener to http.Server.Serve, and set
// ConnState and ConnContext of the server to the methods of the Listener. Call Drain
// before the Shutdown of the server, which closes connections after the answer that is
// being written.
package shpipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxOverlapping bounds the requests of one connection that are in progress. The
	// next one stays unread.
	maxOverlapping = 16
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 5 * time.Millisecond
	// readBuffer is the size of the buffer for heads, in bytes. It fits most heads.
	readBuffer = 4096
)

// Listener accepts connections and splits them into requests. Set the exported fields
// before use.
type Listener struct {
	net.Listener
	// MayOverlap reports whether a request without a body may run beside others of its
	// connection.
	MayOverlap func(*http.Request) bool
	// HeadTimeout bounds the time from the first byte of a head to its end, and
	// IdleTimeout the time until the first byte.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// MaxHeadBytes bounds a head that is read here. Longer ones are left to the server.
	MaxHeadBytes int

	start   sync.Once
	ready   chan net.Conn
	mu      sync.Mutex
	streams map[*stream]bool
	closed  chan struct{}
	failure error
	drains  bool
}

func (l *Listener) init() {
	l.start.Do(func() {
		l.ready, l.closed, l.streams = make(chan net.Conn), make(chan struct{}), map[*stream]bool{}
		go l.acceptAll()
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.init()
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.closed:
		return nil, l.failure
	}
}

// Close implements net.Listener. Connections that wait for a request are closed.
func (l *Listener) Close() error {
	l.init()
	err := l.Listener.Close()
	l.Drain()
	return err
}

func (l *Listener) acceptAll() {
	defer close(l.closed)
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.failure = err
			return
		}
		if err != nil {
			// For example, the process has no free descriptor.
			time.Sleep(acceptPause)
			continue
		}
		s := newStream(l, c)
		l.mu.Lock()
		l.streams[s] = true
		drains := l.drains
		l.mu.Unlock()
		if drains {
			s.drain()
		}
		go s.run()
	}
}

// Drain makes all connections stop reading requests. Those without a request in
// progress are closed; the others are closed after their last answer.
func (l *Listener) Drain() {
	l.init()
	l.mu.Lock()
	l.drains = true
	streams := make([]*stream, 0, len(l.streams))
	for s := range l.streams {
		streams = append(streams, s)
	}
	l.mu.Unlock()
	for _, s := range streams {
		s.drain()
	}
}

// Wait waits until the split connections have ended, or until ctx ends. Call it after
// Drain.
func (l *Listener) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for l.splitConnections() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// waitInterval is the time between the checks of Wait.
const waitInterval = 5 * time.Millisecond

func (l *Listener) splitConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// deliver passes a connection to the server. It reports false if the listener has been
// closed.
func (l *Listener) deliver(c net.Conn) bool {
	select {
	case l.ready <- c:
		return true
	case <-l.closed:
		return false
	}
}

func (l *Listener) forget(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s)
}

// ConnState is the hook of http.Server by which the end of an answer becomes known.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if r, ok := c.(*request); ok && state == http.StateIdle {
		r.answered()
	}
}

// ConnContext is the hook of http.Server that MayClose needs.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if r, ok := c.(*request); ok {
		return context.WithValue(ctx, contextKey{}, r)
	}
	return ctx
}

type contextKey struct{}

// MayClose reports whether the answer to the request with this context may close the
// connection: no request behind it is in progress. If so, none is accepted any more.
func MayClose(ctx context.Context) bool {
	r, ok := ctx.Value(contextKey{}).(*request)
	return !ok || r.stream.endWith(r)
}
