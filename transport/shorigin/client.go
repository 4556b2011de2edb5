package shorigin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shanswer"
)

// Client sends requests to backend servers and reuses connections. The zero value
// is ready to use. A Client is safe for concurrent use.
type Client struct {
	// Link is the network link of the VM.
	Link Link

	// MaxConnections bounds the open connections; zero means no bound. Beyond it, idle
	// connections are closed, and requests that need a new one are withheld.
	MaxConnections int

	open      atomic.Int64
	mu        sync.Mutex
	idle      map[string][]*conn
	idleCount int
	// held is the memory that the large bodies that are being read share, in bytes.
	held atomic.Int64
}

// conn is a connection to a backend server. While it is idle no request on it is
// in progress.
type conn struct {
	net.Conn
	// answers is below Conn and checks the heads of answers.
	answers *shanswer.Conn
	reader  *bufio.Reader
	// input is below reader and bounds what an answer may bring.
	input  *boundedInput
	held   *atomic.Int64 // of the Client
	link   *Link
	usedAt time.Time
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	// slowWrite says that a long body was written, without a bound on the time that sent
	// bytes remain unacknowledged.
	slowWrite bool
}

// Do sends a request to address and returns the complete answer. Errors are of
// type *Error.
func (c *Client) Do(ctx context.Context, address string, r Request) (Response, error) {
	if err := r.checkMaySend(); err != nil {
		return Response{}, err
	}
	x, connect, err := c.connection(ctx, address, r)
	if err != nil {
		return Response{}, err
	}
	reused := connect == 0
	stop := context.AfterFunc(ctx, func() { x.Close() })
	response, keep, sent, err := exchange(x, r)
	response.Reused, response.Connect = reused, connect
	if response.Stream != nil {
		response.Stream = &stream{body: response.Stream, left: response.Length, finish: func(complete bool) {
			whole := sent.finish(complete)
			c.release(address, x, stop() && complete && keep && whole && x.reader.Buffered() == 0)
		}}
		return response, nil
	}
	// To interrupt the rest of a body may cancel ctx.
	canceled := !stop()
	if sent != nil {
		keep = sent.finish(err == nil) && keep
		if err != nil {
			err = sent.failure(err)
		}
	}
	c.release(address, x, err == nil && keep && !canceled)
	if err != nil && canceled && KindOf(err) != KindBodyCut {
		return response, &Error{Op: "exchange", Kind: KindCanceled, Err: context.Cause(ctx)}
	}
	return response, err
}

// connection returns a connection to a backend server and the time that it took to open it,
// zero for an idle one.
func (c *Client) connection(ctx context.Context, address string, r Request) (*conn, time.Duration, error) {
	if x := c.idleConn(address, r.Once); x != nil {
		return x, 0, nil
	}
	began := time.Now()
	x, err := c.dial(ctx, address, min(c.Link.dialTimeout(), time.Until(r.Deadline)))
	if err != nil {
		return nil, 0, err
	}
	x.link = &c.Link
	return x, max(time.Since(began), 1), nil
}

func (r Request) checkMaySend() error {
	if r.MaySend == nil || r.MaySend() {
		return nil
	}
	return &Error{Op: "write", Kind: KindWithheld, Err: errors.New("the backend server takes no more requests")}
}

// release keeps a connection for reuse or closes it.
func (c *Client) release(address string, x *conn, reusable bool) {
	if !reusable {
		x.Close()
		return
	}
	c.put(address, x)
}

// stream is the body of a long answer.
type stream struct {
	body io.Reader
	left int64 // bytes that have not been read
	// finish releases the connection; complete says that the body was read whole.
	finish func(complete bool)
	closed bool
}

// Read implements io.Reader. It returns io.EOF only after the whole body; other
// errors are of type *Error.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.left -= int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && s.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return n, transferError("read body", err)
}

// Close implements io.Closer.
func (s *stream) Close() error {
	if !s.closed {
		s.closed = true
		s.finish(s.left == 0)
	}
	return nil
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(maxUnacknowledged.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}}
	nc, err := shanswer.Dial(ctx, &d, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Err: err}
	}
	input := &boundedInput{source: nc}
	return &conn{Conn: nc, answers: nc, input: input, reader: bufio.NewReaderSize(input, readBuffer)}, nil
}

