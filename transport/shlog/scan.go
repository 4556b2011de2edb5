package shlog

import (
	"errors"
	"path/filepath"
)

// Damage is a place in a log that cannot be read.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	// Bytes is the size of the damaged part, up to the next intact frame or the
	// end of the file.
	Bytes  int64  `json:"bytes"`
	Reason string `json:"reason"`
}

// Gap is a range of records that are missing, First to Last.
type Gap struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Report is the result of Scan.
type Report struct {
	Damage []Damage `json:"damage,omitempty"`
	// Gaps lists missing records between intact ones. Records after the last
	// intact one cannot be distinguished from ones that were never written.
	Gaps []Gap `json:"gaps,omitempty"`
}

// Scan reads the log in a folder without changing it, and skips damage. It calls
// f with the records of each intact frame, in the order of writing: a record that
// was replaced comes before its replacement. If f returns an error, Scan stops
// and returns that error. Data is valid during the call of f only.
func Scan(dir string, options Options, f func(index uint64, data []byte) error) (Report, error) {
	s := scanner{f: f}
	l := &Log{options: options.withDefaults(), dir: dir}
	names, err := l.segmentNames()
	if err != nil {
		return Report{}, err
	}
	for _, name := range names {
		path := filepath.Join(dir, name)
		content, err := l.options.FS.ReadFile(path)
		if err != nil {
			return Report{}, newError("scan", KindFile, err)
		}
		if err := s.segment(path, content); err != nil {
			return Report{}, err
		}
	}
	return s.report, nil
}

type scanner struct {
	f      func(index uint64, data []byte) error
	next   uint64 // zero before the first record
	report Report
}

func (s *scanner) addDamage(path string, offset, bytes int, err error) {
	s.report.Damage = append(s.report.Damage, Damage{
		File: path, Offset: int64(offset), Bytes: int64(bytes), Reason: err.Error(),
	})
}

func (s *scanner) segment(path string, content []byte) error {
	h, err := decodeHeader(content)
	if err != nil {
		// The salt is needed to verify the frames of the segment.
		s.addDamage(path, 0, len(content), err)
		return nil
	}
	if h.flags&flagReset != 0 {
		s.next = h.base
		s.report.Gaps = nil
	}
	offset := headerBytes
	for offset < len(content) {
		frame, size, err := decodeFrame(content[offset:], h.salt, int64(offset))
		if err != nil {
			end := findFrame(content, offset+1, h.salt)
			if end < 0 {
				end = len(content)
			}
			s.addDamage(path, offset, end-offset, err)
			offset = end
			continue
		}
		if err := s.frame(frame); err != nil {
			return err
		}
		offset += size
	}
	return nil
}

func (s *scanner) frame(f frame) error {
	if s.next > 0 && f.first > s.next {
		s.report.Gaps = append(s.report.Gaps, Gap{First: s.next, Last: f.first - 1})
	}
	s.next = f.next()
	var errs []error
	for i, data := range f.records {
		if err := s.f(f.first+uint64(i), data); err != nil {
			errs = append(errs, err)
			break
		}
	}
	return errors.Join(errs...)
}
