// Package shrecord is the account: the records that each request leaves.
//
// A request has one opening record, one record per attempt and one closing
// record; a refused request has a single refusal record. Records are numbered
// by request ID, and request IDs come from dense ranges, so a missing number
// is itself visible. Each record is stored on several VMs.
//
// Merge merges the copies, Export makes one Line per request, and Verify proves
// that no request ID is missing or counted twice. All three work on sequences
// in the order of Identity.Compare, in bounded memory.
package shrecord

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	// Opened is written before the first attempt.
	Opened Kind = "opened"
	// Attempted is written for each attempt.
	Attempted Kind = "attempted"
	// HandedOver says that the request went to another entry VM.
	HandedOver Kind = "handed-over"
	// Closed carries the outcome.
	Closed Kind = "closed"
	// Refused is the only record of a request that was refused on arrival.
	Refused Kind = "refused"
)

// Record is one line of the account. RequestID, Kind, VM and Attempt together
// identify it; copies with the same identity are the same record.
type Record struct {
	RequestID shmodel.RequestID `json:"requestId"`
	Kind      Kind              `json:"kind"`
	// Attempt counts from 1; it is 0 in opening, closing and refusal records.
	Attempt uint32     `json:"attempt,omitempty"`
	VM      shmodel.VM `json:"vm"`
	// At is the wall clock of VM.
	At            time.Time             `json:"at"`
	Service       shmodel.Service       `json:"service,omitempty"`
	Method        string                `json:"method,omitempty"`
	Path          string                `json:"path,omitempty"`
	Operation     shmodel.OperationKind `json:"operation,omitempty"`
	Key           string                `json:"key,omitempty"`
	Caller        string                `json:"caller,omitempty"`
	FromRegion    shmodel.Region        `json:"fromRegion,omitempty"`
	ToRegion      shmodel.Region        `json:"toRegion,omitempty"`
	BackendServer shmodel.BackendServer `json:"backendServer,omitempty"`
	Outcome       shmodel.Outcome       `json:"outcome,omitempty"`
	Reason        string                `json:"reason,omitempty"`
	Status        int                   `json:"status,omitempty"`
	RequestBytes  int64                 `json:"requestBytes,omitempty"`
	AnswerBytes   int64                 `json:"answerBytes,omitempty"`
	DurationUS    int64                 `json:"durationUs,omitempty"`
	// Attempts is the number of attempts made, in a closing record. Zero does
	// not state a number.
	Attempts uint32 `json:"attempts,omitempty"`
	// Replayed marks a closing record whose answer was a recorded one.
	Replayed bool `json:"replayed,omitempty"`
}

// Range is a dense range of request IDs, First to Last inclusive, that one
// process of a VM may assign.
type Range struct {
	First       shmodel.RequestID `json:"first"`
	Last        shmodel.RequestID `json:"last"`
	VM          shmodel.VM        `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	ReservedAt  time.Time         `json:"reservedAt"`
}
