package shsegment

import (
	"errors"
	"io"
	"io/fs"

	"github.com/zeebo/errs/v2"
)

// maxReaderFiles bounds the files that a Reader has open. Records of a page lie in
// few segments, those of neighboring request IDs in one or two.
const maxReaderFiles = 8

// Reader reads entries of a log. It opens each segment once for many reads. It is
// not safe for concurrent use.
type Reader struct {
	log   *Log
	files map[uint32]File
}

// Reader returns a Reader of the log, which must be closed.
func (l *Log) Reader() *Reader { return &Reader{log: l, files: make(map[uint32]File)} }

// file returns the file of a segment and describes the segment.
func (r *Reader) file(number uint32) (File, Segment, error) {
	r.log.mu.Lock()
	closed := r.log.closed
	r.log.mu.Unlock()
	if closed {
		return nil, Segment{}, ErrClosed.Errorf("read")
	}
	segment := r.log.Segment(number)
	if f := r.files[number]; f != nil {
		return f, segment, nil
	}
	if len(r.files) >= maxReaderFiles {
		if err := r.Close(); err != nil {
			return nil, segment, err
		}
	}
	f, err := r.log.folder.Read(segmentName(segment.First))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, segment, ErrUnreadable.Wrap(err)
	}
	if err != nil {
		return nil, segment, err
	}
	r.files[number] = f
	return f, segment, nil
}

// Read returns the payload at a location.
func (r *Reader) Read(at Location) ([]byte, error) {
	f, _, err := r.file(at.Segment)
	if err != nil {
		return nil, err
	}
	data := make([]byte, headerBytes+int(at.Length))
	if _, err := f.ReadAt(data, at.Offset); err != nil {
		return nil, ErrUnreadable.Wrap(err)
	}
	_, payload, ok := decodeEntry(data)
	if !ok {
		return nil, ErrUnreadable.Errorf("checksum mismatch at offset %d", at.Offset)
	}
	return payload, nil
}

// Scan visits the intact entries between two offsets of a segment, in order. end is
// 0 for the whole segment. A payload is valid during its visit only. Scan returns the
// digest of the visited entries.
func (r *Reader) Scan(number uint32, start, end int64, visit func(Location, []byte) error) (uint64, error) {
	f, segment, err := r.file(number)
	if err != nil {
		return 0, err
	}
	size, err := f.Size()
	if err != nil {
		return 0, err
	}
	if end == 0 {
		end = segment.Bytes
	}
	first := uint64(0)
	if start == 0 {
		first = segment.First
	}
	length := min(end, size) - start
	s, err := scanSegment(io.NewSectionReader(f, start, length), length, first, func(offset int64, payload []byte) error {
		return visit(Location{Segment: number, Length: uint32(len(payload)), Offset: start + offset}, payload)
	})
	return s.digest.sum(), err
}

// Close closes the files. The Reader may be used again.
func (r *Reader) Close() error {
	var group errs.Group
	for number, f := range r.files {
		group.Add(f.Close())
		delete(r.files, number)
	}
	return group.Err()
}
