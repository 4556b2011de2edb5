// Package shanswer takes answers of backend servers only as far as HTTP/1.1 allows them
// (RFC 9112). All clients that read such answers use it below net/http, which tolerates
// more.
//
// # Model
//
// A Conn is a connection on which answers arrive. It tells the end of the connection from
// its reset: an answer without a length ends with its connection, and is whole only if no
// error occurred on it.
//
// # API
//
// Transport is an http.Transport on such connections. Other clients open a Conn with Dial.
package shanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection to a server whose answers are read. Its methods may be called by
// one reader and one writer at the same time.
type Conn struct {
	net.Conn

	writing sync.Mutex
	// failure is the first error of the connection that a Write got. Guarded by writing.
	failure error
}

// Dial opens a connection.
func Dial(ctx context.Context, d *net.Dialer, network, address string) (*Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side of the
// connection; an error of the connection that a Write got is returned in its place.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.endWriting(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && breaksAnswer(err) {
		c.failure = err
	}
	return n, err
}

// breaksAnswer reports whether the error of a write says that the answer on the connection
// may not have arrived whole. EPIPE does not: the peer had ended its side of the connection
// before it reset it, since the operating system reports any other reset as ECONNRESET.
func breaksAnswer(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return false
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		// This end closed the connection or gave up.
		return false
	}
	return true
}

// endWriting ends the writing and returns the error of the connection that it got, if any.
//
// The operating system reports a reset once, either to the write or to the read that
// comes next. All later reads find the end of the connection, as if the peer had closed it.
// A write that is in progress may have got the error already, so it is waited for.
func (c *Conn) endWriting() error {
	// An error says that the connection is closed, which ends the write as well.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no descriptor")
	}
	return raw.SyscallConn()
}

// Transport is an http.Transport whose connections are of type Conn. The zero value is
// ready to use. DialContext must not be set.
type Transport struct {
	http.Transport
	// Dialer opens the connections.
	Dialer net.Dialer

	once sync.Once
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(func() { t.DialContext = t.dial })
	return t.Transport.RoundTrip(r)
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	// A nil *Conn must not become a net.Conn that is not nil.
	c, err := Dial(ctx, &t.Dialer, network, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}
