package shlog

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

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
	if err := l.removeObsoleteSegments(); err != nil {
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
		// is not longer than a header holds no records.
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
		l.addFrame(&s, f, int64(offset), int64(size))
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

// openLast opens the segment to append to and truncates its torn tail.
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

// removeObsoleteSegments removes the segments before the last reset, which a
// crash may leave.
func (l *Log) removeObsoleteSegments() error {
	for i := len(l.segments) - 1; i > 0; i-- {
		if l.segments[i].header.flags&flagReset != 0 {
			return l.removeSegments("open", i)
		}
	}
	return nil
}
