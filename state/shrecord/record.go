// Package shrecord defines the records of the account, from which requests are
// billed, and exports and verifies the account.
//
// A request has one opening record, one record per attempt and one closing
// record; a refused request has a single refusal record. Request IDs come from
// dense ranges, so that a request without any record shows as a gap. Each record
// is stored on several VMs.
//
// Merge merges the copies, Export makes one Line per request, and Verify checks
// that each request ID is counted exactly once. All three work on sequences in
// the order of Identity.Compare, in bounded memory.
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
	// HandedOver says that the request was handed over to another entry VM.
	HandedOver Kind = "handed-over"
	// Closed carries the outcome.
	Closed Kind = "closed"
	// Refused is the only record of a request that was refused on arrival.
	Refused Kind = "refused"
)

// Record is one record of the account. RequestID, Kind, VM and Attempt together
// identify it; copies with the same identity are the same record. FromRegion is
// the region of the entry VM that received the request, ToRegion the region that
// the request was sent to. RequestBytes and AnswerBytes are in bytes, DurationUS
// in microseconds.
type Record struct {
	RequestID shmodel.RequestID `json:"requestId"`
	Kind      Kind              `json:"kind"`
	// Attempt counts from 1; it is 0 in opening, closing and refusal records.
	Attempt uint32     `json:"attempt,omitempty"`
	VM      shmodel.VM `json:"vm"`
	// At is the time of the event by the wall clock of VM.
	At        time.Time             `json:"at"`
	Service   shmodel.Service       `json:"service,omitempty"`
	Method    string                `json:"method,omitempty"`
	Path      string                `json:"path,omitempty"`
	Operation shmodel.OperationKind `json:"operation,omitempty"`
	Key       string                `json:"key,omitempty"`
	Caller    string                `json:"caller,omitempty"`
	// Team is the customer whose key the request carried, if the table has teams.
	Team          string                `json:"team,omitempty"`
	FromRegion    shmodel.Region        `json:"fromRegion,omitempty"`
	ToRegion      shmodel.Region        `json:"toRegion,omitempty"`
	BackendServer shmodel.BackendServer `json:"backendServer,omitempty"`
	Outcome       shmodel.Outcome       `json:"outcome,omitempty"`
	Reason        string                `json:"reason,omitempty"`
	Status        int                   `json:"status,omitempty"`
	RequestBytes  int64                 `json:"requestBytes,omitempty"`
	AnswerBytes   int64                 `json:"answerBytes,omitempty"`
	DurationUS    int64                 `json:"durationUs,omitempty"`
	// Attempts is the number of attempts made, in a closing record. Zero means
	// that the number is not stated.
	Attempts uint32 `json:"attempts,omitempty"`
	// Replayed marks a closing record of a request that was answered with a
	// recorded answer.
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
