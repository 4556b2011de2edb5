// Package shlog is a segmented append-only log of numbered records with
// checksums, and small files that are replaced atomically.
//
// # Model
//
// Records have consecutive indices. Append writes a batch of records as one
// frame with one checksum and syncs it, so after a crash a batch is there as a
// whole or not at all. A batch whose first index is not after the last record
// replaces the records from that index on, which makes the replacement of a
// suffix as atomic as an append.
//
// A segment is a file that starts with a header. The checksum of a frame covers
// a random salt from the header and the offset of the frame, so that the content
// of a record is not mistaken for a frame.
//
// # Damage
//
// Open truncates a torn tail: an incomplete or damaged end of the last segment
// that no intact frame follows. Since an append only starts after the sync of
// the one before, at most the last batch is torn, and it was not acknowledged.
// Damage anywhere else makes Open fail with KindDamaged, the file and the
// offset. Scan reads the intact frames around damage and reports what is
// missing. Damage to the last synced frame cannot be distinguished from a torn
// tail.
//
// A failed sync, or a failed write that cannot be undone, is final: all later
// operations fail with KindFailed, because the content of the file is not known.
// A write that fails for lack of space and is undone gives KindFull; the log
// stays usable.
package shlog

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindFull says that a write failed and was undone. Nothing changed.
	KindFull Kind = "full"
	// KindFailed says that the log can no longer be written.
	KindFailed Kind = "failed"
	// KindDamaged says that stored data does not match its checksum.
	KindDamaged Kind = "damaged"
	// KindIndex says that an index is out of range.
	KindIndex Kind = "index"
	// KindFile says that a file operation failed and the log is unchanged.
	KindFile Kind = "file"
)

// Error is the error type of this package. File and Offset are set for damage.
type Error struct {
	Op     string
	Kind   Kind
	File   string
	Offset int64
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
	}
	return fmt.Sprintf("%s: %s: %s at offset %d: %v", e.Op, e.Kind, e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in the chain of err, or "".
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

func damaged(op, file string, offset int64, err error) *Error {
	return &Error{Op: op, Kind: KindDamaged, File: file, Offset: offset, Err: err}
}

// DefaultSegmentBytes is the default of Options.SegmentBytes, 16 MiB.
const DefaultSegmentBytes = 16 << 20

// Options configures a Log. Zero fields take the defaults.
type Options struct {
	// FS is the file system to use, OS by default.
	FS FS
	// SegmentBytes is the size at which a new segment starts. One batch may
	// exceed it.
	SegmentBytes int64
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	return o
}
