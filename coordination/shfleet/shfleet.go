// Package shfleet is the replicated state of a fleet that serves HTTP requests
// through a routing table.
//
// # Model
//
// A State holds the routing table in force, the evacuated failure domains, the
// backend servers that announced themselves, the VMs of the system, strikes against
// requests and the ranges of account numbers. A Command goes in with its log
// index and time, and a Result comes out. Applying the same commands in the
// same order gives the same state on every replica.
//
// Every part remembers the index at which it changed last, so Since returns what
// an observer at an older index lacks. A View is the copy of an observer, which
// Change brings up to date and which never goes back to an older index.
//
// Liveness is not part of the state: the leader measures it and proposes
// RemoveBackends and RemoveEntries.
package shfleet

import (
	"fmt"
	"time"

	"sequoiahollow/state/shmodel"
)

// Millis is a duration in milliseconds, as the JSON forms state it.
type Millis int64

// Duration returns the time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Table is a routing table. Decoded tables are shared and must not be modified.
type Table struct {
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
}

// Limits bound what a client may send. Zero means no limit.
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
	// Kind says whether a request may run more than once.
	Kind shmodel.OperationKind `json:"kind"`
	// Objective is the response time that earns the full benefit.
	Objective Millis `json:"objectiveMs"`
	// Timeout bounds a request as a whole.
	Timeout Millis `json:"timeoutMs"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of backend servers that one request may be sent to.
	Attempts int  `json:"attempts"`
	Sticky   bool `json:"sticky,omitempty"`
	// Regions lists where the request may be served; empty means everywhere.
	Regions []shmodel.Region `json:"regions,omitempty"`
	// Parts share the requests by weight.
	Parts []Part `json:"parts"`
}

// Part is a service that gets a share of the requests of a route.
type Part struct {
	Service shmodel.Service `json:"service"`
	Weight  float64         `json:"weight"`
}

// Service is a set of equal backend servers.
type Service struct {
	Name shmodel.Service `json:"name"`
	// MaxConnections bounds the connections to one backend server from all
	// callers together.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdRate is the number of requests per second that a cold backend server
	// tolerates; zero means that it needs no care.
	ColdRate float64 `json:"coldRate,omitempty"`
	// ColdPeriod is how long a backend server stays cold after its start.
	ColdPeriod Millis `json:"coldPeriodMs,omitempty"`
}

// Document is a routing table as an operator sent it.
type Document struct {
	Version uint64 `json:"version"`
	// Base is the version that the edit builds on, zero for the first.
	Base uint64 `json:"base"`
	// Source is the operator's text, returned unchanged.
	Source []byte `json:"source"`
	Table  Table  `json:"table"`
}

// Instance identifies one process lifetime of a backend server. Born is its
// start in Unix milliseconds.
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
	// ColdFor is how long it stays cold from the announcement on, zero if warm.
	// Observers count from when they hear of it: clocks of VMs may differ.
	ColdFor Millis `json:"coldForMs,omitempty"`
	// Leaving is set for good once the backend server said that it drains.
	Leaving bool `json:"leaving,omitempty"`
	// At is the index of the last announcement that changed it.
	At uint64 `json:"at"`
}

// Entry is an entry VM.
type Entry struct {
	VM shmodel.VM `json:"vm"`
	// Address is where it takes requests, IP:port.
	Address string                `json:"address"`
	Zone    shmodel.FailureDomain `json:"zone"`
	Region  shmodel.Region        `json:"region"`
	// Ready says that callers may be sent there.
	Ready bool `json:"ready"`
}

// Control is a control VM. Its peer address is IP:port.
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