// boundedInput reads from a connection until a bound is reached, so that a backend
// server that sends without end does not fill the memory.
type boundedInput struct {
	source io.Reader
	left   int64 // bytes that may still be read
}

// errInputTooLong is the error of a boundedInput at its bound.
var errInputTooLong = errors.New("more bytes than an answer may have")

// Read implements io.Reader.
func (i *boundedInput) Read(p []byte) (int, error) {
	if i.left <= 0 {
		return 0, errInputTooLong
	}
	n, err := i.source.Read(p[:min(int64(len(p)), i.left)])
	i.left -= int64(n)
	return n, err
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// idleConn returns an idle connection, or nil if there is no usable one.
func (c *Client) idleConn(address string, once bool) *conn {
	now := time.Now()
	for {
		x := c.pop(address)
		if x == nil {
			return nil
		}
		limit := x.idleLimit
		if once {
			limit = min(limit, maxIdleOnce)
		}
		if now.Sub(x.usedAt) < limit && x.hasNoInput() {
			return x
		}
		x.Close()
	}
}

// pop removes and returns the idle connection that was used last, or nil.
func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	x := list[len(list)-1]
	c.idleCount--
	if len(list) == 1 {
		delete(c.idle, address)
	} else {
		c.idle[address] = list[:len(list)-1]
	}
	return x
}

// put keeps a connection for reuse, or closes it if too many are idle.
func (c *Client) put(address string, x *conn) {
	// If the deadline of the last request stayed set, hasNoInput would fail once
	// it has passed.
	if err := x.SetDeadline(time.Time{}); err != nil {
		x.Close()
		return
	}
	if x.slowWrite && x.setUserTimeout(maxUnacknowledged) != nil {
		x.Close()
		return
	}
	x.slowWrite = false
	x.usedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if len(c.idle[address]) >= maxIdlePerServer || c.idleCount >= maxIdleTotal {
		x.Close()
		return
	}
	c.idleCount++
	c.idle[address] = append(c.idle[address], x)
}

// Prune closes connections that have been idle for too long.
func (c *Client) Prune() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		rest := list[:0]
		for _, x := range list {
			if now.Sub(x.usedAt) < x.idleLimit {
				rest = append(rest, x)
				continue
			}
			c.idleCount--
			x.Close()
		}
		if len(rest) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = rest
		}
	}
}

// hasNoInput reports whether neither data nor the end of the stream has arrived
// on an idle connection.
func (x *conn) hasNoInput() bool {
	if x.reader.Buffered() > 0 {
		return false
	}
	raw, err := x.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noInput
}

// exchange sends a request and reads its answer. The boolean result says whether the
// answer lets the connection be reused. The sending is nil if nothing was written.
func exchange(x *conn, r Request) (Response, bool, *sending, error) {
	if err := x.SetDeadline(r.Deadline); err != nil {
		return Response{}, false, nil, &Error{Op: "set deadline", Kind: KindNotSent, Err: err}
	}
	left := time.Until(r.Deadline)
	if left <= 0 {
		return Response{}, false, nil, &Error{Op: "write", Kind: KindNotSent, Err: errors.New("the deadline has passed")}
	}
	head := encodeHead(r, left)
	if err := r.checkMaySend(); err != nil {
		return Response{}, false, nil, err
	}
	sent := startSending(x, r, head)
	response, keep, err := x.readAnswer(r)
	return response, keep, sent, err
}

