package shfront

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shorigin"
)

const (
	// longBody is the length, in bytes, above which a body is not read if its request is
	// refused. Shorter ones have mostly arrived with the head.
	longBody = 16 << 10
	// maxHeldBody is how much of a body is held, in bytes, so that the request may be
	// sent to another backend server. Uploads of the deployments are below 360 KB.
	maxHeldBody = 1 << 20
	// bodyStep is the largest step in which a body is read, and the size of the buffer
	// through which its rest passes, in bytes.
	bodyStep = 32 << 10
	// firstBodyStep is the first step of a body without a stated length: most are short.
	firstBodyStep = 4 << 10
	// defaultStall is the default of Handler.Stall. It bears two lost packets in a row,
	// which TCP sends again after one and after three seconds.
	defaultStall = 5 * time.Second
	// unreadBodyTime bounds how long net/http reads on after an answer, looking for the end
	// of a body that was not read.
	unreadBodyTime = time.Second
	// unknownBodySize is what a long body without a stated length counts in flight.
	unknownBodySize = 4 << 20
)

// BodyHold is the memory that the body of one request takes. Its methods are called by
// one goroutine at a time and must not wait for other requests.
type BodyHold interface {
	// Reserve takes n bytes before they are allocated. An error that is ErrGivenUp says
	// that the connection of the caller was closed to make room for others; the request
	// then ends as canceled. With any other error the request is refused as not run.
	Reserve(n int64) error
	// Release returns n of the reserved bytes.
	Release(n int64)
	// Close ends the hold and releases what is still reserved. It is called once, when
	// the request has ended.
	Close()
}

// ErrGivenUp is the error of BodyHold.Reserve on a connection that was given up. Who
// gives it up closes it: a deadline for reads would be replaced by that of the next
// read.
var ErrGivenUp = errors.New("the connection of the caller was given up")

// errInterrupted is the error of a read that ends because the attempt is over.
var errInterrupted = errors.New("the attempt is over")

// noMemoryError is an error of BodyHold.Reserve.
type noMemoryError struct{ error }

// Unwrap returns the cause.
func (e noMemoryError) Unwrap() error { return e.error }

// requestBody is the body of the request of a caller. Its first part is held. The
// goroutine that serves the request uses it, and during an attempt that of the client
// that sends the rest.
type requestBody struct {
	reader  io.Reader // nil if there is no body
	control *http.ResponseController
	hold    BodyHold
	stall   time.Duration
	// deadline is when the whole body must have arrived.
	deadline time.Time

	pieces [][]byte
	held   int64 // bytes in pieces
	// read counts all bytes read from the caller, and ended says that they are the whole
	// body.
	read  int64
	ended bool
	// length is the stated length, -1 if there is none.
	length   int64
	reserved int64

	// buffer passes the rest on; nil if the body is held whole.
	buffer []byte
	// err is why the body could not be read, nil if it could.
	err error

	mu sync.Mutex
	// begun says that the rest is read from the caller, so that no further attempt is
	// possible. stopped says that the attempt is over.
	begun   bool
	stopped bool
}

// openBody sets up the body of the request.
func (x *exchange) openBody() {
	r := x.request
	x.body.length = r.ContentLength
	x.body.ended = r.Body == nil || r.ContentLength == 0
	x.body.control = http.NewResponseController(x.writer)
	x.body.stall = x.handler.Stall
	if x.body.stall <= 0 {
		x.body.stall = defaultStall
	}
}

// isLong reports whether the body is longer than what a caller sends at once.
func (b *requestBody) isLong() bool { return !b.ended && (b.length < 0 || b.length > longBody) }

// readBody reads the body of a request, up to the part that is held. If that fails it
// answers the caller and returns false.
func (x *exchange) readBody(limit int64) bool {
	r, b := x.request, &x.body
	if b.ended {
		return true
	}
	b.deadline = x.received.Add(b.stall)
	if x.route != nil {
		// An attempt must not end by its own deadline when the caller is late.
		b.deadline = x.deadline.Add(-answerMargin)
	}
	if limit > 0 && r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, fmt.Sprintf("body of %d bytes", r.ContentLength))
		return false
	}
	b.reader = r.Body
	if limit > 0 {
		b.reader = http.MaxBytesReader(x.writer, r.Body, limit)
	}
	if x.handler.Hold != nil {
		b.hold = x.handler.Hold(r)
	}
	if err := b.fill(); err != nil {
		x.endByBody(err)
		return false
	}
	return true
}

// endByBody ends a request whose body could not be read.
func (x *exchange) endByBody(err error) {
	_, tooLarge := errors.AsType[*http.MaxBytesError](err)
	_, noMemory := errors.AsType[noMemoryError](err)
	late := errors.Is(err, os.ErrDeadlineExceeded)
	reason := "request body: " + err.Error()
	switch {
	case errors.Is(err, ErrGivenUp):
	case tooLarge:
		x.reject(http.StatusRequestEntityTooLarge, reason)
		return
	case noMemory:
		x.refuse(reason, minRetryAfter)
		return
	case late && x.reached == 0:
		x.reject(http.StatusRequestTimeout, reason)
		return
	case late:
		x.giveUp(reason, minRetryAfter)
		return
	}
	// The caller closed the connection, so no answer can be sent.
	x.finish(outcomeCanceled, 0, reason)
	x.abort()
}

