package shpipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// stream is a connection of a client.
type stream struct {
	listener *Listener
	conn     net.Conn
	reader   *bufio.Reader

	mu sync.Mutex
	// requests are those in progress, in the order of their answers.
	requests []*request
	// changed is signaled when a request has ended or the stream is closed.
	changed sync.Cond
	// ending says that no further request is accepted, closed that the connection has
	// ended, and passed that it was handed over to the server.
	ending bool
	closed bool
	passed bool
	// waiting says that no byte of the next head has arrived.
	waiting bool
}

func newStream(l *Listener, c net.Conn) *stream {
	s := &stream{listener: l, conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
	s.changed.L = &s.mu
	return s
}

// run splits the connection until it ends or is passed on.
func (s *stream) run() {
	for s.next() {
	}
	s.mu.Lock()
	passed := s.passed
	if !passed {
		for len(s.requests) > 0 && !s.closed {
			s.changed.Wait()
		}
	}
	s.mu.Unlock()
	if !passed {
		s.close()
	}
	s.listener.forget(s)
}

// next reads one head and starts its request. It returns false if no further head is
// to be read.
func (s *stream) next() bool {
	head, overlaps, err := s.readHead()
	switch {
	case err != nil:
		s.inputEnded(err)
		return false
	case !overlaps:
		s.pass(head)
		return false
	}
	s.mu.Lock()
	for len(s.requests) >= maxOverlapping && !s.closed {
		s.changed.Wait()
	}
	if s.closed || s.ending {
		s.mu.Unlock()
		return false
	}
	r := newRequest(s, head)
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	if !s.listener.deliver(r) {
		s.close()
		return false
	}
	return true
}

// inputEnded ends the stream after its input has ended. If that is because the listener
// drains, the requests in progress go on.
func (s *stream) inputEnded(err error) {
	s.mu.Lock()
	drained := s.ending && errors.Is(err, os.ErrDeadlineExceeded)
	s.mu.Unlock()
	if !drained {
		s.close()
	}
}

// pass hands the connection, with a head that was read, over to the server once all
// requests in progress have ended.
func (s *stream) pass(head []byte) {
	s.mu.Lock()
	for len(s.requests) > 0 && !s.closed {
		s.changed.Wait()
	}
	if s.closed || s.ending {
		s.mu.Unlock()
		return
	}
	s.passed = true
	s.mu.Unlock()
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		s.closePassed()
		return
	}
	if !s.listener.deliver(&rest{Conn: s.conn, input: io.MultiReader(bytes.NewReader(head), s.reader)}) {
		s.closePassed()
	}
}

// closePassed closes a connection that the server did not take. Its client sees that.
func (s *stream) closePassed() { _ = s.conn.Close() }

// rest is a connection that is no longer split.
type rest struct {
	net.Conn
	input io.Reader
}

// Read implements net.Conn.
func (r *rest) Read(p []byte) (int, error) { return r.input.Read(p) }

// CloseWrite closes the sending side.
func (r *rest) CloseWrite() error { return closeWrite(r.Conn) }

// NetConn returns the connection of the client.
func (r *rest) NetConn() net.Conn { return r.Conn }

// closeWrite closes the sending side of a connection, if it has one of its own.
func closeWrite(c net.Conn) error {
	if x, ok := c.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// readHead reads the next head and reports whether its request may overlap others. A
// head that cannot be read in full within the limits, or that is malformed, is left to
// the server.
func (s *stream) readHead() (head []byte, overlaps bool, err error) {
	if err := s.awaitHead(); err != nil {
		return nil, false, err
	}
	lineStart := 0
	for {
		part, err := s.reader.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, false, err
		case len(head) > s.listener.MaxHeadBytes:
			return head, false, nil
		case err != nil: // The line is longer than the buffer.
			continue
		case lineStart > 0 && len(bytes.TrimRight(head[lineStart:], "\r\n")) == 0:
			return head, s.mayOverlap(head), nil
		}
		lineStart = len(head)
	}
}

// awaitHead waits for the first byte of a head and sets the deadline for the rest.
func (s *stream) awaitHead() error {
	if !s.setWaiting(true) {
		return os.ErrDeadlineExceeded
	}
	_, err := s.reader.Peek(1)
	if !s.setWaiting(false) && err == nil {
		return os.ErrDeadlineExceeded
	}
	return err
}

// setWaiting sets the read deadline before or after the first byte of a head. It
// reports false if the stream accepts no further request.
func (s *stream) setWaiting(waiting bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending || s.closed {
		return false
	}
	s.waiting = waiting
	limit := s.listener.HeadTimeout
	if waiting {
		limit = s.listener.IdleTimeout
	}
	var deadline time.Time
	if limit > 0 && (!waiting || len(s.requests) == 0) {
		deadline = time.Now().Add(limit)
	}
	return s.conn.SetReadDeadline(deadline) == nil
}

// mayOverlap reports whether the request with a head may run beside others.
func (s *stream) mayOverlap(head []byte) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return false
	}
	plain := r.ContentLength == 0 && len(r.TransferEncoding) == 0 && !r.Close && r.ProtoAtLeast(1, 1)
	for _, name := range []string{"Content-Length", "Expect", "Upgrade"} {
		plain = plain && len(r.Header[name]) == 0
	}
	return plain && s.listener.MayOverlap(r)
}

// drain makes the stream accept no further request.
func (s *stream) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endInput()
}

// endInput ends the reading of heads. The caller holds the mutex.
func (s *stream) endInput() {
	if s.passed || s.ending {
		return
	}
	s.ending = true
	// A failure means that the connection has ended, which the reader notices.
	_ = s.conn.SetReadDeadline(time.Now())
}

// endWith reports whether r is the last request of the stream. If so, no further one
// is accepted.
func (s *stream) endWith(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) == 0 || s.requests[len(s.requests)-1] != r {
		return false
	}
	s.endInput()
	return true
}

// awaitTurn waits until the answers before that of r have been written. It reports
// false if the stream is closed.
func (s *stream) awaitTurn(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.requests) > 0 && s.requests[0] != r {
		s.changed.Wait()
	}
	return !s.closed && len(s.requests) > 0
}

// remove removes a request that has been answered.
func (s *stream) remove(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) > 0 && s.requests[0] == r {
		s.requests = s.requests[1:]
	}
	if len(s.requests) == 0 && s.waiting && !s.ending && s.listener.IdleTimeout > 0 {
		// The client is idle from now on. A failure is noticed by the reader.
		_ = s.conn.SetReadDeadline(time.Now().Add(s.listener.IdleTimeout))
	}
	s.changed.Broadcast()
}

// close closes the connection and cancels the requests in progress.
func (s *stream) close() {
	s.mu.Lock()
	if s.closed || s.passed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	requests := s.requests
	s.requests = nil
	s.changed.Broadcast()
	s.mu.Unlock()
	for _, r := range requests {
		r.cancel()
	}
	// The client sees a failure as the end of the connection, which it is.
	_ = s.conn.Close()
}
