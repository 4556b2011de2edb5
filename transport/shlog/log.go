package shlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	options  Options
	dir      string
	segments []segment
	file     File // the last segment, nil if there is none
	size     int64
	// frames locates the records that are part of the log, oldest first.
	frames []frameAt
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

// frameAt locates a frame. Count is the number of its records that later frames
// did not replace.
type frameAt struct {
	sequence uint64
	offset   int64
	size     int64
	first    uint64
	count    uint64
}

const segmentSuffix = ".segment"

// Open opens the log in a folder, which it creates if necessary. A torn tail is
// truncated; other damage is an error.
func Open(dir string, options Options) (*Log, error) {
	l := &Log{options: options.withDefaults(), dir: dir, next: 1}
	if err := l.options.FS.MkdirAll(dir); err != nil {
		return nil, newError("open", KindFile, err)
	}
	names, err := l.segmentNames()
	if err != nil {
		return nil, err
	}
	for i, name := range names {
		if err := l.load(name, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	if err := l.removeVoided(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Log) segmentNames() ([]string, error) {
	names, err := l.options.FS.List(l.dir)
	if err != nil {
		return nil, newError("open", KindFile, err)
	}
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, segmentSuffix) }), nil
}

// load reads a segment and checks it. Only the last one may have a torn tail.
func (l *Log) load(name string, last bool) error {
	const op = "open"
	path := filepath.Join(l.dir, name)
	content, err := l.options.FS.ReadFile(path)
	if err != nil {
		return newError(op, KindFile, err)
	}
	h, err := decodeHeader(content)
	if err != nil {
		// The header is synced before the first frame is written, so a file that
		// is not longer holds no records.
		if last && len(content) <= headerBytes {
			return l.removeTornSegment(path, int64(len(content)))
		}
		return damaged(op, path, 0, err)
	}
	if err := l.checkOrder(path, h); err != nil {
		return err
	}
	s := segment{header: h, name: name}
	if h.flags&flagReset != 0 {
		l.frames = nil
		l.next = h.base
	}
	offset := headerBytes
	for offset < len(content) {
		f, size, err := decodeFrame(content[offset:], h.salt, int64(offset))
		if err != nil {
			if !last || findFrame(content, offset+1, h.salt) >= 0 {
				return damaged(op, path, int64(offset), err)
			}
			l.torn = int64(len(content) - offset)
			break
		}
		if len(l.segments) == 0 && len(l.frames) == 0 && h.flags&flagReset == 0 {
			// Segments before this one were dropped.
			l.next = f.first
		}
		if f.first > l.next {
			return damaged(op, path, int64(offset), fmt.Errorf("record %d where %d was expected", f.first, l.next))
		}
		l.add(&s, f, int64(offset), int64(size))
		offset += size
	}
	l.segments = append(l.segments, s)
	if !last {
		return nil
	}
	return l.openLast(path, int64(offset))
}

func (l *Log) checkOrder(path string, h header) error {
	if len(l.segments) == 0 {
		if h.flags&flagReset == 0 {
			l.next = h.base
		}
		return nil
	}
	if want := l.segments[len(l.segments)-1].header.sequence + 1; h.sequence != want {
		return damaged("open", path, 0, fmt.Errorf("segment %d where %d was expected", h.sequence, want))
	}
	return nil
}

// openLast opens the segment that appends go to and cuts off its torn tail.
func (l *Log) openLast(path string, size int64) error {
	file, err := l.options.FS.Open(path)
	if err != nil {
		return newError("open", KindFile, err)
	}
	l.file, l.size = file, size
	if l.torn == 0 {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return newError("open", KindFile, errors.Join(err, file.Close()))
	}
	if err := file.Sync(); err != nil {
		return newError("open", KindFailed, errors.Join(err, file.Close()))
	}
	return nil
}

func (l *Log) removeTornSegment(path string, size int64) error {
	l.torn = max(size, 1)
	if err := l.options.FS.Remove(path); err != nil {
		return newError("open", KindFile, err)
	}
	if err := l.options.FS.SyncDir(l.dir); err != nil {
		return newError("open", KindFailed, err)
	}
	if len(l.segments) == 0 {
		return nil
	}
	previous := filepath.Join(l.dir, l.segments[len(l.segments)-1].name)
	content, err := l.options.FS.ReadFile(previous)
	if err != nil {
		return newError("open", KindFile, err)
	}
	file, err := l.options.FS.Open(previous)
	if err != nil {
		return newError("open", KindFile, err)
	}
	l.file, l.size = file, int64(len(content))
	return nil
}

