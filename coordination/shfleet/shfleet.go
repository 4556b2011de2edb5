// Package shfleet is the replicated state of a fleet that serves HTTP requests
// through a routing table.
//
// # Model
//
// A State holds the routing table in force, the evacuated failure domains, the
// backend servers that announced themselves, the entry and control VMs, crash
// counts of requests, and the reserved ranges of account record numbers.
// State.Apply applies a Command at its log index and time and returns a Result.
// Applying the same commands in the same order gives the same state on every
// replica.
//
// The State records for each of its parts the log index of the last change.
// Since returns the Change from an older index to the current one. An observer
// holds a View, a copy of the State, and applies Changes to it. A View never
// returns to an older index.
//
// Liveness is not part of the state: the leader measures it and proposes
// RemoveBackends and RemoveEntries.
package shfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"sequoiahollow/state/shmodel"
)

// Millis is a duration in milliseconds, as in the JSON form.
type Millis int64

// Duration returns the time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Table is a routing table. Decoded tables are shared and must not be modified.
type Table struct {
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Teams are the customers whose callers present keys. If there are any, a request
	// needs a key of a team, unless its route is public.
	Teams []Team `json:"teams,omitempty"`
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are kept only in
// Document.Source, which entry VMs do not receive.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return &Error{Op: "decode key digest", Kind: KindMalformed, Err: fmt.Errorf("%d characters", len(text))}
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Team is a customer with its keys and what they permit.
type Team struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys"`
	// Priority replaces that of the route, nil if the team has none.
	Priority *int `json:"priority,omitempty"`
	// Regions lists where requests of the team may be served; empty means everywhere.
	// The regions of the route bind as well.
	Regions []shmodel.Region `json:"regions,omitempty"`
	// Rate is the number of requests per second that all entry VMs together may pass
	// on for the team, zero for no limit. Burst is the number beyond that at once.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int    `json:"headerBytes,omitempty"`
	BodyBytes     int64  `json:"bodyBytes,omitempty"`
	HeaderTimeout Millis `json:"headerTimeoutMs,omitempty"`
	IdleTimeout   Millis `json:"idleTimeoutMs,omitempty"`
}

// Route says where requests with a host and a path prefix go.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Kind says whether the requests may run more than once.
	Kind shmodel.OperationKind `json:"kind"`
	// Download says that answers are large. They are passed on while they arrive,
	// not held until they are complete.
	Download bool `json:"download,omitempty"`
	// Upload says that the bodies of requests are large.
	Upload bool `json:"upload,omitempty"`
	// Public says that requests need no key of a team.
	Public bool `json:"public,omitempty"`
	// Objective is the response time up to which a request has its full benefit.
	Objective Millis `json:"objectiveMs"`
	// Timeout bounds a request as a whole.
	Timeout Millis `json:"timeoutMs"`
	// Priority ranks routes by importance; 0 is the highest. It affects neither
	// the choice of a route nor that of a backend server.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of backend servers that one request may be sent to.
	Attempts int `json:"attempts"`
	// Sticky says that backend servers answer faster for keys that they handled
	// recently, so that requests with the same key should go to the same ones.
	Sticky bool `json:"sticky,omitempty"`
	// Regions lists where the request may be served; empty means everywhere.
	Regions []shmodel.Region `json:"regions,omitempty"`
	// Parts divide the requests in proportion to their weights.
	Parts []Part `json:"parts"`
}

// Part is a service that gets a share of the requests of a route.
type Part struct {
	Service shmodel.Service `json:"service"`
	Weight  float64         `json:"weight"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name shmodel.Service `json:"name"`
	// MaxConnections bounds the connections to one backend server from all
	// callers together.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdRate is the number of requests per second that a cold backend server
	// can serve; zero means no limit during a cold start.
	ColdRate float64 `json:"coldRate,omitempty"`
	// ColdPeriod is how long a backend server stays cold after its start.
	ColdPeriod Millis `json:"coldPeriodMs,omitempty"`
}

// Document is a routing table as an operator sent it.
type Document struct {
	Version uint64 `json:"version"`
	// Base is the version that the operator edited, zero for the first document.
	Base uint64 `json:"base"`
	// Source is the operator's text, returned unchanged.
	Source []byte `json:"source"`
	Table  Table  `json:"table"`
}

// Instance identifies one process lifetime of a backend server. Born is the
// start time of the process in Unix milliseconds.
type Instance struct {
	ID   shmodel.BackendServer `json:"id"`
	Born int64                 `json:"born"`
}

// Backend is a backend server that announced itself.
type Backend struct {
	Instance
	Service shmodel.Service `json:"service"`
	// Address is IP:port.
	Address string                `json:"address"`
	Zone    shmodel.FailureDomain `json:"zone"`
	Slots   int                   `json:"slots"`
	// ColdFor is how long the backend server stays cold after the announcement,
	// zero if it is warm. Observers count from when they receive the Backend,
	// because the clocks of VMs may differ.
	ColdFor Millis `json:"coldForMs,omitempty"`
	// Leaving says that the backend server has announced that it drains. Leaving
	// is never reset within a process lifetime.
	Leaving bool `json:"leaving,omitempty"`
	// At is the log index of the last accepted announcement.
	At uint64 `json:"at"`
}

// Entry is an entry VM.
type Entry struct {
	VM shmodel.VM `json:"vm"`
	// Address is the IP:port at which the entry VM accepts requests.
	Address string                `json:"address"`
	Zone    shmodel.FailureDomain `json:"zone"`
	Region  shmodel.Region        `json:"region"`
	// Ready says that callers may be directed to the entry VM.
	Ready bool `json:"ready"`
}

// Control is a control VM. Address is its peer address, IP:port.
type Control struct {
	VM      shmodel.VM            `json:"vm"`
	Address string                `json:"address"`
	Zone    shmodel.FailureDomain `json:"zone"`
	Region  shmodel.Region        `json:"region"`
}

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindMalformed says that stored or received data cannot be decoded.
	KindMalformed Kind = "malformed"
	// KindInvalid says that a table contradicts itself.
	KindInvalid Kind = "invalid"
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
