// Package shorigin is the HTTP/1.1 client towards backend servers.
//
// # Model
//
// A Client sends one request at a time on a connection and never repeats one:
// its caller decides about another attempt. An Error says how far the request
// came. KindNotSent means that no byte of it left this process; after any other
// kind the backend server may have run it.
//
// An answer belongs to a request only if it echoes the request's ID. Answers
// with another ID, which a faulty backend server sends behind an earlier answer,
// are skipped. A connection is reused only if it has stayed in step: the answer
// had a length, nothing followed it, and nothing has arrived since.
//
// A kept connection may have died without a sign. A request that must not be
// repeated therefore uses one only if it was used within freshFor.
package shorigin

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds a new connection. It is four round trips of the
	// slowest link (35 ms one way); a lost opening packet is repeated after a
	// second, so waiting longer helps little.
	dialTimeout = 300 * time.Millisecond
	// unacknowledged is how long sent bytes may stay without acknowledgement
	// before the connection counts as dead.
	unacknowledged = 1500 * time.Millisecond
	// freshFor is how recently a connection must have been used to carry a
	// request that must not be repeated.
	freshFor = time.Second
	// defaultIdle is how long a connection is kept if the backend server does
	// not state its idle timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout for the time that a
	// request is on its way.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds kept connections to one backend server, and maxKept to all.
	maxIdle = 8
	maxKept = 1024
	// maxBody bounds an answer, in bytes. Answers of the sites are below 64 KiB.
	maxBody = 16 << 20
	// readBuffer holds the head and most bodies of an answer, in bytes.
	readBuffer = 4096
	// maxSkipped bounds answers to other requests before the own one.
	maxSkipped = 4
)

// Kind says how far a request came.
type Kind string

// Kinds.
const (
	// KindNotSent says that no byte was sent.
	KindNotSent Kind = "not-sent"
	// KindBroken says that the connection broke after bytes were sent.
	KindBroken Kind = "broken"
	// KindGarbled says that what came back is no whole answer to the request.
	KindGarbled Kind = "garbled"
	// KindTimeout says that no whole answer came in time.
	KindTimeout Kind = "timeout"
	// KindCanceled says that the caller gave up.
	KindCanceled Kind = "canceled"
)

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

// KindOf returns the kind of an error of this package, "" for other errors.
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}

// Request is one request to one backend server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header must not contain fields that concern one connection.
	Header http.Header
	Body   []byte
	// Chunked says that the caller sent the body without a length.
	Chunked bool
	// EchoHeader names the header whose value the answer must repeat.
	EchoHeader string
	// TimeoutHeader, if set, states the time left in milliseconds.
	TimeoutHeader string
	// Deadline bounds the exchange.
	Deadline time.Time
	// Once says that the request must not run twice.
	Once bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused says that a kept connection was used; otherwise making one took
	// Connect, a round trip.
	Reused  bool
	Connect time.Duration
}
