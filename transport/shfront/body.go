package shfront

import "errors"

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
