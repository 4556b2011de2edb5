// Package shsegment implements an append-only log of entries in segment files.
//
// Entries have dense sequence numbers from 1. A segment is named by its first
// sequence number. Append writes entries and Sync makes them durable; callers
// that wait at the same time share a sync. Open truncates the torn tail of the
// last segment, and skips and reports damage elsewhere.
package shsegment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/zeebo/errs/v2"
)

// Classes of errors of this package.
const (
	// ErrFull tags an append that was refused because the disk is full. A later
	// append may succeed.
	ErrFull errs.Tag = "disk full"
	// ErrFailed tags all calls after a failed write or sync. After a failed
	// sync the kernel may have dropped the unsynced pages, so that a later
	// successful sync does not mean that the entries are durable.
	ErrFailed errs.Tag = "log failed"
	// ErrUnreadable tags an entry that is damaged.
	ErrUnreadable errs.Tag = "entry unreadable"
	// ErrTooLarge tags a payload above the limit of 1 MiB.
	ErrTooLarge errs.Tag = "entry too large"
	// ErrClosed tags calls after Close.
	ErrClosed errs.Tag = "log closed"
)

const (
	// DefaultSegmentBytes is the size at which a new segment starts. The index of
	// the records of a segment, in memory until the segment is closed, takes about
	// a third of it.
	DefaultSegmentBytes = 16 << 20
	// maxSegmentBytes keeps offsets below 4 GiB, also with a large last batch.
	maxSegmentBytes = 1 << 30
	segmentSuffix   = ".segment"
)

// Location is where an entry is stored: the number of its segment in the order of
// the log, and the offset and the length of its payload in bytes.
type Location struct {
	Segment uint32
	Length  uint32
	Offset  int64
}

// End returns the offset after the entry.
func (l Location) End() int64 { return l.Offset + headerBytes + int64(l.Length) }

// Segment describes a segment. Bytes is its size up to the last intact entry. Digest
// differs between segments with different intact entries.
type Segment struct {
	First   uint64
	Entries uint64
	Bytes   int64
	Digest  uint64
}

// Damage is a part of a segment that cannot be read. The number of lost entries
// is Entries; their sequence numbers start at FirstSequence.
type Damage struct {
	Segment       string `json:"segment"`
	Offset        int64  `json:"offset"`
	Bytes         int64  `json:"bytes"`
	FirstSequence uint64 `json:"firstSequence"`
	Entries       uint64 `json:"entries"`
}

// OpenReport is what Open found: the number of intact entries, the size of the
// torn tail that was truncated, and the damage.
type OpenReport struct {
	Entries   uint64   `json:"entries"`
	TornBytes int64    `json:"tornBytes,omitempty"`
	Damage    []Damage `json:"damage,omitempty"`
}

// Log is an open log. Its methods are safe for concurrent use.
type Log struct {
	folder       Folder
	segmentBytes int64

	mu sync.Mutex
	// segments are all segments; the last one is open and its size and digest are
	// those of size and digest.
	segments []Segment
	active   File
	size     int64
	digest   *digester
	// closedBytes is the size of all segments but the last.
	closedBytes int64
	last        uint64
	synced      uint64
	// syncing is closed when the sync in progress ends; it is nil if there is
	// none.
	syncing chan struct{}
	failed  error
	closed  bool
}

// Open opens the log in folder. It reads all segments, and visits the intact entries
// of the last one in order. A payload is valid during its visit only.
func Open(folder Folder, segmentBytes int64, visit func(Location, []byte) error) (*Log, OpenReport, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	l := &Log{folder: folder, segmentBytes: min(segmentBytes, maxSegmentBytes)}
	report, err := l.load(visit)
	if err != nil {
		return nil, report, errors.Join(err, l.closeActive())
	}
	return l, report, nil
}

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// firstSequences returns the first sequence numbers of all segments in order.
func (l *Log) firstSequences() ([]uint64, error) {
	names, err := l.folder.List()
	if err != nil {
		return nil, err
	}
	var firsts []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("segment %q: %w", name, err)
		}
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	return firsts, nil
}

func (l *Log) load(visit func(Location, []byte) error) (OpenReport, error) {
	var report OpenReport
	firsts, err := l.firstSequences()
	if err != nil {
		return report, err
	}
	if len(firsts) == 0 {
		return report, l.addSegment(1)
	}
	if firsts[0] > 1 {
		report.Damage = append(report.Damage, Damage{Segment: segmentName(1), FirstSequence: 1, Entries: firsts[0] - 1})
	}
	for i, first := range firsts {
		next := uint64(0)
		if i+1 < len(firsts) {
			next = firsts[i+1]
		}
		if err := l.loadSegment(first, next, visit, &report); err != nil {
			return report, err
		}
	}
	// Entries that were not synced before a crash become durable before anything
	// is acknowledged.
	if err := l.active.Sync(); err != nil {
		return report, ErrFailed.Wrap(err)
	}
	l.synced = l.last
	return report, nil
}

