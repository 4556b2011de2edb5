// Package shfront serves HTTP requests of callers by the routing table of the
// fleet.
//
// # Model
//
// A request is read whole, matched to a route, and sent to a backend server that
// shbalance chooses. How it ends decides what happens next:
//
//   - A whole answer is passed on unchanged.
//   - A request that certainly did not run goes to another backend server.
//   - An idempotent request whose answer was lost or is a failure of the backend
//     server goes to another one too.
//   - A request that must not run twice and may have run ends as Unknown.
//
// The attempts of the route, its timeout, the caller's timeout and a budget that
// bounds further attempts per service limit this. The caller is told NotRun only
// if no attempt may have run. When the caller leaves, the attempt in progress is
// abandoned.
//
// # Dialect
//
// The names of headers, and what marks an answer as refused or whole, come from a
// Dialect, so that one front speaks what a platform prescribes.
package shfront

import (
	"net/http"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

const (
	// maxDials bounds the backend servers that one request tries to reach.
	maxDials = 4
	// headRoom is kept of the time left for the answer's way back.
	headRoom = 20 * time.Millisecond
	// leastAttempt is the part of the objective that another attempt must have
	// left to be worth a try.
	leastAttempt = 0.1
	// minRetryAfter and maxRetryAfter bound what a refused caller is told; the
	// actual time is spread by retrySpread.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	retrySpread   = 0.5
	// noTableRetry is what a caller is told before the first routing table: a
	// VM has it within about a second of its start.
	noTableRetry = 300 * time.Millisecond
	// crashLimit is the number of backend servers that a request may have
	// broken before it is refused.
	crashLimit = 3
)

// Dialect is how requests and answers are marked. Header names are canonical.
type Dialect struct {
	// RequestID names the request in both directions.
	RequestID string
	// Timeout is the time left in milliseconds, from the caller and towards the
	// backend server.
	Timeout string
	// Instance names the backend server that a request is meant for; another one
	// refuses it with StatusReplaced.
	Instance string
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
	// Seal marks an answer as made by a backend server.
	Seal string
	// Load carries the load report of a backend server, read by ParseLoad.
	Load string
	// Key returns the name of the object that a request is about, or "".
	Key func(http.Header) string
	// ParseLoad reads a load report; nil means that it is unreadable.
	ParseLoad func(string) *shbalance.Load
}

// StatusReplaced is the answer of a backend server that a request was not meant
// for.
const StatusReplaced = http.StatusMisdirectedRequest

// CrashReport tells the fleet about a request that broke a backend server, or
// with Cleared that it ran to a good end.
type CrashReport struct {
	Digest  shmodel.Digest
	Cleared bool
}

// Account takes account records. Both methods must not block.
type Account interface {
	// Next numbers a request; zero means that no number is to be had now.
	Next() shmodel.RequestID
	// Write takes all records of one request, which share its number. Records
	// without a number get one.
	Write(records []shrecord.Record)
}

// Outcome labels for logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeCanceled = "canceled"
	outcomeRejected = "rejected"
)
