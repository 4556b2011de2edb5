// Package shmodel defines the basic types that all layers share.
//
// Names identify parts of a deployment and come from operators or from
// announcements. A RequestID is taken from a range that the replicated state
// reserved, so request IDs are unique and dense. Account records are numbered
// by request ID.
package shmodel

import (
	"encoding/hex"
	"fmt"
	"strconv"
)

// Names of the parts of a deployment.
type (
	// VM names one machine of the system.
	VM string
	// Region names a region.
	Region string
	// FailureDomain names a failure domain. Names are unique within a region.
	FailureDomain string
	// Service names a service that backend servers offer.
	Service string
	// BackendServer names one backend server. Names are unique in a deployment.
	BackendServer string
)

// Place is where a VM or backend server runs.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
}

// RequestID identifies one request of a caller. Zero means that no ID was
// assigned. Its text form is 16 lower-case hexadecimal digits.
type RequestID uint64

// String returns the text form.
func (r RequestID) String() string { return fmt.Sprintf("%016x", uint64(r)) }

// MarshalText implements encoding.TextMarshaler.
func (r RequestID) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *RequestID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("request ID %q: %w", text, err)
	}
	*r = RequestID(n)
	return nil
}

// Outcome is what a caller is told about its request.
type Outcome string

// Outcomes. NotRun is reported only if it is certain; otherwise the outcome is
// Unknown.
const (
	// Answered says that the answer of the backend server is complete.
	Answered Outcome = "answered"
	// NotRun says that the request did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run or may still run.
	Unknown Outcome = "unknown"
)

// OperationKind states how often an operation may run.
type OperationKind string

// Operation kinds.
const (
	// Idempotent operations may run any number of times.
	Idempotent OperationKind = "idempotent"
	// OnceOnly operations run at most once per idempotency key.
	OnceOnly OperationKind = "once-only"
)

// Digest identifies the content of a request: service, method, path with
// query, and body. Its text form is hexadecimal.
type Digest [16]byte

// String returns the text form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest %q: want %d hexadecimal digits", text, 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// ClaimKey identifies once-only work: the service and the caller's
// idempotency key.
type ClaimKey struct {
	Service Service `json:"service"`
	Key     string  `json:"key"`
}
