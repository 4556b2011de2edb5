package shlistener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/transport/internal/shpipeline"
)

const (
	// headFactor is the memory that a head takes for each byte of input: the byte
	// itself and its copy in the parsed header.
	headFactor = 2
	// fieldBytes is the memory that each line of a head takes beside its bytes: the
	// entries of the parsed header and of the copy that is sent on, in maps that
	// double when they grow.
	fieldBytes = 256
	// writePiece is the output, in bytes, of which a client must take some within
	// writeStall. The time bears two lost packets in a row.
	writePiece = 64 << 10
	writeStall = 5 * time.Second
	// writeRate is the rate, in bytes per second, at which a client must take what is
	// written at a time beyond writeStall. It gives 14 s to an answer of 540 KB, the
	// largest that are held in the deployments.
	writeRate = 64 << 10
	// passedOn is the part of a body, in bytes, after which a handler may have sent
	// the request to a backend server. shfront holds as much of a body.
	passedOn = 1 << 20
	// maxRefusing bounds the connections that wait until the client has read that it
	// is refused, each for refuseTimeout at most. Further ones are closed at once.
	maxRefusing   = 8
	refuseTimeout = 500 * time.Millisecond
	// roomInterval is the time between looks for room for a head that waits.
	roomInterval = 20 * time.Millisecond
	// maxRefused bounds the input that is discarded meanwhile, in bytes.
	maxRefused = 64 << 10
)

// refusal is the answer on a connection that does not fit, without the end of its head.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n"

type requestKey struct{}

// RequestOf returns what is held for a request, or nil without a Budget.
func RequestOf(ctx context.Context) *shmemory.Request {
	if x, ok := ctx.Value(requestKey{}).(*served); ok {
		return x.request
	}
	return nil
}

// served is a connection as the server sees it, which may be one request of a client's
// connection. Its server uses one goroutine.
type served struct {
	*conn
	request *shmemory.Request
}

