package shrecord

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs/v2"

	"sequoiahollow/state/shmodel"
)

// Classes of errors of this package.
const (
	// ErrInvalid tags a record that must not enter the account.
	ErrInvalid errs.Tag = "invalid record"
	// ErrUnsorted tags an input of Merge that is not in the order of Compare.
	ErrUnsorted errs.Tag = "records out of order"
	// ErrRanges tags ranges that overlap or are empty.
	ErrRanges errs.Tag = "invalid ranges"
)

// Identity identifies a record within the account.
type Identity struct {
	RequestID shmodel.RequestID `json:"requestId"`
	Kind      Kind              `json:"kind"`
	Attempt   uint32            `json:"attempt,omitempty"`
	VM        shmodel.VM        `json:"vm"`
}

// Identity returns the identity of r.
func (r Record) Identity() Identity {
	return Identity{RequestID: r.RequestID, Kind: r.Kind, Attempt: r.Attempt, VM: r.VM}
}

// Rank is the position of k among the records of one request: opened, attempts,
// handed over, closed, refused. It is 0 for an unknown kind.
func (k Kind) Rank() uint8 {
	switch k {
	case Opened:
		return 1
	case Attempted:
		return 2
	case HandedOver:
		return 3
	case Closed:
		return 4
	case Refused:
		return 5
	}
	return 0
}

// KindOfRank returns the kind with rank n, or "" if there is none.
func KindOfRank(n uint8) Kind {
	kinds := [...]Kind{"", Opened, Attempted, HandedOver, Closed, Refused}
	if int(n) < len(kinds) {
		return kinds[n]
	}
	return ""
}

// Compare orders identities for export: request ID, rank of the kind, attempt,
// VM.
func (i Identity) Compare(j Identity) int {
	return cmp.Or(
		cmp.Compare(i.RequestID, j.RequestID),
		cmp.Compare(i.Kind.Rank(), j.Kind.Rank()),
		cmp.Compare(i.Attempt, j.Attempt),
		cmp.Compare(i.VM, j.VM),
	)
}

// Encode returns the stored form of r: JSON with the time in UTC, so that all
// copies of a record have the same bytes.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r.normalized())
}

// normalized returns r with the time in UTC and without monotonic clock reading, so
// that equal records are equal under ==.
func (r Record) normalized() Record {
	r.At = r.At.Round(0).UTC()
	return r
}

// compareContent orders copies that have the same identity by their stored
// form. Equal copies compare as 0.
func compareContent(a, b Record) int {
	if a.normalized() == b.normalized() {
		return 0
	}
	x, errX := a.Encode()
	y, errY := b.Encode()
	if errX != nil || errY != nil {
		return cmp.Compare(fmt.Sprint(errX), fmt.Sprint(errY))
	}
	return bytes.Compare(x, y)
}

// Validate returns an error with every reason why r must not enter the account.
// A closing record with outcome unknown and a refusal record need a reason,
// because the export shows it on the billable line.
func (r Record) Validate() error {
	var group errs.Group
	require := func(ok bool, text string) {
		if !ok {
			group.Add(ErrInvalid.Errorf("request %v, %s: %s", r.RequestID, r.Kind, text))
		}
	}
	require(r.RequestID != 0, "requestId is missing")
	require(r.Kind.Rank() != 0, "kind is not known")
	require(r.VM != "", "vm is missing")
	require(!r.At.IsZero(), "at is missing")
	require(r.At.Year() >= 0 && r.At.Year() <= 9999, "at is outside the years 0 to 9999")
	require(r.RequestBytes >= 0 && r.AnswerBytes >= 0 && r.DurationUS >= 0, "a size or duration is negative")
	require((r.Kind == Attempted) == (r.Attempt > 0) || r.Kind == HandedOver, "attempt is set in the wrong kind")
	switch r.Kind {
	case Opened:
		require(r.Service != "", "service is missing")
	case Closed:
		require(r.Outcome == shmodel.Answered || r.Outcome == shmodel.NotRun || r.Outcome == shmodel.Unknown, "outcome is not known")
		require(r.Outcome != shmodel.Unknown || r.Reason != "", "reason of an unknown outcome is missing")
	case Refused:
		require(r.Outcome == shmodel.NotRun, "outcome of a refusal is not not-run")
		require(r.Reason != "", "reason of a refusal is missing")
	}
	return group.Err()
}
