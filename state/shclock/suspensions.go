package shclock

import (
	"sync"
	"time"
)

const (
	// maxReadGap bounds the time between two readings of the steady clock with one of
	// the boot clock between them. A longer gap leaves the difference of the two
	// clocks too uncertain.
	maxReadGap = 2 * time.Millisecond
	// maxReads bounds the attempts at such a reading.
	maxReads = 3
	// minSuspension is the growth of that difference that counts as a suspension. It is
	// more than two readings can be wrong together.
	minSuspension = 5 * time.Millisecond
)

// Suspensions tells whether an age that was measured by the steady clock counts the
// whole time. The zero value is ready to use and safe for concurrent use.
type Suspensions struct {
	// Boot and Steady are the clocks; nil means SinceBoot and time.Now.
	Boot   Func
	Steady func() time.Time

	mu     sync.Mutex
	origin time.Time // of the steady clock
	// offset is the time of the boot clock less that of the steady clock. It grows by
	// the length of each suspension.
	offset time.Duration
	// since is zero before the first reading.
	since time.Time
}

// Since returns the time now and a time since which the VM has certainly not been
// suspended, both by the steady clock. It is zero if that is not known.
func (s *Suspensions) Since() (now, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, offset, ok := s.read()
	switch {
	case !ok:
		s.since = time.Time{}
	case s.since.IsZero() || offset > s.offset+minSuspension:
		s.since, s.offset = now, offset
	}
	return now, s.since
}

// read returns the time of the steady clock and the offset at that time.
func (s *Suspensions) read() (now time.Time, offset time.Duration, ok bool) {
	boot, steady := s.Boot, s.Steady
	if boot == nil {
		boot = SinceBoot
	}
	if steady == nil {
		steady = time.Now
	}
	for range maxReads {
		before := steady()
		elapsed := boot()
		now = steady()
		if s.origin.IsZero() {
			s.origin = before
		}
		if now.Sub(before) <= maxReadGap {
			return now, elapsed - now.Sub(s.origin), true
		}
	}
	return now, 0, false
}
