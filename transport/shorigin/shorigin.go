// Package shorigin is the HTTP/1.1 client for backend servers.
//
// # Model
//
// A Client sends one request at a time on a connection and never retries: the
// code that calls Do decides about another attempt. An Error says how far the
// request got. KindNotSent and KindWithheld mean that no byte of it left this process;
// after any other kind the backend server may have run it.
//
// An answer belongs to a request only if it echoes the request's ID. Answers
// with another ID, which a faulty backend server sends after an earlier answer,
// are skipped. A connection is reused only if it is in sync: the answer had a
// length, nothing followed it, and nothing has arrived since.
//
// The body of a successful answer to a request with StreamFrom set is passed on
// while it arrives, if it is at least that long: the Response then has a Stream in
// place of a Body. Its connection is in use until the Stream is closed.
//
// A long body is written while the answer is awaited, and one with a Rest is passed on
// while it arrives. A backend server may answer before the end of the body: the answer is
// then returned, and the connection is closed, since other bytes must not arrive where
// the rest of the body is due.
//
// A status outside 100 to 599 is no answer, nor is 101: the error is of KindGarbled.
//
// What is read for one answer is bounded: a backend server may send bytes without
// end, in a head or in a body. The connection is then closed and the error is of
// KindGarbled.
//
// An idle connection may be dead without the client being notified. A request
// that must not be repeated therefore uses one only if it was last used within
// maxIdleOnce.
package shorigin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection. It is four round trips of
	// the slowest link (35 ms one way). A lost SYN is sent again only after a
	// second, so a slightly longer timeout would not help.
	dialTimeout = 300 * time.Millisecond
	// maxUnacknowledged is how long sent bytes may remain unacknowledged before
	// the connection is closed.
	maxUnacknowledged = 1500 * time.Millisecond
	// maxIdleOnce is how long a connection may have been idle to be used for a
	// request that must not be repeated.
	maxIdleOnce = time.Second
	// defaultIdleTimeout is the idle timeout of a connection if the backend server
	// does not state one.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the backend server
	// states, for the time that a request takes to arrive there.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one backend server, and
	// maxIdleTotal those to all.
	maxIdlePerServer = 8
	maxIdleTotal     = 1024
	// maxFraming bounds the framing of the body of an answer, in bytes, and what is read
	// to reach the end of its head, which shanswer bounds further.
	maxFraming = 256 << 10
	// maxBody bounds the body of an answer that is not passed on as a stream, in
	// bytes. Answers in the deployments are below 540 KB.
	maxBody = 16 << 20
	// bodyStep is the step, in bytes, in which a body that is held takes memory.
	// All such bodies together may take maxHeldBytes beyond their first steps. The
	// smallest entry VM has 284 MB.
	bodyStep     = 256 << 10
	maxHeldBytes = 32 << 20
	// readBuffer is the size of a read buffer in bytes. It fits the head of an
	// answer and most bodies.
	readBuffer = 4096
	// maxAnswersRead bounds the answers that are read for one request, including
	// interim answers and answers to other requests.
	maxAnswersRead = 4
)

// Kind says how far a request got.
type Kind string

// Kinds of errors.
const (
	// KindNotSent says that no byte was sent.
	KindNotSent Kind = "not-sent"
	// KindWithheld says that no byte was sent because MaySend forbade it.
	KindWithheld Kind = "withheld"
	// KindBroken says that the connection broke after bytes were sent.
	KindBroken Kind = "broken"
	// KindGarbled says that the bytes received are not a complete answer to the
	// request.
	KindGarbled Kind = "garbled"
	// KindTimeout says that no complete answer arrived in time.
	KindTimeout Kind = "timeout"
	// KindNoMemory says that there was no memory to hold the answer.
	KindNoMemory Kind = "no-memory"
	// KindCanceled says that the context was canceled.
	KindCanceled Kind = "canceled"
	// KindBodyCut says that the rest of the request body could not be read. The backend
	// server has got a part of it.
	KindBodyCut Kind = "body-cut"
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
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header must not contain hop-by-hop fields.
	Header http.Header
	// Body is the held part of the body, in pieces. The slice is cleared once it has been
	// written and the rest follows.
	Body [][]byte
	// Rest continues the body. Nil if Body is the whole of it.
	Rest Rest
	// Length is the length of the whole body if it has a Rest and is not Chunked.
	Length int64
	// Chunked says that the body is sent with chunked encoding, because the
	// caller stated no length.
	Chunked bool
	// EchoHeader names the header whose value the answer must repeat.
	EchoHeader string
	// TimeoutHeader, if set, names the header for the time left in milliseconds.
	TimeoutHeader string
	// Deadline is when the complete answer must have arrived.
	Deadline time.Time
	// MaySend reports whether the request may still be sent. It is called before a
	// connection is opened and again right before the request is written. Nil means
	// always.
	MaySend func() bool
	// Hold bounds the memory of the bodies of answers that are held, and HeadHold that of
	// long heads; with nil, all that are read at a time share a bound.
	Hold     AnswerHold
	HeadHold AnswerHold
	// Once says that the request must not run twice.
	Once bool
	// StreamFrom is the length, in bytes, from which the body of a successful
	// answer is returned as a Stream. Zero means never, as does a body with a Rest.
	StreamFrom int64
}

// Response is an answer. It is complete unless it has a Stream. Beside an error it has
// the status and the header of an answer whose body is not complete, if one came.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is the body of a long answer, which is Length bytes long. The
	// receiver must close it. Nil if Body is the whole body.
	Stream io.ReadCloser
	Length int64
	// Reused says that an idle connection was used. Otherwise Connect is the time
	// that opening a connection took, about one round trip.
	Reused  bool
	Connect time.Duration
}
