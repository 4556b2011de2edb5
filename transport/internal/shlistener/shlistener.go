// Package shlistener closes the connections of a server without losing answers.
//
// # Model
//
// When a connection is closed while input is unread, the operating system resets
// it, and the client may lose what it had not yet received of the last answer.
// That happens if a server closes a connection after an answer, and the client has
// sent its next request before it got that answer.
//
// A connection that a Listener accepted therefore first closes its sending side,
// then reads and discards input until the client closes, as section 9.6 of RFC 9112
// describes. This goes on in the background, within bounds of time and of bytes.
//
// With a Budget, what a connection holds is bounded, and it may be closed to make room
// for others. A connection that does not fit is answered with status 503, which
// promises that its request has not run. A client that takes nothing of an answer for
// writeStall loses its connection.
//
// # Use
//
// Wrap a net.Listener and pass the Listener to http.Server.Serve. Call Shutdown in
// place of that of the server: connections that linger are no longer known to the
// server, and a process that exits resets them.
package shlistener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shmemory"
)

const (
	// lingerTimeout bounds the time until a connection is closed entirely. It is
	// also how long the last output may take to reach the client.
	lingerTimeout = 3 * time.Second
	// maxDiscarded bounds the input that is discarded meanwhile, in bytes.
	maxDiscarded = 1 << 20
	// waitInterval is the time between the checks of wait.
	waitInterval = 5 * time.Millisecond
)

// Listener accepts connections that linger when they are closed. Set the exported
// fields before use. With a Budget, call Attach before the server serves.
type Listener struct {
	net.Listener
	// Budget bounds what the connections hold; nil means no bound.
	Budget *shmemory.Budget
	// Refusal is added to the header of refusals that the Listener makes itself.
	Refusal   http.Header
	lingering atomic.Int64
	refusing  atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		x := &conn{Conn: tcp, tcp: tcp, listener: l, accepted: time.Now()}
		if l.Budget == nil {
			return x, nil
		}
		if x.hold, err = l.Budget.Begin(x.accepted, x.giveUp); err == nil {
			return x, nil
		}
		l.refuse(tcp)
	}
}

// Shutdown shuts a server of this listener down gracefully: it waits for the
// requests in progress, then until the clients have their answers, or until ctx
// ends, and returns the error of ctx then.
func (l *Listener) Shutdown(ctx context.Context, s *http.Server) error {
	if err := s.Shutdown(ctx); err != nil {
		return err
	}
	return l.wait(ctx)
}

// wait waits until all connections that were closed have ended, or until ctx ends.
func (l *Listener) wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for l.lingering.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// conn is a connection that lingers when it is closed. Its type hides the methods
// of net.TCPConn that would write without Write.
type conn struct {
	net.Conn
	tcp      *net.TCPConn
	listener *Listener
	accepted time.Time
	// writtenAt is the time of the last output since accepted, in nanoseconds, or
	// zero.
	writtenAt atomic.Int64
	// ended says that the client has closed or that the connection has failed.
	ended  atomic.Bool
	closed atomic.Bool
	// hold is nil without a Budget. inBody says that input belongs to a body.
	hold   *shmemory.Hold
	inBody atomic.Bool
	// readLimit and writeLimit are the deadlines, in nanoseconds of Unix time, or zero.
	readLimit, writeLimit atomic.Int64
}

// Read implements net.Conn. After Close it returns net.ErrClosed and drops input
// that arrives meanwhile, so that no request is taken from a connection on which it
// can't be answered.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	if n > 0 && c.hold != nil {
		if holdErr := c.count(p[:n]); holdErr != nil {
			return 0, holdErr
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writtenAt.Store(int64(time.Since(c.accepted)))
	if c.hold != nil {
		return c.writePieces(p)
	}
	return c.tcp.Write(p)
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error { return c.tcp.CloseWrite() }

// Close implements net.Conn. It returns at once. The connection ends at once if the
// client has closed it or has had lingerTimeout to take the last output.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	written := c.writtenAt.Load()
	if written == 0 || c.ended.Load() || time.Since(c.accepted)-time.Duration(written) > lingerTimeout {
		return c.end()
	}
	// Ends a Read that is in progress.
	if err := c.tcp.SetReadDeadline(time.Now()); err != nil {
		return errors.Join(err, c.end())
	}
	if err := c.tcp.CloseWrite(); err != nil {
		return errors.Join(err, c.end())
	}
	c.listener.lingering.Add(1)
	go c.linger()
	return nil
}

// linger discards input until the client closes and closes the connection.
func (c *conn) linger() {
	defer c.listener.lingering.Add(-1)
	// The client sees any failure here as the end of the connection, which it is.
	defer func() { _ = c.end() }()
	if err := c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.tcp, maxDiscarded)
}