// readAnswer reads the answer to a request. The boolean result says whether the
// connection may be reused.
func (x *conn) readAnswer(r Request) (Response, bool, error) {
	inSync := true
	room := r.headRoom(x.held)
	defer room.end()
	for range maxAnswersRead {
		// The head before was that of another answer.
		room.release()
		answer, err := x.readHead(r, room)
		if err != nil {
			return Response{}, false, transferError("read head", err)
		}
		if isInterim(answer.StatusCode) {
			continue
		}
		if !shmodel.IsFinalStatus(answer.StatusCode) {
			return Response{}, false, &Error{Op: "read head", Kind: KindGarbled, Err: fmt.Errorf("status %q", answer.Status)}
		}
		if answer.Header.Get(r.EchoHeader) != r.Header.Get(r.EchoHeader) {
			x.input.left = maxBody
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				return Response{}, false, transferError("skip body", err)
			}
			inSync = false
			continue
		}
		if isStreamed(r, answer) {
			x.idleLimit = idleTimeout(answer.Header)
			x.input.left = answer.ContentLength + maxFraming
			keep := inSync && !answer.Close && x.idleLimit > 0
			return Response{
				Status: answer.StatusCode, Header: answer.Header, Stream: answer.Body, Length: answer.ContentLength,
			}, keep, nil
		}
		body, err := x.readBody(r, answer)
		if err != nil {
			return Response{Status: answer.StatusCode, Header: answer.Header}, false, transferError("read body", err)
		}
		x.idleLimit = idleTimeout(answer.Header)
		keep := inSync && !answer.Close && x.reader.Buffered() == 0 && x.idleLimit > 0
		return Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, keep, nil
	}
	return Response{}, false, &Error{Op: "read head", Kind: KindGarbled, Err: errors.New("answers to other requests only")}
}

// readHead reads the head of an answer into room.
func (x *conn) readHead(r Request, room *headRoom) (*http.Response, error) {
	x.input.left = maxFraming
	// Peek returns all that it is asked for: it is buffered.
	buffered, _ := x.reader.Peek(x.reader.Buffered())
	if err := x.answers.Expect(buffered, room.reserve); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(x.reader, &http.Request{Method: r.Method})
	if err == nil {
		shanswer.CheckTrailer(answer)
	}
	return answer, err
}

// isInterim reports whether a status precedes an answer.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readBody reads a body that is held until it is complete. It takes memory a step at a
// time. The steps are joined only at the end, for which memory is taken once more: a
// buffer that grows would leave as much garbage again.
func (x *conn) readBody(r Request, answer *http.Response) ([]byte, error) {
	memory := r.Hold
	if memory == nil {
		shared := &sharedHold{held: x.held}
		defer shared.release()
		memory = shared
	}
	step := int64(bodyStep)
	if n := answer.ContentLength; n >= 0 {
		step = min(step, n)
	}
	if err := memory.Reserve(step); err != nil {
		return nil, noMemory("a body", 0, r.Hold, err)
	}
	x.input.left = bodyStep + maxFraming
	first, err := io.ReadAll(io.LimitReader(answer.Body, bodyStep))
	if err != nil || len(first) < bodyStep {
		memory.Release(step - min(step, int64(len(first))))
		return first, err
	}
	for steps := [][]byte{first}; ; {
		read := len(steps) * bodyStep
		if read >= maxBody {
			return nil, fmt.Errorf("a body of %d bytes or more", maxBody)
		}
		if err := memory.Reserve(2 * bodyStep); err != nil {
			return nil, noMemory("a body", int64(read), r.Hold, err)
		}
		step := make([]byte, bodyStep)
		x.input.left = bodyStep + maxFraming
		n, err := readUpTo(answer.Body, step)
		steps = append(steps, step[:n])
		switch {
		case err != nil:
			return nil, err
		case n < bodyStep:
			body := bytes.Join(steps, nil)
			memory.Release(int64(len(steps)-1) * bodyStep)
			return body, nil
		}
	}
}

// readUpTo reads until p is full or r has ended. Unlike io.ReadFull it tells the end
// of r from an answer that breaks off.
func readUpTo(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		switch {
		case errors.Is(err, io.EOF):
			return n, nil
		case err != nil:
			return n, err
		}
	}
	return n, nil
}

// isStreamed reports whether the body of an answer is returned as a Stream.
func isStreamed(r Request, answer *http.Response) bool {
	return r.StreamFrom > 0 && r.Rest == nil && r.Method != http.MethodHead && answer.ContentLength >= r.StreamFrom && answer.StatusCode < http.StatusMultipleChoices
}

// transferError classifies an error after the first byte was sent.
func transferError(op string, err error) *Error {
	kind := KindGarbled
	var netErr net.Error
	var short noMemoryError
	switch {
	case errors.As(err, &short):
		kind = KindNoMemory
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		kind = KindBroken
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		// ETIMEDOUT means that the peer acknowledged nothing for the time that
		// maxUnacknowledged allows; the deadline has not passed.
		kind = KindBroken
	case errors.As(err, &netErr) && netErr.Timeout():
		kind = KindTimeout
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// idleTimeout returns how long a connection may be idle after an answer.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout
}
