package shaccount

import (
	"context"
	"errors"
	"fmt"
	"iter"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Kind is the kind of an Error. Kinds are sent between VMs.
type Kind string

// Kinds of errors.
const (
	// Invalid says that a record or request is malformed; resending it fails
	// again.
	Invalid Kind = "invalid"
	// Full says that the disk, the memory of a store or the outbox is full. A
	// later append or write may succeed.
	Full Kind = "full"
	// Failed says that a write or sync failed. The store takes no records until
	// its process restarts.
	Failed Kind = "failed"
	// NoDisk says that a sync was asked of a store without data folder.
	NoDisk Kind = "no-disk"
	// Stale says that a store does not hold the batch that a confirmation names.
	Stale Kind = "stale"
	// Closed says that the store or outbox is closed.
	Closed Kind = "closed"
	// Unreachable says that too few account VMs took the records in time. The
	// outbox keeps the records and retries.
	Unreachable Kind = "unreachable"
	// Canceled says that the context ended before the result was known. The
	// outbox keeps the records.
	Canceled Kind = "canceled"
	// Exhausted says that no reserved request ID is left.
	Exhausted Kind = "exhausted"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("account %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("account %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the Error in the chain of err, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Origin identifies one process of an entry VM. Incarnation differs between
// processes.
type Origin struct {
	VM          shmodel.VM `json:"vm"`
	Incarnation uint64     `json:"incarnation"`
}

// AppendRequest asks an account VM to store a batch. With Sync the VM answers
// once the records are durable. With Confirm the batch was sent before, Records
// is empty, and the VM answers whether it still holds the batch. Batches of
// Origin below Oldest are released.
type AppendRequest struct {
	Origin  Origin            `json:"origin"`
	Batch   uint64            `json:"batch"`
	Oldest  uint64            `json:"oldest"`
	Records []shrecord.Record `json:"records,omitempty"`
	Sync    bool              `json:"sync,omitempty"`
	Confirm bool              `json:"confirm,omitempty"`
}

// AppendResponse answers an AppendRequest. If Refused is set, the append failed
// and Reason tells why.
type AppendResponse struct {
	Synced     bool   `json:"synced,omitempty"`
	Duplicates int    `json:"duplicates,omitempty"`
	Refused    Kind   `json:"refused,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Cursor is a position in the order of export. The zero Cursor is the start.
type Cursor struct {
	Identity shrecord.Identity `json:"identity"`
	// Content is the hash of the record's content. It distinguishes contradicting
	// records with the same identity.
	Content uint64 `json:"content"`
}

// ReadRequest asks for the page of records after After, in the order of export.
// First and Last bound the request IDs; a zero value sets no bound. Limit is the
// largest number of records, at most and by default PageLimit.
type ReadRequest struct {
	After Cursor            `json:"after,omitzero"`
	First shmodel.RequestID `json:"first,omitempty"`
	Last  shmodel.RequestID `json:"last,omitempty"`
	Limit int               `json:"limit,omitempty"`
}

// ReadResponse is one page. Unreadable lists the records of the page that have
// become unreadable since the store was opened. Done says that no page follows.
type ReadResponse struct {
	Records    []shrecord.Record   `json:"records"`
	Unreadable []shrecord.Identity `json:"unreadable,omitempty"`
	Next       Cursor              `json:"next,omitzero"`
	Done       bool                `json:"done,omitempty"`
}

// ReleaseRequest tells an account VM that Batches, and all batches below Oldest,
// are synced on two account VMs. A store without data folder drops their
// records.
type ReleaseRequest struct {
	Origin  Origin   `json:"origin"`
	Oldest  uint64   `json:"oldest"`
	Batches []uint64 `json:"batches,omitempty"`
}

// Pages reads all records of one store through read, page by page. It is a
// source for shrecord.Merge. The first error ends the sequence.
func Pages(ctx context.Context, request ReadRequest, read func(context.Context, ReadRequest) (ReadResponse, error)) iter.Seq2[shrecord.Record, error] {
	return func(yield func(shrecord.Record, error) bool) {
		request := request
		for {
			page, err := read(ctx, request)
			if err != nil {
				yield(shrecord.Record{}, err)
				return
			}
			for _, r := range page.Records {
				if !yield(r, nil) {
					return
				}
			}
			if page.Done {
				return
			}
			request.After = page.Next
		}
	}
}
