package shorigin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// asyncBody is the size of a body, in bytes, from which it is written while the answer
	// is awaited. A shorter one fits the buffers of the operating system, so that writing
	// it does not wait for the backend server.
	asyncBody = 16 << 10
	// windowBody is the size of a body, in bytes, from which the time that sent bytes may
	// remain unacknowledged is not bounded. The operating system of a backend server takes
	// a shorter one although the backend server does not read it yet: the first receive
	// window of Linux is 64 KB.
	windowBody = 48 << 10
	// writeGrace is how long a complete answer waits for the end of the writing. A backend
	// server that has read the whole body can answer before the goroutine that wrote it
	// has run again.
	writeGrace = 10 * time.Millisecond
)

// Rest is the part of a body that is passed on while it arrives.
type Rest interface {
	// Next returns the next bytes, which are valid until the next call. The error is
	// io.EOF at the end of the whole body, and another one if the body breaks off.
	Next() ([]byte, error)
	// Interrupt makes a call of Next that is in progress, and later ones, fail soon.
	Interrupt()
}

// bodySize returns the length of the part of the body that is held.
func (r Request) bodySize() int64 {
	n := 0
	for _, p := range r.Body {
		n += len(p)
	}
	return int64(n)
}

// encodeHead returns the head of a request.
func encodeHead(r Request, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(readBuffer / 4)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.TimeoutHeader != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", r.TimeoutHeader, max(left.Milliseconds(), 1))
	}
	size := r.bodySize()
	if r.Rest != nil {
		size = r.Length
	}
	switch {
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", size)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

const lastChunk = "0\r\n\r\n"

// sending is the writing of one request.
type sending struct {
	conn    *conn
	request Request
	done    chan struct{}
	// stopping says that the writing is being ended, so that errors of the rest are
	// results of that.
	stopping atomic.Bool

	// Set before done is closed: the error of the writing, and that of the rest if the
	// rest caused it.
	err     error
	restErr error
}

// startSending writes a request. It returns before the end of a long one.
func startSending(x *conn, r Request, head []byte) *sending {
	s := &sending{conn: x, request: r, done: make(chan struct{})}
	if r.Rest == nil && r.bodySize() < asyncBody {
		s.run(head)
		return s
	}
	if r.Rest != nil || r.bodySize() >= windowBody {
		// A backend server may wait for a slot before it reads a long body.
		if err := x.setUserTimeout(0); err != nil {
			s.err = err
			close(s.done)
			return s
		}
		x.slowWrite = true
	}
	go s.run(head)
	return s
}

func (s *sending) run(head []byte) {
	defer close(s.done)
	if s.err = s.writeHeld(head); s.err == nil && s.request.Rest != nil {
		s.err = s.writeRest()
	}
	if s.restErr != nil {
		// The backend server must see that the body is not whole, and the reader of the
		// answer must not wait for one.
		s.conn.Close()
	}
}

// writeHeld writes the head and the part of the body that is held.
func (s *sending) writeHeld(head []byte) error {
	size := s.request.bodySize()
	message := net.Buffers{head}
	if s.request.Chunked && size > 0 {
		message = append(message, fmt.Appendf(nil, "%x\r\n", size))
	}
	message = append(message, s.request.Body...)
	if s.request.Chunked && size > 0 {
		message = append(message, []byte("\r\n"))
	}
	if s.request.Chunked && s.request.Rest == nil {
		message = append(message, []byte(lastChunk))
	}
	if size >= asyncBody {
		return s.conn.link.write(s.conn, message)
	}
	_, err := message.WriteTo(s.conn.Conn)
	return err
}

// writeRest writes the rest of a body as it arrives.
func (s *sending) writeRest() error {
	missing := s.request.Length - s.request.bodySize()
	// All of the held part has been written, and its owner may release it. The caller of
	// Do has the same slice.
	clear(s.request.Body)
	for {
		piece, err := s.request.Rest.Next()
		missing -= int64(len(piece))
		if err == nil && !s.request.Chunked && missing < 0 {
			err = errors.New("more bytes than the stated length")
		}
		if len(piece) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			if writeErr := s.writePiece(piece); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
		case s.request.Chunked:
			_, err = io.WriteString(s.conn.Conn, lastChunk)
			return err
		case missing == 0:
			return nil
		default:
			err = io.ErrUnexpectedEOF
		}
		if !s.stopping.Load() {
			s.restErr = err
		}
		return err
	}
}

func (s *sending) writePiece(piece []byte) error {
	message := net.Buffers{piece}
	if s.request.Chunked {
		message = net.Buffers{fmt.Appendf(nil, "%x\r\n", len(piece)), piece, []byte("\r\n")}
	}
	return s.conn.link.write(s.conn, message)
}

// finish ends the writing and reports whether the whole request has been written. If
// not, the connection is closed: other bytes must not arrive where the rest of the body
// is due. With answered set it waits for the end of the writing for a moment.
func (s *sending) finish(answered bool) bool {
	if answered {
		timer := time.NewTimer(writeGrace)
		defer timer.Stop()
		select {
		case <-s.done:
		case <-timer.C:
		}
	}
	select {
	case <-s.done:
	default:
		s.stopping.Store(true)
		if s.request.Rest != nil {
			s.request.Rest.Interrupt()
		}
		s.conn.Close()
		<-s.done
	}
	if s.err != nil {
		s.conn.Close()
	}
	return s.err == nil
}

// failure returns the error of an exchange that got no answer, by the error of its
// reader. Call it after finish.
func (s *sending) failure(readErr error) error {
	switch {
	case s.restErr != nil:
		return &Error{Op: "read request body", Kind: KindBodyCut, Err: s.restErr}
	case s.err != nil && !s.stopping.Load() && KindOf(readErr) != KindGarbled:
		return transferError("write", s.err)
	}
	return readErr
}

// setUserTimeout sets how long sent bytes may remain unacknowledged. Zero leaves it to
// the operating system.
func (x *conn) setUserTimeout(d time.Duration) error {
	raw, err := x.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
