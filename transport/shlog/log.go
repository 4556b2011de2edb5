package shlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
)

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	options  Options
	dir      string
	segments []segment
	file     File // the last segment, nil if there is none
	size     int64
	// frames locates the records that are part of the log, oldest first.
	frames []frameLocation
	next   uint64
	failed error
	torn   int64
}

// segment is a file of the log.
type segment struct {
	header header
	name   string
	// last is the largest index that any frame of the segment holds.
	last uint64
}

// frameLocation is where a frame is stored. Count is the number of its records
// that later frames did not replace.
type frameLocation struct {
	sequence uint64
	offset   int64
	size     int64
	first    uint64
	count    uint64
}

const segmentSuffix = ".segment"

// addFrame adds the location of a frame and removes the records that it replaces.
func (l *Log) addFrame(s *segment, f frame, offset, size int64) {
	l.cutSuffix(f.first)
	if len(f.records) > 0 {
		l.frames = append(l.frames, frameLocation{
			sequence: s.header.sequence,
			offset:   offset,
			size:     size,
			first:    f.first,
			count:    uint64(len(f.records)),
		})
		s.last = max(s.last, f.next()-1)
	}
	l.next = f.next()
}

// cutSuffix removes the records from index on from the locations.
func (l *Log) cutSuffix(index uint64) {
	for len(l.frames) > 0 {
		f := &l.frames[len(l.frames)-1]
		if f.first < index {
			f.count = min(f.count, index-f.first)
			return
		}
		l.frames = l.frames[:len(l.frames)-1]
	}
}

// First returns the index of the first record, or Next if there is none.
func (l *Log) First() uint64 {
	if len(l.frames) == 0 {
		return l.next
	}
	return l.frames[0].first
}

// Next returns the index after the last record.
func (l *Log) Next() uint64 { return l.next }

// Torn returns the number of bytes that Open cut off as a torn tail.
func (l *Log) Torn() int64 { return l.torn }

// Err returns the error that made the log unusable, or nil.
func (l *Log) Err() error { return l.failed }

// Append writes records with consecutive indices from first on as one batch, and
// syncs it. First is at most Next; if it is less, the batch replaces all records
// from first on.
func (l *Log) Append(first uint64, records ...[]byte) error {
	const op = "append"
	if l.failed != nil {
		return l.failed
	}
	if first > l.next || first < l.First() {
		return newError(op, KindIndex, fmt.Errorf("%d is not between %d and %d", first, l.First(), l.next))
	}
	if size := bodyBytes(records); size > MaxBatchBytes {
		return newError(op, KindIndex, fmt.Errorf("batch of %d bytes exceeds %d", size, MaxBatchBytes))
	}
	if l.file == nil || l.size >= l.options.SegmentBytes {
		if err := l.startSegment(op, l.next, 0); err != nil {
			return err
		}
	}
	s := &l.segments[len(l.segments)-1]
	f := frame{first: first, records: records}
	encoded := f.encode(s.header.salt, l.size)
	if _, err := l.file.WriteAt(encoded, l.size); err != nil {
		return l.undoWrite(op, err)
	}
	if err := l.file.Sync(); err != nil {
		return l.markFailed(op, err)
	}
	l.addFrame(s, f, l.size, int64(len(encoded)))
	l.size += int64(len(encoded))
	return nil
}

// undoWrite truncates what a failed write may have left.
func (l *Log) undoWrite(op string, cause error) error {
	if err := l.file.Truncate(l.size); err != nil {
		return l.markFailed(op, errors.Join(cause, err))
	}
	return newError(op, KindFull, cause)
}

func (l *Log) markFailed(op string, err error) error {
	l.failed = newError(op, KindFailed, err)
	return l.failed
}

// TruncateSuffix removes the records from index on and syncs.
func (l *Log) TruncateSuffix(index uint64) error {
	if index == l.next {
		return l.failed
	}
	return l.Append(index)
}

// startSegment creates a new last segment. A crash may leave it complete, torn or
// missing; no record is in it yet.
func (l *Log) startSegment(op string, base uint64, flags uint32) error {
	sequence := uint64(1)
	if len(l.segments) > 0 {
		sequence = l.segments[len(l.segments)-1].header.sequence + 1
	}
	var salt [8]byte
	rand.Read(salt[:]) // crypto/rand.Read never fails
	h := header{sequence: sequence, base: base, salt: binary.LittleEndian.Uint64(salt[:]), flags: flags}
	name := fmt.Sprintf("%016x%s", sequence, segmentSuffix)
	path := filepath.Join(l.dir, name)
	file, err := l.options.FS.Create(path)
	if err != nil {
		return newError(op, KindFull, err)
	}
	if _, err := file.WriteAt(h.encode(), 0); err != nil {
		undo := errors.Join(file.Close(), l.options.FS.Remove(path))
		if undo != nil {
			return l.markFailed(op, errors.Join(err, undo))
		}
		return newError(op, KindFull, err)
	}
	if err := errors.Join(file.Sync(), l.options.FS.SyncDir(l.dir)); err != nil {
		return l.markFailed(op, errors.Join(err, file.Close()))
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.markFailed(op, errors.Join(err, file.Close()))
		}
	}
	l.file, l.size = file, headerBytes
	l.segments = append(l.segments, segment{header: h, name: name})
	return nil
}

// DropPrefix removes segments that hold only records before index. Some records
// before index may stay.
func (l *Log) DropPrefix(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	drop := 0
	for drop < len(l.segments)-1 && l.segments[drop].last < index {
		drop++
	}
	return l.removeSegments("drop prefix", drop)
}

// Reset removes all records; the next one has the given index. After a crash
// either all records are there or none.
func (l *Log) Reset(next uint64) error {
	const op = "reset"
	if l.failed != nil {
		return l.failed
	}
	if err := l.startSegment(op, next, flagReset); err != nil {
		return err
	}
	l.frames = nil
	l.next = next
	return l.removeSegments(op, len(l.segments)-1)
}

// removeSegments removes the first count segments, the oldest first, so that a
// crash leaves no gap.
func (l *Log) removeSegments(op string, count int) error {
	if count == 0 {
		return nil
	}
	for range count {
		s := l.segments[0]
		if err := l.options.FS.Remove(filepath.Join(l.dir, s.name)); err != nil {
			return newError(op, KindFile, err)
		}
		l.segments = l.segments[1:]
		l.frames = slices.DeleteFunc(l.frames, func(f frameLocation) bool { return f.sequence == s.header.sequence })
	}
	if err := l.options.FS.SyncDir(l.dir); err != nil {
		return l.markFailed(op, err)
	}
	return nil
}

// Close closes the log. It need not sync: each append has synced its records.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = newError("use", KindFailed, errors.New("log is closed"))
	}
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