// loadSegment reads one segment. following is the first sequence number of the
// next segment, or 0 for the last segment, whose entries are visited.
func (l *Log) loadSegment(first, following uint64, visit func(Location, []byte) error, report *OpenReport) error {
	name := segmentName(first)
	number := uint32(len(l.segments))
	open, entry := l.folder.Read, func(int64, []byte) error { return nil }
	if following == 0 {
		open, entry = l.folder.Open, func(offset int64, payload []byte) error {
			return visit(Location{Segment: number, Length: uint32(len(payload)), Offset: offset}, payload)
		}
	}
	f, err := open(name)
	if err != nil {
		return err
	}
	if following == 0 {
		l.active = f
	} else {
		defer f.Close()
	}
	size, err := f.Size()
	if err != nil {
		return err
	}
	s, err := scanSegment(f, size, first, entry)
	if err != nil {
		return fmt.Errorf("segment %q: %w", name, err)
	}
	for _, d := range s.damage {
		d.Segment = name
		report.Damage = append(report.Damage, d)
	}
	report.Entries += s.entries
	l.last = s.next - 1
	l.segments = append(l.segments, Segment{First: first, Entries: s.entries, Bytes: s.end, Digest: s.digest.sum()})
	tail := size - s.end
	if following != 0 {
		l.closedBytes += s.end
		if tail > 0 || s.next < following {
			lost := following - min(s.next, following)
			report.Damage = append(report.Damage, Damage{Segment: name, Offset: s.end, Bytes: tail, FirstSequence: s.next, Entries: lost})
		}
		return nil
	}
	l.size, l.digest = s.end, s.digest
	if tail > 0 {
		report.TornBytes = tail
		return f.Truncate(s.end)
	}
	return nil
}

// addSegment starts a new segment.
func (l *Log) addSegment(first uint64) error {
	f, err := l.folder.Open(segmentName(first))
	if err != nil {
		return err
	}
	if err := l.folder.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	if l.active != nil {
		l.segments[len(l.segments)-1] = l.openSegment()
		l.closedBytes += l.size
		// The file was synced, so that an error of closing it loses nothing.
		_ = l.active.Close()
	}
	l.segments = append(l.segments, Segment{First: first})
	l.active, l.size, l.digest = f, 0, newDigester()
	return nil
}

// openSegment describes the last segment.
func (l *Log) openSegment() Segment {
	s := l.segments[len(l.segments)-1]
	s.Bytes, s.Digest = l.size, l.digest.sum()
	return s
}

// rotate starts a new segment if the current one is large enough and no sync is
// in progress: of two concurrent syncs of a file, only one returns the error of a
// failed write.
func (l *Log) rotate() error {
	if l.size < l.segmentBytes || l.syncing != nil {
		return nil
	}
	if err := l.active.Sync(); err != nil {
		l.failed = ErrFailed.Wrap(err)
		return l.failed
	}
	l.synced = l.last
	return l.failUnlessFull(l.addSegment(l.last + 1))
}

// failUnlessFull marks the log as failed unless err says that the disk is full.
// It returns err with its tag.
func (l *Log) failUnlessFull(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return ErrFull.Wrap(err)
	}
	l.failed = ErrFailed.Wrap(err)
	return l.failed
}

func (l *Log) usable() error {
	if l.closed {
		return ErrClosed.Errorf("append")
	}
	return l.failed
}

// Append writes all payloads or none. They are durable once a later call of
// Sync(Last()) has returned nil.
func (l *Log) Append(payloads [][]byte) ([]Location, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.usable(); err != nil {
		return nil, err
	}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	var buffer []byte
	locations := make([]Location, len(payloads))
	for i, p := range payloads {
		if len(p) > maxPayloadBytes {
			return nil, ErrTooLarge.Errorf("%d bytes", len(p))
		}
		locations[i] = Location{Segment: uint32(len(l.segments) - 1), Length: uint32(len(p)), Offset: l.size + int64(len(buffer))}
		buffer = appendEntry(buffer, l.last+1+uint64(i), p)
	}
	f := l.active
	if _, err := f.WriteAt(buffer, l.size); err != nil {
		if truncateErr := f.Truncate(l.size); truncateErr != nil {
			l.failed = ErrFailed.Wrap(errors.Join(err, truncateErr))
			return nil, l.failed
		}
		return nil, l.failUnlessFull(err)
	}
	for _, at := range locations {
		l.digest.add(at.Offset, buffer[at.Offset-l.size:])
	}
	l.segments[len(l.segments)-1].Entries += uint64(len(payloads))
	l.size += int64(len(buffer))
	l.last += uint64(len(payloads))
	return locations, nil
}

// Err returns the failure because of which the log refuses all appends, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Last returns the sequence number of the last entry.
func (l *Log) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// Sync returns once all entries up to sequence are durable.
func (l *Log) Sync(ctx context.Context, sequence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.failed != nil:
			return l.failed
		case l.synced >= sequence:
			return nil
		case l.closed:
			return ErrClosed.Errorf("sync")
		case l.syncing == nil:
			l.groupSync()
		default:
			wait := l.syncing
			l.mu.Unlock()
			select {
			case <-wait:
			case <-ctx.Done():
			}
			l.mu.Lock()
			if err := ctx.Err(); err != nil {
				return err
			}
		}
	}
}

// groupSync syncs the entries of all callers that wait. It releases the lock
// during the sync.
func (l *Log) groupSync() {
	done := make(chan struct{})
	l.syncing = done
	upTo, f := l.last, l.active
	l.mu.Unlock()
	err := f.Sync()
	l.mu.Lock()
	l.syncing = nil
	if err != nil {
		l.failed = ErrFailed.Wrap(err)
	} else {
		l.synced = max(l.synced, upTo)
	}
	close(done)
}

// Segments describes all segments. The last one is open.
func (l *Log) Segments() []Segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	segments := slices.Clone(l.segments)
	segments[len(segments)-1] = l.openSegment()
	return segments
}

// Segment describes a segment.
func (l *Log) Segment(number uint32) Segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(number) == len(l.segments)-1 {
		return l.openSegment()
	}
	return l.segments[number]
}

// Bytes returns the size of all segments.
func (l *Log) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedBytes + l.size
}

// Close syncs and closes the log.
func (l *Log) Close() error {
	err := l.Sync(context.Background(), l.Last())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Join(err, l.closeActive())
}

func (l *Log) closeActive() error {
	if l.active == nil {
		return nil
	}
	return l.active.Close()
}
