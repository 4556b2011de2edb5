// Package shanswer takes answers of backend servers only as far as HTTP/1.1 allows them
// (RFC 9112). All clients that read such answers use it below net/http, which tolerates
// more.
//
// # Model
//
// A Conn is a connection on which answers arrive. It tells the end of the connection from
// its reset: an answer without a length ends with its connection, and is whole only if no
// error occurred on it. It also checks the head of each answer before its reader has the
// whole of it: the status line, the names and values of fields, and whether fields
// contradict each other on where the answer ends. It bounds the length and the number of
// fields of a head, and can reserve the memory of a long one. Statuses are checked by
// shmodel.IsFinalStatus.
//
// # API
//
// Transport is an http.Transport on such connections; WithReserve reserves the memory of
// its heads. Other clients open a Conn with Dial, call Conn.Expect before they read each
// answer, and CheckTrailer for its body.
package shanswer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Kind classifies an Error.
type Kind string

// KindMalformed says that what arrived is no answer in HTTP/1.1.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is a connection to a server whose answers are read. A new one expects the head of an
// answer. Its methods may be called by one reader and one writer at the same time.
type Conn struct {
	net.Conn

	mu   sync.Mutex // guards head
	head headCheck

	// ended says that the peer has ended its side.
	ended   atomic.Bool
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

// Expect says that the head of an answer comes next. It begins with buffered, which is what
// the reader has read ahead. Unless nil, reserve is called with the bytes of memory that a
// long head takes, before they are allocated; if it fails, so does the read. An error of
// type *Error says that buffered is no head.
func (c *Conn) Expect(buffered []byte, reserve func(n int64) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headCheck{reserve: reserve}
	return c.head.add(buffered)
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side of the
// connection; an error of the connection that a Write got is returned in its place. After a
// malformed head it returns an error of type *Error, and without memory for one that of
// Expect's reserve.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	headErr := c.head.add(p[:n])
	c.mu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		if failure := c.endWriting(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// errEnded is the error of a Write that is in progress when a Read finds that the peer has
// ended its side, as a later one would get it.
var errEnded = fmt.Errorf("the peer has ended the connection: %w", syscall.EPIPE)

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEnded
	}
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
	c.ended.Store(true)
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

type reserveKey struct{}

// WithReserve returns a context for requests of a Transport that reserves the memory of
// long heads, as in Conn.Expect. reserve may still be called after RoundTrip has returned.
func WithReserve(ctx context.Context, reserve func(n int64) error) context.Context {
	return context.WithValue(ctx, reserveKey{}, reserve)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(func() { t.DialContext = t.dial })
	reserve, _ := r.Context().Value(reserveKey{}).(func(n int64) error)
	// GotConn is called before the request is written.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.Expect(nil, reserve)
		}
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	// A nil *Conn must not become a net.Conn that is not nil.
	c, err := Dial(ctx, &t.Dialer, network, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}