// Attach makes a server report the phases of its connections to the Budget. Call it
// after the handler and the hooks of the server are set and before the server serves.
func (l *Listener) Attach(s *http.Server) {
	if l.Budget == nil {
		return
	}
	connContext, connState, next := s.ConnContext, s.ConnState, s.Handler
	var open sync.Map // *served by net.Conn
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if x := connOf(c); x != nil {
			v := &served{conn: x}
			open.Store(c, v)
			ctx = context.WithValue(ctx, requestKey{}, v)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if v, ok := open.Load(c); ok && (state == http.StateIdle || state == http.StateClosed) {
			v.(*served).end()
			if state == http.StateClosed {
				open.Delete(c)
			}
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x, ok := r.Context().Value(requestKey{}).(*served)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !x.start(r) {
			maps.Copy(w.Header(), l.Refusal)
			Refuse(w, r)
			return
		}
		defer x.request.ReleaseUnserved()
		next.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a client that the server's connection belongs to.
func connOf(c net.Conn) *conn {
	for {
		switch x := c.(type) {
		case *conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// start begins a request. It returns false if there is no room for it.
func (s *served) start(r *http.Request) bool {
	hasBody := r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
	request, err := s.hold.Start(time.Now(), hasBody)
	if err != nil {
		// The connection has been closed.
		panic(http.ErrAbortHandler)
	}
	s.request = request
	if hasBody {
		s.inBody.Store(true)
		r.Body = &body{ReadCloser: r.Body, request: request}
	}
	room := int64(minAnswer)
	if request.Overlaps() {
		room += OverlapBytes
	}
	return request.Reserve(time.Now(), shmemory.Heads, room) == nil
}

func (s *served) end() {
	if s.request != nil {
		s.inBody.Store(false)
		s.request.End(time.Now())
		s.request = nil
	}
}

const (
	// minAnswer is the room that a request needs to be accepted, in bytes.
	minAnswer = 8 << 10
	// OverlapBytes is what a request beside others of its connection takes: its own
	// goroutines and buffers in the server.
	OverlapBytes = 24 << 10
)

// Refuse answers that a request has not run for lack of memory. It closes the
// connection, unless requests behind it are in progress.
func Refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", "1")
	if shpipeline.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	// net/http reads on after the answer, looking for the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refuseTimeout))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// body is the body of a request. Its end, or so much input that the request may have
// been sent on, makes the request one that is served.
type body struct {
	io.ReadCloser
	request *shmemory.Request
	read    int64
	// factor is the memory that each byte takes with a handler that holds the body
	// whole.
	factor int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.factor > 0 && n > 0 {
		if holdErr := b.request.Reserve(time.Now(), shmemory.Bodies, int64(n)*b.factor); holdErr != nil {
			return 0, holdErr
		}
	}
	if errors.Is(err, io.EOF) || b.read >= passedOn && b.factor == 0 {
		if !b.request.Serving() {
			return 0, &shmemory.Error{Op: "read body", Kind: shmemory.KindGivenUp}
		}
	}
	return n, err
}

// HoldBody makes the body of a request, which must come from a handler of an attached
// server, take factor bytes of memory for each byte that is read, until the request
// ends. If there is no room the error of Read is a *shmemory.Error.
func HoldBody(r *http.Request, factor int64) {
	if b, ok := r.Body.(*body); ok {
		b.factor = factor
	}
}

// ReserveBody takes n bytes for what is decoded from the body of a request, until the
// request ends. Without a Budget there is no bound.
func ReserveBody(r *http.Request, n int64) error {
	return RequestOf(r.Context()).Reserve(time.Now(), shmemory.Bodies, n)
}

// IsShort reports whether a body could not be read for lack of memory.
func IsShort(err error) bool {
	_, ok := errors.AsType[*shmemory.Error](err)
	return ok
}

// refuse answers a connection that does not fit. It returns at once.
func (l *Listener) refuse(c *net.TCPConn) {
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		// The client sees any failure here as the end of the connection, which it is.
		defer func() { _ = c.Close() }()
		l.writeRefusal(c)
		_, _ = io.CopyN(io.Discard, c, maxRefused)
	}()
}

func (l *Listener) writeRefusal(c *net.TCPConn) {
	if c.SetDeadline(time.Now().Add(refuseTimeout)) != nil {
		return
	}
	var b bytes.Buffer
	b.WriteString(refusal)
	_ = l.Refusal.Write(&b)
	b.WriteString("\r\n")
	if _, err := c.Write(b.Bytes()); err == nil {
		_ = c.CloseWrite()
	}
}

// giveUp closes the connection at once.
func (c *conn) giveUp() {
	c.closed.Store(true)
	_ = c.end()
}

// end closes the connection entirely.
func (c *conn) end() error {
	if c.hold != nil {
		c.hold.Close()
	}
	return c.tcp.Close()
}

// count counts input. If there is no room for a head, it refuses the request. Behind
// requests in progress, which must not end for that, the head waits.
func (c *conn) count(p []byte) error {
	now := time.Now()
	c.hold.Progress(now, len(p))
	if c.inBody.Load() {
		return nil
	}
	room := int64(len(p))*headFactor + int64(bytes.Count(p, []byte("\n")))*fieldBytes
	for {
		err := c.hold.Reserve(now, shmemory.Heads, room)
		if err == nil || c.closed.Load() {
			return err
		}
		if !c.hold.Busy() {
			c.listener.writeRefusal(c.tcp)
			return err
		}
		if limit := c.readLimit.Load(); limit != 0 && limit <= now.UnixNano() {
			// The server ends its wait for input, of which this is a few bytes.
			return nil
		}
		time.Sleep(roomInterval)
		now = time.Now()
	}
}

// writePieces writes in pieces, each with its own deadline, so that a client that takes
// nothing does not keep what is held for it.
func (c *conn) writePieces(p []byte) (written int, err error) {
	whole := time.Now().Add(writeStall + time.Duration(len(p))*time.Second/writeRate)
	for len(p) > 0 {
		limit := time.Now().Add(writeStall)
		if whole.Before(limit) {
			limit = whole
		}
		if own := c.writeLimit.Load(); own != 0 && own < limit.UnixNano() {
			limit = time.Unix(0, own)
		}
		if err := c.tcp.SetWriteDeadline(limit); err != nil {
			return written, err
		}
		n, err := c.tcp.Write(p[:min(writePiece, len(p))])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.hold.Count(shmemory.ClosedUnread)
			}
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	storeTime(&c.readLimit, t)
	return c.tcp.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	storeTime(&c.writeLimit, t)
	return c.tcp.SetWriteDeadline(t)
}

// storeTime stores a time as nanoseconds of Unix time, or zero for no time.
func storeTime(v *atomic.Int64, t time.Time) {
	if t.IsZero() {
		v.Store(0)
		return
	}
	v.Store(t.UnixNano())
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