// removeVoided removes segments before the last reset, which a crash may leave.
func (l *Log) removeVoided() error {
	for i := len(l.segments) - 1; i > 0; i-- {
		if l.segments[i].header.flags&flagReset != 0 {
			return l.removeSegments("open", i)
		}
	}
	return nil
}

// add records where a frame is, in place of what it replaces.
func (l *Log) add(s *segment, f frame, offset, size int64) {
	l.cut(f.first)
	if len(f.records) > 0 {
		l.frames = append(l.frames, frameAt{
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

// cut forgets the records from index on.
func (l *Log) cut(index uint64) {
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
		return l.undo(op, err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(op, err)
	}
	l.add(s, f, l.size, int64(len(encoded)))
	l.size += int64(len(encoded))
	return nil
}

// undo cuts off what a failed write may have left.
func (l *Log) undo(op string, cause error) error {
	if err := l.file.Truncate(l.size); err != nil {
		return l.fail(op, errors.Join(cause, err))
	}
	return newError(op, KindFull, cause)
}

func (l *Log) fail(op string, err error) error {
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

// startSegment makes a new last segment. A crash leaves it complete, torn or
// missing; nothing refers to it yet.
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
			return l.fail(op, errors.Join(err, undo))
		}
		return newError(op, KindFull, err)
	}
	if err := errors.Join(file.Sync(), l.options.FS.SyncDir(l.dir)); err != nil {
		return l.fail(op, errors.Join(err, file.Close()))
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(op, errors.Join(err, file.Close()))
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

// removeSegments removes the first count segments, oldest first, so that a crash
// leaves no gap.
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
		l.frames = slices.DeleteFunc(l.frames, func(f frameAt) bool { return f.sequence == s.header.sequence })
	}
	if err := l.options.FS.SyncDir(l.dir); err != nil {
		return l.fail(op, err)
	}
	return nil
}

// Read calls f for the records from index on, up to but not including to, until
// f returns an error, which it returns. Data is valid during the call only.
func (l *Log) Read(from, to uint64, f func(index uint64, data []byte) error) error {
	const op = "read"
	if from < l.First() || to > l.next {
		return newError(op, KindIndex, fmt.Errorf("%d to %d is not within %d to %d", from, to, l.First(), l.next))
	}
	start, _ := slices.BinarySearchFunc(l.frames, from, func(a frameAt, index uint64) int {
		if a.first+a.count <= index {
			return -1
		}
		return 1
	})
	reader := segmentReader{log: l}
	defer reader.close()
	for _, at := range l.frames[start:] {
		if at.first >= to {
			break
		}
		batch, err := reader.frame(op, at)
		if err != nil {
			return err
		}
		for i, data := range batch.records[:at.count] {
			index := at.first + uint64(i)
			if index < from || index >= to {
				continue
			}
			if err := f(index, data); err != nil {
				return err
			}
		}
	}
	return nil
}

// segmentReader reads frames and keeps the segment of the last one open.
type segmentReader struct {
	log     *Log
	segment segment
	file    File
}

func (r *segmentReader) close() {
	if r.file != nil {
		// Nothing was written through this handle.
		_ = r.file.Close()
	}
}

func (r *segmentReader) frame(op string, at frameAt) (frame, error) {
	if r.file == nil || r.segment.header.sequence != at.sequence {
		r.close()
		r.segment = r.log.segments[at.sequence-r.log.segments[0].header.sequence]
		file, err := r.log.options.FS.Open(filepath.Join(r.log.dir, r.segment.name))
		if err != nil {
			r.file = nil
			return frame{}, newError(op, KindFile, err)
		}
		r.file = file
	}
	path := filepath.Join(r.log.dir, r.segment.name)
	b := make([]byte, at.size)
	if _, err := r.file.ReadAt(b, at.offset); err != nil {
		return frame{}, damaged(op, path, at.offset, err)
	}
	f, _, err := decodeFrame(b, r.segment.header.salt, at.offset)
	if err != nil {
		return frame{}, damaged(op, path, at.offset, err)
	}
	return f, nil
}

// Close closes the log. Records are durable since they were appended.
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
