package shlog

import (
	"fmt"
	"path/filepath"
	"slices"
)

// Read calls f for the records from index from up to but not including index to.
// If f returns an error, Read stops and returns that error. Data is valid during
// the call of f only.
func (l *Log) Read(from, to uint64, f func(index uint64, data []byte) error) error {
	const op = "read"
	if from < l.First() || to > l.next {
		return newError(op, KindIndex, fmt.Errorf("%d to %d is not within %d to %d", from, to, l.First(), l.next))
	}
	start, _ := slices.BinarySearchFunc(l.frames, from, func(a frameLocation, index uint64) int {
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

func (r *segmentReader) frame(op string, at frameLocation) (frame, error) {
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