// abort closes the connection of the caller without an answer. net/http reads on before
// it does, looking for the end of the body; that must not wait for the caller.
func (x *exchange) abort() {
	if !x.body.ended {
		_ = x.body.control.SetReadDeadline(time.Unix(1, 0))
	}
	panic(http.ErrAbortHandler)
}

// fill reads the part of the body that is held.
func (b *requestBody) fill() error {
	for step := int64(firstBodyStep); !b.ended; step = bodyStep {
		if b.held >= maxHeldBody {
			if err := b.reserve(bodyStep); err != nil {
				return err
			}
			b.buffer = make([]byte, bodyStep)
			return nil
		}
		if b.length > 0 {
			step = min(bodyStep, b.length-b.held)
		}
		step = min(step, maxHeldBody-b.held)
		if err := b.reserve(step); err != nil {
			return err
		}
		piece := make([]byte, step)
		n := 0
		for n < len(piece) && !b.ended {
			m, err := b.readCaller(piece[n:])
			n += m
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
		}
		if n > 0 {
			b.pieces = append(b.pieces, piece[:n])
			b.held += int64(n)
		}
	}
	return nil
}

func (b *requestBody) reserve(n int64) error {
	if b.hold == nil {
		return nil
	}
	if err := b.hold.Reserve(n); err != nil {
		return noMemoryError{err}
	}
	b.reserved += n
	return nil
}

// readCaller reads from the caller, which must send something before the time limits of
// the body. It sets err, except for errors that Interrupt caused.
func (b *requestBody) readCaller(p []byte) (int, error) {
	limit := time.Now().Add(b.stall)
	if b.deadline.Before(limit) {
		limit = b.deadline
	}
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return 0, errInterrupted
	}
	err := b.control.SetReadDeadline(limit)
	b.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := b.reader.Read(p)
	b.read += int64(n)
	b.ended = errors.Is(err, io.EOF)
	if err != nil && !b.ended && (!errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limit)) {
		b.err = err
	}
	return n, err
}

// release returns the memory of the held part, which no further attempt may use.
func (b *requestBody) release() {
	b.pieces = nil
	if kept := int64(len(b.buffer)); b.hold != nil && b.reserved > kept {
		b.hold.Release(b.reserved - kept)
		b.reserved = kept
	}
}

func (b *requestBody) close() {
	b.release()
	if b.hold != nil {
		b.hold.Close()
	}
}

// size returns the length of the body for the choice of a backend server, an assumed one
// if it is not known.
func (b *requestBody) size() int64 {
	switch {
	case b.buffer == nil:
		return b.held
	case b.length >= 0:
		return b.length
	}
	return unknownBodySize
}

// spent reports whether the rest has been read, so that it cannot be sent again.
func (b *requestBody) spent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun
}

// copyPieces returns the held part for one attempt, which may clear the slice.
func (b *requestBody) copyPieces() [][]byte { return slices.Clone(b.pieces) }

// rest returns the rest of the body for one attempt, nil if the body is held whole.
func (b *requestBody) rest() shorigin.Rest {
	if b.buffer == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = false
	return b
}

// Next implements shorigin.Rest.
func (b *requestBody) Next() ([]byte, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return nil, errInterrupted
	}
	first := !b.begun
	b.begun = true
	b.mu.Unlock()
	if first {
		b.release()
	}
	n, err := b.readCaller(b.buffer)
	return b.buffer[:n], err
}

// Interrupt implements shorigin.Rest.
func (b *requestBody) Interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.begun {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// endUnread prepares an answer before the end of the body: the connection ends with it,
// since a caller may be slow to send the rest or never send it.
func (x *exchange) endUnread() {
	b := &x.body
	if b.ended {
		return
	}
	x.writer.Header().Set("Connection", "close")
	_ = b.control.SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// handleBodyCut ends a request whose body broke off while it was passed on.
func (x *exchange) handleBodyCut(c shbalance.Choice, err error) attemptResult {
	x.handler.Balancer.Done(time.Now(), c, shbalance.Canceled{})
	x.logAttempt(c, string(shorigin.KindBodyCut), err)
	x.mayHaveRun++
	x.reached++
	x.endByBody(x.body.err)
	return attemptDelivered
}

// contentDigest identifies repetitions of a request: equal requests have equal digests.
// Of a body that is not held whole it takes the held part and the stated length.
func (x *exchange) contentDigest() shmodel.Digest {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s %s %s\n", x.request.Method, x.request.Host, x.request.RequestURI, x.key)
	for _, p := range x.body.pieces {
		h.Write(p)
	}
	if x.body.buffer != nil {
		fmt.Fprintf(h, "\n%d", x.body.length)
	}
	var d shmodel.Digest
	copy(d[:], h.Sum(nil))
	return d
}
