// Package shwire defines the messages of the system: the HTTP headers and bodies
// exchanged with callers and backend servers, and the jsonrpc2 methods between
// processes.
//
// Every body is JSON. Times and durations in HTTP headers and bodies are in
// milliseconds; durations in jsonrpc2 messages are in nanoseconds, the JSON form
// of time.Duration.
//
// The Header constants name HTTP headers, the Path constants HTTP paths and the
// Method constants jsonrpc2 methods. The types are bodies; those of the account
// methods are in shaccount, and the answer to MethodBurn is in shburn.
package shwire

import (
	"sequoiahollow/state/shmodel"
)

// HTTP headers.
const (
	// HeaderService names the service of a caller's request.
	HeaderService = "Sequoiahollow-Service"
	// HeaderRequestID carries the request ID in answers, in requests to backend
	// servers and in their answers.
	HeaderRequestID = "Sequoiahollow-Request-Id"
	// HeaderAttempt carries the attempt number to backend servers.
	HeaderAttempt = "Sequoiahollow-Attempt"
	// HeaderOutcome carries an shmodel.Outcome in answers.
	HeaderOutcome = "Sequoiahollow-Outcome"
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Sequoiahollow-Timeout-Ms"
	// HeaderDeadline is an absolute deadline, in Unix milliseconds.
	HeaderDeadline = "Sequoiahollow-Deadline"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderIncarnation carries the incarnation of the backend server that an
	// attempt is meant for, in requests and cancellations. A backend server of
	// another incarnation has forgotten earlier runs and cancellations: it must
	// refuse the request as not run, and answer unknown to the cancellation.
	HeaderIncarnation = "Sequoiahollow-Incarnation"
	// HeaderReplayed is "true" on an answer recorded by an earlier execution.
	HeaderReplayed = "Sequoiahollow-Replayed"
)

// Paths of the HTTP interfaces.
const (
	// PathEntries is the lookup of callers: GET PathEntries?service=NAME, answered
	// with Entries.
	PathEntries = "/v1/entries"
	// PathAnnouncements takes a POST of an Announcement from a backend server.
	PathAnnouncements = "/v1/announcements"
	// PathForward is the path of requests that one entry VM forwards to another.
	PathForward = "/v1/forward"
	// PathRequests is the cancellation interface of backend servers:
	// DELETE PathRequests/{requestID}/{attempt}.
	PathRequests = "/v1/requests"
)

// Entries is the answer to a lookup: entry VMs in the order of preference. The
// caller may use it for CacheForMS milliseconds.
type Entries struct {
	Service    shmodel.Service `json:"service"`
	Revision   uint64          `json:"revision"`
	CacheForMS int64           `json:"cacheForMs"`
	Entries    []EntryAddress  `json:"entries"`
}

// EntryAddress is one entry VM in a lookup answer. Address is IP:port.
type EntryAddress struct {
	VM            shmodel.VM            `json:"vm"`
	Region        shmodel.Region        `json:"region"`
	FailureDomain shmodel.FailureDomain `json:"failureDomain"`
	Address       string                `json:"address"`
}

// Announcement is what a backend server posts to its owner every 500 ms.
type Announcement struct {
	BackendServer shmodel.BackendServer `json:"backendServer"`
	Service       shmodel.Service       `json:"service"`
	// Address is IP:port.
	Address string        `json:"address"`
	Place   shmodel.Place `json:"place"`
	// Incarnation increases with each start of the backend server.
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// InFlight is the number of requests that the backend server runs now.
	InFlight int `json:"inFlight"`
	// Load is the reported utilization, 0 to 1.
	Load    float64 `json:"load"`
	Cold    bool    `json:"cold,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// Nonce echoes the owner's previous answer; empty in a first announcement.
	Nonce string `json:"nonce,omitempty"`
}

// AnnouncementAnswer is the owner's answer. The backend server may announce
// itself to another owner only LeaseMS plus the permitted clock drift after its
// last announcement, or at once if Released is set.
type AnnouncementAnswer struct {
	Nonce   string `json:"nonce"`
	LeaseMS int64  `json:"leaseMs"`
	// Released says that the owner released its lease.
	Released bool `json:"released,omitempty"`
	// Owners lists the ServerAddresses to announce to, best first.
	Owners []string `json:"owners,omitempty"`
}

// CancelStatus is the answer to a cancellation.
type CancelStatus string

// Cancel statuses.
const (
	// CancelNotRun promises that the attempt did not and will not run.
	CancelNotRun CancelStatus = "not-run"
	// CancelRunning says that the attempt runs and cannot be stopped.
	CancelRunning CancelStatus = "running"
	// CancelDone says that the attempt ran to its end.
	CancelDone CancelStatus = "done"
	// CancelUnknown says that the backend server has restarted since the attempt
	// was sent. The attempt does not run and will not, but may have run.
	CancelUnknown CancelStatus = "unknown"
)

// CancelAnswer is the body of the answer to a cancellation.
type CancelAnswer struct {
	Status CancelStatus `json:"status"`
}

// Problem is an application/problem+json body.
type Problem struct {
	Type      string            `json:"type"`
	Title     string            `json:"title"`
	Status    int               `json:"status"`
	Detail    string            `json:"detail,omitempty"`
	RequestID shmodel.RequestID `json:"requestId,omitempty"`
	Outcome   shmodel.Outcome   `json:"outcome,omitempty"`
	Reason    string            `json:"reason,omitempty"`
}

// ContentTypeProblem is the media type of Problem.
const ContentTypeProblem = "application/problem+json"
