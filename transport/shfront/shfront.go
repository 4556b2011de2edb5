// Package shfront forwards HTTP requests of callers to backend servers by the
// routing table of the fleet.
//
// # Model
//
// A request is read completely, matched to a route, and sent to a backend server
// that shbalance chooses. The result of the attempt decides what happens next:
//
//   - A complete answer is sent to the caller unchanged, unless its status would
//     promise that a request that may have run has not. A long answer of a route
//     for downloads is sent while it arrives; if it breaks off, the connection to
//     the caller is closed.
//   - A request that certainly did not run is sent to another backend server.
//   - An idempotent request is also sent to another backend server if its answer
//     was lost or reports a failure of the backend server.
//   - A request that must not run twice and may have run ends with an unknown
//     outcome.
//
// The head of each answer may say that the backend server leaves, or, with status 503
// and Retry-After, for how long it wants no requests. The balancer then chooses others,
// also for requests that have been given this one but are not yet sent.
//
// With Balancer.HedgeShare set, an idempotent request whose answer is later than most may
// be sent to a second backend server while the first still works. The first valid answer
// is delivered, and the other send is canceled. Such a second send counts as a retry.
//
// Retries are limited by the number of attempts and the timeout of the route,
// the caller's timeout, and a retry budget per service. The caller is told that
// the request has not run only if no attempt may have run. In place of such an answer of
// a backend server that does not state the same by Dialect.NotRun, the caller gets 502,
// or 504 after the deadline. When the caller closes
// its connection, the attempt in progress is canceled.
//
// # Dialect
//
// A Dialect gives the names of headers and says how answers are marked as refused
// or signed, so that Handler can follow the protocol of a platform.
package shfront

import (
	"net/http"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

const (
	// maxDialFailures bounds the failed connection attempts of one request.
	maxDialFailures = 4
	// answerMargin is subtracted from the timeout of a request, for the time that
	// the answer needs to reach the caller.
	answerMargin = 20 * time.Millisecond
	// minAttemptShare is the part of the objective that must be left until the
	// deadline for another attempt.
	minAttemptShare = 0.1
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal, which
	// is then extended by a random part of up to retrySpread, so that callers do
	// not retry at the same time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	retrySpread   = 0.5
	// noTableRetryAfter is the Retry-After before the VM has its first routing
	// table, which it gets within about a second of its start.
	noTableRetryAfter = 300 * time.Millisecond
	// maxRetryAfterSeconds bounds a number of seconds that a backend server states, so
	// that it is a time.Duration. The balancer has a lower bound.
	maxRetryAfterSeconds = 1 << 30
	// streamFrom is the length of an answer, in bytes, from which it is passed on
	// while it arrives, on routes for downloads. Shorter answers are held, so that
	// another attempt can follow if one breaks off.
	streamFrom = 32 << 10
	// streamPiece is the size of the buffer for such an answer, in bytes.
	streamPiece = 16 << 10
)

// Dialect describes the headers of requests and answers. Header names are
// canonical.
type Dialect struct {
	// RequestID is the header with the request ID, in requests and answers.
	RequestID string
	// Timeout is the header with the time left in milliseconds, in requests of
	// callers and to backend servers.
	Timeout string
	// Instance is the header with the ID of the backend server that a request is
	// for. Any other backend server refuses it with StatusReplaced.
	Instance string
	// NotRun is the header that a backend server sets if it did not run the
	// request.
	NotRun string
	// Signature is the header that shows that a backend server made the answer.
	Signature string
	// Load is the header with the load report of a backend server, which
	// ParseLoad reads.
	Load string
	// Identity is the header by which an answer may name the backend server that made
	// it.
	Identity string
	// Leaving reports whether an answer says that its backend server leaves. With nil
	// none does.
	Leaving func(http.Header) bool
	// KeyHeader is the header in which callers present the key of their team, which
	// TeamKey reads; it returns "" if there is none. Backend servers get the name of the
	// team in the header Team in its place. With empty names there are no teams.
	KeyHeader string
	TeamKey   func(http.Header) string
	Team      string
	// Key returns the name of the object that a request is about, or "".
	Key func(http.Header) string
	// ParseLoad parses a load report and returns nil if it is malformed.
	ParseLoad func(string) *shbalance.Load
}

// StatusReplaced is the status that a backend server returns for a request that
// was meant for another one.
const StatusReplaced = http.StatusMisdirectedRequest

// CrashReport tells the fleet that the connection to a backend server broke during
// a request, which counts as a crash, or, with Cleared set, that a backend server
// completed a request that has a crash count.
type CrashReport struct {
	Digest shmodel.Digest
	// Service is what the request was sent to.
	Service shmodel.Service
	Cleared bool
	// Instance is the backend server that seems to have crashed, nil if Cleared.
	Instance *shfleet.Instance
}

// Account takes account records. The methods must not block.
type Account interface {
	// Next returns the ID of a new request, or zero if none is available now.
	Next() shmodel.RequestID
	// Write takes all records of one request, which have the same ID. Records
	// without an ID get one.
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
