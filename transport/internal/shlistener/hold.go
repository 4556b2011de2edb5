package shlistener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"sequoiahollow/coordination/shmemory"
)

const (
	// headFactor is the memory that a head takes for each byte of input: the byte
	// itself and its copy in the parsed header.
	headFactor = 2
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
	// maxRefused bounds the input that is discarded meanwhile, in bytes.
	maxRefused = 64 << 10
)

// refusal is the answer on a connection that does not fit, without the end of its head.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n"

// connKey and holdKey are the keys of a *conn and of its hold in a context.
type (
	connKey struct{}
	holdKey struct{}
)

// HoldOf returns the hold of the connection of a request, or nil without a Budget.
func HoldOf(ctx context.Context) *shmemory.Hold {
	h, _ := ctx.Value(holdKey{}).(*shmemory.Hold)
	return h
}

// Attach makes a server report the phases of its connections to the Budget. Call it
// after the handler of the server is set and before the server serves.
func (l *Listener) Attach(s *http.Server) {
	if l.Budget == nil {
		return
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if x, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, x)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok && state == http.StateIdle {
			x.inBody.Store(false)
			x.hold.Idle(time.Now())
		}
	}
	s.Handler = phases(s.Handler)
}

// phases tells the hold of a connection when its request is received and when it is
// served.
func phases(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		x.inBody.Store(true)
		r = r.WithContext(context.WithValue(r.Context(), holdKey{}, x.hold))
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			if !x.hold.Serving() {
				panic(http.ErrAbortHandler)
			}
		} else {
			x.hold.Receiving(time.Now())
			r.Body = &body{ReadCloser: r.Body, hold: x.hold}
		}
		// A request takes room for its answer, which comes when it can no longer be
		// refused.
		if err := x.hold.Reserve(time.Now(), shmemory.Heads, minAnswer); err != nil {
			maps.Copy(w.Header(), x.listener.Refusal)
			Refuse(w)
			return
		}
		next.ServeHTTP(w, r)
		x.release()
	})
}

// release returns the memory of a request that was answered before its end: net/http
// keeps the connection for a while.
func (c *conn) release() {
	for _, p := range purposes {
		if p != shmemory.Connections && !c.hold.IsServing() {
			c.hold.Release(p, math.MaxInt64)
		}
	}
}

// minAnswer is the room that a request needs to be accepted, in bytes.
const minAnswer = 8 << 10

// Refuse answers that a request has not run for lack of memory.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	// net/http reads on after the answer, looking for the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refuseTimeout))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// body is the body of a request. Its end, or so much input that the request may have
// been sent on, makes the request one that is served.
type body struct {
	io.ReadCloser
	hold *shmemory.Hold
	read int64
	// factor is the memory that each byte takes with a handler that holds the body
	// whole.
	factor int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.factor > 0 && n > 0 {
		if holdErr := b.hold.Reserve(time.Now(), shmemory.Bodies, int64(n)*b.factor); holdErr != nil {
			return 0, holdErr
		}
	}
	if errors.Is(err, io.EOF) || b.read >= passedOn && b.factor == 0 {
		if !b.hold.Serving() {
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
	c.hold.Close()
	return c.tcp.Close()
}

// count counts input. If there is no room for a head, it refuses the request.
func (c *conn) count(n int) error {
	now := time.Now()
	c.hold.Progress(now, n)
	if c.inBody.Load() {
		return nil
	}
	if err := c.hold.Reserve(now, shmemory.Heads, int64(n)*headFactor); err != nil {
		if !c.closed.Load() {
			c.listener.writeRefusal(c.tcp)
		}
		return err
	}
	return nil
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

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	var limit int64
	if !t.IsZero() {
		limit = t.UnixNano()
	}
	c.writeLimit.Store(limit)
	return c.tcp.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
