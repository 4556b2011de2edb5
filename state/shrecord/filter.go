package shrecord

import (
	"iter"
	"time"

	"sequoiahollow/state/shmodel"
)

// Filter selects lines of the export. The zero Filter selects all.
type Filter struct {
	// Service selects the requests of one service.
	Service shmodel.Service `json:"service,omitempty"`
	// Since and Until bound the end of a request: Since is included, Until is
	// not. A request that was never closed is selected by its start.
	Since time.Time `json:"since,omitzero"`
	Until time.Time `json:"until,omitzero"`
}

// Selects reports whether f selects a line. It always selects gaps, because
// neither their time nor their service is known. Only the zero Filter selects the
// unused parts of ranges.
func (f Filter) Selects(l Line) bool {
	switch l.Kind {
	case GapLine:
		return true
	case UnusedLine:
		return f == Filter{}
	}
	if f.Service != "" && l.Service != f.Service {
		return false
	}
	at := l.ClosedAt
	if at.IsZero() {
		at = l.OpenedAt
	}
	return !at.Before(f.Since) && (f.Until.IsZero() || at.Before(f.Until))
}

// Select returns the selected lines. The first error ends the sequence.
func (f Filter) Select(lines iter.Seq2[Line, error]) iter.Seq2[Line, error] {
	return func(yield func(Line, error) bool) {
		for line, err := range lines {
			if err != nil {
				yield(line, err)
				return
			}
			if f.Selects(line) && !yield(line, nil) {
				return
			}
		}
	}
}
